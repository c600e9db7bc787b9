"""Which backend server a request goes to."""

import collections
from collections.abc import Iterator, Sequence
import contextlib
import dataclasses
import math

import xxhash

from lacewingpitch import clock as clock_module
from lacewingpitch import demand
from lacewingpitch import directory
from lacewingpitch import errors
from lacewingpitch import hint as hint_module
from lacewingpitch import live_list
from lacewingpitch import settings as settings_module

HINT_AGE_S = 30.0
_DEMAND_HALF_LIFE_S = 30.0
_HOT_COUNT = 8.0
_FULL_RATIO = 0.9
_SQUEEZE_S = 8.0
_ASSIGNED_S = 10.0
_SILENT_S = 5.0
_MAX_ASSIGNMENTS = 8192
_MS_PER_S = 1000
_DEFAULT_LOAD_WAIT_S = 1.0
_TURN_WAIT_S = 2.0
_DEFAULT_MAX_RUNNING = 16
_SPREAD_S = 0.2
_LOAD_SMOOTHING_S = 10.0
_SHRINK_AFTER_S = 2.0
_MOST_FILL_RATIO = 0.85
_HEADROOM_POWER = 1.8
_PRESSED_S = 1.0
_LEAST_WEIGHT = 0.05
_ACTIVE_KEY = 'active'
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
    loads_since_hint: int = 0
    in_flight: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class _Pool:
    """Backend servers of one model, and how many of them are in use."""

    active_count: int
    seen_at_s: float
    spare_since_s: float
    load: float = 0.0


@dataclasses.dataclass(slots=True)
class _Assignment:
    """Where the home of an adapter has it used."""

    names: tuple[str, ...]
    known_at_s: float


