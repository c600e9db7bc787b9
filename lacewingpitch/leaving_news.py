"""Spreads between entries which servers have left, or announced it.

A server that leaves soon ends, and breaks off what it runs.  The messages
between entries and sidecars about turns carry what an entry heard; without
any news they carry no extra data.
"""

from collections.abc import Collection, Iterable
from typing import Generic, TypeVar

import msgspec

from lacewingpitch import clock as clock_module

# Entries that send nothing for longer hear it from the server itself, or
# read it in the list.
_MAX_AGE_S = 5.0
# Most items in one message.
_MAX_COUNT = 16
# Items that one process remembers.
_MAX_ITEMS = 256
_Item = TypeVar('_Item')


class ServerRemoval(msgspec.Struct, frozen=True):
    """A start of a server that the published list no longer offers.

    The list names it as leaving, or lacks it.  Revisions, and not clocks,
    decide which of two processes has the newer list.

    Parameters
    ----------
    epoch
        Epoch of the list; revisions of different epochs do not compare.
    revision
        Revision of the list at which it was read.
    """

    start_id: str
    epoch: int
    revision: int


class RecentNews(Generic[_Item]):
    """What a process has heard lately about servers that leave.

    An entry records what servers and the list told it and nothing that other
    entries did, so that no news is passed on for ever.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # First time that it was heard; the oldest comes first.
        self._heard_at_s: dict[_Item, float] = {}

    def record(self, item: _Item) -> None:
        """Record an item of news."""
        if item in self._heard_at_s:
            return
        if len(self._heard_at_s) >= _MAX_ITEMS:
            del self._heard_at_s[next(iter(self._heard_at_s))]
        self._heard_at_s[item] = self._clock.boot_s()

    def merge(self, items: Iterable[_Item]) -> None:
        """Record several items."""
        for item in items:
            self.record(item)

    def recent(self, known: Collection[_Item] = ()) -> tuple[_Item, ...]:
        """Return what was heard lately.

        Parameters
        ----------
        known
            Items to leave out.
        """
        if not self._heard_at_s:
            return ()
        since_s = self._clock.boot_s() - _MAX_AGE_S
        found = [
            item
            for item, heard_at_s in self._heard_at_s.items()
            if heard_at_s > since_s and item not in known
        ]
        return tuple(found[-_MAX_COUNT:])
