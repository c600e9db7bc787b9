"""Which backend server a request goes to."""

import collections
from collections.abc import Iterator, Sequence
import contextlib
import dataclasses
import math

import xxhash

from lacewingpitch import clock as clock_module
from lacewingpitch import demand
from lacewingpitch import hint as hint_module
from lacewingpitch import live_list
from lacewingpitch import settings as settings_module

HINT_AGE_S = 30.0
_DEMAND_HALF_LIFE_S = 30.0
_REQUESTS_PER_CANDIDATE = 32.0
_DETOUR_S = 2.0
_DEFAULT_LOAD_WAIT_S = 1.0
_TURN_WAIT_S = 2.0
_DEFAULT_MAX_RUNNING = 16
_SPREAD_S = 0.2
_FULLEST_RATIO = 0.9
_DEMAND_SMOOTHING_S = 30.0
_MAX_POOLS = 256


def rank(
    key: str, instances: Sequence[live_list.Instance]
) -> list[live_list.Instance]:
    """Return instances by rendezvous hash, the same at every process."""
    return sorted(
        instances,
        key=lambda instance: xxhash.xxh3_64_intdigest(
            f'{key}/{instance.name}'.encode()
        ),
        reverse=True,
    )


def bucket(key: str, count: int) -> int:
    """Return a number below `count`, the same at every process."""
    return xxhash.xxh3_64_intdigest(key.encode()) % count


@dataclasses.dataclass(slots=True)
class _View:
    """What this entry instance knows of one backend server."""

    hint: hint_module.Hint | None = None
    adapters: frozenset[bytes] = frozenset()
    heard_at_s: float = 0.0
    sent_since_hint: int = 0
    in_flight: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class _Pool:
    """Smoothed load of the backend servers of one model."""

    load: float
    seen_at_s: float


class Placement:
    """Sends requests where their adapter is, or will be loaded best.

    Backend servers are weighed by the seconds that a request is
    expected to wait there.  An adapter that is held nowhere goes to its
    home by rendezvous hash, at every entry instance the same one, so
    that its requests share one load.  An adapter in demand has several
    homes.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        objective: settings_module.ObjectiveSettings | None = None,
    ) -> None:
        self._clock = clock
        self._objective = objective or settings_module.ObjectiveSettings()
        self._demand = demand.DecayedCounts(clock, _DEMAND_HALF_LIFE_S)
        self._views: dict[str, _View] = {}
        self._pools: dict[frozenset[str], _Pool] = {}

    def candidates(
        self, key: str, instances: Sequence[live_list.Instance]
    ) -> list[live_list.Instance]:
        """Return the instances to try, best first."""
        active = self._active(instances)
        ranked = rank(key, active)
        homes = {i.name for i in ranked[: self._breadth(key)]}
        ranked.sort(key=lambda instance: self._wait_s(key, instance, homes))
        spare = [i for i in instances if i not in active]
        return ranked + rank(key, spare)

    @contextlib.contextmanager
    def sent(self, key: str, instance: str) -> Iterator[None]:
        """Count a request as on its way while the context is open."""
        view = self._view(instance)
        self._demand.add(key)
        view.sent_since_hint += 1
        view.in_flight[key] += 1
        try:
            yield
        finally:
            view.in_flight[key] -= 1
            if not view.in_flight[key]:
                del view.in_flight[key]

    def learn(self, instance: str, header: str) -> None:
        """Take over the hint on an answer; a useless one is dropped."""
        hint = hint_module.decode_hint(header)
        if hint is None:
            return
        view = self._view(instance)
        view.hint = hint
        view.adapters = hint.fingerprints
        view.heard_at_s = self._clock.monotonic_s()
        view.sent_since_hint = 0

    def retain(self, instances: Sequence[live_list.Instance]) -> None:
        """Forget backend servers that are listed no more."""
        names = {instance.name for instance in instances}
        for name in self._views.keys() - names:
            if not self._views[name].in_flight:
                del self._views[name]

    def _view(self, instance: str) -> _View:
        return self._views.setdefault(instance, _View())

    def _fresh_hint(self, view: _View) -> hint_module.Hint | None:
        age_s = self._clock.monotonic_s() - view.heard_at_s
        return view.hint if age_s < HINT_AGE_S else None

    def _breadth(self, key: str) -> int:
        return 1 + int(self._demand.value(key) / _REQUESTS_PER_CANDIDATE)

    def _wait_s(
        self, key: str, instance: live_list.Instance, homes: set[str]
    ) -> float:
        view = self._view(instance.name)
        wait_s = self._turn_wait_s(view)
        if self._is_held(key, view):
            return wait_s
        hint = self._fresh_hint(view)
        wait_s += (
            _DEFAULT_LOAD_WAIT_S if hint is None else hint.load_wait_ms / 1000
        )
        return wait_s if instance.name in homes else wait_s + _DETOUR_S

    def _is_held(self, key: str, view: _View) -> bool:
        # A request that is on its way there brings the adapter, also
        # before a hint can tell of it.
        if key in view.in_flight:
            return True
        return (
            self._fresh_hint(view) is not None
            and hint_module.fingerprint(key) in view.adapters
        )

    def _turn_wait_s(self, view: _View) -> float:
        load = self._load(view)
        hint = self._fresh_hint(view)
        capacity = hint.max_running if hint else _DEFAULT_MAX_RUNNING
        fill_ratio = load / capacity
        over_s = max(0.0, fill_ratio - 1.0) * _TURN_WAIT_S
        return over_s + min(fill_ratio, 1.0) * self._spread_s

    @property
    def _spread_s(self) -> float:
        # Above one half the emptier of two equal backend servers is
        # taken, below it the fuller, whose steps are then used better.
        return _SPREAD_S * (2.0 * self._objective.stall_weight - 1.0)

    def _load(self, view: _View) -> float:
        own = view.in_flight.total()
        hint = self._fresh_hint(view)
        if hint is None:
            return own
        return max(own, hint.running + hint.queued + view.sent_since_hint)

    def _active(
        self, instances: Sequence[live_list.Instance]
    ) -> list[live_list.Instance]:
        fill_ratio = _FULLEST_RATIO * (1.0 - self._objective.stall_weight)
        if not instances or fill_ratio <= 0.0:
            return list(instances)
        load = self._pool_load(instances)
        wanted = math.ceil(load / (fill_ratio * _DEFAULT_MAX_RUNNING))
        count = min(len(instances), max(1, wanted))
        return rank('active', instances)[:count]

    def _pool_load(self, instances: Sequence[live_list.Instance]) -> float:
        now_s = self._clock.monotonic_s()
        load = float(sum(self._load(self._view(i.name)) for i in instances))
        names = frozenset(instance.name for instance in instances)
        pool = self._pools.get(names)
        if pool is None:
            if len(self._pools) >= _MAX_POOLS:
                self._pools.clear()
            pool = self._pools[names] = _Pool(load, now_s)
        # A peak counts at once and fades slowly, so that engines do not
        # fall out of use, and lose their adapters, in each short lull.
        kept_ratio = math.exp(-(now_s - pool.seen_at_s) / _DEMAND_SMOOTHING_S)
        faded = load + (pool.load - load) * kept_ratio
        pool.load = max(load, faded)
        pool.seen_at_s = now_s
        return pool.load