class Placement:
    """Sends requests where their adapter is, or will be loaded best.

    Backend servers are weighed by the seconds that a request is
    expected to wait there.  For an adapter that is not seen anywhere,
    its home by rendezvous hash is asked, so that all entry instances
    send it to the same one and its requests share one load.  When the
    backend servers of a hot adapter fill up, it is given one more.

    Parameters
    ----------
    homes
        Way to the homes; without it, adapters are used at their home.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        objective: settings_module.ObjectiveSettings | None = None,
        homes: directory.DirectoryLink | None = None,
    ) -> None:
        self._clock = clock
        self._objective = objective or settings_module.ObjectiveSettings()
        self._homes = homes
        self._demand = demand.DecayedCounts(clock, _DEMAND_HALF_LIFE_S)
        self._views: dict[str, _View] = {}
        self._pools: dict[frozenset[str], _Pool] = {}
        self._assignments: collections.OrderedDict[str, _Assignment] = (
            collections.OrderedDict()
        )
        self._silent_until_s: dict[str, float] = {}

    async def locate(
        self, key: str, instances: Sequence[live_list.Instance]
    ) -> list[live_list.Instance]:
        """Return the instances to try, best first, as the home has it."""
        active = self._active(instances)
        ranked = self._ranked(key, instances, active)
        if self._homes is None or len(instances) <= 1:
            return ranked
        names = await self._assigned(key, instances, ranked, len(active))
        ranked.sort(key=lambda instance: instance.name not in names)
        return ranked

    def candidates(
        self, key: str, instances: Sequence[live_list.Instance]
    ) -> list[live_list.Instance]:
        """Return the instances in the order of this entry's own view."""
        return self._ranked(key, instances, self._active(instances))

    def _ranked(
        self,
        key: str,
        instances: Sequence[live_list.Instance],
        active: Sequence[live_list.Instance],
    ) -> list[live_list.Instance]:
        ranked = rank(key, active)
        ranked.sort(key=lambda instance: self._wait_s(key, instance))
        active_names = {instance.name for instance in active}
        spare = [i for i in instances if i.name not in active_names]
        return ranked + rank(key, spare)

    @contextlib.contextmanager
    def sent(self, key: str, instance: str) -> Iterator[None]:
        """Count a request as on its way while the context is open."""
        view = self._view(instance)
        self._demand.add(key)
        view.sent_since_hint += 1
        view.loads_since_hint += not self._is_held(key, view)
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
        view.loads_since_hint = 0

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

    async def _assigned(
        self,
        key: str,
        instances: Sequence[live_list.Instance],
        ranked: list[live_list.Instance],
        active_count: int,
    ) -> tuple[str, ...]:
        now_s = self._clock.monotonic_s()
        listed = {instance.name for instance in instances}
        parked = tuple(i.name for i in ranked[active_count:])
        known = self._assignments.get(key)
        names: tuple[str, ...] = ()
        if known is not None:
            names = tuple(n for n in known.names if n in listed)
        wanted = self._wanted(key, names)
        is_fresh = known is not None and now_s - known.known_at_s < _ASSIGNED_S
        if is_fresh and len(names) >= wanted:
            return names
        home = rank(key, instances)[0]
        request = directory.LocateRequest(
            key=key,
            wanted=wanted,
            proposals=tuple(
                i.name for i in ranked[: min(wanted + 1, active_count)]
            ),
            parked=parked,
        )
        return await self._ask_home(home, request) or names

    async def _ask_home(
        self, home: live_list.Instance, request: directory.LocateRequest
    ) -> tuple[str, ...]:
        assert self._homes is not None
        now_s = self._clock.monotonic_s()
        if now_s < self._silent_until_s.get(home.name, 0.0):
            return ()
        try:
            reply = await self._homes.locate(home, request)
        except errors.LinkError:
            # A home that is gone or frozen would hold up each request
            # of its adapters; for a while this entry decides alone.
            self._silent_until_s[home.name] = now_s + _SILENT_S
            return ()
        self._assignments[request.key] = _Assignment(reply.instances, now_s)
        self._assignments.move_to_end(request.key)
        if len(self._assignments) > _MAX_ASSIGNMENTS:
            self._assignments.popitem(last=False)
        return reply.instances

    def _wanted(self, key: str, names: tuple[str, ...]) -> int:
        count = max(1, len(names))
        is_hot = self._demand.value(key) >= _HOT_COUNT
        if not names or not is_hot:
            return count
        full = all(self._fill(self._view(n)) >= _FULL_RATIO for n in names)
        return count + 1 if full else count

    def _wait_s(self, key: str, instance: live_list.Instance) -> float:
        view = self._view(instance.name)
        wait_s = self._turn_wait_s(view)
        if self._is_held(key, view):
            return wait_s
        hint = self._fresh_hint(view)
        if hint is None:
            return wait_s + _DEFAULT_LOAD_WAIT_S
        spare = hint.spare_slots - view.loads_since_hint
        wait_s += hint.load_wait_ms / _MS_PER_S
        return wait_s + _SQUEEZE_S / (1.0 + max(0, spare))

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
        fill_ratio = self._fill(view)
        over_s = max(0.0, fill_ratio - 1.0) * _TURN_WAIT_S
        return over_s + min(fill_ratio, 1.0) * self._spread_s

    def _fill(self, view: _View) -> float:
        return self._load(view) / self._capacity(view)

    def _capacity(self, view: _View) -> int:
        hint = self._fresh_hint(view)
        return hint.max_running if hint else _DEFAULT_MAX_RUNNING

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
        fill_ratio = self._fill_ratio
        if not instances or fill_ratio <= 0.0:
            return list(instances)
        now_s = self._clock.monotonic_s()
        pool = self._pool(instances)
        needed = self._needed_count(instances, pool, fill_ratio, now_s)
        if needed >= pool.active_count:
            pool.active_count = min(needed, len(instances))
            pool.spare_since_s = now_s
        elif now_s - pool.spare_since_s >= _SHRINK_AFTER_S:
            # One at a time and slowly: an engine that falls out of use
            # takes its adapters with it, and each must load again.
            pool.active_count -= 1
            pool.spare_since_s = now_s
        return rank(_ACTIVE_KEY, instances)[: pool.active_count]

    def _pool(self, instances: Sequence[live_list.Instance]) -> _Pool:
        names = frozenset(instance.name for instance in instances)
        pool = self._pools.get(names)
        if pool is None:
            if len(self._pools) >= _MAX_POOLS:
                self._pools.clear()
            now_s = self._clock.monotonic_s()
            pool = self._pools[names] = _Pool(len(instances), now_s, now_s)
        return pool

    def _needed_count(
        self,
        instances: Sequence[live_list.Instance],
        pool: _Pool,
        fill_ratio: float,
        now_s: float,
    ) -> int:
        views = [self._view(instance.name) for instance in instances]
        # What waits for a turn at one engine says that it is too full,
        # not that there are too few.
        load = float(sum(min(self._load(v), self._capacity(v)) for v in views))
        kept_ratio = math.exp(-(now_s - pool.seen_at_s) / _LOAD_SMOOTHING_S)
        pool.load = load + (pool.load - load) * kept_ratio
        pool.seen_at_s = now_s
        capacity = sum(map(self._capacity, views)) / len(views)
        needed = max(1, math.ceil(pool.load / (fill_ratio * capacity)))
        if needed <= pool.active_count and self._is_pressed(views):
            return pool.active_count + 1
        return needed

    @property
    def _fill_ratio(self) -> float:
        # Engines that are all but empty shorten few stalls and waste
        # each of their steps; past the most, turns are waited for.
        kept_free_ratio = self._objective.stall_weight**_HEADROOM_POWER
        return min(_MOST_FILL_RATIO, 1.0 - kept_free_ratio)

    @property
    def _pressed_s(self) -> float:
        return _PRESSED_S / max(self._objective.stall_weight, _LEAST_WEIGHT)

    def _is_pressed(self, views: Sequence[_View]) -> bool:
        hints = [hint for hint in map(self._fresh_hint, views) if hint]
        waits_ms = sum(hint.load_wait_ms for hint in hints)
        return waits_ms > self._pressed_s * _MS_PER_S * len(hints)
