"""The model engine beside a sidecar: its report, and orders to it."""

from collections.abc import Callable

import aiohttp
import msgspec

from lacewingpitch import engine_orders
from lacewingpitch import engine_snapshot
from lacewingpitch import errors
from lacewingpitch.platform import names
from lacewingpitch.platform import wire
from lacewingpitch import platform_call

# An engine on the same instance answers within a few ms.
_REPORT_TIMEOUT_S = 0.5
_ORDER_TIMEOUT_S = 1.0
_MAX_REPORT_BYTES = 1 << 20
_RESULTS = {
    200: engine_orders.OrderResult.DONE,
    202: engine_orders.OrderResult.ACCEPTED,
    409: engine_orders.OrderResult.BUSY,
    412: engine_orders.OrderResult.FENCED,
    421: engine_orders.OrderResult.OTHER_INCARNATION,
}
_OK = 200
_READY = 'ready'


class _Run(msgspec.Struct, frozen=True, array_like=True):
    # The caller's name of the attempt that is being worked on.
    request_id: str


class _Report(msgspec.Struct, frozen=True):
    models: tuple[wire.HeldModel, ...] = ()
    # Adapters on their way, as MODEL/NAME@VERSION.
    pending: tuple[str, ...] = ()
    # Anything but ready: it takes no more requests.
    state: str = _READY
    queued: int = 0
    active: int = 0
    runs: tuple[_Run, ...] = ()
    # Number of orders taken; it starts anew when the engine does.
    sequence: int = 0
    # Whether an order about a model is under way; adapters do not count.
    busy: bool = False
    # Unix ms of its start; 0 where engines do not say it.
    born: int = 0


class EngineClient:
    """Calls to the engine on this instance.

    Parameters
    ----------
    holder
        Name under which orders are given.
    health_path
        Returns the path of the engine's health answer.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        holder: str,
        health_path: Callable[[], str],
    ) -> None:
        self._health_path = health_path
        self._session = session
        self._url = url
        self._holder = holder
        self.order_count = 0

    async def incarnation(self) -> str:
        """Return the name of the engine's incarnation.

        The report does not say it.  The answer about its health does,
        whether it is healthy or not.

        Raises
        ------
        PlatformError
            It does not answer.
        """
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)
        with platform_call.platform_errors('engine'):
            async with self._session.get(
                f'{self._url}{self._health_path()}', timeout=timeout
            ) as response:
                await response.read()
                found = response.headers.get(names.INCARNATION, '')
        if not found:
            raise errors.PlatformError('engine: no incarnation named')
        return found

    async def report(self) -> engine_snapshot.EngineSnapshot:
        """Return what the engine says of itself.

        Raises
        ------
        PlatformError
            It does not answer, or not as an engine does.
        """
        timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S)
        with platform_call.platform_errors('engine'):
            async with self._session.get(
                f'{self._url}{names.REPORT_PATH}', timeout=timeout
            ) as response:
                if response.status != _OK:
                    raise errors.PlatformError(
                        f'engine: status {response.status}'
                    )
                data = await platform_call.read_limited(
                    response, _MAX_REPORT_BYTES
                )
                found = msgspec.json.decode(data, type=_Report)
        return engine_snapshot.EngineSnapshot(
            order_count=found.sequence,
            is_leaving=found.state != _READY,
            is_busy=found.busy,
            models=frozenset(model.name for model in found.models),
            held=wire.held_versions(found.models),
            pending=wire.pending_versions(found.pending),
            run_ids=frozenset(run.request_id for run in found.runs),
            queued=found.queued,
            running=found.active,
            started_at_ms=found.born,
        )

    async def load_model(
        self, model: str, fencing: int, incarnation: str
    ) -> engine_orders.OrderResult:
        """Order a model to be loaded."""
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
        """Order an adapter to be loaded; version 0 is the newest."""
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
        """Order an adapter that nothing uses to be unloaded."""
        body: dict[str, str | int] = {
            'operation': 'unload',
            'model': model,
            'adapter': adapter,
        }
        return await self._order(body, fencing, incarnation)

    async def _order(
        self, body: dict[str, str | int], fencing: int, incarnation: str
    ) -> engine_orders.OrderResult:
        self.order_count += 1
        body['holder'] = self._holder
        body['fencingToken'] = fencing
        headers = {'Content-Type': 'application/json'}
        if incarnation:
            headers[names.EXPECT_INCARNATION] = incarnation
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)
        with platform_call.platform_errors('engine'):
            async with self._session.post(
                f'{self._url}{names.ORDER_PATH}',
                data=msgspec.json.encode(body),
                headers=headers,
                timeout=timeout,
            ) as response:
                await response.read()
                return _RESULTS.get(
                    response.status, engine_orders.OrderResult.REJECTED
                )
