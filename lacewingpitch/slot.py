"""An adapter slot of an engine: its state and its expected use."""

import dataclasses
import enum

_SMOOTHING_RATIO = 0.2


class SlotState(enum.Enum):
    """State of an adapter slot."""

    LOADING = enum.auto()
    READY = enum.auto()
    EVICTING = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """An adapter slot of an engine, and the adapter in it.

    Parameters
    ----------
    serving
        Requests that run on the adapter or are about to, including
        streams that are being resumed.
    is_closing
        Whether the slot accepts no new requests, so that its adapter
        can be evicted.
    used_at_s
        When a request last started or ended.
    adopted_at_s
        When the slot was adopted from an earlier sidecar, whose requests
        may still run; they count as one in `serving`.  ``None`` once the
        engine reports that they have ended.
    busy_until_s
        When the running requests are expected to have ended; ``None`` if
        no expected duration is known.
    mean_use_s
        Moving average of the expected duration of a request.
    """

    name: str
    state: SlotState = SlotState.LOADING
    serving: int = 0
    is_closing: bool = False
    used_at_s: float = 0.0
    adopted_at_s: float | None = None
    busy_until_s: float | None = None
    loading_since_s: float = 0.0
    mean_use_s: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether a request can start on the adapter now."""
        return self.state is SlotState.READY and not self.is_closing

    def serve(self, now_s: float, use_s: float | None) -> None:
        """Count one more request that is expected to last `use_s`."""
        self.serving += 1
        if use_s is not None:
            until_s = now_s + use_s
            if not self.mean_use_s:
                self.mean_use_s = use_s
            self.mean_use_s += _SMOOTHING_RATIO * (use_s - self.mean_use_s)
            self.busy_until_s = max(self.busy_until_s or 0.0, until_s)

    def free_in_s(self, now_s: float) -> float:
        """Return the expected time until its running requests have ended."""
        if not self.serving or self.busy_until_s is None:
            return 0.0
        # Overdue requests are expected to last as long again as they are
        # overdue, so that every estimate grows while an engine is stalled.
        return abs(self.busy_until_s - now_s)
