"""HTTP client of the model engine beside a sidecar: reports and orders."""

from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from lacewingpitch import engine_gate
from lacewingpitch import engine_orders
from lacewingpitch import engine_snapshot
from lacewingpitch import errors
from lacewingpitch.platform import names
from lacewingpitch.platform import notices
from lacewingpitch.platform import wire
from lacewingpitch import platform_call
from lacewingpitch import server_notice
from lacewingpitch import single_sending

# An engine on the same instance normally answers within a few milliseconds.
_REPORT_TIMEOUT_S = 0.5
_ORDER_TIMEOUT_S = 1.0
_MAX_REPORT_BYTES = 1 << 20
_RESULT_BY_STATUS = {
    200: engine_orders.OrderResult.DONE,
    202: engine_orders.OrderResult.ACCEPTED,
    409: engine_orders.OrderResult.BUSY,
    412: engine_orders.OrderResult.FENCED,
    421: engine_orders.OrderResult.OTHER_INCARNATION,
}
_STATUS_OK = 200
_STATE_READY = 'ready'


class _RunReport(msgspec.Struct, frozen=True, array_like=True):
    # The caller's id of the attempt that is running.
    request_id: str
    # Tokens in memory.
    memory_tokens: Any = 0
    # Events of the answer so far.
    event_count: Any = 0


class _EngineReport(msgspec.Struct, frozen=True):
    models: tuple[wire.HeldModel, ...] = ()
    # Adapters that are being loaded, as MODEL/NAME@VERSION.
    pending: tuple[str, ...] = ()
    # In any other state than ready it accepts no more requests.
    state: str = _STATE_READY
    queued: wire.Count = 0
    active: wire.Count = 0
    runs: tuple[_RunReport, ...] = ()
    # Number of orders accepted since the engine started.
    sequence: wire.Count = 0
    # Whether an order for a model is in progress; adapters do not count.
    busy: bool = False
    # Unix time of its start in ms; 0 if engines do not report it.
    born: wire.StartMs = 0


