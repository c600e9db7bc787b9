"""Decides which requests and parts of prompts have caused crashes."""

from collections.abc import Mapping, Sequence, Set
import dataclasses
import enum
import functools
import itertools
import math

from lacewingpitch import suspect_keys

# Doubled with each further crash.
_RETRIAL_DELAY_S = 300.0
# Whether keys are of parts, and start ids of the servers that crashed.
_Evidence = tuple[bool, frozenset[str]]


class Handling(enum.Enum):
    """How a request is scheduled, given the crashes of its keys."""

    FREE = 'free'
    # Sent to one server only, and to it one such request at a time.
    ISOLATED = 'isolated'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Thresholds:
    """Numbers of crashes from which a request is isolated or refused.

    A single crash can have any cause, and interrupts every request that
    runs on the server.  An isolated request is the only suspect on its
    server, so that a crash there is evidence against it.
    """

    isolated_from: int = 2
    refused_from: int = 3

    def handling(self, crash_count: int) -> Handling:
        """Return how a request with this many crashes is scheduled."""
        if crash_count >= self.refused_from:
            return Handling.REFUSED
        if crash_count >= self.isolated_from:
            return Handling.ISOLATED
        return Handling.FREE


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Thresholds by what a key stands for, and trials of what is refused.

    Parameters
    ----------
    explains
        Whether a crash under a refused key counts against no other key.
    trials_until
        Number of crashes from which requests with refused parts are not
        tried again.
    """

    request: Thresholds = Thresholds()
    part: Thresholds = Thresholds()
    explains: bool = True
    trials_until: int = 8

    @property
    def least_count(self) -> int:
        """Return the number of crashes below which any key is free."""
        return min(
            *dataclasses.astuple(self.request), *dataclasses.astuple(self.part)
        )

    def trial_delay_s(self, group: 'Group', holds_all: bool) -> float:
        """Return how long after the last crash a request may run isolated.

        A request that holds only some of the parts of a group shows by its
        run whether the cause is among these.  One that holds all of them
        can only show that the crashes had another cause.

        Parameters
        ----------
        holds_all
            Whether the request holds all keys of the group.
        """
        if group.is_request or group.crash_count >= self.trials_until:
            return math.inf
        if not holds_all:
            return 0.0
        exponent = max(0, group.crash_count - self.part.refused_from)
        return _RETRIAL_DELAY_S * 2.0**exponent


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Keys, one of which causes crashes, that crashes don't tell apart.

    Parameters
    ----------
    keys
        Parts of prompts, or one request.
    crash_count
        Number of servers that crashed under each of those with the most.
    """

    keys: frozenset[str]
    crash_count: int

    @property
    def is_request(self) -> bool:
        """Whether it is one request."""
        return not any(map(suspect_keys.is_part, self.keys))


@dataclasses.dataclass(frozen=True)
class Assessment:
    """What is refused and what is isolated.

    Parameters
    ----------
    groups
        Requests that hold all keys of a group are refused.
    isolated
        Keys of requests that run isolated.
    """

    groups: tuple[Group, ...] = ()
    isolated: frozenset[str] = frozenset()

    @property
    def refused(self) -> frozenset[str]:
        """Return the keys of all groups."""
        return frozenset().union(*(group.keys for group in self.groups))

    @functools.cached_property
    def keys(self) -> frozenset[str]:
        """Return all keys that are not free."""
        return self.isolated | self.refused


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """How a request is scheduled, and the suspect that decides it.

    Parameters
    ----------
    key
        Key of the suspect; empty if the request is free.  It is one of
        `group` if the request is refused or tried again.
    group
        Keys that crashes do not tell apart; ``None`` if there are none.
    """

    handling: Handling = Handling.FREE
    key: str = ''
    group: Group | None = None


def assess(crashes: Mapping[str, Set[str]], policy: Policy) -> Assessment:
    """Return what the crashes of all keys show.

    A crash has one cause.  Once a key is refused, the crashes under it count
    against no other key, so that what merely ran beside it is free again.
    The keys with the most crashes are taken first: the cause is in all of
    them.  Of equal keys a request comes before a part, as it is the narrower
    explanation.

    Parts that were in the same crashes form a group, whatever their order or
    their ids: what tells them apart is a request that holds only some of
    them.

    Parameters
    ----------
    crashes
        Start ids of the servers that crashed, by key.
    """
    keys_by_servers = _keys_by_servers(crashes)
    groups: list[Group] = []
    explained: set[str] = set()
    ordered = sorted(keys_by_servers, key=_order)
    for _, tier in itertools.groupby(ordered, _order):
        found = [
            (kind, servers)
            for kind, servers in tier
            if _handling(kind, servers - explained, policy) is Handling.REFUSED
        ]
        new_groups = _groups(found, keys_by_servers, explained, policy)
        groups += new_groups
        if new_groups and policy.explains:
            explained.update(*(servers for _, servers in found))
    isolated = itertools.chain.from_iterable(
        keys
        for (kind, servers), keys in keys_by_servers.items()
        if _handling(kind, servers - explained, policy) is not Handling.FREE
    )
    return Assessment(tuple(groups), frozenset(isolated))


def _keys_by_servers(
    crashes: Mapping[str, Set[str]],
) -> dict[_Evidence, frozenset[str]]:
    found: dict[_Evidence, set[str]] = {}
    for key, servers in crashes.items():
        evidence = suspect_keys.is_part(key), frozenset(servers)
        found.setdefault(evidence, set()).add(key)
    return {evidence: frozenset(keys) for evidence, keys in found.items()}


def _order(evidence: _Evidence) -> tuple[int, bool]:
    is_part, servers = evidence
    return -len(servers), is_part


def _handling(is_part: bool, servers: Set[str], policy: Policy) -> Handling:
    thresholds = policy.part if is_part else policy.request
    return thresholds.handling(len(servers))


def _groups(
    found: Sequence[_Evidence],
    keys_by_servers: Mapping[_Evidence, frozenset[str]],
    explained: Set[str],
    policy: Policy,
) -> list[Group]:
    """Return the groups of the keys that have the most crashes."""
    if not found:
        return []
    is_part, servers = found[0]
    if is_part:
        return [
            _part_group(servers - explained, keys_by_servers)
            for _, servers in found
        ]
    keys = frozenset.union(*(keys_by_servers[evidence] for evidence in found))
    # Each runs as the only suspect on its server until one has a crash more.
    if len(keys) > 1 and len(servers) <= policy.request.refused_from:
        return []
    return [Group(frozenset((key,)), len(servers)) for key in keys]


def _part_group(
    servers: frozenset[str],
    keys_by_servers: Mapping[_Evidence, frozenset[str]],
) -> Group:
    """Return the parts that were in all of some crashes."""
    members = (
        keys
        for (is_part, others), keys in keys_by_servers.items()
        if is_part and servers <= others
    )
    return Group(frozenset().union(*members), len(servers))
