"""Entries that lack a field which servers like theirs state."""

import collections
from collections.abc import Iterable
from typing import Protocol

# Fewer servers do not show what the others owe.
_MIN_OTHERS = 2


class Entry(Protocol):
    """An entry of the list of backend servers."""

    @property
    def name(self) -> str:
        """Return the name of the server."""
        ...

    @property
    def service(self) -> str:
        """Return the service of the server."""
        ...

    @property
    def software_version(self) -> str:
        """Return the version of the server's software."""
        ...

    @property
    def stated_fields(self) -> frozenset[str]:
        """Return the names of the optional fields that it states."""
        ...


def find_incomplete(entries: Iterable[Entry]) -> frozenset[str]:
    """Return the names of the entries that lack an owed field.

    Which optional fields a server states depends on its software.  Servers of
    one service and version state the same, so that one field is owed if most
    of the others state it.
    """
    groups: dict[tuple[str, str], list[Entry]] = collections.defaultdict(list)
    for entry in entries:
        groups[entry.service, entry.software_version].append(entry)
    found: set[str] = set()
    for group in groups.values():
        found |= _incomplete(group)
    return frozenset(found)


def _incomplete(group: list[Entry]) -> set[str]:
    if len({entry.stated_fields for entry in group}) == 1:
        return set()
    others = len(group) - 1
    if others < _MIN_OTHERS:
        return set()
    counts = collections.Counter(
        field for entry in group for field in entry.stated_fields
    )
    owed = {field for field, count in counts.items() if 2 * count > others}
    return {entry.name for entry in group if owed - entry.stated_fields}
