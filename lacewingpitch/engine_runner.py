"""Runs the work orders that a sidecar receives on its engine."""

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
# With both sets, the sidecar reports that the call did not run: the engine
# rejected it as invalid, or was too busy to start it.
_INVALID_CALL_STATUSES = frozenset({400, 404, 405, 413, 415, 422})
_BUSY_STATUSES = frozenset({429, 503})
_EVENT_STREAM = 'text/event-stream'
_MS_PER_S = 1000
# Waiting costs by urgency, relative to each other.
_URGENCY_WEIGHTS = {
    contract.Urgency.INTERACTIVE: 4.0,
    contract.Urgency.STANDARD: 2.0,
    contract.Urgency.BATCH: 1.0,
}
log = structlog.get_logger(__name__)


class EngineRunner:
    """Runs each work order on the engine, with the order's adapter.

    It polls the engine's report to detect restarts.  The id of a run at the
    engine is the id of the attempt.
    """

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
        # Seconds that each run waited for its adapter, by run id.
        self._adapter_waits_s: dict[str, float] = {}
        self._exits = contextlib.AsyncExitStack()
        self._report_received = asyncio.Event()

    async def __aenter__(self) -> Self:
        """Start polling the engine's report."""
        self._exits.push_async_callback(self._slots.close)
        polling = asyncio.create_task(self._poll_reports())
        self._exits.callback(polling.cancel)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop polling, and cancel the loads in progress."""
        await self._exits.aclose()

    def is_prepared(self, order: work.WorkOrder) -> bool:
        """Whether a request can start on the order's adapter now."""
        # The queue calls this to choose the next reservation, usually in
        # the task of another request, so an exception would fail that
        # request.  An order without an adapter, which is meant for a plain
        # service and sent here by mistake, must fail only in its own task.
        if order.adapter is None:
            return False
        return self._slots.holds(order.adapter.engine_name)

    def expected_wait_s(self, order: work.WorkOrder) -> float:
        """Return the expected wait of the request for its adapter."""
        if order.adapter is None:
            return 0.0
        return self._slots.expected_wait_s(order.adapter.engine_name)

    @contextlib.asynccontextmanager
    async def prepare(self, order: work.WorkOrder) -> AsyncIterator[None]:
        """Hold the order's adapter while the context is open.

        The wait for the adapter is limited to the order's `deadline_s`,
        counted from the engine's first report if that is still to come.

        Raises
        ------
        RefusalError
            The adapter cannot be loaded, or not in time.
        """
        assert order.adapter is not None
        run_id = voiding.attempt_id(order.request_id, order.attempt)
        weight = order.weight * _URGENCY_WEIGHTS[order.urgency]
        # Before the engine's first report, the fencing token is lower than
        # the last one that the engine accepted, so the engine would refuse
        # to load an adapter.  Nor are the adapters that it holds adopted
        # yet, so one on which a run of an earlier sidecar continues would
        # seem unused and could be evicted.
        await self._report_received.wait()
        async with self._slots.hold(
            order.adapter.engine_name, order.deadline_s, weight
        ) as adapter_wait_s:
            self._adapter_waits_s[run_id] = adapter_wait_s
            try:
                yield
            finally:
                self._adapter_waits_s.pop(run_id, None)

    async def run(
        self, order: work.WorkOrder, body: bytes, delivery: runs.Delivery
    ) -> runs.WholeAnswer | None:
        """Run the request; return its answer unless it is streamed.

        Raises
        ------
        RefusalError
            There is no complete answer; the error says whether the
            request ran.
        """
        call = self._engine_call(order, body)
        event_relay = event_stream.EventRelay()
        try:
            async with self._engine.run(call) as response:
                await _check_status(response)
                self._check_adapter(response, call)
                delivery.headers.update(self._answer_headers(call))
                if response.content_type != _EVENT_STREAM:
                    return await _read_answer(response)
                await delivery.begin(response.status, response.content_type)
                await _relay_events(delivery, event_relay, response)
        except asyncio.CancelledError:
            await self._cancel(call.run_id)
            raise
        except engine_module.AdapterMissingError as error:
            self._slots.remove(call.adapter.engine_name)
            raise _adapter_unavailable(error) from error
        except (
            engine_module.NotSentError,
            engine_module.FencedError,
        ) as error:
            raise _adapter_unavailable(error) from error
        except errors.PlatformError as error:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN, str(error)
            ) from error
        await self._resume_and_end_stream(call, delivery, event_relay)
        return None

    async def resume(
        self, order: work.WorkOrder, delivery: runs.Delivery
    ) -> None:
        """Deliver the rest of a stream whose delivery was cut off.

        Raises
        ------
        RefusalError
            The engine cannot resume the stream; nothing was delivered.
        """
        # The engine finds the run by its id, so the call needs no body.
        # The status is not checked here, because the engine's client raises
        # an error unless it is 200.  The caller holds the adapter, as it
        # calls this method within `prepare`.
        call = self._engine_call(order, b'')
        event_relay = event_stream.EventRelay()
        event_relay.event_count = order.after_events
        try:
            async with self._engine.resume(
                call, order.after_events
            ) as response:
                self._check_adapter(response, call)
                await delivery.begin(response.status, response.content_type)
                await _relay_events(delivery, event_relay, response)
        except errors.PlatformError as error:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN, str(error)
            ) from error
        except asyncio.CancelledError:
            await self._cancel(call.run_id)
            raise
        await self._resume_and_end_stream(call, delivery, event_relay)

    def _engine_call(
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

    def _answer_headers(
        self, call: engine_module.EngineCall
    ) -> dict[str, str]:
        """Return the headers with the adapter wait and the load hint."""
        adapter_wait_s = self._adapter_waits_s.get(call.run_id, 0.0)
        hint = hint_module.Hint(
            running=self._queue.running,
            queued=self._queue.queued,
            max_running=self._max_running,
            # Without a name, the expected wait is that for an adapter that
            # the engine does not hold.
            load_wait_ms=int(self._slots.expected_wait_s() * _MS_PER_S),
            spare_slots=self._slots.spare_slot_count,
            adapters=hint_module.encode_fingerprints(self._slots.adapters),
        )
        return {
            work.LOAD_STALL_HEADER: f'{adapter_wait_s:.3f}',
            work.HINT_HEADER: hint_module.encode_hint(hint),
        }

    @staticmethod
    def _check_adapter(
        response: engine_module.EngineAnswer,
        call: engine_module.EngineCall,
    ) -> None:
        # If another process changed the engine's slots, the engine could
        # answer from another adapter, and the caller would receive a
        # plausible answer from another customer's adapter.  The engine
        # names the adapter that it ran, so such an answer is refused.
        if response.adapter != call.adapter.engine_name:
            raise errors.RefusalError(
                errors.ErrorKind.WRONG_ADAPTER,
                'the backend server used another adapter',
            )

    async def _resume_and_end_stream(
        self,
        call: engine_module.EngineCall,
        delivery: runs.Delivery,
        event_relay: event_stream.EventRelay,
    ) -> None:
        """Resume a stream that was cut, up to three times, and end it.

        If it remains incomplete, its last event reports that it was cut.
        """
        try:
            for delay_s in _RESUME_DELAYS_S:
                if event_relay.is_complete or event_relay.is_failed:
                    break
                await asyncio.sleep(delay_s)
                await self._resume_once(call, delivery, event_relay)
        except asyncio.CancelledError:
            await self._cancel(call.run_id)
            raise
        if not event_relay.is_complete and not event_relay.is_failed:
            error = errors.RefusalError(
                errors.ErrorKind.ANSWER_CUT, 'the backend server broke off'
            )
            await delivery.write(response_format.error_event(error))
        await delivery.end()

    async def _resume_once(
        self,
        call: engine_module.EngineCall,
        delivery: runs.Delivery,
        event_relay: event_stream.EventRelay,
    ) -> None:
        event_relay.drop_partial_event()
        try:
            async with self._engine.resume(
                call, event_relay.event_count
            ) as response:
                self._check_adapter(response, call)
                await _relay_events(delivery, event_relay, response)
        except (errors.PlatformError, errors.RefusalError) as error:
            log.warning('resume failed', error=str(error))

    async def _cancel(self, run_id: str) -> None:
        with contextlib.suppress(errors.PlatformError):
            await self._engine.cancel(run_id)

    async def _poll_reports(self) -> None:
        while True:
            try:
                await self._read_report()
            except errors.PlatformError as error:
                log.warning('engine report failed', error=str(error))
            await asyncio.sleep(_REPORT_INTERVAL_S)

    async def _read_report(self) -> None:
        """Read the engine's report, and update the fence and the slots."""
        # The report can be as old as its request, so its age is counted
        # from before the call.
        requested_at_s = self._clock.monotonic_s()
        report = await self._engine.report()
        if self._fence.apply_report(report):
            # The engine has restarted and lost its adapters, or this is
            # the first report.
            self._slots.clear_and_reload()
        self._slots.limit_slot_count(report.adapter_slots)
        # Adapters that the slot table lacks count as in use, because runs
        # of an earlier sidecar may continue on them, until a later report
        # shows them idle.
        self._slots.adopt(report.adapters)
        self._slots.release_adopted(
            requested_at_s, lambda name: not report.running_on(name)
        )
        self._report_received.set()


def _adapter_unavailable(error: errors.PlatformError) -> errors.RefusalError:
    return errors.RefusalError(
        errors.ErrorKind.ADAPTER_UNAVAILABLE, str(error)
    )


async def _check_status(response: engine_module.EngineAnswer) -> None:
    if response.status in _OK_STATUSES:
        return
    detail = f'the backend server answered {response.status}'
    if response.status in _INVALID_CALL_STATUSES:
        text = await _excerpt(response)
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, f'{detail}: {text}'
        )
    if response.status in _BUSY_STATUSES:
        raise errors.RefusalError(errors.ErrorKind.QUEUE_FULL, detail)
    raise errors.RefusalError(errors.ErrorKind.OUTCOME_UNKNOWN, detail)


