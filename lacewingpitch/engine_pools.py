"""How many of the engines of a model are in use."""

from collections.abc import Sequence
import math

from lacewingpitch import clock as clock_module
from lacewingpitch import live_list
from lacewingpitch import settings as settings_module
from lacewingpitch import weighing as weighing_module

_LOAD_SMOOTHING_S = 10.0
_SHRINK_AFTER_S = 5.0
_PRESSED_S = 1.0
_LEAST_WEIGHT = 0.05
_MAX_POOLS = 256


class EnginePools:
    """Has as many engines in use as the operator's objective asks for."""

    def __init__(
        self,
        clock: clock_module.Clock,
        objective: settings_module.ObjectiveSettings,
    ) -> None:
        self._clock = clock
        self._objective = objective
        self._pools: dict[frozenset[str], weighing_module.Pool] = {}

    def of(
        self, instances: Sequence[live_list.Instance]
    ) -> weighing_module.Pool:
        """Return the pool of a set of engines."""
        names = frozenset(instance.name for instance in instances)
        pool = self._pools.get(names)
        if pool is None:
            if len(self._pools) >= _MAX_POOLS:
                self._pools.clear()
            now_s = self._clock.monotonic_s()
            pool = self._pools[names] = weighing_module.Pool(
                len(instances), now_s, now_s
            )
        return pool

    def set_active_count(self, weighing: weighing_module.Weighing) -> None:
        """Have as many engines of a pool in use as its load asks for."""
        fill_ratio = 1.0 - self._objective.stall_weight
        if fill_ratio <= 0.0:
            return
        now_s = self._clock.monotonic_s()
        pool = weighing.pool
        needed = self._needed_count(weighing, fill_ratio, now_s)
        if needed >= pool.active_count:
            pool.active_count = min(needed, len(weighing))
            pool.spare_since_s = now_s
        elif now_s - pool.spare_since_s >= _SHRINK_AFTER_S:
            # One at a time and slowly: an engine that falls out of use
            # takes its adapters with it, and each must load again.
            pool.active_count -= 1
            pool.spare_since_s = now_s

    def _needed_count(
        self,
        weighing: weighing_module.Weighing,
        fill_ratio: float,
        now_s: float,
    ) -> int:
        pool = weighing.pool
        load = float(weighing.load_sum())
        kept_ratio = math.exp(-(now_s - pool.seen_at_s) / _LOAD_SMOOTHING_S)
        pool.load = load + (pool.load - load) * kept_ratio
        pool.seen_at_s = now_s
        capacity = weighing.mean_capacity()
        needed = max(1, math.ceil(pool.load / (fill_ratio * capacity)))
        is_pressed = needed <= pool.active_count and weighing.is_pressed(
            self._pressed_s
        )
        return pool.active_count + 1 if is_pressed else needed

    @property
    def _pressed_s(self) -> float:
        return _PRESSED_S / max(self._objective.stall_weight, _LEAST_WEIGHT)