class EngineClient:
    """Sends orders to the engine on this instance, and reads its reports.

    An incarnation is one run of the engine, from its start to its end; each
    has a name of its own.  The fencing token rises with each new holder, so
    that the engine can refuse orders of an earlier one.

    Parameters
    ----------
    holder
        Name of this sidecar in its orders.
    health_path
        Returns the path of the engine's health check.
    gate
        Stops calls while the engine has asked for backoff.

    Attributes
    ----------
    order_count
        Number of orders sent.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        holder: str,
        health_path: Callable[[], str],
        gate: engine_gate.EngineGate,
    ) -> None:
        self._gate = gate
        self._health_path = health_path
        self._session = session
        self._url = url
        self._holder = holder
        # Whether a connection was opened since the last report.
        self._has_connected = False
        self.order_count = 0

    async def incarnation(self) -> str:
        """Return the name of the engine's incarnation.

        The report does not contain it.  The response of the health check
        does, whether the engine is healthy or not.

        Raises
        ------
        PlatformError
            The engine does not answer, or does not name its incarnation.
        """
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)

        async def read(trace: single_sending.SendingTrace) -> str:
            self._gate.check()
            async with self._session.get(
                f'{self._url}{self._health_path()}',
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                self._record_connection(trace)
                self._read_notice(response)
                await platform_call.read_limited(response, _MAX_REPORT_BYTES)
                return response.headers.get(names.INCARNATION, '')

        with platform_call.platform_errors('engine'):
            incarnation = await single_sending.read_twice_if_stale(
                read, 'engine'
            )
        if not incarnation:
            raise errors.PlatformError('engine: no incarnation in response')
        return incarnation

    async def report(self) -> engine_snapshot.EngineSnapshot:
        """Return the state that the engine reports.

        Raises
        ------
        PlatformError
            The engine does not answer, or its report is malformed.
        """
        with platform_call.platform_errors('engine'):
            found = await single_sending.read_twice_if_stale(
                self._read_report, 'engine'
            )
        report, notice = found
        follows_new_connection = self._has_connected
        self._has_connected = False
        return engine_snapshot.EngineSnapshot(
            order_count=report.sequence,
            is_leaving=report.state != _STATE_READY or notice.is_leaving,
            is_busy=report.busy,
            models=frozenset(model.name for model in report.models),
            held=wire.held_versions(report.models),
            pending=wire.pending_versions(report.pending),
            run_ids=frozenset(run.request_id for run in report.runs),
            queued=report.queued,
            running=report.active,
            started_at_ms=report.born,
            limit_per_s=notice.limit_per_s,
            events_by_run={
                run.request_id: run.event_count
                for run in report.runs
                if type(run.event_count) is int
            },
            follows_new_connection=follows_new_connection,
        )

    async def _read_report(
        self, trace: single_sending.SendingTrace
    ) -> tuple[_EngineReport, server_notice.ServerNotice]:
        self._gate.check()
        async with self._session.get(
            f'{self._url}{names.REPORT_PATH}',
            timeout=aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S),
            allow_redirects=False,
            trace_request_ctx=trace,
        ) as response:
            self._record_connection(trace)
            notice = self._read_notice(response)
            if response.status != _STATUS_OK:
                raise errors.PlatformError(f'engine: status {response.status}')
            data = await platform_call.read_limited(
                response, _MAX_REPORT_BYTES
            )
            report = msgspec.json.decode(data, type=_EngineReport)
            return report, notice

    async def load_model(
        self, model: str, fencing: int, incarnation: str
    ) -> engine_orders.OrderResult:
        """Order the engine to load a model."""
        body: dict[str, str | int] = {'operation': 'load', 'model': model}
        return await self._order(body, fencing, incarnation)

    async def load(
        self,
        model: str,
        adapter: str,
        version: int,
        fencing: int,
        incarnation: str,
    ) -> engine_orders.OrderResult:
        """Order the engine to load an adapter; version 0 is the newest."""
        body: dict[str, str | int] = {
            'operation': 'load',
            'model': model,
            'adapter': adapter,
        }
        if version:
            body['version'] = version
        return await self._order(body, fencing, incarnation)

    async def unload(
        self, model: str, adapter: str, fencing: int, incarnation: str
    ) -> engine_orders.OrderResult:
        """Order the engine to unload an adapter that is not in use."""
        body: dict[str, str | int] = {
            'operation': 'unload',
            'model': model,
            'adapter': adapter,
        }
        return await self._order(body, fencing, incarnation)

    async def _order(
        self, body: dict[str, str | int], fencing: int, incarnation: str
    ) -> engine_orders.OrderResult:
        self._gate.check()
        self.order_count += 1
        body['holder'] = self._holder
        body['fencingToken'] = fencing
        headers = {'Content-Type': 'application/json'}
        if incarnation:
            headers[names.EXPECT_INCARNATION] = incarnation
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)
        trace = single_sending.SendingTrace()
        with platform_call.platform_errors('engine'):
            async with self._session.post(
                f'{self._url}{names.ORDER_PATH}',
                data=msgspec.json.encode(body),
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                self._record_connection(trace)
                self._read_notice(response)
                await platform_call.read_limited(response, _MAX_REPORT_BYTES)
                return _RESULT_BY_STATUS.get(
                    response.status, engine_orders.OrderResult.REJECTED
                )

    def _record_connection(self, trace: single_sending.SendingTrace) -> None:
        """Record whether a call that is answered opened a connection."""
        if not trace.is_reused:
            self._has_connected = True

    def _read_notice(
        self, response: aiohttp.ClientResponse
    ) -> server_notice.ServerNotice:
        notice = notices.decode_notice(response, 'engine')
        self._gate.record(notice.backoff_s)
        return notice
