"""Delivery of the answer to one request from its sidecar to its caller."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import msgspec
import structlog

from lacewingpitch import account as account_module
from lacewingpitch import customer_limits
from lacewingpitch import errors
from lacewingpitch import event_stream
from lacewingpitch import response_format
from lacewingpitch import service_runner
from lacewingpitch import sidecar_link
from lacewingpitch import work

_EVENT_STREAM = 'text/event-stream'
_MAX_RESUMES = 3
# Raised by reads from a sidecar whose connection is broken or unresponsive.
_LINK_ERRORS = (
    aiohttp.ClientError,
    OSError,
    errors.LinkError,
    errors.PlatformError,
)
log = structlog.get_logger(__name__)


class _Usage(msgspec.Struct, frozen=True):
    completion_tokens: int


class _WholeAnswer(msgspec.Struct, frozen=True):
    usage: _Usage | None = None


class AnswerDelivery:
    """Delivers one answer completely, or reports that it is incomplete.

    Parameters
    ----------
    request
        The caller's request.
    order
        The order that was sent to the sidecar.
    reply
        The sidecar's answer as it arrives.
    tally
        Counts what the caller receives.
    admitted
        Charged with the tokens of the answer.
    """

    def __init__(
        self,
        request: web.Request,
        order: work.WorkOrder,
        reply: sidecar_link.Reply,
        tally: account_module.Tally,
        admitted: customer_limits.AdmittedRequest,
    ) -> None:
        self._request = request
        self._order = order
        self._reply = reply
        self._tally = tally
        self._admitted = admitted
        self._relay = event_stream.EventRelay()

    async def deliver(self) -> web.StreamResponse:
        """Pass on the answer; the caller of this method writes its end.

        Raises
        ------
        RefusalError
            The answer broke off before anything was sent.
        """
        self._tally.record_load_stall(
            self._reply.headers.get(work.LOAD_STALL_HEADER)
        )
        if self._order.adapter is None:
            return await self._pass_body()
        if self._reply.content_type == _EVENT_STREAM:
            return await self._pass_stream()
        return await self._pass_whole()

    async def _pass_stream(self) -> web.StreamResponse:
        response = web.StreamResponse(
            status=self._reply.status, headers=self._headers()
        )
        await response.prepare(self._request)
        relay = self._relay
        try:
            await self._relay_events_in_task(response)
            for _ in range(_MAX_RESUMES):
                if relay.is_complete or relay.is_failed:
                    break
                relay.drop_partial_event()
                await self._reply.resume(relay.event_count)
                await self._relay_events_in_task(response)
        except errors.RefusalError as error:
            self._warn('stream not resumed', error)
        if not relay.is_complete and not relay.is_failed:
            cut = errors.RefusalError(
                errors.ErrorKind.ANSWER_CUT, 'the answer broke off'
            )
            await response.write(response_format.error_event(cut))
        if not relay.is_complete:
            self._tally.record_truncation()
        return response

    async def _relay_events_in_task(
        self, response: web.StreamResponse
    ) -> None:
        # Each token resumes a task, which costs time for every await of its
        # call chain.  The chain of a separate task is short.  Cancelling the
        # request cancels the task, since it is awaited directly.
        await asyncio.create_task(self._relay_events(response))

    async def _relay_events(self, response: web.StreamResponse) -> None:
        relay = self._relay
        while True:
            event_count = relay.event_count
            try:
                chunk = await self._reply.read()
                events = relay.feed(chunk)
            except _LINK_ERRORS as error:
                self._warn('stream interrupted', error)
                return
            if not chunk:
                return
            if not events:
                continue
            # An event holds about one token.
            self._admitted.used_tokens = float(relay.event_count)
            await response.write(events)
            self._tally.record_events(
                relay.event_count - event_count - relay.is_complete
            )

    async def _pass_whole(self) -> web.Response:
        # The answer is sent only once it is complete here, so that the caller
        # gets all of it or an error status, but never a partial body.  The
        # sidecar keeps it for a while and is asked again if the connection
        # breaks.
        for number in range(_MAX_RESUMES + 1):
            if number:
                await self._reply.resume(0)
            try:
                body = b''.join([c async for c in self._reply.chunks()])
            except _LINK_ERRORS as error:
                self._warn('answer interrupted', error)
                continue
            if self._order.adapter is not None:
                self._count_tokens(body)
            return web.Response(
                status=self._reply.status, body=body, headers=self._headers()
            )
        raise errors.RefusalError(
            errors.ErrorKind.OUTCOME_UNKNOWN, 'the answer broke off'
        )

    async def _pass_body(self) -> web.StreamResponse:
        # The body of a plain service has no end mark.  A small body was
        # complete at the sidecar before it sent the length, and the sidecar
        # keeps it.
        length = self._reply.headers.get('Content-Length')
        if (
            length is not None
            and int(length) <= service_runner.MAX_BUFFERED_BYTES
        ):
            return await self._pass_whole()
        response = web.StreamResponse(
            status=self._reply.status, headers=self._headers()
        )
        if length is not None:
            response.content_length = int(length)
        await response.prepare(self._request)
        while True:
            try:
                chunk = await self._reply.read()
            except _LINK_ERRORS as error:
                self._warn('body interrupted', error)
                self._abort()
                return response
            if not chunk:
                return response
            await response.write(chunk)

    def _abort(self) -> None:
        # Only an aborted connection shows the caller that the body is
        # incomplete.
        self._tally.record_truncation()
        if self._request.transport is not None:
            self._request.transport.abort()

    def _count_tokens(self, body: bytes) -> None:
        # Without a usable count, the estimated tokens stay charged.
        with contextlib.suppress(msgspec.DecodeError, RecursionError):
            found = msgspec.json.decode(body, type=_WholeAnswer)
            if found.usage is not None:
                self._tally.set_token_count(found.usage.completion_tokens)
                self._admitted.used_tokens = float(
                    found.usage.completion_tokens
                )

    def _headers(self) -> dict[str, str]:
        headers = {work.REQUEST_ID_HEADER: self._order.request_id}
        if 'Content-Type' in self._reply.headers:
            headers['Content-Type'] = self._reply.headers['Content-Type']
        return headers

    def _warn(self, event: str, error: Exception) -> None:
        log.warning(
            event, request_id=self._order.request_id, error=repr(error)
        )
