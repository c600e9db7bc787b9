"""Decides how many of the engines of each model are in use.

An engine that is not in use is parked: requests try it only after all
active ones.
"""

from collections.abc import Sequence
import math

from lacewingpitch import clock as clock_module
from lacewingpitch import live_list
from lacewingpitch import placement_costs
from lacewingpitch import settings as settings_module

_LOAD_SMOOTHING_S = 10.0
_SHRINK_INTERVAL_S = 5.0
# Divided by the stall weight, the mean wait for a load above which a pool
# grows by one engine.
_MAX_LOAD_WAIT_S = 1.0
_MIN_STALL_WEIGHT = 0.05
_MAX_POOLS = 256


class EnginePools:
    """Sizes pools of engines by load and by the operator's objective."""

    def __init__(
        self,
        clock: clock_module.Clock,
        objective: settings_module.ObjectiveSettings,
    ) -> None:
        self._clock = clock
        self._objective = objective
        self._pools: dict[frozenset[str], placement_costs.Pool] = {}

    def of(
        self, instances: Sequence[live_list.Instance]
    ) -> placement_costs.Pool:
        """Return the pool of a set of engines; create it if needed."""
        names = frozenset(instance.name for instance in instances)
        pool = self._pools.get(names)
        if pool is None:
            if len(self._pools) >= _MAX_POOLS:
                self._pools.clear()
            now_s = self._clock.monotonic_s()
            pool = self._pools[names] = placement_costs.Pool(
                len(instances), now_s, now_s
            )
        return pool

    def set_active_count(self, costs: placement_costs.PlacementCosts) -> None:
        """Adjust the number of active engines of a pool to its load.

        A pool grows at once, and shrinks by one engine per interval.
        With a stall weight of 1, all engines stay active.
        """
        fill_ratio = 1.0 - self._objective.stall_weight
        if fill_ratio <= 0.0:
            return
        now_s = self._clock.monotonic_s()
        pool = costs.pool
        needed = self._needed_count(costs, fill_ratio, now_s)
        if needed >= pool.active_count:
            pool.active_count = min(needed, len(costs))
            pool.surplus_since_s = now_s
        elif now_s - pool.surplus_since_s >= _SHRINK_INTERVAL_S:
            # Parking is slow because the adapters of a parked engine
            # must be loaded again elsewhere.
            pool.active_count -= 1
            pool.surplus_since_s = now_s

    def _needed_count(
        self,
        costs: placement_costs.PlacementCosts,
        fill_ratio: float,
        now_s: float,
    ) -> int:
        pool = costs.pool
        load = float(costs.total_load())
        kept_ratio = math.exp(
            -(now_s - pool.load_updated_at_s) / _LOAD_SMOOTHING_S
        )
        pool.smoothed_load = load + (pool.smoothed_load - load) * kept_ratio
        pool.load_updated_at_s = now_s
        capacity = costs.mean_capacity()
        needed = max(
            1, math.ceil(pool.smoothed_load / (fill_ratio * capacity))
        )
        are_loads_slow = (
            needed <= pool.active_count
            and costs.is_mean_load_wait_above(self._max_load_wait_s)
        )
        return pool.active_count + 1 if are_loads_slow else needed

    @property
    def _max_load_wait_s(self) -> float:
        return _MAX_LOAD_WAIT_S / max(
            self._objective.stall_weight, _MIN_STALL_WEIGHT
        )
