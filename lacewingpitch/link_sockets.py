"""Sockets of a control link: a new dial replaces one that went silent.

A connection can go silent without a reset: both ends see it open, and it
brings nothing any more.  Only the exchanges on it show that.  After one
without a reply the link dials anew, and uses the new socket once the peer's
process has accepted it.  Until then the former one stays in use, and
exchanges in progress end where they began: a peer that is only silent for
a moment loses none, and gets none twice.
"""

import asyncio
from collections.abc import Awaitable, Iterator
import contextlib
import math
import time
from typing import TypeVar

import pynng
import structlog

from lacewingpitch import errors

# Exchanges may be limited to less.  A sound peer often needs that long.
_SILENT_AFTER_S = 0.2
# Limits what a peer that stays silent costs.  A dial whose first packet was
# lost is given up after it.
_DIAL_INTERVAL_S = 1.0
Result = TypeVar('Result')
log = structlog.get_logger(__name__)


class LinkSockets:
    """Exchanges messages with one peer, on a connection that works.

    Parameters
    ----------
    address
        Address of the peer, as pynng writes it.
    max_message_bytes
        Longer replies are refused.

    Attributes
    ----------
    redial_count
        How often the link was dialled anew after a silence.
    """

    def __init__(self, address: str, max_message_bytes: int) -> None:
        self._address = address
        self._max_message_bytes = max_message_bytes
        self._active = _Dialled(address, max_message_bytes)
        # Dialled anew, and not connected when last looked at.
        self._next: _Dialled | None = None
        # Replaced, with exchanges in progress.
        self._former: list[_Dialled] = []
        self._dialled_at_s = time.monotonic()
        self._heard_at_s = -math.inf
        self._silent_since_s = math.inf
        self._is_closed = False
        self.redial_count = 0

    def close(self) -> None:
        """Close the link, and end what is in progress."""
        self._is_closed = True
        for dialled in (self._active, *self._former):
            dialled.close()
        self._drop_next()

    def begin(self) -> float:
        """Choose the connection to use; return the monotonic time."""
        self._use_next_if_connected()
        return time.monotonic()

    async def exchange(self, data: bytes) -> bytes:
        """Send `data` and return the reply; call `begin` before.

        Raises
        ------
        LinkError
            The link is closed.
        """
        used = self._active
        reply = await used.exchange(data)
        if used is self._active:
            self._record_reply()
        return reply

    def record_no_reply(self, asked_at_s: float) -> None:
        """Dial anew if the connection in use has gone silent.

        Parameters
        ----------
        asked_at_s
            What `begin` returned for the exchange without a reply.
        """
        if self._is_closed or asked_at_s < self._heard_at_s:
            return
        now_s = time.monotonic()
        self._silent_since_s = min(self._silent_since_s, asked_at_s)
        silent_s = now_s - self._silent_since_s
        if silent_s < _SILENT_AFTER_S:
            return
        if self._use_next_if_connected():
            return
        if now_s - self._dialled_at_s >= _DIAL_INTERVAL_S:
            self._dial_anew(silent_s)

    def _record_reply(self) -> None:
        self._heard_at_s = time.monotonic()
        self._silent_since_s = math.inf
        # The peer was silent, not the connection.
        self._drop_next()

    def _dial_anew(self, silent_s: float) -> None:
        self._dialled_at_s = time.monotonic()
        self._drop_next()
        try:
            self._next = _Dialled(self._address, self._max_message_bytes)
        except (pynng.NNGException, OSError) as error:
            log.warning(
                'control link not dialled anew',
                peer=self._address,
                error=repr(error),
            )
            return
        self.redial_count += 1
        log.info(
            'control link dialled anew',
            peer=self._address,
            silent_s=round(silent_s, 3),
        )

    def _use_next_if_connected(self) -> bool:
        if self._next is None or not self._next.is_connected:
            return False
        self._active.close_when_unused()
        self._former = [
            dialled
            for dialled in (*self._former, self._active)
            if not dialled.is_closed
        ]
        self._active, self._next = self._next, None
        # Nothing has been asked on the new connection yet.
        self._heard_at_s = time.monotonic()
        self._silent_since_s = math.inf
        return True

    def _drop_next(self) -> None:
        if self._next is not None:
            self._next.close()
            self._next = None


class _Dialled:
    """One socket that was dialled, and the exchanges in progress on it."""

    def __init__(self, address: str, max_message_bytes: int) -> None:
        self._address = address
        self._exchange_count = 0
        self._closes_when_unused = False
        self.is_closed = False
        self._socket = pynng.Req0(recv_max_size=max_message_bytes)
        try:
            self._socket.dial(address, block=False)
        except BaseException:
            self._socket.close()
            raise

    @property
    def is_connected(self) -> bool:
        """Whether the process at the other end has accepted it."""
        return bool(self._socket.pipes)

    async def exchange(self, data: bytes) -> bytes:
        """Send `data` and return the reply."""
        self._exchange_count += 1
        try:
            with self._context() as context:
                await await_cancellable(context.asend(data))
                return await await_cancellable(context.arecv())
        finally:
            self._exchange_count -= 1
            if self._closes_when_unused:
                self.close_when_unused()

    def close_when_unused(self) -> None:
        """Close the socket once no exchange is in progress on it."""
        self._closes_when_unused = True
        if not self._exchange_count:
            self.close()

    def close(self) -> None:
        """Close the socket."""
        self.is_closed = True
        self._socket.close()

    @contextlib.contextmanager
    def _context(self) -> Iterator[pynng.Context]:
        # The link may be closed while a request is in progress.
        try:
            context = self._socket.new_context()
        except pynng.NNGException as error:
            raise errors.LinkError(f'{self._address} is closed') from error
        try:
            yield context
        finally:
            with contextlib.suppress(pynng.NNGException):
                context.close()


async def await_cancellable(operation: Awaitable[Result]) -> Result:
    """Await an operation of pynng without losing a cancellation."""
    # pynng swallows a cancellation that arrives as the operation completes.
    # A closing server would then wait forever for a task that goes on
    # serving, and a timeout, which fires only once, would not end the next
    # operation.
    task = asyncio.current_task()
    assert task is not None
    cancelling_before = task.cancelling()
    result = await operation
    if task.cancelling() > cancelling_before:
        raise asyncio.CancelledError
    return result
