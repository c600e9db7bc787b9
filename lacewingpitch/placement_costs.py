"""Estimated waiting times at backend servers, as placement compares them."""

from collections.abc import Iterable, Sequence
import dataclasses

import xxhash

from lacewingpitch import directory
from lacewingpitch import engine_pace
from lacewingpitch import hint as hint_module
from lacewingpitch import live_list
from lacewingpitch import pace_table

_MS_PER_S = 1000
# These defaults apply to a backend server without a hint.
_DEFAULT_LOAD_WAIT_S = 1.0
_DEFAULT_COPY_WAIT_S = 0.1
# Expected wait for each full batch of requests beyond the running one.
_WAIT_PER_QUEUED_BATCH_S = 2.0
_DEFAULT_MAX_RUNNING = 16


@dataclasses.dataclass(slots=True)
class BackendState:
    """What this entry instance knows of one backend server.

    Parameters
    ----------
    hint
        The last hint received; ``None`` once it has expired.
    is_load_current
        Whether the load that the hint reports is recent enough to use.
    sent_since_hint
        Requests sent there since the last hint.
    loads_since_hint
        Of these, the ones for an adapter that must be loaded.
    in_progress_count
        Requests of this entry instance that are sent and not answered.
    told_pace
        The last pace that the sidecar told of this start of the engine;
        ``None`` if it told none.
    columns
        The estimates that include this backend server, each with its
        column there.
    """

    hint: hint_module.Hint | None = None
    is_load_current: bool = False
    sent_since_hint: int = 0
    loads_since_hint: int = 0
    in_progress_count: int = 0
    told_pace: engine_pace.ToldPace | None = None
    columns: list[tuple['PlacementCosts', int]] = dataclasses.field(
        default_factory=list
    )

    @property
    def load(self) -> int:
        """Return the estimated number of requests running or queued."""
        own = self.in_progress_count
        if self.hint is None or not self.is_load_current:
            return own
        reported = self.hint.running + self.hint.queued + self.sent_since_hint
        return max(own, reported)

    @property
    def capacity(self) -> int:
        """Return how many requests the engine batches."""
        return self.hint.max_running if self.hint else _DEFAULT_MAX_RUNNING

    @property
    def fill_ratio(self) -> float:
        """Return the load as a share of the capacity."""
        return self.load / self.capacity

    def turn_wait_s(self, fill_cost_s: float) -> float:
        """Return the expected wait for a turn, plus the cost of the fill."""
        fill_ratio = self.fill_ratio
        over_s = max(0.0, fill_ratio - 1.0) * _WAIT_PER_QUEUED_BATCH_S
        if self.hint is not None and self.is_load_current:
            over_s += self.hint.turn_wait_ms / _MS_PER_S
        return over_s + min(fill_ratio, 1.0) * fill_cost_s

    def load_wait_s(
        self, turn_wait_s: float, no_spare_slot_penalty_s: float
    ) -> float:
        """Return the expected wait if the adapter must be loaded."""
        if self.hint is None:
            return turn_wait_s + _DEFAULT_LOAD_WAIT_S
        spare = self.hint.spare_slots - self.loads_since_hint
        loaded_s = turn_wait_s + self.hint.load_wait_ms / _MS_PER_S
        return loaded_s + no_spare_slot_penalty_s / (1.0 + max(0, spare))

    def copy_wait_s(self, turn_wait_s: float) -> float:
        """Return the expected wait if the engine cached a copy of it."""
        if self.hint is None:
            return turn_wait_s + _DEFAULT_COPY_WAIT_S
        return turn_wait_s + self.hint.copy_wait_ms / _MS_PER_S


@dataclasses.dataclass(slots=True)
class Pool:
    """The backend servers of one model.

    Parameters
    ----------
    active_count
        How many of them are in use.
    load_updated_at_s
        When the smoothed load was updated.
    surplus_since_s
        Since when fewer of them are needed than are in use.
    smoothed_load
        Requests in progress, as an exponential moving average.
    """

    active_count: int
    load_updated_at_s: float
    surplus_since_s: float
    smoothed_load: float = 0.0


