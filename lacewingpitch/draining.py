"""How an entry ends without cutting anything."""

import asyncio
from typing import Protocol

import structlog

from lacewingpitch import clock as clock_module

# Balancers take an instance out after two questions a second apart.
_OUT_OF_ROTATION_S = 2.2
# A stream that begins later than this would seldom end within the time
# to drain; its caller is told at once that it has not run.
_TAKEN_WHILE_DRAINING_S = 2.9
_CHECK_S = 0.05
# Of the time to drain, for closing what is left and ending the process.
_LEFT_TO_CLOSE_S = 0.8
log = structlog.get_logger(__name__)


class Drainable(Protocol):
    """Takes requests, and can stop to.

    Attributes
    ----------
    is_draining
        Whether it says that it is not ready, and closes connections
        with their answers.
    is_refusing
        Whether it refuses requests that still come.
    """

    is_draining: bool
    is_refusing: bool

    @property
    def in_progress(self) -> int:
        """Return how many requests are in progress."""
        ...

    async def stop_listening(self) -> None:
        """Take no new connections."""
        ...

    def close_idle(self) -> None:
        """Close connections on which no request is in progress."""
        ...


async def drain(
    front: Drainable, clock: clock_module.Clock, drain_s: float
) -> None:
    """Return once nothing is in progress, or the time is nearly over.

    Requests come until the balancer has noticed, and on connections that
    are kept for as long as these are open.  Taken and cut at the end,
    they would be lost with their answers half delivered.
    """
    front.is_draining = True
    started_s = clock.monotonic_s()
    took_s = 0.0
    while took_s < drain_s - _LEFT_TO_CLOSE_S:
        await asyncio.sleep(_CHECK_S)
        took_s = clock.monotonic_s() - started_s
        if took_s < _OUT_OF_ROTATION_S:
            continue
        await front.stop_listening()
        front.close_idle()
        front.is_refusing = took_s >= _TAKEN_WHILE_DRAINING_S
        if front.is_refusing and not front.in_progress:
            break
    log.info('drained', took_s=round(took_s, 3), left_over=front.in_progress)
