"""Decides which requests and parts of prompts have caused crashes."""

from collections.abc import Mapping, Set
import dataclasses
import enum

from lacewingpitch import suspect_keys


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
    """Thresholds by what a key stands for.

    Parameters
    ----------
    explains
        Whether a crash under a refused key counts against no other key.
    """

    request: Thresholds = Thresholds()
    part: Thresholds = Thresholds()
    explains: bool = True

    @property
    def least_count(self) -> int:
        """Return the number of crashes below which any key is free."""
        return min(
            *dataclasses.astuple(self.request), *dataclasses.astuple(self.part)
        )

    def thresholds(self, key: str) -> Thresholds:
        """Return the thresholds of a key."""
        return self.part if suspect_keys.is_part(key) else self.request


def handlings(
    crashes: Mapping[str, Set[str]], policy: Policy
) -> dict[str, Handling]:
    """Return the handling of each key that is not free.

    A crash has one cause.  Once a key is refused, the crashes under it count
    against no other key, so that what merely ran beside it is free again.
    The key with the most crashes is taken first: the cause is in all of
    them.  Of equal keys a request comes before a part, as it is the narrower
    explanation; if the choice is wrong, the next crash under the right key
    corrects it.

    Parameters
    ----------
    crashes
        Start ids of the servers that crashed, by key.
    """
    found: dict[str, Handling] = {}
    explained: set[str] = set()
    for key in sorted(crashes, key=lambda key: _order(key, crashes[key])):
        own_count = len(crashes[key] - explained)
        handling = policy.thresholds(key).handling(own_count)
        if handling is Handling.FREE:
            continue
        found[key] = handling
        if handling is Handling.REFUSED and policy.explains:
            explained |= crashes[key]
    return {
        key: handling
        for key, handling in found.items()
        if handling is Handling.REFUSED
        or policy.thresholds(key).handling(len(crashes[key] - explained))
        is not Handling.FREE
    }


def _order(key: str, servers: Set[str]) -> tuple[int, bool, str]:
    return -len(servers), suspect_keys.is_part(key), key