class PlacementCosts:
    """Estimated waits at a set of backend servers, one column for each.

    A column is computed again only when the state of its backend server
    has changed, so that a choice among hundreds need not compute each.

    Parameters
    ----------
    states
        States of the backend servers, in the order of `instances`.
    fill_cost_s
        Cost of a full batch, in seconds of waiting.  A negative cost
        prefers fuller backend servers.
    no_spare_slot_penalty_s
        See `placement.Placement`.
    zone_costs_s
        Costs of the backend servers by their availability zones, in seconds
        of waiting.
    """

    def __init__(
        self,
        instances: tuple[live_list.Instance, ...],
        states: Sequence[BackendState],
        pool: Pool,
        fill_cost_s: float,
        no_spare_slot_penalty_s: float,
        zone_costs_s: Sequence[float],
    ) -> None:
        self._zone_costs_s = zone_costs_s
        self._no_spare_slot_penalty_s = no_spare_slot_penalty_s
        self.instances = instances
        self.pool = pool
        self.column_by_name = {i.name: n for n, i in enumerate(instances)}
        self._states = states
        self._fill_cost_s = fill_cost_s
        self._names = [i.name.encode() for i in instances]
        self._priorities = [
            directory.retention_priority(i.name) for i in instances
        ]
        self._by_priority = sorted(
            range(len(instances)),
            key=self._priorities.__getitem__,
            reverse=True,
        )
        self._active: frozenset[int] = frozenset()
        count = len(instances)
        self._loads = [0] * count
        self._capacities = [0] * count
        self._hinted_load_waits_ms = [0] * count
        self._has_hint = [False] * count
        self._held_waits_s = [0.0] * count
        self._load_waits_s = [0.0] * count
        self._copy_waits_s = [0.0] * count
        self.paces = pace_table.PaceTable()
        self._stale = set(range(count))
        for column, state in enumerate(states):
            state.columns.append((self, column))

    def __len__(self) -> int:
        """Return the number of backend servers."""
        return len(self.instances)

    def mark_stale(self, column: int) -> None:
        """Have a column computed again before its next use."""
        self._stale.add(column)

    def columns_by_hash(self, key: str) -> list[int]:
        """Return all columns by rendezvous hash, best first."""
        prefix = f'{key}/'.encode()
        digest = xxhash.xxh3_64_intdigest
        digests = [digest(prefix + name) for name in self._names]
        columns = range(len(digests))
        return sorted(columns, key=digests.__getitem__, reverse=True)

    def active(self) -> frozenset[int]:
        """Return the columns of the backend servers in use."""
        if len(self._active) != self.pool.active_count:
            count = self.pool.active_count
            self._active = frozenset(self._by_priority[:count])
        return self._active

    @property
    def parked_below(self) -> int:
        """Return the retention priority below which servers are parked."""
        if self.pool.active_count >= len(self):
            return 0
        return self._priorities[self._by_priority[self.pool.active_count - 1]]

    def columns_of(self, names: Iterable[str]) -> list[int]:
        """Return the columns of backend servers; skip unknown names."""
        columns = (self.column_by_name.get(name) for name in names)
        return [column for column in columns if column is not None]

    def waits_s(
        self, holders: Iterable[int], copies: Iterable[int] = ()
    ) -> list[float]:
        """Return the expected wait of a request, by column.

        Parameters
        ----------
        holders
            Columns of the backend servers that hold its adapter.
        copies
            Columns of those that may have cached a copy of it.
        """
        self._refresh()
        waits_s = self._load_waits_s.copy()
        for column in copies:
            waits_s[column] = self._copy_waits_s[column]
        for column in holders:
            waits_s[column] = self._held_waits_s[column]
        return waits_s

    def total_load(self) -> int:
        """Return the number of running requests, without queued ones."""
        self._refresh()
        return sum(self._loads)

    def mean_capacity(self) -> float:
        """Return the mean number of requests that an engine batches."""
        self._refresh()
        return sum(self._capacities) / len(self)

    def is_mean_load_wait_above(self, limit_s: float) -> bool:
        """Whether the mean wait for a load, by the hints, is above a limit."""
        self._refresh()
        limit_ms = limit_s * _MS_PER_S * sum(self._has_hint)
        return sum(self._hinted_load_waits_ms) > limit_ms

    def _refresh(self) -> None:
        while self._stale:
            column = self._stale.pop()
            state = self._states[column]
            hint = state.hint
            self.paces.put(column, state.told_pace)
            # A queue at one engine shows that this engine is overloaded,
            # not that too few engines are in use.
            self._loads[column] = min(state.load, state.capacity)
            self._capacities[column] = state.capacity
            self._hinted_load_waits_ms[column] = (
                hint.load_wait_ms if hint else 0
            )
            self._has_hint[column] = hint is not None
            self._held_waits_s[column] = (
                state.turn_wait_s(self._fill_cost_s)
                + self._zone_costs_s[column]
            )
            self._load_waits_s[column] = state.load_wait_s(
                self._held_waits_s[column], self._no_spare_slot_penalty_s
            )
            self._copy_waits_s[column] = state.copy_wait_s(
                self._held_waits_s[column]
            )
