"""HTTP client of a plain service, a backend server that is no engine."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Protocol

import aiohttp

from lacewingpitch import answer_framing
from lacewingpitch import engine
from lacewingpitch import errors
from lacewingpitch import platform_call
from lacewingpitch import server_state

_CONNECT_TIMEOUT_S = 2.0
_IDLE_TIMEOUT_S = 60.0
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to forward to the service."""

    run_id: str
    method: str
    path: str
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Status and headers of a service's answer, and its body as a stream."""

    status: int
    content_type: str
    chunks: AsyncIterator[bytes]
    length_bytes: int | None = None


class PlainService(Protocol):
    """A plain service, as a sidecar uses it."""

    def run(
        self, call: ServiceCall
    ) -> contextlib.AbstractAsyncContextManager[ServiceAnswer]:
        """Forward a call and yield the answer."""
        ...


class HttpPlainService:
    """Forwards calls to a plain service over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    @contextlib.asynccontextmanager
    async def run(self, call: ServiceCall) -> AsyncIterator[ServiceAnswer]:
        """Forward a call and yield the answer.

        Raises
        ------
        engine.NotSentError
            The call was not sent, so it did not run.
        PlatformError
            The service broke off; the call may have run.
        """
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=_CONNECT_TIMEOUT_S,
            sock_read=_IDLE_TIMEOUT_S,
        )
        headers = {
            'X-Request-Id': call.run_id,
            'Accept-Encoding': 'identity',
        }
        if call.content_type:
            headers['Content-Type'] = call.content_type
        with platform_call.platform_errors('service'):
            try:
                response = await self._session.request(
                    call.method,
                    f'{self._url}{call.path}',
                    data=call.body,
                    headers=headers,
                    timeout=timeout,
                    allow_redirects=False,
                )
            except _NOT_SENT as error:
                raise engine.NotSentError(f'service: {error!r}') from error
            async with response:
                if not answer_framing.is_decoded(response):
                    raise errors.PlatformError(
                        'service: an unknown transfer coding'
                    )
                yield ServiceAnswer(
                    response.status,
                    response.headers.get('Content-Type', ''),
                    self._chunks(response),
                    response.content_length,
                )

    async def _chunks(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[bytes]:
        with platform_call.platform_errors('service'):
            async for chunk in response.content.iter_any():
                yield chunk
        if answer_framing.is_framed(response):
            return
        # A crash of the service may have ended the connection.
        url = response.url
        state = await server_state.probe(url.host or '', url.port or 0)
        if state is not server_state.ServerState.RUNNING:
            raise errors.PlatformError(
                f'service: {state.value} as its answer ended'
            )
