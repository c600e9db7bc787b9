"""Where adapters were placed, so that entry instances agree on it.

The home of an adapter, by rendezvous hash over the sidecars, remembers
in memory which backend servers it was given to.  An entry instance that
does not see the adapter held anywhere asks the home first.  Without it,
two entry instances with different hints would each have the adapter
loaded on another engine.  A home that is lost or asked twice costs a
load; nothing else follows from what it says.
"""

import collections
import dataclasses
from typing import Protocol

import reactivex
import xxhash

from lacewingpitch import clock as clock_module
from lacewingpitch import link
from lacewingpitch import live_list

# Entry instances that see an adapter held do not ask for a while.
_KEEP_S = 45.0
_KEEP_EXTRA_S = 60.0
_STAY_S = 20.0
_CAPACITY_KEYS = 8192
_MAX_PLACES = 64
_ASK_TIMEOUT_S = 0.25


def retention_priority(instance: str) -> int:
    """Return a number by which the lowest fall out of use first.

    It is the same at every process, whatever its list of instances.
    """
    return xxhash.xxh3_64_intdigest(f'active/{instance}'.encode())


class LocateRequest(link.Message, frozen=True):
    """Asks a home where an adapter is to be used.

    Parameters
    ----------
    wanted
        Number of backend servers that its demand calls for.
    proposals
        Where the asker would have it, best first.
    parked_below
        The asker would have backend servers of a lower standing fall
        out of use.  At hundreds of them their names would make up most
        of what an entry instance sends.
    """

    key: str
    wanted: int
    proposals: tuple[str, ...]
    parked_below: int = 0


class LocateReply(link.Message, frozen=True):
    """The backend servers that the adapter is to be used on."""

    instances: tuple[str, ...]


class DirectoryLink(Protocol):
    """Way to the home of an adapter."""

    async def locate(
        self, home: live_list.Instance, request: LocateRequest
    ) -> LocateReply:
        """Ask a home where an adapter is to be used."""
        ...


@dataclasses.dataclass(slots=True)
class _Place:
    instance: str
    since_s: float


@dataclasses.dataclass(slots=True)
class _Places:
    asked_at_s: float
    places: list[_Place] = dataclasses.field(default_factory=list)


class Directory:
    """The adapters whose home is here, and where they are used."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._known: collections.OrderedDict[str, _Places] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many adapters are remembered."""
        return len(self._known)

    async def locate(self, request: LocateRequest) -> LocateReply:
        """Return where an adapter is used, or decide it now."""
        now_s = self._clock.monotonic_s()
        known = self._known.pop(request.key, None)
        if known is None or now_s - known.asked_at_s >= _KEEP_S:
            known = _Places(now_s)
        known.asked_at_s = now_s
        self._drop_extras(known, now_s)
        if request.proposals:
            self._drop_parked(known, request.parked_below, now_s)
        wanted = min(request.wanted, _MAX_PLACES)
        for name in request.proposals:
            if len(known.places) >= wanted:
                break
            if all(place.instance != name for place in known.places):
                known.places.append(_Place(name, now_s))
        self._known[request.key] = known
        if len(self._known) > _CAPACITY_KEYS:
            self._known.popitem(last=False)
        return LocateReply(
            instances=tuple(place.instance for place in known.places)
        )

    def retain_instances(self, listed: frozenset[str]) -> None:
        """Drop places on backend servers that are listed no more."""
        for known in self._known.values():
            known.places = [p for p in known.places if p.instance in listed]

    @staticmethod
    def _drop_extras(known: _Places, now_s: float) -> None:
        known.places[1:] = [
            place
            for place in known.places[1:]
            if now_s - place.since_s < _KEEP_EXTRA_S
        ]

    @staticmethod
    def _drop_parked(known: _Places, parked_below: int, now_s: float) -> None:
        # Entry instances differ for a while in what they would park.
        # Without a least stay an adapter would move back and forth, and
        # load each time.
        known.places = [
            place
            for place in known.places
            if retention_priority(place.instance) >= parked_below
            or now_s - place.since_s < _STAY_S
        ]


class ControlDirectoryLink:
    """Asks homes by control message."""

    def __init__(self, peers: link.PeerPool) -> None:
        self._peers = peers

    async def locate(
        self, home: live_list.Instance, request: LocateRequest
    ) -> LocateReply:
        """Ask a home where an adapter is to be used.

        Raises
        ------
        LinkError
            It does not answer.
        """
        peer = self._peers.peer(home.ip, home.control_port)
        return await peer.ask(request, LocateReply, _ASK_TIMEOUT_S)


def serve_directory(
    directory: Directory,
    control: link.ControlServer,
    changes: reactivex.Observable[live_list.InstanceList],
) -> None:
    """Answer the questions that reach this process as a home."""
    control.handle(LocateRequest, directory.locate)
    changes.subscribe(
        lambda published: directory.retain_instances(
            frozenset(instance.name for instance in published.instances)
        )
    )
