"""Runs: executions of attempts at the backend server of a sidecar.

A run continues when the connection that waits for its answer breaks.
"""

import asyncio
import collections
from collections.abc import Coroutine
import dataclasses

import aiohttp
from aiohttp import web

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import http_guard
from lacewingpitch import idle_timeout

RESUME_GRACE_S = 5.0
_WRITE_TIMEOUT_S = 60.0
_ANSWER_RETENTION_S = 30.0
_MAX_CACHED_ANSWER_BYTES = 256 << 10
_MAX_CACHED_BYTES = 16 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that was received completely before it is sent."""

    status: int
    content_type: str
    body: bytes

    def response(self) -> web.Response:
        """Return the answer as an HTTP response."""
        headers = {}
        if self.content_type:
            headers['Content-Type'] = self.content_type
        return web.Response(
            status=self.status, body=self.body, headers=headers
        )


class Delivery:
    """Delivery of a run's answer to the peer that waits for it.

    Once `is_broken` is set, all further data is discarded.

    Parameters
    ----------
    request
        HTTP request of the peer.
    headers
        Headers of every response to the request.
    """

    def __init__(self, request: web.Request, headers: dict[str, str]) -> None:
        self._request = request
        self.headers = headers
        self.request_content_type = request.headers.get('Content-Type', '')
        self.response: web.StreamResponse | None = None
        self.is_broken = False
        self._timeout = idle_timeout.IdleTimeout(_WRITE_TIMEOUT_S)

    async def read_body(self, timeout_s: float) -> bytes:
        """Return the body of the request.

        Raises
        ------
        RefusalError
            The body is too large, or arrives too slowly.
        """
        return await http_guard.read_body(self._request, timeout_s)

    async def begin(
        self, status: int, content_type: str, length_bytes: int | None = None
    ) -> None:
        """Send the status line and headers of the response."""
        self.response = web.StreamResponse(status=status, headers=self.headers)
        if content_type:
            self.response.headers['Content-Type'] = content_type
        if length_bytes is not None:
            self.response.content_length = length_bytes
        await self._send(self.response.prepare(self._request))

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        assert self.response is not None
        if not self.is_broken:
            await self._send(self.response.write(data))

    async def end(self) -> None:
        """Send the end of the body."""
        assert self.response is not None
        if not self.is_broken:
            await self._send(self.response.write_eof())
        self._timeout.close()

    def abort(self) -> None:
        """Abort the connection, so that the peer sees an incomplete body."""
        self.is_broken = True
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _send(self, operation: Coroutine[None, None, object]) -> None:
        # A peer that has disconnected, or that accepts no data for
        # `_WRITE_TIMEOUT_S`, must not end a run that cannot be repeated,
        # nor keep its execution slot occupied forever.
        try:
            with self._timeout:
                await operation
        except TimeoutError:
            self.abort()
        except (aiohttp.ClientError, OSError, RuntimeError):
            self.is_broken = True


class AnswerCache:
    """Small answers, cached for peers whose connections broke."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._bytes = 0
        self._answers: collections.OrderedDict[
            str, tuple[float, WholeAnswer]
        ] = collections.OrderedDict()

    def put(self, attempt_id: str, answer: WholeAnswer) -> None:
        """Cache an answer unless it is large."""
        if len(answer.body) > _MAX_CACHED_ANSWER_BYTES:
            return
        expires_at_s = self._clock.monotonic_s() + _ANSWER_RETENTION_S
        self._answers[attempt_id] = (expires_at_s, answer)
        self._bytes += len(answer.body)
        self._evict()

    def get(self, attempt_id: str) -> WholeAnswer | None:
        """Return the answer of an attempt, if it is cached."""
        cached = self._answers.get(attempt_id)
        return None if cached is None else cached[1]

    def _evict(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._answers:
            expires_at_s, answer = next(iter(self._answers.values()))
            if expires_at_s > now_s and self._bytes <= _MAX_CACHED_BYTES:
                return
            self._answers.popitem(last=False)
            self._bytes -= len(answer.body)


@dataclasses.dataclass(slots=True)
class Run:
    """The tasks that work on one attempt.

    `expiry` is the timer that cancels the run while no peer waits for it.
    """

    attempt_id: str
    repeatable: bool
    tasks: list[asyncio.Task[WholeAnswer | None]] = dataclasses.field(
        default_factory=list
    )
    expiry: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """Cancel all tasks of the run."""
        for task in self.tasks:
            task.cancel()

    def cancel_expiry(self) -> None:
        """Stop the timer that would cancel the run."""
        if self.expiry is not None:
            self.expiry.cancel()
            self.expiry = None


class Runs:
    """The runs in progress at this sidecar, by attempt.

    Each run has its own task and continues when the connection that waits
    for it breaks.  A repeatable run is cancelled if no peer resumes it
    within `RESUME_GRACE_S`.  Any other run continues to its end.
    """

    def __init__(self) -> None:
        self._runs: dict[str, Run] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    def find(self, attempt_id: str) -> Run | None:
        """Return the run of an attempt, if it is in progress."""
        return self._runs.get(attempt_id)

    def start(
        self,
        attempt_id: str,
        repeatable: bool,
        work: Coroutine[None, None, WholeAnswer | None],
    ) -> asyncio.Task[WholeAnswer | None]:
        """Run `work` in its own task, as part of the attempt's run."""
        run = self._runs.setdefault(attempt_id, Run(attempt_id, repeatable))
        run.cancel_expiry()
        self._idle.clear()
        task = asyncio.create_task(work)
        run.tasks.append(task)
        task.add_done_callback(lambda done: self._remove_task(run, done))
        return task

    async def wait_for(
        self, attempt_id: str, task: asyncio.Task[WholeAnswer | None]
    ) -> WholeAnswer | None:
        """Wait for a run; cancelling the wait does not cancel the run.

        Raises
        ------
        RefusalError
            The error of the run, or that it was cancelled.
        """
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                self._start_expiry(attempt_id)
                raise
            raise errors.RefusalError(
                errors.ErrorKind.CALLER_GONE, 'the run was cancelled'
            ) from None

    def cancel(self, attempt_id: str) -> bool:
        """Cancel a run if it is repeatable; return whether it is."""
        run = self._runs.get(attempt_id)
        if run is None or not run.repeatable:
            return False
        run.cancel()
        return True

    async def wait_idle(self) -> None:
        """Wait until no run is in progress."""
        await self._idle.wait()

    def _start_expiry(self, attempt_id: str) -> None:
        run = self._runs.get(attempt_id)
        if run is None or not run.repeatable:
            return
        run.cancel_expiry()
        loop = asyncio.get_running_loop()
        run.expiry = loop.call_later(RESUME_GRACE_S, run.cancel)

    def _remove_task(
        self, run: Run, task: asyncio.Task[WholeAnswer | None]
    ) -> None:
        if not task.cancelled():
            # Retrieves the exception.  If the peer has disconnected, no
            # other code does, and asyncio would log an error.
            task.exception()
        run.tasks.remove(task)
        if run.tasks:
            return
        run.cancel_expiry()
        del self._runs[run.attempt_id]
        if not self._runs:
            self._idle.set()
