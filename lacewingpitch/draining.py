"""Draining of an entry: it ends without interrupting requests."""

import asyncio
from typing import Protocol

import structlog

from lacewingpitch import clock as clock_module

# Load balancers remove an instance after two failed checks, which are one
# second apart.
_OUT_OF_ROTATION_S = 2.2
# A stream that begins later would seldom end within the drain time.  It is
# refused at once, which tells its caller that it has not run.
_ACCEPTING_S = 2.9
_POLL_INTERVAL_S = 0.05
# Part of the drain time for closing connections and ending the process.
_CLOSING_S = 0.8
# At most this share of it, as answers may end until then.
_CLOSING_SHARE = 0.125
# For the refusals of requests that are left over.
_LAST_REFUSALS_S = 0.2
log = structlog.get_logger(__name__)


class Drainable(Protocol):
    """A frontend that can stop accepting requests.

    Attributes
    ----------
    is_draining
        Whether it reports that it is not ready, and closes each connection
        after its answer.
    is_refusing
        Whether it refuses requests that still arrive.
    """

    is_draining: bool
    is_refusing: bool

    @property
    def in_progress(self) -> int:
        """Return how many requests are in progress."""
        ...

    async def stop_listening(self) -> None:
        """Accept no new connections."""
        ...

    async def close_idle(self) -> None:
        """Close connections on which no request is in progress."""
        ...

    async def end_requests(self, limit_s: float) -> None:
        """Refuse or break off the requests that are still in progress."""
        ...


async def drain(
    frontend: Drainable, clock: clock_module.Clock, drain_s: float
) -> None:
    """Stop accepting requests; return once none is in progress.

    Ends the requests that are left over shortly before the drain time ends.

    Requests arrive until the load balancer has removed the instance, and on
    kept-alive connections for as long as these are open.  If they were
    interrupted at the end, their answers would be lost half delivered.

    Parameters
    ----------
    drain_s
        Time until the process must have ended, in seconds.
    """
    frontend.is_draining = True
    started_s = clock.monotonic_s()
    took_s = 0.0
    closing_s = min(_CLOSING_S, _CLOSING_SHARE * drain_s)
    while took_s < drain_s - closing_s:
        await asyncio.sleep(_POLL_INTERVAL_S)
        took_s = clock.monotonic_s() - started_s
        if took_s < _OUT_OF_ROTATION_S:
            continue
        await frontend.stop_listening()
        await frontend.close_idle()
        frontend.is_refusing = took_s >= _ACCEPTING_S
        if frontend.is_refusing and not frontend.in_progress:
            break
    log.info(
        'drained', took_s=round(took_s, 3), left_over=frontend.in_progress
    )
    if frontend.in_progress:
        await frontend.end_requests(_LAST_REFUSALS_S)
