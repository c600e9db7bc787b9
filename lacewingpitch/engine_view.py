"""What a sidecar knows of its engine, and the orders it gives."""

import asyncio
import math

import structlog

from lacewingpitch import adapter_versions
from lacewingpitch import clock as clock_module
from lacewingpitch import engine as engine_module
from lacewingpitch import engine_orders
from lacewingpitch import engine_snapshot
from lacewingpitch import errors
from lacewingpitch import fence as fence_module

# Without a report for so long, the engine counts as down: three reports
# in a row are missing.
_DOWN_AFTER_S = 1.0
# An engine that starts again loads its base model from its own disk.
_START_S = 1.5
# From the store it takes longer, the more so where many load.  After this
# an engine without a model counts as down: nobody waits for it.
_MAX_START_S = 6.0
# What is left of a start that takes longer than expected.
_LEAST_START_S = 0.2
# A load takes longer where more are under way than the store bears, and
# where a replacement waits for its runs; after this it counts as failed.
_LOAD_TIMEOUT_S = 6.0
# An unload waits for the runs whose caller has left to end.
_UNLOAD_TIMEOUT_S = 1.0
_ORDER_TRIES = 4
_ORDER_PAUSE_S = 0.05
log = structlog.get_logger(__name__)


class EngineView:
    """The engine beside this process, as last reported.

    It is the `engine.AdapterHost` of `slots.AdapterSlots`: an order is
    given and then waited for until a report shows it done.
    """

    def __init__(
        self,
        orders: engine_orders.EngineOrders,
        fence: fence_module.Fence,
        versions: adapter_versions.AdapterVersions,
        clock: clock_module.Clock,
    ) -> None:
        self._orders = orders
        self._fence = fence
        self._versions = versions
        self._clock = clock
        self._snapshot: engine_snapshot.EngineSnapshot | None = None
        self._asked_at_s = -math.inf
        self._reported_at_s = 0.0
        # When it was first seen without a model; None while it has one.
        self._empty_since_s: float | None = None
        self._open_orders = engine_orders.OpenOrders()
        self._news = asyncio.Event()
        # The engine's incarnation; empty if it is not known.
        self.backend_server = ''
        # Unix time of its start; 0 if it does not say.
        self.started_at_ms = 0
        # Starts that were met; orders of one say nothing about the next.
        self._start_count = 0
        self.loading_count = 0
        # Adapters that the engine can hold; it crashes at one more.
        self.slot_count = 0

    @property
    def snapshot(self) -> engine_snapshot.EngineSnapshot | None:
        """Return the last report."""
        return self._snapshot

    def is_restart(self, snapshot: engine_snapshot.EngineSnapshot) -> bool:
        """Whether a report can only be that of another start.

        An engine may start again under its name, and between two reports.
        """
        before = self._snapshot
        if before is None:
            return False
        if snapshot.started_at_ms != before.started_at_ms:
            return snapshot.started_at_ms > before.started_at_ms
        return snapshot.order_count < before.order_count

    def is_outdated(self, snapshot: engine_snapshot.EngineSnapshot) -> bool:
        """Whether a report is of a start before the last known one."""
        return snapshot.started_at_ms < self.started_at_ms

    @property
    def report_age_s(self) -> float:
        """Return how old the last report is."""
        return self._clock.monotonic_s() - self._reported_at_s

    @property
    def is_serving(self) -> bool:
        """Whether the engine is up with a model, and not about to leave."""
        found = self._fresh
        return (
            found is not None and not found.is_leaving and bool(found.models)
        )

    @property
    def is_leaving(self) -> bool:
        """Whether the engine is up, and about to leave."""
        found = self._fresh
        return found is not None and found.is_leaving

    @property
    def is_starting(self) -> bool:
        """Whether the engine is up, and is to serve within seconds."""
        found = self._fresh
        return (
            found is not None
            and not found.is_leaving
            and not found.models
            and self._starting_for_s < _MAX_START_S
        )

    @property
    def start_left_s(self) -> float:
        """Return when an engine that starts is expected to serve."""
        return max(_LEAST_START_S, _START_S - self._starting_for_s)

    @property
    def _fresh(self) -> engine_snapshot.EngineSnapshot | None:
        """Return the last report, unless the engine counts as down."""
        if self.report_age_s < _DOWN_AFTER_S:
            return self._snapshot
        return None

    @property
    def _starting_for_s(self) -> float:
        if self._empty_since_s is None:
            return 0.0
        return self._clock.monotonic_s() - self._empty_since_s

    async def next_report(self) -> None:
        """Wait until the engine has reported again."""
        await self._news.wait()

    def slot_name(self, model: str, adapter: str, version: int) -> str:
        """Return the name under which an adapter is to be held.

        The asker and this process may each know of a version that the
        other has not heard of yet.
        """
        wanted = max(version, self._versions.required_version(model, adapter))
        return adapter_versions.slot_name(model, adapter, wanted)

    def held_version(self, slot_name: str) -> int:
        """Return the version held under that name; 0 if not known."""
        if self._snapshot is None:
            return 0
        return self._snapshot.held.get(_split(slot_name)[0], 0)

    def holds(self, slot_name: str) -> bool:
        """Whether the last report shows the adapter, at its version."""
        if self._snapshot is None:
            return False
        key, version = _split(slot_name)
        held = self._snapshot.held.get(key)
        return held is not None and held >= version

    def is_shown(self, slot_name: str) -> bool:
        """Whether the last report is newer than the orders for it."""
        key, _ = _split(slot_name)
        return not self._open_orders.is_open(key)

    def taken(self) -> set[str]:
        """Return the adapters that take a slot, or may do."""
        return self._open_orders.taken(self._snapshot)

    def attach(self, incarnation: str, started_at_ms: int = 0) -> None:
        """Take note of which start of the engine there is.

        Its counts and fencing numbers start anew, also under one name.
        """
        self.backend_server = incarnation
        self.started_at_ms = started_at_ms
        self._start_count += 1
        self._snapshot = None
        self._empty_since_s = None
        self._open_orders.restart()
        self._fence.apply_report(
            engine_module.EngineReport(
                incarnation=f'{incarnation}/{self._start_count}', base_model=''
            )
        )
        self._tell()

    def update(
        self, snapshot: engine_snapshot.EngineSnapshot, asked_at_s: float
    ) -> None:
        """Take over a report that was asked for at some time."""
        self._snapshot = snapshot
        self._asked_at_s = asked_at_s
        self._open_orders.shown(asked_at_s)
        self._reported_at_s = self._clock.monotonic_s()
        if snapshot.models:
            self._empty_since_s = None
        elif self._empty_since_s is None:
            self._empty_since_s = self._reported_at_s
        self._tell()

    def _tell(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    async def load_model(self, model: str) -> engine_orders.OrderResult:
        """Order the engine to load a model, and do not wait for it."""
        result = await self._orders.load_model(
            model, self._fence.token, self.backend_server
        )
        if result is engine_orders.OrderResult.FENCED:
            self._fence.raise_token()
        return result

    async def load_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to load an adapter, and wait for it.

        Raises
        ------
        PlatformError
            The order was refused, or not done in time.
        """
        key, version = _split(name)
        incarnation, start = self.backend_server, self._start_count
        slot_count = self.slot_count
        self.loading_count += 1
        started_s = self._clock.monotonic_s()
        try:
            async with asyncio.timeout(_LOAD_TIMEOUT_S):
                order = await self._until_room(key, slot_count, start)
                await self._give_load(order, version, incarnation)
                await self._until_held(name, start)
        except TimeoutError as error:
            raise errors.PlatformError(
                f'{name} not loaded within {_LOAD_TIMEOUT_S:g} s'
            ) from error
        finally:
            self.loading_count -= 1
        log.info(
            'adapter loaded',
            adapter=name,
            version=self.held_version(name),
            took_ms=round((self._clock.monotonic_s() - started_s) * 1000),
        )

    async def evict_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to free an adapter's slot.

        Raises
        ------
        PlatformError
            The order was refused, or its answer was lost.
        """
        key, _ = _split(name)
        model, _, adapter = key.partition('/')
        incarnation, start = self.backend_server, self._start_count
        for _ in range(_ORDER_TRIES):
            result = await self._orders.unload(
                model, adapter, self._fence.token, incarnation
            )
            # What the last start answered says nothing about this one,
            # which may hold the adapter.
            self._check_start(start)
            if result is engine_orders.OrderResult.ACCEPTED:
                await self._until_gone(key, start)
                result = engine_orders.OrderResult.DONE
            if result is engine_orders.OrderResult.DONE:
                self._open_orders.note_unload(key, self._clock.monotonic_s())
                log.info('adapter unloaded', adapter=name)
                return
            await self._prepare_again(result)
        raise errors.PlatformError(f'unloading {name}: {result.name}')

    async def _give_load(
        self, order: engine_orders.LoadOrder, version: int, incarnation: str
    ) -> None:
        model, _, adapter = order.key.partition('/')
        # The engine is busy while it takes as many adapters as it can;
        # the caller limits how long that is waited for.
        try:
            while True:
                result = await self._orders.load(
                    model, adapter, version, self._fence.token, incarnation
                )
                if result in (
                    engine_orders.OrderResult.ACCEPTED,
                    engine_orders.OrderResult.DONE,
                ):
                    return
                await self._prepare_again(result)
        finally:
            # An order whose answer is lost may have been taken.  Until the
            # last one is answered, its place stays reserved: a report that
            # comes while the engine is busy shows nothing of it, another
            # load would take the place, and the engine crash at the next
            # try.
            self._open_orders.settle_load(order, self._clock.monotonic_s())

    async def _until_room(
        self, key: str, slot_count: int, start: int
    ) -> engine_orders.LoadOrder:
        # Whoever orders counts slots as well, but a load whose answer was
        # lost, or that took too long, may still come.  An engine that is
        # ordered to hold one adapter too many crashes, with all its runs.
        while len(self.taken() | {key}) > slot_count:
            log.warning(
                'no slot for a load', adapter=key, taken=len(self.taken())
            )
            await self._next_report(start)
        # Another load must not take the same room before this is ordered.
        return self._open_orders.begin_load(key)

    async def _next_report(self, start: int) -> None:
        await self.next_report()
        self._check_start(start)

    def _check_start(self, start: int) -> None:
        if self._start_count != start:
            raise errors.PlatformError('the engine has restarted')

    async def _prepare_again(self, result: engine_orders.OrderResult) -> None:
        if result is engine_orders.OrderResult.FENCED:
            self._fence.raise_token()
            log.info('fencing number raised', number=self._fence.token)
            return
        if result is engine_orders.OrderResult.BUSY:
            await asyncio.sleep(_ORDER_PAUSE_S)
            return
        raise errors.PlatformError(f'order answered {result.name}')

    async def _until_held(self, name: str, start: int) -> None:
        # A report that was asked for before the order may show the
        # adapter as it was before it was unloaded.
        while not (self.is_shown(name) and self.holds(name)):
            await self._next_report(start)

    async def _until_gone(self, key: str, start: int) -> None:
        # A caller that has left frees its turn before the engine stops
        # its run.  The order is then accepted and carried out when the
        # run has ended; a load that came before would be one too many,
        # and an engine that is given one too many crashes.
        self.loading_count += 1
        try:
            async with asyncio.timeout(_UNLOAD_TIMEOUT_S):
                while key in self.taken():
                    await self._next_report(start)
        except TimeoutError as error:
            raise errors.PlatformError(
                f'{key} still in use after {_UNLOAD_TIMEOUT_S:g} s'
            ) from error
        finally:
            self.loading_count -= 1


def _split(slot_name: str) -> tuple[str, int]:
    """Return MODEL/ADAPTER and the version that is wanted."""
    key, _, version = slot_name.partition('@')
    return key, int(version) if version else 0
