"""How a sidecar runs one request on its backend server."""

import contextlib
from types import TracebackType
from typing import Protocol, Self

from lacewingpitch import engine as engine_module
from lacewingpitch import engine_runner
from lacewingpitch import fence as fence_module
from lacewingpitch import load_pacer
from lacewingpitch import node as node_module
from lacewingpitch import plain_service
from lacewingpitch import runs
from lacewingpitch import service_runner
from lacewingpitch import settings as settings_module
from lacewingpitch import slots
from lacewingpitch import turn_queue
from lacewingpitch import work


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

    def prepare(
        self, order: work.WorkOrder
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Hold whatever the request needs, such as its adapter."""
        ...

    def is_prepared(self, order: work.WorkOrder) -> bool:
        """Whether the request finds what it needs without a wait."""
        ...

    def expected_wait_s(self, order: work.WorkOrder) -> float:
        """Return what the request would wait for what it needs."""
        ...

    async def run(
        self, order: work.WorkOrder, body: bytes, delivery: runs.Delivery
    ) -> runs.WholeAnswer | None:
        """Pass the request on.

        Returns
        -------
        WholeAnswer | None
            The answer, unless it went out by `delivery`.
        """
        ...

    async def resume(
        self, order: work.WorkOrder, delivery: runs.Delivery
    ) -> None:
        """Deliver the rest of a stream whose delivery broke."""
        ...


def make_runner(
    settings: settings_module.SidecarSettings,
    node: node_module.Node,
    pacer: load_pacer.LoadPacer,
    queue: turn_queue.TurnQueue,
) -> Runner:
    """Return the runner for the backend server of a sidecar."""
    backend = settings.backend_server
    url = backend.address.url
    if isinstance(backend, settings_module.ServiceSettings):
        return service_runner.ServiceRunner(
            plain_service.HttpPlainService(node.session, url)
        )
    engine = engine_module.HttpEngine(node.session, url)
    fence = fence_module.Fence(node.clock)
    return engine_runner.EngineRunner(
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
        queue,
        node.clock,
    )
