"""Ranks the backend servers that a request can be sent to."""

import collections
from collections.abc import Collection, Iterable, Iterator, Sequence
import contextlib

import xxhash

from lacewingpitch import adapter_holders
from lacewingpitch import adapter_homes
from lacewingpitch import answer_needs
from lacewingpitch import cached_copies as cached_copies_module
from lacewingpitch import clock as clock_module
from lacewingpitch import demand
from lacewingpitch import directory
from lacewingpitch import engine_pace
from lacewingpitch import engine_pools
from lacewingpitch import hint as hint_module
from lacewingpitch import live_list
from lacewingpitch import placement_costs
from lacewingpitch import rank_rules
from lacewingpitch import ranking as ranking_module
from lacewingpitch import rendezvous
from lacewingpitch import settings as settings_module
from lacewingpitch import stall_costs as stall_costs_module
from lacewingpitch import zone_costs as zone_costs_module

# Hints older than this are dropped.
HINT_MAX_AGE_S = 30.0
_DEMAND_HALF_LIFE_S = 30.0
_NO_SPARE_SLOT_PENALTY_S = 8.0
_FILL_COST_S = 0.2
# A request for an adapter that no engine holds accepts this much more
# waiting at the adapter's home than at an engine with free slots.
_HOME_PREFERENCE_S = 1.0
_MAX_CACHED_COSTS = 64


def rank_by_hash(
    key: str, instances: Sequence[live_list.Instance]
) -> list[live_list.Instance]:
    """Return instances by rendezvous hash, the same in every process."""
    return sorted(
        instances,
        key=lambda instance: rendezvous.score(key, instance.name),
        reverse=True,
    )


def hash_bucket(key: str, count: int) -> int:
    """Return a hash below `count`, the same in every process."""
    return xxhash.xxh3_64_intdigest(key.encode()) % count


