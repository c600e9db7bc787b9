"""A directory that makes entry instances agree where adapters are placed.

The home of an adapter is the sidecar that holds its directory entry, by
rendezvous hash over the sidecars.  The entry lists the backend servers
that the adapter is assigned to, and is kept in memory only.  An entry
instance that knows of no engine that holds the adapter asks the home
first.  Without the directory, two entry instances with different hints
would each have the adapter loaded on another engine.  A lost home or a
duplicate request costs at most a load; correctness does not depend on
the directory.
"""

import collections
import dataclasses
from typing import Protocol

import reactivex
import xxhash

from lacewingpitch import clock as clock_module
from lacewingpitch import link
from lacewingpitch import live_list

# Entry instances that know an engine that holds an adapter do not renew
# its entry for a while, so it must outlive these pauses.
_ENTRY_TTL_S = 45.0
_EXTRA_ASSIGNMENT_TTL_S = 60.0
_MIN_STAY_S = 20.0
_MAX_ENTRIES = 8192
_MAX_ASSIGNMENTS = 64
_LOCATE_TIMEOUT_S = 0.25


def retention_priority(instance: str) -> int:
    """Return a priority by which instances stay in use.

    The instances with the lowest priority are parked first.  The
    priority is the same in every process, whatever its list of
    instances.
    """
    return xxhash.xxh3_64_intdigest(f'active/{instance}'.encode())


class LocateRequest(link.Message, frozen=True):
    """Asks a home which backend servers an adapter is assigned to.

    Parameters
    ----------
    wanted
        Number of backend servers that the adapter's demand requires.
    proposals
        Where the requester would place it, best first.
    parked_below
        The requester would park backend servers with a lower retention
        priority.  With hundreds of parked servers, a list of their names
        would make up most of what an entry instance sends.
    """

    key: str
    wanted: int
    proposals: tuple[str, ...]
    parked_below: int = 0


class LocateReply(link.Message, frozen=True):
    """The backend servers that the adapter is assigned to."""

    instances: tuple[str, ...]


class DirectoryLink(Protocol):
    """Sends requests to the home of an adapter."""

    async def locate(
        self, home: live_list.Instance, request: LocateRequest
    ) -> LocateReply:
        """Ask a home which backend servers an adapter is assigned to."""
        ...


@dataclasses.dataclass(slots=True)
class _Assignment:
    instance: str
    since_s: float


@dataclasses.dataclass(slots=True)
class _Entry:
    requested_at_s: float
    assignments: list[_Assignment] = dataclasses.field(default_factory=list)


class Directory:
    """The directory entries of the adapters whose home is this sidecar."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    async def locate(self, request: LocateRequest) -> LocateReply:
        """Return the assignments of an adapter; add proposals if needed."""
        now_s = self._clock.monotonic_s()
        entry = self._entries.pop(request.key, None)
        if entry is None or now_s - entry.requested_at_s >= _ENTRY_TTL_S:
            entry = _Entry(now_s)
        entry.requested_at_s = now_s
        self._drop_extras(entry, now_s)
        if request.proposals:
            self._drop_parked(entry, request.parked_below, now_s)
        wanted = min(request.wanted, _MAX_ASSIGNMENTS)
        for name in request.proposals:
            if len(entry.assignments) >= wanted:
                break
            if all(
                assignment.instance != name for assignment in entry.assignments
            ):
                entry.assignments.append(_Assignment(name, now_s))
        self._entries[request.key] = entry
        if len(self._entries) > _MAX_ENTRIES:
            self._entries.popitem(last=False)
        return LocateReply(
            instances=tuple(
                assignment.instance for assignment in entry.assignments
            )
        )

    def retain_instances(self, listed: frozenset[str]) -> None:
        """Drop the assignments to backend servers that are not listed."""
        for entry in self._entries.values():
            entry.assignments = [
                a for a in entry.assignments if a.instance in listed
            ]

    @staticmethod
    def _drop_extras(entry: _Entry, now_s: float) -> None:
        entry.assignments[1:] = [
            assignment
            for assignment in entry.assignments[1:]
            if now_s - assignment.since_s < _EXTRA_ASSIGNMENT_TTL_S
        ]

    @staticmethod
    def _drop_parked(entry: _Entry, parked_below: int, now_s: float) -> None:
        # Entry instances temporarily disagree on which servers to park.
        # Without a minimum stay, an adapter would move back and forth
        # between servers and be loaded each time.
        entry.assignments = [
            assignment
            for assignment in entry.assignments
            if retention_priority(assignment.instance) >= parked_below
            or now_s - assignment.since_s < _MIN_STAY_S
        ]


class ControlDirectoryLink:
    """Sends requests to homes as control messages."""

    def __init__(self, peers: link.PeerPool) -> None:
        self._peers = peers

    async def locate(
        self, home: live_list.Instance, request: LocateRequest
    ) -> LocateReply:
        """Ask a home which backend servers an adapter is assigned to.

        Raises
        ------
        LinkError
            The home does not answer.
        """
        peer = self._peers.peer(home.ip, home.control_port)
        return await peer.ask(request, LocateReply, _LOCATE_TIMEOUT_S)


def serve_directory(
    directory: Directory,
    control: link.ControlServer,
    changes: reactivex.Observable[live_list.InstanceList],
) -> None:
    """Answer the requests that this process receives as a home."""
    control.handle(LocateRequest, directory.locate)
    changes.subscribe(
        lambda published: directory.retain_instances(
            frozenset(instance.name for instance in published.instances)
        )
    )
