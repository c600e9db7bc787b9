"""The memory that a run takes at its engine, and copies of it elsewhere.

An engine keeps in memory what it has read and generated for a run.  Another
engine that has a copy can continue the run without reading the prompt again.
"""

import dataclasses
import enum
from typing import Protocol

from lacewingpitch import backend_list

# Copies between availability zones take twice as long.
_ZONE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryLink:
    """How the engines of a service copy the memory of runs.

    Parameters
    ----------
    token_bytes
        Memory for each token.
    bytes_per_s
        Rate of copies; 0 if unknown.
    kept_s
        Time after which an engine frees a copy that was not used; 0 if
        unknown.
    """

    token_bytes: float = 0.0
    bytes_per_s: float = 0.0
    kept_s: float = 0.0

    def copy_s(self, tokens: float) -> float:
        """Return the longest expected duration of a copy by itself."""
        if not self.bytes_per_s:
            return 0.0
        return _ZONE_FACTOR * tokens * self.token_bytes / self.bytes_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryHandle:
    """The right to continue one run from its copied memory, once.

    Parameters
    ----------
    source
        Engine that ran the request before.
    text
        Name of the copy at that engine.
    """

    source: backend_list.BackendServer
    text: str


class CopyOutcome(enum.StrEnum):
    """What came of a request to copy the memory of a run."""

    COPIED = 'copied'
    # The engine runs no such request.
    ENDED = 'ended'
    # The engine is still carrying out an earlier copy of this run.
    BUSY = 'busy'
    NO_ROOM = 'no-room'
    REFUSED = 'refused'
    # It is unknown whether the engine acted on it.
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class CopyAnswer:
    """Answer of an engine that was asked to copy the memory of a run.

    Parameters
    ----------
    handle
        Name of the copy; empty if the answer names none.
    event_count
        Events of the answer that the run had generated.
    """

    outcome: CopyOutcome
    handle: str = ''
    event_count: int = 0


class RunMemory(Protocol):
    """Copies the memory of runs between engines."""

    async def copy(
        self,
        source: backend_list.BackendServer,
        target: backend_list.BackendServer,
        run_id: str,
        is_last: bool,
        timeout_s: float,
    ) -> CopyAnswer:
        """Ask an engine to copy the memory of a run to another engine.

        Parameters
        ----------
        is_last
            Whether the run stops first, so that the copy is complete.
        """
        ...

    async def free(
        self, server: backend_list.BackendServer, handle: str
    ) -> bool:
        """Free a copy that is not used; return whether that is certain."""
        ...
