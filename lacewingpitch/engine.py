"""The model engine beside a sidecar: the one module that knows its ways."""

from collections.abc import AsyncIterator, Mapping
import contextlib
import dataclasses
from typing import Protocol

import aiohttp
import msgspec

from lacewingpitch import contract
from lacewingpitch import errors
from lacewingpitch import idle_timeout
from lacewingpitch import platform_call

_ORDER_TIMEOUT_S = 120.0
_REPORT_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 2.0
_SILENCE_TIMEOUT_S = 60.0
_HTTP_CONFLICT = 409
_MAX_REPORT_BYTES = 1 << 20


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of itself; it lags.

    Parameters
    ----------
    incarnation
        Changes when the engine restarts, and so is empty.
    last_fencing
        Highest fencing number of an order that it took.
    adapter_slots
        Adapters that it can hold; 0 if it does not say.
    adapters
        Engine names of the adapters that it holds.
    running_by_adapter
        Requests that run on each; empty if the engine does not say.
    """

    incarnation: str
    base_model: str
    last_fencing: int = 0
    adapter_slots: int = 0
    adapters: tuple[str, ...] = ()
    running: int = 0
    running_by_adapter: Mapping[str, int] = {}

    def running_on(self, adapter: str) -> int:
        """Return how many requests may run on an adapter."""
        if self.running_by_adapter:
            return self.running_by_adapter.get(adapter, 0)
        return self.running


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCall:
    """One request as it is passed on to the engine.

    Parameters
    ----------
    run_id
        Names this run at the engine, for cancelling and resuming.
    body
        The caller's JSON; its ``model`` is replaced.
    """

    run_id: str
    path: str
    adapter: contract.AdapterGrant
    body: bytes
    stream: bool
    urgency: contract.Urgency
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineAnswer:
    """The head of an engine's answer and its body as it comes."""

    status: int
    content_type: str
    adapter: str
    chunks: AsyncIterator[bytes]


class FencedError(errors.PlatformError):
    """The engine has taken orders with a higher fencing number."""


class AdapterMissingError(errors.PlatformError):
    """The engine does not hold the adapter, so the call did not run."""


class NotSentError(errors.PlatformError):
    """No connection to the engine, so the call did not run."""


class AdapterHost(Protocol):
    """What holds adapters, and takes orders about them."""

    async def load_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to load an adapter, and wait for it."""
        ...

    async def evict_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to free an adapter's slot."""
        ...


class Engine(AdapterHost, Protocol):
    """What a sidecar needs of its model engine."""

    async def report(self) -> EngineReport:
        """Return what the engine says of itself."""
        ...

    def run(
        self, call: EngineCall
    ) -> contextlib.AbstractAsyncContextManager[EngineAnswer]:
        """Pass a request on."""
        ...

    def resume(
        self, call: EngineCall, after_events: int
    ) -> contextlib.AbstractAsyncContextManager[EngineAnswer]:
        """Take up the stream of an earlier run after some events."""
        ...

    async def cancel(self, run_id: str) -> None:
        """Stop a run."""
        ...


class HttpEngine:
    """An engine with OpenAI-style completions and adapter calls."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def report(self) -> EngineReport:
        """Return what the engine says of itself.

        Raises
        ------
        PlatformError
            The engine does not answer.
        """
        timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S)
        with platform_call.platform_errors('engine'):
            async with self._session.get(
                f'{self._url}/v1/report', timeout=timeout
            ) as response:
                response.raise_for_status()
                data = await platform_call.read_limited(
                    response, _MAX_REPORT_BYTES
                )
                return msgspec.json.decode(data, type=EngineReport)

    async def load_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to load an adapter, and wait for it.

        Raises
        ------
        FencedError
            Another sidecar has given orders since.
        PlatformError
            The load failed.
        """
        await self._order('load_lora_adapter', name, fencing)

    async def evict_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to free an adapter's slot.

        Raises
        ------
        FencedError
            Another sidecar has given orders since.
        PlatformError
            The order failed.
        """
        await self._order('unload_lora_adapter', name, fencing)

    @contextlib.asynccontextmanager
    async def run(self, call: EngineCall) -> AsyncIterator[EngineAnswer]:
        """Pass a request on.

        Raises
        ------
        NotSentError, AdapterMissingError, FencedError
            The request did not run.
        PlatformError
            The engine broke off; the request may have run.
        """
        body = _with_model(call.body, call.adapter.engine_name)
        async with self._post(call.path, call, body) as answer:
            yield answer

    @contextlib.asynccontextmanager
    async def resume(
        self, call: EngineCall, after_events: int
    ) -> AsyncIterator[EngineAnswer]:
        """Take up the stream of an earlier run after some events.

        Raises
        ------
        PlatformError
            The engine cannot resume it.
        """
        body = msgspec.json.encode(
            {'run_id': call.run_id, 'after_events': after_events}
        )
        async with self._post('/v1/resume', call, body) as answer:
            if answer.status != 200:
                raise errors.PlatformError('engine: cannot resume')
            yield answer

    async def cancel(self, run_id: str) -> None:
        """Stop a run; a run that is over is none of its business."""
        timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S)
        with platform_call.platform_errors('engine'):
            async with self._session.post(
                f'{self._url}/v1/cancel',
                json={'run_id': run_id},
                timeout=timeout,
            ) as response:
                await response.read()

    async def _order(self, verb: str, name: str, fencing: int) -> None:
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)
        with platform_call.platform_errors('engine'):
            async with self._session.post(
                f'{self._url}/v1/{verb}',
                json={'lora_name': name, 'fencing': fencing},
                timeout=timeout,
            ) as response:
                if response.status == _HTTP_CONFLICT:
                    raise FencedError(f'engine: {verb} fenced off')
                response.raise_for_status()

    @contextlib.asynccontextmanager
    async def _post(
        self, path: str, call: EngineCall, body: bytes
    ) -> AsyncIterator[EngineAnswer]:
        headers = {
            'Content-Type': 'application/json',
            # What is passed on must not be compressed: its events could
            # not be told apart, and the caller did not ask for it.
            'Accept-Encoding': 'identity',
            'X-Request-Id': call.run_id,
            'X-Priority': call.urgency.value,
            'X-Fencing': str(call.fencing),
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        )
        # An engine that hangs keeps its connection and sends nothing, and
        # its requests would wait for ever.  The library's own timeout for
        # that sets a timer for each piece that comes.
        silence = idle_timeout.IdleTimeout(_SILENCE_TIMEOUT_S)
        with (
            contextlib.closing(silence),
            platform_call.platform_errors('engine'),
        ):
            try:
                with silence:
                    response = await self._session.post(
                        f'{self._url}{path}',
                        data=body,
                        headers=headers,
                        timeout=timeout,
                    )
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
            ) as error:
                raise NotSentError(f'engine: {error!r}') from error
            async with response:
                if response.status == _HTTP_CONFLICT:
                    raise FencedError('engine: call fenced off')
                if response.headers.get('X-Adapter-Missing'):
                    raise AdapterMissingError('engine: adapter not held')
                yield EngineAnswer(
                    response.status,
                    response.content_type,
                    response.headers.get('X-Adapter', ''),
                    _chunks(response.content, silence),
                )


async def _chunks(
    content: aiohttp.StreamReader, silence: idle_timeout.IdleTimeout
) -> AsyncIterator[bytes]:
    while True:
        with silence:
            chunk = await content.readany()
        if not chunk:
            return
        yield chunk


def _with_model(body: bytes, model: str) -> bytes:
    call = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    call['model'] = msgspec.Raw(msgspec.json.encode(model))
    return msgspec.json.encode(call)
