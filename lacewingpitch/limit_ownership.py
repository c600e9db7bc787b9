"""Which entry instance owns the limits of a customer."""

import collections
from collections.abc import Sequence
import dataclasses

from lacewingpitch import clock as clock_module
from lacewingpitch import live_list
from lacewingpitch import rendezvous

_MAX_VIEWS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    since_s: float
    entries: tuple[live_list.Instance, ...]
    names: frozenset[str]
    by_region: dict[str, tuple[live_list.Instance, ...]]


class LimitOwnership:
    """The live entry instances, and the owner among them by hash.

    Every instance with the same list finds the same owner.  While the
    list lags, two instances may each hold themselves for the owner.

    Parameters
    ----------
    clock
        Source of time.
    instance
        Name of this entry instance.
    region
        Region of this entry instance.
    """

    def __init__(
        self, clock: clock_module.Clock, instance: str, region: str
    ) -> None:
        self._clock = clock
        self.instance = instance
        self._region = region
        self.version = 0
        self.revision = 0
        self._views: collections.deque[_View] = collections.deque(
            maxlen=_MAX_VIEWS
        )
        self._views.append(_View(clock.monotonic_s(), (), frozenset(), {}))

    def update(
        self, revision: int, instances: Sequence[live_list.Instance]
    ) -> None:
        """Take over a published list."""
        self.revision = revision
        entries = tuple(
            instance
            for instance in instances
            if instance.role is live_list.Role.ENTRY
            and instance.state is live_list.InstanceState.LIVE
        )
        if entries == self._views[-1].entries:
            return
        by_region: dict[str, list[live_list.Instance]] = {}
        for entry in entries:
            by_region.setdefault(entry.region, []).append(entry)
        self.version += 1
        self._views.append(
            _View(
                self._clock.monotonic_s(),
                entries,
                frozenset(entry.name for entry in entries),
                {region: tuple(found) for region, found in by_region.items()},
            )
        )

    def restart(self) -> None:
        """Begin anew, as a process that was started only now."""
        now_s = self._clock.monotonic_s()
        newest = dataclasses.replace(self._views[-1], since_s=now_s)
        self._views.clear()
        self._views.append(newest)

    def owner(self, customer: str, region: str) -> live_list.Instance | None:
        """Return the owner, ``None`` where it is this instance."""
        found = _owner(self._views[-1], customer, region)
        if found is None or found.name == self.instance:
            return None
        return found

    def owned_for_s(self, customer: str, region: str) -> float:
        """Return how long this instance has been the owner."""
        since_s = self._clock.monotonic_s()
        for view in reversed(self._views):
            found = _owner(view, customer, region)
            if found is not None and found.name != self.instance:
                break
            since_s = view.since_s
        return self._clock.monotonic_s() - since_s

    def previous_owner(
        self, customer: str, region: str
    ) -> live_list.Instance | None:
        """Return who was the owner before this instance, if known."""
        for view in reversed(self._views):
            found = _owner(view, customer, region)
            if found is not None and found.name != self.instance:
                return found
        # A process that joined finds only lists with itself in them: the
        # owner before it is the one that the others' lists give.
        return _owner(self._views[-1], customer, region, self.instance)

    def this_instance(self) -> live_list.Instance | None:
        """Return this entry instance as it is listed."""
        for entry in self._views[-1].entries:
            if entry.name == self.instance:
                return entry
        return None

    def entry_count(self, region: str) -> int:
        """Return over how many entry instances a limit is shared."""
        view = self._views[-1]
        listed = _candidates(view, region)
        count = len(listed)
        if all(entry.name != self.instance for entry in listed):
            count += 1
        return count

    def is_listed(self, instance: str) -> bool:
        """Whether an entry instance is in the list."""
        return instance in self._views[-1].names


def _candidates(view: _View, region: str) -> tuple[live_list.Instance, ...]:
    found = view.by_region.get(region)
    if found is not None:
        return found
    return tuple(
        entry for entries in view.by_region.values() for entry in entries
    )


def _owner(
    view: _View, customer: str, region: str, without: str = ''
) -> live_list.Instance | None:
    candidates = [
        entry for entry in _candidates(view, region) if entry.name != without
    ]
    return max(
        candidates,
        key=lambda entry: rendezvous.score(f'limits/{customer}', entry.name),
        default=None,
    )
