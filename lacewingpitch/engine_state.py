"""State of an engine that granting its turns depends on."""

from typing import Protocol

from lacewingpitch import admission as admission_module


class EngineState(admission_module.EngineStatus, Protocol):
    """Engine state that granting turns depends on."""

    @property
    def backend_server(self) -> str:
        """Return the engine's incarnation; empty if unknown."""
        ...

    @property
    def started_at_ms(self) -> int:
        """Return the Unix time of the engine's start; 0 if unknown."""
        ...

    async def next_report(self) -> None:
        """Wait for the next report of the engine."""
        ...

    def slot_name(self, model: str, adapter: str, version: int) -> str:
        """Return the adapter's name in `slots.AdapterSlots`."""
        ...

    def held_version(self, slot_name: str) -> int:
        """Return the version held under a slot name; 0 if unknown."""
        ...
