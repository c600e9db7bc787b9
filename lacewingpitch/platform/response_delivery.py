"""Delivery of answers as HTTP responses."""

from collections.abc import Callable

from aiohttp import web

from lacewingpitch import backend_call
from lacewingpitch import errors
from lacewingpitch.platform import names
from lacewingpitch import response_format


class ResponseDelivery:
    """Sends one answer on the connection of its request.

    Parameters
    ----------
    is_draining
        Returns whether the connection is to be closed after the answer.

    Attributes
    ----------
    response
        The HTTP response; ``None`` until one is started.
    """

    def __init__(
        self, request: web.BaseRequest, is_draining: Callable[[], bool]
    ) -> None:
        self._request = request
        self._is_draining = is_draining
        self.response: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the headers of an answer have been sent."""
        return self.response is not None

    async def send_whole(
        self, answer: backend_call.BackendAnswer, body: bytes
    ) -> None:
        """Send a complete answer."""
        response = web.Response(status=answer.status, body=body)
        await self._begin(response, answer)
        await response.write_eof()

    async def begin(self, answer: backend_call.BackendAnswer) -> None:
        """Send the headers of a stream."""
        await self._begin(web.StreamResponse(status=answer.status), answer)

    async def write(self, events: bytes) -> None:
        """Send complete events of a stream."""
        assert self.response is not None
        await self.response.write(events)

    async def finish(self) -> None:
        """End a stream, which marks it as complete."""
        assert self.response is not None
        await self.response.write_eof()

    async def refuse(
        self, error: errors.RefusalError, request_id: str
    ) -> None:
        """Send a refusal; abort the answer instead if one has begun."""
        if self.response is not None:
            # Without the final chunk, the caller sees that the stream is
            # incomplete.
            transport = self._request.transport
            if transport is not None:
                transport.close()
            return
        headers = {names.REQUEST_ID: request_id} if request_id else {}
        if error.retry_after_s is not None:
            headers[names.RETRY_AFTER] = f'{error.retry_after_s:.3f}'
        response = web.Response(
            status=error.status,
            body=response_format.error_json(error),
            headers=headers,
            content_type='application/json',
        )
        self.response = response
        self._close_when_draining(response)
        await response.prepare(self._request)
        await response.write_eof()

    async def _begin(
        self,
        response: web.StreamResponse,
        answer: backend_call.BackendAnswer,
    ) -> None:
        response.headers.clear()
        for name, value in answer.headers:
            response.headers.add(name, value)
        self._close_when_draining(response)
        self.response = response
        await response.prepare(self._request)

    def _close_when_draining(self, response: web.StreamResponse) -> None:
        if self._is_draining():
            response.force_close()
