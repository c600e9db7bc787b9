"""What an entry knows of backend servers, and what each would cost."""

from collections.abc import Iterable, Sequence
import dataclasses

import xxhash

from lacewingpitch import directory
from lacewingpitch import hint as hint_module
from lacewingpitch import live_list

_MS_PER_S = 1000
_DEFAULT_LOAD_WAIT_S = 1.0
_DEFAULT_COPY_WAIT_S = 0.1
_TURN_WAIT_S = 2.0
_DEFAULT_MAX_RUNNING = 16


@dataclasses.dataclass(slots=True)
class View:
    """What this entry instance knows of one backend server.

    Parameters
    ----------
    hint
        What it told last; ``None`` once that is too old.
    is_load_known
        Whether what it told of its load is still believed.
    under_way_count
        Own requests that are on their way there or not answered yet.
    places
        Where this backend server stands in weighings.
    """

    hint: hint_module.Hint | None = None
    is_load_known: bool = False
    sent_since_hint: int = 0
    loads_since_hint: int = 0
    under_way_count: int = 0
    places: list[tuple['Weighing', int]] = dataclasses.field(
        default_factory=list
    )

    @property
    def load(self) -> int:
        """Return the requests that are thought to be there."""
        own = self.under_way_count
        if self.hint is None or not self.is_load_known:
            return own
        told = self.hint.running + self.hint.queued + self.sent_since_hint
        return max(own, told)

    @property
    def capacity(self) -> int:
        """Return how many requests it batches."""
        return self.hint.max_running if self.hint else _DEFAULT_MAX_RUNNING

    @property
    def fill_ratio(self) -> float:
        """Return the load as a share of the batch."""
        return self.load / self.capacity

    def turn_wait_s(self, spread_s: float) -> float:
        """Return what is waited for a turn there."""
        fill_ratio = self.fill_ratio
        over_s = max(0.0, fill_ratio - 1.0) * _TURN_WAIT_S
        if self.hint is not None and self.is_load_known:
            over_s += self.hint.turn_wait_ms / _MS_PER_S
        return over_s + min(fill_ratio, 1.0) * spread_s

    def load_wait_s(self, turn_wait_s: float, squeeze_s: float) -> float:
        """Return the same for an adapter that must be loaded there."""
        if self.hint is None:
            return turn_wait_s + _DEFAULT_LOAD_WAIT_S
        spare = self.hint.spare_slots - self.loads_since_hint
        loaded_s = turn_wait_s + self.hint.load_wait_ms / _MS_PER_S
        return loaded_s + squeeze_s / (1.0 + max(0, spare))

    def copy_wait_s(self, turn_wait_s: float) -> float:
        """Return the same for an adapter of which it kept a copy."""
        if self.hint is None:
            return turn_wait_s + _DEFAULT_COPY_WAIT_S
        return turn_wait_s + self.hint.copy_wait_ms / _MS_PER_S


@dataclasses.dataclass(slots=True)
class Pool:
    """Backend servers of one model, and how many of them are in use."""

    active_count: int
    seen_at_s: float
    spare_since_s: float
    load: float = 0.0


class Weighing:
    """The weights of one set of backend servers, one column for each.

    A column is worked out again only when what is known of its backend
    server has changed, so that a choice among hundreds does not weigh
    each of them anew.

    Parameters
    ----------
    spread_s
        What a full batch counts, in seconds of waiting.
    squeeze_s
        See `Placement`.
    """

    def __init__(
        self,
        instances: tuple[live_list.Instance, ...],
        views: Sequence[View],
        pool: Pool,
        spread_s: float,
        squeeze_s: float,
    ) -> None:
        self._squeeze_s = squeeze_s
        self.instances = instances
        self.pool = pool
        self.indexes = {i.name: n for n, i in enumerate(instances)}
        self._views = views
        self._spread_s = spread_s
        self._names = [i.name.encode() for i in instances]
        self._standings = [directory.standing(i.name) for i in instances]
        self._by_standing = sorted(
            range(len(instances)),
            key=self._standings.__getitem__,
            reverse=True,
        )
        self._active: frozenset[int] = frozenset()
        count = len(instances)
        self._loads = [0] * count
        self._capacities = [0] * count
        self._load_waits_ms = [0] * count
        self._hints = [False] * count
        self._held_s = [0.0] * count
        self._missing_s = [0.0] * count
        self._copied_s = [0.0] * count
        self._changed = set(range(count))
        for index, view in enumerate(views):
            view.places.append((self, index))

    def __len__(self) -> int:
        """Return the number of backend servers."""
        return len(self.instances)

    def note_change(self, index: int) -> None:
        """Have a backend server weighed again."""
        self._changed.add(index)

    def by_hash(self, key: str) -> list[int]:
        """Return the places of all by rendezvous hash."""
        prefix = f'{key}/'.encode()
        digest = xxhash.xxh3_64_intdigest
        digests = [digest(prefix + name) for name in self._names]
        places = range(len(digests))
        return sorted(places, key=digests.__getitem__, reverse=True)

    def active(self) -> frozenset[int]:
        """Return the places of those in use."""
        if len(self._active) != self.pool.active_count:
            count = self.pool.active_count
            self._active = frozenset(self._by_standing[:count])
        return self._active

    @property
    def parked_below(self) -> int:
        """Return the standing below which none is in use."""
        if self.pool.active_count >= len(self):
            return 0
        return self._standings[self._by_standing[self.pool.active_count - 1]]

    def places(self, names: Iterable[str]) -> list[int]:
        """Return the places of backend servers, of those in the set."""
        found = (self.indexes.get(name) for name in names)
        return [place for place in found if place is not None]

    def waits_s(
        self, holders: Iterable[int], copies: Iterable[int] = ()
    ) -> list[float]:
        """Return what a request would wait at each.

        Parameters
        ----------
        holders
            Places of those that hold its adapter.
        copies
            Places of those that may have kept a copy of it.
        """
        self._refresh()
        waits_s = self._missing_s.copy()
        for place in copies:
            waits_s[place] = self._copied_s[place]
        for place in holders:
            waits_s[place] = self._held_s[place]
        return waits_s

    def load_sum(self) -> int:
        """Return the requests in progress, without those that queue."""
        self._refresh()
        return sum(self._loads)

    def mean_capacity(self) -> float:
        """Return how many requests one batches in the mean."""
        self._refresh()
        return sum(self._capacities) / len(self)

    def is_pressed(self, limit_s: float) -> bool:
        """Whether loads wait longer than a limit in the mean."""
        self._refresh()
        limit_ms = limit_s * _MS_PER_S * sum(self._hints)
        return sum(self._load_waits_ms) > limit_ms

    def _refresh(self) -> None:
        while self._changed:
            index = self._changed.pop()
            view = self._views[index]
            hint = view.hint
            # What waits for a turn at one engine says that it is too
            # full, not that there are too few.
            self._loads[index] = min(view.load, view.capacity)
            self._capacities[index] = view.capacity
            self._load_waits_ms[index] = hint.load_wait_ms if hint else 0
            self._hints[index] = hint is not None
            self._held_s[index] = view.turn_wait_s(self._spread_s)
            self._missing_s[index] = view.load_wait_s(
                self._held_s[index], self._squeeze_s
            )
            self._copied_s[index] = view.copy_wait_s(self._held_s[index])
