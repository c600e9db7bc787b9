"""Orders to an engine that may be silent for a moment."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import structlog

from lacewingpitch import engine_orders
from lacewingpitch import engine_snapshot
from lacewingpitch import errors

# Added to the time limit of an order: a sound engine goes on before this.
_GO_ON_WITHIN_S = 1.5
log = structlog.get_logger(__name__)


class Reports(Protocol):
    """Reports of the engine."""

    @property
    def snapshot(self) -> engine_snapshot.EngineSnapshot | None:
        """Return the last report."""
        ...

    async def next_report(self) -> None:
        """Wait for the next report of the engine."""
        ...


class PatientOrders:
    """Repeats an order that was not answered in time, once.

    A silent engine may have carried it out.  It is repeated once a report
    shows that the engine goes on, unless the report shows its result.
    """

    def __init__(
        self, orders: engine_orders.EngineOrders, reports: Reports
    ) -> None:
        self._orders = orders
        self._reports = reports

    async def load_model(
        self, model: str, fencing: int, incarnation: str
    ) -> engine_orders.OrderResult:
        """Order the engine to load a model; it is not repeated."""
        return await self._orders.load_model(model, fencing, incarnation)

    async def load(
        self,
        model: str,
        adapter: str,
        version: int,
        fencing: int,
        incarnation: str,
    ) -> engine_orders.OrderResult:
        """Order the engine to load an adapter; version 0 is the newest."""
        return await self._repeat(
            lambda: self._orders.load(
                model, adapter, version, fencing, incarnation
            ),
            lambda snapshot: False,
        )

    async def unload(
        self, model: str, adapter: str, fencing: int, incarnation: str
    ) -> engine_orders.OrderResult:
        """Order the engine to unload an adapter that is not in use."""
        return await self._repeat(
            lambda: self._orders.unload(model, adapter, fencing, incarnation),
            lambda snapshot: f'{model}/{adapter}' not in snapshot.held,
        )

    async def _repeat(
        self,
        order: Callable[[], Awaitable[engine_orders.OrderResult]],
        shows_result: Callable[[engine_snapshot.EngineSnapshot], bool],
    ) -> engine_orders.OrderResult:
        try:
            return await order()
        except errors.SilentError as error:
            log.info('order not answered', error=str(error))
            await self._wait_for_report(error)
        snapshot = self._reports.snapshot
        if snapshot is not None and shows_result(snapshot):
            return engine_orders.OrderResult.DONE
        return await order()

    async def _wait_for_report(self, error: errors.SilentError) -> None:
        try:
            async with asyncio.timeout(_GO_ON_WITHIN_S):
                await self._reports.next_report()
        except TimeoutError:
            raise error from None
