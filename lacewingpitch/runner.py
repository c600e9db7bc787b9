"""How a sidecar runs one request: on a model engine or a plain service."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
from types import TracebackType
from typing import Protocol, Self

import aiohttp
from aiohttp import web
import structlog

from lacewingpitch import answer
from lacewingpitch import contract
from lacewingpitch import engine as engine_module
from lacewingpitch import errors
from lacewingpitch import event_stream
from lacewingpitch import fence as fence_module
from lacewingpitch import hint as hint_module
from lacewingpitch import node as node_module
from lacewingpitch import plain_service
from lacewingpitch import settings as settings_module
from lacewingpitch import slots
from lacewingpitch import voiding
from lacewingpitch import work

MAX_WHOLE_ANSWER_BYTES = 8 << 20
_REPORT_INTERVAL_S = 1.0
_MAX_RESUMES = 2
_EVENT_STREAM = 'text/event-stream'
_MS_PER_S = 1000
# How much more a wait costs the more urgent of two customers.
_URGENCY_WEIGHTS = {
    contract.Urgency.INTERACTIVE: 4.0,
    contract.Urgency.STANDARD: 2.0,
    contract.Urgency.BATCH: 1.0,
}
log = structlog.get_logger(__name__)


class Runner(Protocol):
    """Runs requests on one kind of backend server."""

    async def __aenter__(self) -> Self:
        """Attach to the backend server."""
        ...

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Detach from it."""
        ...

    def ready(
        self, order: work.WorkOrder
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Hold whatever the request needs, such as its adapter."""
        ...

    def holds(self, order: work.WorkOrder) -> bool:
        """Whether the request finds what it needs without a wait."""
        ...

    async def run(
        self, request: web.Request, order: work.WorkOrder, body: bytes
    ) -> web.StreamResponse:
        """Pass the request on and its answer back."""
        ...


def make_runner(
    settings: settings_module.SidecarSettings,
    node: node_module.Node,
    pacer: slots.LoadPacer,
    queued_count: Callable[[], int],
) -> Runner:
    """Return the runner for the backend server of a sidecar."""
    backend = settings.backend_server
    url = backend.address.url
    if isinstance(backend, settings_module.ServiceSettings):
        return ServiceRunner(plain_service.HttpPlainService(node.session, url))
    engine = engine_module.HttpEngine(node.session, url)
    fence = fence_module.Fence(node.clock)
    return EngineRunner(
        engine,
        fence,
        slots.AdapterSlots(
            engine,
            backend.adapter_slots,
            fence,
            node.clock,
            pacer,
            settings.objective.stall_weight,
        ),
        backend.max_running,
        queued_count,
    )


class EngineRunner:
    """Runs completions on a model engine, each on its own adapter."""

    def __init__(
        self,
        engine: engine_module.Engine,
        fence: fence_module.Fence,
        adapter_slots: slots.AdapterSlots,
        max_running: int,
        queued_count: Callable[[], int],
    ) -> None:
        self._engine = engine
        self._fence = fence
        self._slots = adapter_slots
        self._max_running = max_running
        self._queued_count = queued_count
        self._running = 0
        self._stalls_s: dict[str, float] = {}
        self._exits = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start to watch the engine for restarts."""
        with contextlib.suppress(errors.PlatformError):
            await self._read_report()
        self._exits.push_async_callback(self._slots.close)
        watching = asyncio.create_task(self._watch())
        self._exits.callback(watching.cancel)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop watching."""
        await self._exits.aclose()

    @contextlib.asynccontextmanager
    async def ready(self, order: work.WorkOrder) -> AsyncIterator[None]:
        """Hold the request's adapter in the engine.

        Raises
        ------
        RefusalError
            It cannot be loaded, or not in time.
        """
        assert order.adapter is not None
        run_id = voiding.attempt_id(order.request_id, order.attempt)
        weight = order.weight * _URGENCY_WEIGHTS[order.urgency]
        async with self._slots.hold(
            order.adapter.engine_name, order.deadline_s, weight
        ) as stall_s:
            self._stalls_s[run_id] = stall_s
            try:
                yield
            finally:
                del self._stalls_s[run_id]

    def holds(self, order: work.WorkOrder) -> bool:
        """Whether the engine holds the request's adapter."""
        # This is asked in the task of whichever request ended: an order
        # that came here by mistake must fail in its own task only.
        if order.adapter is None:
            return False
        return self._slots.holds(order.adapter.engine_name)

    async def run(
        self, request: web.Request, order: work.WorkOrder, body: bytes
    ) -> web.StreamResponse:
        """Pass the request on and its answer back.

        Raises
        ------
        RefusalError
            Nothing was sent back yet and nothing will be.
        """
        assert order.adapter is not None
        call = engine_module.EngineCall(
            run_id=voiding.attempt_id(order.request_id, order.attempt),
            path=order.path,
            adapter=order.adapter,
            body=body,
            stream=order.stream,
            urgency=order.urgency,
            fencing=self._fence.number,
        )
        self._running += 1
        try:
            async with self._engine.run(call) as found:
                self._check_adapter(found, call)
                if found.content_type == _EVENT_STREAM:
                    return await self._stream(request, call, found)
                response = await _whole(found)
                response.headers.update(self._headers(call))
                return response
        except engine_module.AdapterMissingError as error:
            self._slots.forget(call.adapter.engine_name)
            raise errors.RefusalError(
                errors.ErrorKind.ADAPTER_UNAVAILABLE, str(error)
            ) from error
        except (
            engine_module.NotSentError,
            engine_module.FencedError,
        ) as error:
            raise errors.RefusalError(
                errors.ErrorKind.ADAPTER_UNAVAILABLE, str(error)
            ) from error
        except errors.PlatformError as error:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN, str(error)
            ) from error
        finally:
            self._running -= 1

    def _headers(self, call: engine_module.EngineCall) -> dict[str, str]:
        hint = hint_module.Hint(
            running=self._running,
            queued=self._queued_count(),
            max_running=self._max_running,
            load_wait_ms=int(self._slots.expected_wait_s() * _MS_PER_S),
            spare_slots=self._slots.spare_count,
            adapters=hint_module.join_fingerprints(self._slots.adapters),
        )
        return {
            work.LOAD_STALL_HEADER: f'{self._stalls_s[call.run_id]:.3f}',
            work.HINT_HEADER: hint_module.encode_hint(hint),
        }

    @staticmethod
    def _check_adapter(
        found: engine_module.EngineAnswer,
        call: engine_module.EngineCall,
    ) -> None:
        # An engine whose slots were changed behind our back would answer
        # from another adapter; the caller would see a fluent answer made
        # for somebody else.  The engine names what it ran, so we refuse.
        if found.status == 200 and found.adapter != call.adapter.engine_name:
            raise errors.RefusalError(
                errors.ErrorKind.WRONG_ADAPTER,
                'the backend server used another adapter',
            )

    async def _stream(
        self,
        request: web.Request,
        call: engine_module.EngineCall,
        found: engine_module.EngineAnswer,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            status=found.status, headers=self._headers(call)
        )
        response.content_type = found.content_type
        await response.prepare(request)
        relay = event_stream.EventRelay()
        try:
            await self._relay(response, relay, found)
            for _ in range(_MAX_RESUMES):
                if relay.is_complete:
                    break
                await self._resume(response, relay, call)
        except asyncio.CancelledError:
            await self._cancel(call.run_id)
            raise
        if not relay.is_complete:
            await response.write(
                answer.error_event(
                    errors.RefusalError(
                        errors.ErrorKind.ANSWER_CUT,
                        'the backend server broke off',
                    )
                )
            )
        await response.write_eof()
        return response

    async def _relay(
        self,
        response: web.StreamResponse,
        relay: event_stream.EventRelay,
        found: engine_module.EngineAnswer,
    ) -> None:
        try:
            async for chunk in found.chunks:
                events = relay.feed(chunk)
                if events:
                    await response.write(events)
        except (aiohttp.ClientPayloadError, errors.PlatformError) as error:
            log.warning('stream cut', error=repr(error))
            relay.drop_partial_event()

    async def _resume(
        self,
        response: web.StreamResponse,
        relay: event_stream.EventRelay,
        call: engine_module.EngineCall,
    ) -> None:
        try:
            async with self._engine.resume(call, relay.event_count) as found:
                self._check_adapter(found, call)
                await self._relay(response, relay, found)
        except (errors.PlatformError, errors.RefusalError) as error:
            log.warning('resume failed', error=str(error))

    async def _cancel(self, run_id: str) -> None:
        with contextlib.suppress(errors.PlatformError):
            await self._engine.cancel(run_id)

    async def _watch(self) -> None:
        while True:
            try:
                await self._read_report()
            except errors.PlatformError as error:
                log.warning('engine report failed', error=str(error))
            await asyncio.sleep(_REPORT_INTERVAL_S)

    async def _read_report(self) -> None:
        report = await self._engine.report()
        if self._fence.renew(report):
            self._slots.forget_all()
        self._slots.adopt(report.adapters, report.running)


