"""News about engines with room, which ride on messages about turns."""

from typing import Annotated

import msgspec

MAX_REPORTS = 4
_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]


class RoomReport(msgspec.Struct, frozen=True, array_like=True):
    """How much room an engine had, as its sidecar told an entry.

    Parameters
    ----------
    backend_server
        Name of the engine.
    spare_turns
        Turns that were free.
    age_ms
        Time since the sidecar told it.
    """

    backend_server: str
    spare_turns: _Count
    age_ms: _Count