class Placement:
    """Ranks backend servers by the wait that a request expects there.

    Requests go where their adapter is held or where loading it costs
    least.  If no engine is known to hold the adapter, its home by
    rendezvous hash comes first: all entry instances send it there, and
    its requests share one load.  Once the backend servers of a hot
    adapter are full, it is placed on one more.

    Parameters
    ----------
    homes
        Queries the homes of adapters; without it, an adapter that no
        engine holds is placed on its home.
    no_spare_slot_penalty_s
        Penalty for a load where no slot is spare, in addition to the
        expected wait.  Zero if the reported wait for a load already
        includes the wait for a slot.
    load_max_age_s
        How long the load that a hint reports is used.
    cached_copies
        Where engines cache copies of adapters that they evicted;
        ``None`` if they cache none.
    instance
        Name of this entry instance.  It breaks ties, so that entry
        instances choose different ones of several equally good engines.
    stall_costs
        Costs of engines that are too slow for a request; ``None`` if all
        engines are taken to be equally fast.
    zone_costs
        Costs of engines in other availability zones; ``None`` if zones
        don't matter.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        objective: settings_module.ObjectiveSettings | None = None,
        homes: directory.DirectoryLink | None = None,
        no_spare_slot_penalty_s: float = _NO_SPARE_SLOT_PENALTY_S,
        load_max_age_s: float = HINT_MAX_AGE_S,
        cached_copies: cached_copies_module.CachedCopies | None = None,
        instance: str = '',
        stall_costs: stall_costs_module.StallCosts | None = None,
        zone_costs: zone_costs_module.ZoneCosts | None = None,
    ) -> None:
        self._clock = clock
        self._load_max_age_s = load_max_age_s
        self._instance = instance
        self._stall_costs = stall_costs
        self._zone_costs = zone_costs
        self._no_spare_slot_penalty_s = no_spare_slot_penalty_s
        objective = objective or settings_module.ObjectiveSettings()
        # With a stall weight above one half, the emptier of two equal
        # backend servers is preferred; below it the fuller one, whose
        # batches are then used better.
        self._fill_cost_s = _FILL_COST_S * (2.0 * objective.stall_weight - 1.0)
        self._demand = demand.DecayedCounts(clock, _DEMAND_HALF_LIFE_S)
        self._holders = adapter_holders.AdapterHolders(cached_copies)
        self._pools = engine_pools.EnginePools(clock, objective)
        self._homes = None
        if homes is not None:
            self._homes = adapter_homes.AdapterHomes(
                clock,
                homes,
                self._demand,
                self._holders,
                lambda name: self._state(name).fill_ratio,
            )
        self._states: dict[str, placement_costs.BackendState] = {}
        self._costs: dict[int, placement_costs.PlacementCosts] = {}
        self._hint_received_at_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Of these, the backend servers whose load is still current.
        self._load_received_at_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    @property
    def known_pace_count(self) -> int:
        """Return how many engines told their pace since their start."""
        return sum(
            state.told_pace is not None for state in self._states.values()
        )

    @property
    def uses_pace(self) -> bool:
        """Whether it ranks by the pace of engines where they differ."""
        return self._stall_costs is not None

    @property
    def has_uneven_engines(self) -> bool:
        """Whether the engines ranked last are known to differ in pace."""
        return self._stall_costs is not None and self._stall_costs.is_uneven

    async def locate(
        self, key: str, instances: Sequence[live_list.Instance]
    ) -> list[live_list.Instance]:
        """Return the instances to try, best first.

        The instances that the home of the adapter assigned come first.
        """
        if not instances:
            return []
        costs = self._costs_for(instances)
        ranked = self._ranked(key, costs).instances
        if self._homes is None or len(instances) <= 1:
            return ranked
        home = rank_by_hash(key, ranked)[0]
        names = await self._homes.assigned(key, costs, home, ranked)
        assigned = [i for i in ranked if i.name in names]
        return assigned + [i for i in ranked if i.name not in names]

    def ranked_instances(
        self, key: str, instances: Sequence[live_list.Instance]
    ) -> list[live_list.Instance]:
        """Return the instances, best first, without asking a home."""
        return self.rank(key, instances).instances

    def rank(
        self,
        key: str,
        instances: Sequence[live_list.Instance],
        needs: answer_needs.AnswerNeeds | None = None,
    ) -> ranking_module.Ranking:
        """Return the ranking for a request, without asking a home."""
        if not instances:
            return ranking_module.Ranking([])
        return self._ranked(key, self._costs_for(instances), needs)

    def _ranked(
        self,
        key: str,
        costs: placement_costs.PlacementCosts,
        needs: answer_needs.AnswerNeeds | None = None,
    ) -> ranking_module.Ranking:
        active = costs.active()
        holders = frozenset(costs.columns_of(self._holders.holders(key)))
        copies = costs.columns_of(self._holders.copy_holders(key))
        waits_s = costs.waits_s(holders, copies)
        by_hash = costs.columns_by_hash(key)
        if self._homes is None:
            known = holders.union(copies)
            rank_rules.add_rank_penalties(waits_s, by_hash, known)
            if not known:
                waits_s[by_hash[0]] -= _HOME_PREFERENCE_S
            by_hash = self._shuffle_holders(key, costs, by_hash, holders)
        ranked = [column for column in by_hash if column in active]
        fallback = None
        if self._stall_costs is not None and needs is not None:
            fallback = self._stall_costs.add(
                waits_s, ranked, costs.paces, needs
            )
        ranked.sort(key=waits_s.__getitem__)
        if self._homes is None:
            rank_rules.promote_non_holder(ranked, holders)
        ranked += [column for column in by_hash if column not in active]
        return ranking_module.Ranking(
            [costs.instances[column] for column in ranked],
            None if fallback is None else costs.instances[fallback],
        )

    def _shuffle_holders(
        self,
        key: str,
        costs: placement_costs.PlacementCosts,
        by_hash: list[int],
        holders: Collection[int],
    ) -> list[int]:
        """Return the columns, holders first, in an order of this entry.

        Entry instances without current loads of an adapter's engines
        would otherwise all try the same one first, then the same next.
        """
        if len(holders) <= 1:
            return by_hash
        own = costs.columns_by_hash(f'{self._instance}/{key}')
        others = [column for column in by_hash if column not in holders]
        return [column for column in own if column in holders] + others

    @contextlib.contextmanager
    def track_request(self, key: str, instance: str) -> Iterator[None]:
        """Count a request as in progress while the context is open."""
        state = self._state(instance)
        self._drop_old_hints()
        self._demand.add(key)
        state.sent_since_hint += 1
        state.loads_since_hint += instance not in self._holders.holders(key)
        state.in_progress_count += 1
        self._mark_stale(state)
        try:
            with self._holders.track_request(key, instance):
                yield
        finally:
            state.in_progress_count -= 1
            self._mark_stale(state)

    def apply_hint_header(self, instance: str, header: str) -> None:
        """Apply the hint header of an answer; ignore an invalid one."""
        hint = hint_module.decode_hint(header)
        if hint is not None:
            self.apply_hint(instance, hint)

    def apply_hint(self, instance: str, hint: hint_module.Hint) -> None:
        """Apply a hint about a sidecar's engine."""
        state = self._state(instance)
        self._forget_hint(instance, state)
        state.hint = hint
        self._holders.apply_hint(instance, hint)
        now_s = self._clock.monotonic_s()
        state.told_pace = engine_pace.newer_pace(
            state.told_pace, hint.pace, now_s
        )
        for received_at_s in (
            self._hint_received_at_s,
            self._load_received_at_s,
        ):
            received_at_s[instance] = now_s
            received_at_s.move_to_end(instance)
        state.is_load_current = True
        state.sent_since_hint = 0
        state.loads_since_hint = 0
        self._mark_stale(state)

    def apply_listed_adapters(
        self, instance: str, keys: Iterable[str]
    ) -> None:
        """Apply the adapters that an instance holds by the published list.

        In a large fleet, hints from each engine reach an entry instance
        too rarely to show which adapters other entry instances had
        loaded there.  An outdated list costs little, because an engine
        caches copies of adapters that it evicted recently.
        """
        self._holders.apply_listed_adapters(instance, keys)

    def reset_instance(self, instance: str) -> None:
        """Forget the state of an instance that restarted empty."""
        state = self._states.get(instance)
        if state is not None:
            self._forget_state(instance, state)
            self._mark_stale(state)
        self._holders.reset_instance(instance)

    def retain(self, instances: Sequence[live_list.Instance]) -> None:
        """Forget the backend servers that are no longer listed."""
        # The cached costs belong to the previous list.
        self._drop_costs()
        names = {instance.name for instance in instances}
        for name in self._states.keys() - names:
            state = self._states[name]
            if not state.in_progress_count:
                self._forget_state(name, state)
                del self._states[name]
        self._holders.retain(names)

    def _forget_state(
        self, name: str, state: placement_costs.BackendState
    ) -> None:
        self._forget_hint(name, state)
        state.told_pace = None
        self._hint_received_at_s.pop(name, None)
        self._load_received_at_s.pop(name, None)

    def _state(self, instance: str) -> placement_costs.BackendState:
        return self._states.setdefault(
            instance, placement_costs.BackendState()
        )

    def _mark_stale(self, state: placement_costs.BackendState) -> None:
        for costs, column in state.columns:
            costs.mark_stale(column)

    def _drop_old_hints(self) -> None:
        for name in self._pop_expired(
            self._load_received_at_s, self._load_max_age_s
        ):
            self._states[name].is_load_current = False
            self._mark_stale(self._states[name])
        for name in self._pop_expired(
            self._hint_received_at_s, HINT_MAX_AGE_S
        ):
            self._forget_hint(name, self._states[name])
            self._mark_stale(self._states[name])

    def _pop_expired(
        self,
        received_at_s: collections.OrderedDict[str, float],
        max_age_s: float,
    ) -> Iterator[str]:
        now_s = self._clock.monotonic_s()
        while received_at_s:
            name, at_s = next(iter(received_at_s.items()))
            if now_s - at_s < max_age_s:
                return
            del received_at_s[name]
            yield name

    def _forget_hint(
        self, instance: str, state: placement_costs.BackendState
    ) -> None:
        if state.hint is None:
            return
        self._holders.revoke_hint(instance, state.hint)
        state.hint = None

    def _costs_for(
        self, instances: Sequence[live_list.Instance]
    ) -> placement_costs.PlacementCosts:
        """Return the current costs for these instances."""
        self._drop_old_hints()
        fixed = tuple(instances)
        # Keyed by identity, not by names: an instance of the same name
        # may be another process.  The cached costs keep the tuple
        # alive, so its id is not reused.
        costs = self._costs.get(id(fixed))
        if costs is None:
            costs = self._new_costs(fixed)
        self._pools.set_active_count(costs)
        return costs

    def _new_costs(
        self, instances: tuple[live_list.Instance, ...]
    ) -> placement_costs.PlacementCosts:
        if len(self._costs) >= _MAX_CACHED_COSTS:
            self._drop_costs()
        costs = placement_costs.PlacementCosts(
            instances,
            [self._state(instance.name) for instance in instances],
            self._pools.of(instances),
            self._fill_cost_s,
            self._no_spare_slot_penalty_s,
            self._zone_costs.costs_s(instances)
            if self._zone_costs
            else [0.0] * len(instances),
        )
        self._costs[id(instances)] = costs
        return costs

    def _drop_costs(self) -> None:
        self._costs.clear()
        for state in self._states.values():
            state.columns.clear()