class ServiceRunner:
    """Passes calls through to a plain service."""

    def __init__(self, service: plain_service.PlainService) -> None:
        self._service = service

    async def __aenter__(self) -> Self:
        """Attach; a plain service needs nothing."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Detach."""

    def ready(
        self, order: work.WorkOrder
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Hold nothing."""
        return contextlib.nullcontext()

    def holds(self, order: work.WorkOrder) -> bool:
        """Return that nothing is missing."""
        return True

    async def run(
        self, request: web.Request, order: work.WorkOrder, body: bytes
    ) -> web.StreamResponse:
        """Pass the call on and its answer back.

        Raises
        ------
        RefusalError
            Nothing was sent back yet and nothing will be.
        """
        call = plain_service.ServiceCall(
            run_id=voiding.attempt_id(order.request_id, order.attempt),
            method=order.method,
            path=order.path,
            content_type=request.headers.get('Content-Type', ''),
            body=body,
        )
        try:
            async with self._service.run(call) as found:
                return await _pass_through(request, found)
        except engine_module.NotSentError as error:
            raise errors.RefusalError(
                errors.ErrorKind.NO_BACKEND_SERVER, str(error)
            ) from error
        except errors.PlatformError as error:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN, str(error)
            ) from error


async def _whole(found: engine_module.EngineAnswer) -> web.Response:
    # A whole answer is sent only once it is whole here: the caller gets
    # either all of it or an error with a status, never a torn body.
    parts = bytearray()
    async for chunk in found.chunks:
        parts += chunk
        if len(parts) > MAX_WHOLE_ANSWER_BYTES:
            raise errors.PlatformError('engine: answer too large')
    return web.Response(
        status=found.status, body=parts, content_type=found.content_type
    )


async def _pass_through(
    request: web.Request, found: plain_service.ServiceAnswer
) -> web.StreamResponse:
    response = web.StreamResponse(status=found.status)
    if found.content_type:
        response.headers['Content-Type'] = found.content_type
    await response.prepare(request)
    try:
        async for chunk in found.chunks:
            await response.write(chunk)
    except aiohttp.ClientError:
        # The body has no end marker of its own: only a connection that
        # is torn down tells the peer that the answer is not whole.
        if request.transport is not None:
            request.transport.abort()
        raise
    await response.write_eof()
    return response
