"""Which backend server a request goes to."""

import collections
from collections.abc import Iterable, Iterator, Sequence
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
from lacewingpitch import weighing as weighing_module

HINT_AGE_S = 30.0
_DEMAND_HALF_LIFE_S = 30.0
_HOT_COUNT = 8.0
_FULL_RATIO = 0.9
_SQUEEZE_S = 8.0
_ASSIGNED_S = 10.0
_TOLD_S = 60.0
_SILENT_S = 5.0
_MAX_ASSIGNMENTS = 8192
_MS_PER_S = 1000
_SPREAD_S = 0.2
# How much longer a request waits for an adapter that nobody holds at its
# home by hash, rather than where slots are free.  Entries then bring it to
# one engine, which keeps a copy of what it held of late: loads from the
# store fall from 915 to 836 for 615 adapters on the heaviest load that was
# played, and from 436 to 383 for 380 on a calm one.  0.4, 1 and 2.5 s did
# equally well; an engine that is a batch too full costs 2 s.
_HOME_S = 1.0
_LOAD_SMOOTHING_S = 10.0
_SHRINK_AFTER_S = 5.0
_PRESSED_S = 1.0
_LEAST_WEIGHT = 0.05
_MAX_POOLS = 256
_MAX_WEIGHINGS = 64


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
    squeeze_s
        What a load counts where no slot is spare, beside its wait; none
        where the told wait for a load says when a place comes free.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        objective: settings_module.ObjectiveSettings | None = None,
        homes: directory.DirectoryLink | None = None,
        squeeze_s: float = _SQUEEZE_S,
    ) -> None:
        self._clock = clock
        self._objective = objective or settings_module.ObjectiveSettings()
        self._homes = homes
        self._squeeze_s = squeeze_s
        self._demand = demand.DecayedCounts(clock, _DEMAND_HALF_LIFE_S)
        self._views: dict[str, weighing_module.View] = {}
        self._weighings: dict[int, weighing_module.Weighing] = {}
        # Names by what they hold, and by what is on its way to them.
        self._holders: dict[bytes, set[str]] = {}
        # The same by the published list, which tells of all, though late.
        self._listed: dict[str, frozenset[bytes]] = {}
        self._listed_holders: dict[bytes, set[str]] = {}
        self._targets: dict[str, collections.Counter[str]] = {}
        self._heard_at_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._pools: dict[frozenset[str], weighing_module.Pool] = {}
        self._assignments: collections.OrderedDict[str, _Assignment] = (
            collections.OrderedDict()
        )
        self._silent_until_s: dict[str, float] = {}

    async def locate(
        self, key: str, instances: Sequence[live_list.Instance]
    ) -> list[live_list.Instance]:
        """Return the instances to try, best first, as the home has it."""
        if not instances:
            return []
        weighing = self._weighing(instances)
        ranked = self._ranked(key, weighing)
        if self._homes is None or len(instances) <= 1:
            return ranked
        names = await self._assigned(key, weighing, ranked)
        chosen = [i for i in ranked if i.name in names]
        return chosen + [i for i in ranked if i.name not in names]

    def candidates(
        self, key: str, instances: Sequence[live_list.Instance]
    ) -> list[live_list.Instance]:
        """Return the instances in the order of this entry's own view."""
        if not instances:
            return []
        return self._ranked(key, self._weighing(instances))

    def _ranked(
        self, key: str, weighing: weighing_module.Weighing
    ) -> list[live_list.Instance]:
        active = weighing.active()
        holding = self._names_holding(key)
        waits_s = weighing.waits_s(holding)
        by_hash = weighing.by_hash(key)
        if self._homes is None and not holding:
            waits_s[by_hash[0]] -= _HOME_S
        ranked = [place for place in by_hash if place in active]
        ranked.sort(key=waits_s.__getitem__)
        ranked += [place for place in by_hash if place not in active]
        return [weighing.instances[place] for place in ranked]

    @contextlib.contextmanager
    def sent(self, key: str, instance: str) -> Iterator[None]:
        """Count a request as on its way while the context is open."""
        view = self._view(instance)
        self._drop_old_hints()
        self._demand.add(key)
        view.sent_since_hint += 1
        view.loads_since_hint += instance not in self._names_holding(key)
        view.under_way_count += 1
        self._targets.setdefault(key, collections.Counter())[instance] += 1
        self._note_change(view)
        try:
            yield
        finally:
            view.under_way_count -= 1
            self._forget_target(key, instance)
            self._note_change(view)

    def learn(self, instance: str, header: str) -> None:
        """Take over the hint on an answer; a useless one is dropped."""
        hint = hint_module.decode_hint(header)
        if hint is not None:
            self.learn_hint(instance, hint)

    def learn_hint(self, instance: str, hint: hint_module.Hint) -> None:
        """Take over what a sidecar told of its engine."""
        view = self._view(instance)
        self._forget_hint(instance, view)
        view.hint = hint
        for adapter in hint.fingerprints:
            self._holders.setdefault(adapter, set()).add(instance)
        self._heard_at_s[instance] = self._clock.monotonic_s()
        self._heard_at_s.move_to_end(instance)
        view.sent_since_hint = 0
        view.loads_since_hint = 0
        self._note_change(view)

    def learn_listed(self, instance: str, keys: Iterable[str]) -> None:
        """Take over what the published list says that one holds.

        Load it answers: fleets in which an entry hears from each engine
        too seldom to know what the others had loaded there.  A list that
        is out of date costs little: an engine keeps a copy of what it
        held of late.
        """
        found = frozenset(map(hint_module.fingerprint, keys))
        before = self._listed.get(instance, frozenset())
        for adapter in before - found:
            _drop_holder(self._listed_holders, adapter, instance)
        for adapter in found - before:
            self._listed_holders.setdefault(adapter, set()).add(instance)
        self._listed[instance] = found

    def forget(self, instance: str) -> None:
        """Forget what one holds and told: it has started again, empty."""
        self.learn_listed(instance, ())
        view = self._views.get(instance)
        if view is not None:
            self._heard_at_s.pop(instance, None)
            self._forget_hint(instance, view)
            self._note_change(view)

    def retain(self, instances: Sequence[live_list.Instance]) -> None:
        """Forget backend servers that are listed no more."""
        # Weighings are of the list before.
        self._drop_weighings()
        names = {instance.name for instance in instances}
        for name in self._listed.keys() - names:
            for adapter in self._listed.pop(name):
                _drop_holder(self._listed_holders, adapter, name)
        for name in self._views.keys() - names:
            view = self._views[name]
            if not view.under_way_count:
                self._forget_hint(name, view)
                self._heard_at_s.pop(name, None)
                del self._views[name]

    def _view(self, instance: str) -> weighing_module.View:
        return self._views.setdefault(instance, weighing_module.View())

    def _note_change(self, view: weighing_module.View) -> None:
        for weighing, index in view.places:
            weighing.note_change(index)

    def _drop_old_hints(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._heard_at_s:
            name, heard_at_s = next(iter(self._heard_at_s.items()))
            if now_s - heard_at_s < HINT_AGE_S:
                return
            del self._heard_at_s[name]
            self._forget_hint(name, self._views[name])
            self._note_change(self._views[name])

    def _forget_hint(self, instance: str, view: weighing_module.View) -> None:
        if view.hint is None:
            return
        for adapter in view.hint.fingerprints:
            _drop_holder(self._holders, adapter, instance)
        view.hint = None

    def _forget_target(self, key: str, instance: str) -> None:
        targets = self._targets[key]
        targets[instance] -= 1
        if not targets[instance]:
            del targets[instance]
        if not targets:
            del self._targets[key]

    def _names_holding(self, key: str) -> set[str]:
        # A request that is on its way there brings the adapter, also
        # before a hint can tell of it.
        adapter = hint_module.fingerprint(key)
        held = self._holders.get(adapter, set())
        listed = self._listed_holders.get(adapter, set())
        return held.union(listed, self._targets.get(key, ()))

    def _weighing(
        self, instances: Sequence[live_list.Instance]
    ) -> weighing_module.Weighing:
        """Return the weights of instances, as of now."""
        self._drop_old_hints()
        fixed = tuple(instances)
        # By identity, which a tuple that is kept here does not lose to
        # another: an instance of the same name may be another process.
        found = self._weighings.get(id(fixed))
        if found is None:
            found = self._new_weighing(fixed)
        self._set_active_count(found)
        return found

    def _new_weighing(
        self, instances: tuple[live_list.Instance, ...]
    ) -> weighing_module.Weighing:
        if len(self._weighings) >= _MAX_WEIGHINGS:
            self._drop_weighings()
        found = weighing_module.Weighing(
            instances,
            [self._view(instance.name) for instance in instances],
            self._pool(instances),
            self._spread_s,
            self._squeeze_s,
        )
        self._weighings[id(instances)] = found
        return found

    def _drop_weighings(self) -> None:
        self._weighings.clear()
        for view in self._views.values():
            view.places.clear()

    async def _assigned(
        self,
        key: str,
        weighing: weighing_module.Weighing,
        ranked: list[live_list.Instance],
    ) -> tuple[str, ...]:
        active_count = weighing.pool.active_count
        told, told_ago_s = self._told(key, weighing)
        wanted = self._wanted(key, told)
        if told_ago_s < _ASSIGNED_S:
            if len(told) >= wanted:
                return told
        else:
            likely = told if told_ago_s < _TOLD_S else ()
            seen = self._seen(key, weighing, likely)
            if seen and len(seen) >= self._wanted(key, seen):
                return seen
        home = rank(key, ranked)[0]
        request = directory.LocateRequest(
            key=key,
            wanted=wanted,
            proposals=tuple(
                i.name for i in ranked[: min(wanted + 1, active_count)]
            ),
            parked_below=weighing.parked_below,
        )
        return await self._ask_home(home, request) or told

    def _told(
        self, key: str, weighing: weighing_module.Weighing
    ) -> tuple[tuple[str, ...], float]:
        """Return what the home said, and how long ago."""
        known = self._assignments.get(key)
        if known is None:
            return (), math.inf
        listed = weighing.indexes
        names = tuple(name for name in known.names if name in listed)
        return names, self._clock.monotonic_s() - known.known_at_s

    def _seen(
        self,
        key: str,
        weighing: weighing_module.Weighing,
        likely: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Return who holds an adapter, by hints of late."""
        # An engine that was emptied since is given the adapter again: it
        # costs a load, and its answer says so.  One that this entry
        # would have fall out of use must not go on without the home's
        # word: it would never be left, as each request renews its hint.
        active = weighing.active()
        places = weighing.indexes
        held = self._names_holding(key)
        seen = tuple(name for name in held if places.get(name) in active)
        return tuple(name for name in seen if name in likely) or seen

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
        full = all(self._view(n).fill_ratio >= _FULL_RATIO for n in names)
        return count + 1 if full else count

    @property
    def _spread_s(self) -> float:
        # Above one half the emptier of two equal backend servers is
        # taken, below it the fuller, whose steps are then used better.
        return _SPREAD_S * (2.0 * self._objective.stall_weight - 1.0)

    def _set_active_count(self, weighing: weighing_module.Weighing) -> None:
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

    def _pool(
        self, instances: Sequence[live_list.Instance]
    ) -> weighing_module.Pool:
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


def _drop_holder(
    holders: dict[bytes, set[str]], adapter: bytes, instance: str
) -> None:
    """Forget that an instance holds an adapter."""
    names = holders[adapter]
    names.discard(instance)
    if not names:
        del holders[adapter]
