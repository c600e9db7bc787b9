"""Maps each customer to the entry instance that owns its limits."""

import collections
from collections.abc import Sequence
import dataclasses

from lacewingpitch import clock as clock_module
from lacewingpitch import live_list
from lacewingpitch import rendezvous

_MAX_LISTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _EntryList:
    """The live entry instances from `valid_from_s` on."""

    valid_from_s: float
    entries: tuple[live_list.Instance, ...]
    names: frozenset[str]
    by_region: dict[str, tuple[live_list.Instance, ...]]


class LimitOwnership:
    """The live entry instances, and the owner of each customer's limits.

    The owner is found by rendezvous hash, so all instances with the same
    instance list agree on it.  While the list of some instance is out of
    date, two instances may both be owners by their own lists.

    `version` rises with each change of the live entry instances; `revision`
    is that of the last published list.

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
        self._lists: collections.deque[_EntryList] = collections.deque(
            maxlen=_MAX_LISTS
        )
        self._lists.append(
            _EntryList(clock.monotonic_s(), (), frozenset(), {})
        )

    def update(
        self, revision: int, instances: Sequence[live_list.Instance]
    ) -> None:
        """Apply a published instance list."""
        self.revision = revision
        entries = tuple(
            instance
            for instance in instances
            if instance.role is live_list.Role.ENTRY
            and instance.state is live_list.InstanceState.LIVE
        )
        if entries == self._lists[-1].entries:
            return
        by_region: dict[str, list[live_list.Instance]] = {}
        for entry in entries:
            by_region.setdefault(entry.region, []).append(entry)
        self.version += 1
        self._lists.append(
            _EntryList(
                self._clock.monotonic_s(),
                entries,
                frozenset(entry.name for entry in entries),
                {region: tuple(found) for region, found in by_region.items()},
            )
        )

    def forget_history(self) -> None:
        """Drop all earlier lists, as if the process had just started."""
        now_s = self._clock.monotonic_s()
        newest = dataclasses.replace(self._lists[-1], valid_from_s=now_s)
        self._lists.clear()
        self._lists.append(newest)

    def owner(self, customer: str, region: str) -> live_list.Instance | None:
        """Return the owner; ``None`` if it is this instance."""
        found = _owner(self._lists[-1], customer, region)
        if found is None or found.name == self.instance:
            return None
        return found

    def owned_for_s(self, customer: str, region: str) -> float:
        """Return how long this instance has been the owner."""
        valid_from_s = self._clock.monotonic_s()
        for entry_list in reversed(self._lists):
            found = _owner(entry_list, customer, region)
            if found is not None and found.name != self.instance:
                break
            valid_from_s = entry_list.valid_from_s
        return self._clock.monotonic_s() - valid_from_s

    def previous_owner(
        self, customer: str, region: str
    ) -> live_list.Instance | None:
        """Return the owner before this instance; ``None`` if unknown."""
        for entry_list in reversed(self._lists):
            found = _owner(entry_list, customer, region)
            if found is not None and found.name != self.instance:
                return found
        # A process that has just joined only knows lists that contain
        # itself.  The previous owner is the one in the same list without
        # this process.
        return _owner(self._lists[-1], customer, region, self.instance)

    def this_instance(self) -> live_list.Instance | None:
        """Return this entry instance as listed; ``None`` if it isn't."""
        for entry in self._lists[-1].entries:
            if entry.name == self.instance:
                return entry
        return None

    def entry_count(self, region: str) -> int:
        """Return the number of entry instances that share a limit.

        It includes this instance, also while that isn't listed.
        """
        entry_list = self._lists[-1]
        listed = _candidates(entry_list, region)
        count = len(listed)
        if all(entry.name != self.instance for entry in listed):
            count += 1
        return count

    def is_listed(self, instance: str) -> bool:
        """Whether an entry instance is in the current list."""
        return instance in self._lists[-1].names


def _candidates(
    entry_list: _EntryList, region: str
) -> tuple[live_list.Instance, ...]:
    found = entry_list.by_region.get(region)
    if found is not None:
        return found
    return tuple(
        entry for entries in entry_list.by_region.values() for entry in entries
    )


def _owner(
    entry_list: _EntryList, customer: str, region: str, excluded: str = ''
) -> live_list.Instance | None:
    candidates = [
        entry
        for entry in _candidates(entry_list, region)
        if entry.name != excluded
    ]
    return max(
        candidates,
        key=lambda entry: rendezvous.score(f'limits/{customer}', entry.name),
        default=None,
    )
