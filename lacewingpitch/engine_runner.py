"""How a sidecar runs completions on a model engine."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from types import TracebackType
from typing import Self

import aiohttp
import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import contract
from lacewingpitch import engine as engine_module
from lacewingpitch import errors
from lacewingpitch import event_stream
from lacewingpitch import fence as fence_module
from lacewingpitch import hint as hint_module
from lacewingpitch import response_format
from lacewingpitch import runs
from lacewingpitch import slots
from lacewingpitch import turn_queue
from lacewingpitch import voiding
from lacewingpitch import work

MAX_WHOLE_ANSWER_BYTES = 8 << 20
_REPORT_INTERVAL_S = 1.0
_RESUME_DELAYS_S = (0.0, 0.1, 0.5)
_MAX_EXCERPT_BYTES = 500
_OK_STATUSES = range(200, 300)
# An engine that answers these has looked at the call and not run it.
_REFUSED_STATUSES = frozenset({400, 404, 405, 413, 415, 422})
_BUSY_STATUSES = frozenset({429, 503})
_EVENT_STREAM = 'text/event-stream'
_MS_PER_S = 1000
# How much more a wait costs the more urgent of two customers.
_URGENCY_WEIGHTS = {
    contract.Urgency.INTERACTIVE: 4.0,
    contract.Urgency.STANDARD: 2.0,
    contract.Urgency.BATCH: 1.0,
}
log = structlog.get_logger(__name__)


class EngineRunner:
    """Runs completions on a model engine, each on its own adapter."""

    def __init__(
        self,
        engine: engine_module.Engine,
        fence: fence_module.Fence,
        adapter_slots: slots.AdapterSlots,
        max_running: int,
        queue: turn_queue.TurnQueue,
        clock: clock_module.Clock,
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._fence = fence
        self._slots = adapter_slots
        self._max_running = max_running
        self._queue = queue
        self._stalls_s: dict[str, float] = {}
        self._exits = contextlib.AsyncExitStack()
        self._attached = asyncio.Event()

    async def __aenter__(self) -> Self:
        """Start to watch the engine for restarts."""
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

    def holds(self, order: work.WorkOrder) -> bool:
        """Whether the engine holds the request's adapter."""
        # This is asked in the task of whichever request ended: an order
        # that came here by mistake must fail in its own task only.
        if order.adapter is None:
            return False
        return self._slots.holds(order.adapter.engine_name)

    def expected_wait_s(self, order: work.WorkOrder) -> float:
        """Return what the request would wait for its adapter."""
        if order.adapter is None:
            return 0.0
        return self._slots.expected_wait_s(order.adapter.engine_name)

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
        # No order precedes the engine's report: the number of an order
        # would be below the last one, and an adapter under a run that an
        # earlier sidecar left would seem idle.
        await self._attached.wait()
        async with self._slots.hold(
            order.adapter.engine_name, order.deadline_s, weight
        ) as stall_s:
            self._stalls_s[run_id] = stall_s
            try:
                yield
            finally:
                self._stalls_s.pop(run_id, None)

    async def run(
        self, order: work.WorkOrder, body: bytes, delivery: runs.Delivery
    ) -> runs.WholeAnswer | None:
        """Pass the request on.

        Raises
        ------
        RefusalError
            There is no whole answer; says whether the request ran.
        """
        call = self._call(order, body)
        relay = event_stream.EventRelay()
        try:
            async with self._engine.run(call) as found:
                await _check_status(found)
                self._check_adapter(found, call)
                delivery.headers.update(self._headers(call))
                if found.content_type != _EVENT_STREAM:
                    return await _whole(found)
                await delivery.begin(found.status, found.content_type)
                await _relay(delivery, relay, found)
        except asyncio.CancelledError:
            await self._cancel(call.run_id)
            raise
        except engine_module.AdapterMissingError as error:
            self._slots.remove(call.adapter.engine_name)
            raise _unavailable(error) from error
        except (
            engine_module.NotSentError,
            engine_module.FencedError,
        ) as error:
            raise _unavailable(error) from error
        except errors.PlatformError as error:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN, str(error)
            ) from error
        await self._end_stream(call, delivery, relay)
        return None

    async def resume(
        self, order: work.WorkOrder, delivery: runs.Delivery
    ) -> None:
        """Deliver the rest of a stream whose delivery broke.

        Raises
        ------
        RefusalError
            The engine cannot resume it; nothing was delivered.
        """
        call = self._call(order, b'')
        relay = event_stream.EventRelay()
        relay.event_count = order.after_events
        try:
            async with self._engine.resume(call, order.after_events) as found:
                self._check_adapter(found, call)
                await delivery.begin(found.status, found.content_type)
                await _relay(delivery, relay, found)
        except errors.PlatformError as error:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN, str(error)
            ) from error
        except asyncio.CancelledError:
            await self._cancel(call.run_id)
            raise
        await self._end_stream(call, delivery, relay)

    def _call(
        self, order: work.WorkOrder, body: bytes
    ) -> engine_module.EngineCall:
        assert order.adapter is not None
        return engine_module.EngineCall(
            run_id=voiding.attempt_id(order.request_id, order.attempt),
            path=order.path,
            adapter=order.adapter,
            body=body,
            stream=order.stream,
            urgency=order.urgency,
            fencing=self._fence.token,
        )

    def _headers(self, call: engine_module.EngineCall) -> dict[str, str]:
        stall_s = self._stalls_s.get(call.run_id, 0.0)
        hint = hint_module.Hint(
            running=self._queue.running,
            queued=self._queue.queued,
            max_running=self._max_running,
            load_wait_ms=int(self._slots.expected_wait_s() * _MS_PER_S),
            spare_slots=self._slots.spare_slot_count,
            adapters=hint_module.encode_fingerprints(self._slots.adapters),
        )
        return {
            work.LOAD_STALL_HEADER: f'{stall_s:.3f}',
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
        if found.adapter != call.adapter.engine_name:
            raise errors.RefusalError(
                errors.ErrorKind.WRONG_ADAPTER,
                'the backend server used another adapter',
            )

    async def _end_stream(
        self,
        call: engine_module.EngineCall,
        delivery: runs.Delivery,
        relay: event_stream.EventRelay,
    ) -> None:
        try:
            for delay_s in _RESUME_DELAYS_S:
                if relay.is_complete or relay.is_failed:
                    break
                await asyncio.sleep(delay_s)
                await self._resume_once(call, delivery, relay)
        except asyncio.CancelledError:
            await self._cancel(call.run_id)
            raise
        if not relay.is_complete and not relay.is_failed:
            cut = errors.RefusalError(
                errors.ErrorKind.ANSWER_CUT, 'the backend server broke off'
            )
            await delivery.write(response_format.error_event(cut))
        await delivery.end()

    async def _resume_once(
        self,
        call: engine_module.EngineCall,
        delivery: runs.Delivery,
        relay: event_stream.EventRelay,
    ) -> None:
        relay.drop_partial_event()
        try:
            async with self._engine.resume(call, relay.event_count) as found:
                self._check_adapter(found, call)
                await _relay(delivery, relay, found)
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
        asked_at_s = self._clock.monotonic_s()
        report = await self._engine.report()
        if self._fence.apply_report(report):
            self._slots.clear_and_reload()
        self._slots.limit_slot_count(report.adapter_slots)
        self._slots.adopt(report.adapters)
        self._slots.release_adopted(
            asked_at_s, lambda name: not report.running_on(name)
        )
        self._attached.set()


def _unavailable(error: errors.PlatformError) -> errors.RefusalError:
    return errors.RefusalError(
        errors.ErrorKind.ADAPTER_UNAVAILABLE, str(error)
    )


async def _check_status(found: engine_module.EngineAnswer) -> None:
    if found.status in _OK_STATUSES:
        return
    detail = f'the backend server answered {found.status}'
    if found.status in _REFUSED_STATUSES:
        text = await _excerpt(found)
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, f'{detail}: {text}'
        )
    if found.status in _BUSY_STATUSES:
        raise errors.RefusalError(errors.ErrorKind.QUEUE_FULL, detail)
    raise errors.RefusalError(errors.ErrorKind.OUTCOME_UNKNOWN, detail)


async def _excerpt(found: engine_module.EngineAnswer) -> str:
    text = b''
    async for chunk in found.chunks:
        text += chunk
        if len(text) >= _MAX_EXCERPT_BYTES:
            break
    return text[:_MAX_EXCERPT_BYTES].decode(errors='replace')


async def _relay(
    delivery: runs.Delivery,
    relay: event_stream.EventRelay,
    found: engine_module.EngineAnswer,
) -> None:
    try:
        async for chunk in found.chunks:
            events = relay.feed(chunk)
            if events:
                await delivery.write(events)
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        errors.PlatformError,
    ) as error:
        log.warning('stream cut', error=repr(error))


async def _whole(found: engine_module.EngineAnswer) -> runs.WholeAnswer:
    # A whole answer is sent only once it is whole here: the caller gets
    # either all of it or an error with a status, never a torn body.
    parts = bytearray()
    async for chunk in found.chunks:
        parts += chunk
        if len(parts) > MAX_WHOLE_ANSWER_BYTES:
            raise errors.PlatformError('engine: answer too large')
    return runs.WholeAnswer(found.status, found.content_type, bytes(parts))
