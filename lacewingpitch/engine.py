"""Client of the model engine beside a sidecar.

No other module depends on the engine's HTTP interface.
"""

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
_IDLE_TIMEOUT_S = 60.0
_HTTP_CONFLICT = 409
_MAX_REPORT_BYTES = 1 << 20


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """The state that an engine reports; it lags behind the real one.

    Parameters
    ----------
    incarnation
        Changes when the engine restarts, which empties it.
    last_fencing
        Highest fencing token of an order that it accepted.
    adapter_slots
        How many adapters it can hold; 0 if it does not report this.
    adapters
        Engine names of the adapters that it holds.
    running_by_adapter
        Running requests of each adapter; empty if it does not report
        them.
    """

    incarnation: str
    base_model: str
    last_fencing: int = 0
    adapter_slots: int = 0
    adapters: tuple[str, ...] = ()
    running: int = 0
    running_by_adapter: Mapping[str, int] = {}

    def running_on(self, adapter: str) -> int:
        """Return how many requests run on an adapter, at most.

        If the engine does not report them by adapter, this is the number
        of all running requests.
        """
        if self.running_by_adapter:
            return self.running_by_adapter.get(adapter, 0)
        return self.running


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCall:
    """A request to run on the engine.

    Parameters
    ----------
    run_id
        Identifies the run at the engine, to cancel or resume it.
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
    """The head of an engine's answer and its body as a stream of chunks."""

    status: int
    content_type: str
    adapter: str
    chunks: AsyncIterator[bytes]


class FencedError(errors.PlatformError):
    """The engine has accepted an order with a higher fencing token."""


class AdapterMissingError(errors.PlatformError):
    """The engine does not hold the adapter; the call did not run."""


class NotSentError(errors.PlatformError):
    """No connection to the engine; the call did not run."""


class AdapterHost(Protocol):
    """Holds adapters; loads and evicts them on order."""

    async def load_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to load an adapter, and wait for it."""
        ...

    async def evict_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to free an adapter's slot."""
        ...


class Engine(AdapterHost, Protocol):
    """The operations of a model engine that a sidecar needs."""

    async def report(self) -> EngineReport:
        """Return the engine's report of its state."""
        ...

    def run(
        self, call: EngineCall
    ) -> contextlib.AbstractAsyncContextManager[EngineAnswer]:
        """Run a request and yield the answer."""
        ...

    def resume(
        self, call: EngineCall, after_events: int
    ) -> contextlib.AbstractAsyncContextManager[EngineAnswer]:
        """Resume the stream of an earlier run after `after_events`."""
        ...

    async def cancel(self, run_id: str) -> None:
        """Stop a run."""
        ...


class HttpEngine:
    """An engine with OpenAI-style endpoints for completions and adapters."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def report(self) -> EngineReport:
        """Return the engine's report of its state.

        Raises
        ------
        PlatformError
            The engine does not answer.
        """
        timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S)
        with platform_call.platform_errors('engine'):
            async with self._session.get(
                f'{self._url}/v1/report',
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                platform_call.check_success(response, 'engine')
                data = await platform_call.read_limited(
                    response, _MAX_REPORT_BYTES
                )
                return msgspec.json.decode(data, type=EngineReport)

    async def load_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to load an adapter, and wait for it.

        Raises
        ------
        FencedError
            Another sidecar has given orders since then.
        PlatformError
            The load failed.
        """
        await self._order('load_lora_adapter', name, fencing)

    async def evict_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to free an adapter's slot.

        Raises
        ------
        FencedError
            Another sidecar has given orders since then.
        PlatformError
            The order failed.
        """
        await self._order('unload_lora_adapter', name, fencing)

    @contextlib.asynccontextmanager
    async def run(self, call: EngineCall) -> AsyncIterator[EngineAnswer]:
        """Run a request and yield the answer.

        Raises
        ------
        NotSentError, AdapterMissingError, FencedError
            The request did not run.
        PlatformError
            The answer was cut off; the request may have run.
        """
        body = _with_model(call.body, call.adapter.engine_name)
        async with self._post(call.path, call, body) as answer:
            yield answer

    @contextlib.asynccontextmanager
    async def resume(
        self, call: EngineCall, after_events: int
    ) -> AsyncIterator[EngineAnswer]:
        """Resume the stream of an earlier run after `after_events`.

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
        """Stop a run; do nothing if it has already ended."""
        timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S)
        with platform_call.platform_errors('engine'):
            async with self._session.post(
                f'{self._url}/v1/cancel',
                json={'run_id': run_id},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                await response.read()

    async def _order(self, verb: str, name: str, fencing: int) -> None:
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)
        with platform_call.platform_errors('engine'):
            async with self._session.post(
                f'{self._url}/v1/{verb}',
                json={'lora_name': name, 'fencing': fencing},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if response.status == _HTTP_CONFLICT:
                    raise FencedError(f'engine: {verb} fenced off')
                platform_call.check_success(response, 'engine')

    @contextlib.asynccontextmanager
    async def _post(
        self, path: str, call: EngineCall, body: bytes
    ) -> AsyncIterator[EngineAnswer]:
        headers = {
            'Content-Type': 'application/json',
            # A compressed stream could not be split into events, and the
            # caller did not ask for compression.
            'Accept-Encoding': 'identity',
            'X-Request-Id': call.run_id,
            'X-Priority': call.urgency.value,
            'X-Fencing': str(call.fencing),
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        )
        # A hanging engine keeps its connection open and sends nothing, so
        # its requests would wait for ever.  The HTTP library's own idle
        # timeout would set a timer for each chunk.
        idle_limit = idle_timeout.IdleTimeout(_IDLE_TIMEOUT_S)
        with (
            contextlib.closing(idle_limit),
            platform_call.platform_errors('engine'),
        ):
            try:
                with idle_limit:
                    response = await self._session.post(
                        f'{self._url}{path}',
                        data=body,
                        headers=headers,
                        timeout=timeout,
                        allow_redirects=False,
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
                    _chunks(response.content, idle_limit),
                )


async def _chunks(
    content: aiohttp.StreamReader, idle_limit: idle_timeout.IdleTimeout
) -> AsyncIterator[bytes]:
    while True:
        with idle_limit:
            chunk = await content.readany()
        if not chunk:
            return
        yield chunk


def _with_model(body: bytes, model: str) -> bytes:
    call = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    call['model'] = msgspec.Raw(msgspec.json.encode(model))
    return msgspec.json.encode(call)
