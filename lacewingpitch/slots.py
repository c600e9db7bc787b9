"""The adapter slots of one engine: who holds them, who may be evicted."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
import contextlib
import dataclasses

from lacewingpitch import engine as engine_module
from lacewingpitch import errors
from lacewingpitch import fence as fence_module


@dataclasses.dataclass(slots=True)
class Slot:
    """One adapter in the engine.

    Parameters
    ----------
    serving
        Requests that run on it or are about to.
    adopted
        Whether runs of an earlier sidecar may still be on it; they
        count as one in `serving`.
    """

    name: str
    serving: int = 0
    adopted: bool = False


class AdapterSlots:
    """Loads and evicts adapters so that each request finds its own.

    An adapter is evicted only when nothing runs on it and nothing is
    about to.
    """

    def __init__(
        self,
        engine: engine_module.Engine,
        slot_count: int,
        fence: fence_module.Fence,
    ) -> None:
        self._engine = engine
        self._slot_count = slot_count
        self._fence = fence
        self._slots: dict[str, Slot] = {}
        self._changed = asyncio.Condition()
        self._loading = asyncio.Lock()

    @property
    def adapters(self) -> tuple[str, ...]:
        """Return the adapters that the engine holds."""
        return tuple(self._slots)

    @contextlib.asynccontextmanager
    async def hold(self, name: str, deadline_s: float) -> AsyncIterator[None]:
        """Keep adapter `name` in the engine while the caller uses it.

        Raises
        ------
        RefusalError
            It cannot be loaded in `deadline_s`.
        """
        try:
            async with asyncio.timeout(deadline_s):
                slot = await self._take(name)
        except TimeoutError as error:
            raise errors.RefusalError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                'no adapter slot in time',
            ) from error
        try:
            yield
        finally:
            slot.serving -= 1
            async with self._changed:
                self._changed.notify_all()

    def forget_all(self) -> None:
        """Record that the engine restarted empty."""
        self._slots.clear()

    def forget(self, name: str) -> None:
        """Record that the engine says it does not hold an adapter."""
        self._slots.pop(name, None)

    def adopt(self, names: Iterable[str]) -> None:
        """Record what the engine held before this sidecar came."""
        # A sidecar that was killed may have left runs at the engine.
        # Nobody waits for them here, so their adapters would seem idle,
        # and be evicted under a request.
        for name in names:
            self._slots[name] = Slot(name, serving=1, adopted=True)

    async def release_adopted(self, is_idle: Callable[[str], bool]) -> None:
        """Let go of adopted adapters that the engine says are idle."""
        for slot in self._slots.values():
            if slot.adopted and is_idle(slot.name):
                slot.adopted = False
                slot.serving -= 1
        async with self._changed:
            self._changed.notify_all()

    async def _take(self, name: str) -> Slot:
        async with self._loading:
            slot = self._slots.get(name)
            if slot is None:
                await self._make_room()
                slot = await self._load(name)
            self._slots[name] = self._slots.pop(name)
            slot.serving += 1
            return slot

    async def _make_room(self) -> None:
        async with self._changed:
            await self._changed.wait_for(self._has_room)
        if len(self._slots) < self._slot_count:
            return
        victim = next(s for s in self._slots.values() if not s.serving)
        await self._engine.evict_adapter(victim.name, self._fence.number)
        self._fence.accepted()
        self._slots.pop(victim.name, None)

    def _has_room(self) -> bool:
        idle = any(not slot.serving for slot in self._slots.values())
        return idle or len(self._slots) < self._slot_count

    async def _load(self, name: str) -> Slot:
        try:
            await self._engine.load_adapter(name, self._fence.number)
        except engine_module.FencedError:
            raise
        except errors.PlatformError as error:
            raise errors.RefusalError(
                errors.ErrorKind.ADAPTER_UNAVAILABLE, str(error)
            ) from error
        self._fence.accepted()
        slot = Slot(name)
        self._slots[name] = slot
        return slot