async def _excerpt(response: engine_module.EngineAnswer) -> str:
    text = b''
    async for chunk in response.chunks:
        text += chunk
        if len(text) >= _MAX_EXCERPT_BYTES:
            break
    return text[:_MAX_EXCERPT_BYTES].decode(errors='replace')


async def _relay_events(
    delivery: runs.Delivery,
    event_relay: event_stream.EventRelay,
    response: engine_module.EngineAnswer,
) -> None:
    """Deliver the complete events of an answer until it ends or is cut.

    If the stream is cut, this logs the error and returns normally, as all
    callers go on to `EngineRunner._resume_and_end_stream`, which resumes it.
    """
    try:
        async for chunk in response.chunks:
            events = event_relay.feed(chunk)
            if events:
                await delivery.write(events)
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        errors.PlatformError,
    ) as error:
        log.warning('stream cut', error=repr(error))


async def _read_answer(
    response: engine_module.EngineAnswer,
) -> runs.WholeAnswer:
    # An answer without streaming is read completely before it is sent, so
    # that the caller gets all of it or an error status, never a partial
    # body.
    parts = bytearray()
    async for chunk in response.chunks:
        parts += chunk
        if len(parts) > MAX_WHOLE_ANSWER_BYTES:
            raise errors.PlatformError('engine: answer too large')
    return runs.WholeAnswer(
        response.status, response.content_type, bytes(parts)
    )
