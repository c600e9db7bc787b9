"""Interface that runs requests on a sidecar's backend server."""

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
        """Start background work, such as polling an engine's report."""
        ...

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the background work."""
        ...

    def prepare(
        self, order: work.WorkOrder
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Hold the resources of the request, such as its adapter.

        They are held while the context is open.
        """
        ...

    def is_prepared(self, order: work.WorkOrder) -> bool:
        """Whether the resources of the request are available at once."""
        ...

    def expected_wait_s(self, order: work.WorkOrder) -> float:
        """Return the expected wait of the request for its resources."""
        ...

    async def run(
        self, order: work.WorkOrder, body: bytes, delivery: runs.Delivery
    ) -> runs.WholeAnswer | None:
        """Send the request to the backend server.

        Returns
        -------
        WholeAnswer | None
            The answer; ``None`` if it was sent through `delivery`.
        """
        ...

    async def resume(
        self, order: work.WorkOrder, delivery: runs.Delivery
    ) -> None:
        """Deliver the rest of a stream whose connection broke."""
        ...


def make_runner(
    settings: settings_module.SidecarSettings,
    node: node_module.Node,
    pacer: load_pacer.LoadPacer,
    queue: turn_queue.TurnQueue,
) -> Runner:
    """Return the runner for the type of the sidecar's backend server."""
    backend = settings.backend_server
    url = backend.address.url
    if isinstance(backend, settings_module.ServiceSettings):
        return service_runner.ServiceRunner(
            plain_service.HttpPlainService(node.backend_session, url)
        )
    engine = engine_module.HttpEngine(node.backend_session, url)
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
