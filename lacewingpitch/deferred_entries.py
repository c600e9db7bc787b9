"""Entries of the list that are not believed until they have stood a while.

An entry of an earlier start of its server may be a late write from before a
restart.  Or the entry that it replaces was of another writer, or the clock of
the server's host went back.  A live server writes its entry again at its next
heartbeat, so that the entry that stands is the server's own.
"""

import dataclasses
from typing import Generic, Protocol, TypeVar

from lacewingpitch import clock as clock_module

# Three heartbeat intervals of a server, after which its entry would expire,
# and the delay until its next write is read.
REWRITTEN_WITHIN_S = 4.0


class Entry(Protocol):
    """An entry of the list of backend servers."""

    @property
    def name(self) -> str:
        """Return the name of the server."""
        ...

    @property
    def is_leaving(self) -> bool:
        """Return whether the server must get no new requests."""
        ...

    @property
    def started_at_ms(self) -> int:
        """Return the time of the server's start."""
        ...


_Entry = TypeVar('_Entry', bound=Entry)


@dataclasses.dataclass(frozen=True, slots=True)
class _Deferred(Generic[_Entry]):
    entry: _Entry
    believed_from_s: float


class DeferredEntries(Generic[_Entry]):
    """Holds the last entry of each server that is not believed yet."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Deferred[_Entry]] = {}

    def defer(self, entry: _Entry) -> None:
        """Defer an entry; a repeated one keeps its time."""
        known = self._entries.get(entry.name)
        if known and known.entry.started_at_ms == entry.started_at_ms:
            believed_from_s = known.believed_from_s
        else:
            believed_from_s = self._clock.monotonic_s() + REWRITTEN_WITHIN_S
        self._entries[entry.name] = _Deferred(entry, believed_from_s)

    def drop(self, name: str) -> None:
        """Drop the deferred entry of a server, if there is one."""
        self._entries.pop(name, None)

    def is_leaving(self, name: str) -> bool:
        """Whether a deferred entry says that its server leaves."""
        found = self._entries.get(name)
        return found is not None and found.entry.is_leaving

    def due(self) -> tuple[_Entry, ...]:
        """Return the entries that nothing has replaced in time."""
        now_s = self._clock.monotonic_s()
        return tuple(
            deferred.entry
            for deferred in self._entries.values()
            if now_s >= deferred.believed_from_s
        )
