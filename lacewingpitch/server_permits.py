"""Permits to send to servers that name a limit and have no sidecar.

One process owns the limit of a server, and grants a permit for each request
of any entry.
"""

import collections
import dataclasses
import math
import random

from lacewingpitch import clock as clock_module
from lacewingpitch import limit_tenure
from lacewingpitch import link
from lacewingpitch import return_times
from lacewingpitch import token_bucket

# More than the servers that name a limit at the same time.
_MAX_SERVERS = 1024
# Saved-up permits would exceed the limit.
_BURST = 1.0
# An entry that asks a little before its time does not have to wait again.
_GRANT_LEVEL = 0.9
_MS_PER_S = 1000
# For entries that don't read the denial.
_DENIED_WAIT_MS = 1000


class PermitRequest(link.Message, frozen=True):
    """Requests a permit to send one request to a server.

    Parameters
    ----------
    server_start_id
        Start of the server; see `backend_list.BackendServer`.
    per_s
        Permits per second to grant to all entries together, as the entry
        knows the limit.
    claim
        By which list the receiver is the owner of the limit.
    """

    entry: str
    server_start_id: str
    per_s: float
    claim: limit_tenure.Claim = limit_tenure.Claim()


class PermitReply(link.Message, frozen=True):
    """Grants or refuses a permit.

    Parameters
    ----------
    wait_ms
        When to ask again; 0 if the permit is granted.  Each entry that is
        refused gets a time of its own.
    denial
        Why the process grants no permits of that server now.
    """

    wait_ms: int = 0
    denial: limit_tenure.Denial | None = None


@dataclasses.dataclass(slots=True)
class _Permits:
    """The permits of one server."""

    bucket: token_bucket.TokenBucket
    returns: return_times.ReturnTimes


class PermitOwner:
    """Grants permits from one bucket for each server.

    The entries name the limit with each request: the last one counts, since
    an entry with an outdated limit hears of the current one with its answer.

    Parameters
    ----------
    source
        Source of jitter for the times at which entries ask again.
    """

    def __init__(
        self, clock: clock_module.Clock, source: random.Random
    ) -> None:
        self._clock = clock
        self._random = source
        self._started_at_s = clock.monotonic_s()
        self._tenures = limit_tenure.Tenures()
        self._permits: collections.OrderedDict[str, _Permits] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._permits)

    async def answer(self, request: PermitRequest) -> PermitReply:
        """Answer the message of an entry."""
        name, claim = request.server_start_id, request.claim
        if claim.successor:
            denial = self._tenures.cede(name, claim)
            return PermitReply(wait_ms=_DENIED_WAIT_MS, denial=denial)
        denial = self._tenures.check(name, claim)
        if denial is not None:
            return PermitReply(wait_ms=_DENIED_WAIT_MS, denial=denial)
        return self.grant(request)

    def grant(self, request: PermitRequest) -> PermitReply:
        """Grant a permit, or say when there will be one."""
        now_s = self._clock.monotonic_s()
        permits = self._find(request, now_s)
        wait_s = permits.bucket.wait_s(_GRANT_LEVEL, now_s)
        if not wait_s:
            permits.bucket.add(-1.0, now_s)
            return PermitReply()
        wait_s = permits.returns.next_s(wait_s, 1.0 / request.per_s)
        return PermitReply(wait_ms=math.ceil(wait_s * _MS_PER_S))

    def _find(self, request: PermitRequest, now_s: float) -> _Permits:
        found = self._permits.get(request.server_start_id)
        if found is not None:
            self._permits.move_to_end(request.server_start_id)
            if found.bucket.rate_per_s != request.per_s:
                found.bucket.change(request.per_s, _BURST, now_s)
                found.returns.reset()
            return found
        if len(self._permits) >= _MAX_SERVERS:
            self._permits.popitem(last=False)
        # An earlier owner may have granted a permit just before the start.
        bucket = token_bucket.TokenBucket(
            request.per_s, _BURST, 0.0, self._started_at_s
        )
        found = self._permits[request.server_start_id] = _Permits(
            bucket, return_times.ReturnTimes(self._clock, self._random)
        )
        return found
