"""One adapter slot of an engine."""

import dataclasses
import enum

_SMOOTHING_RATIO = 0.2


class SlotState(enum.Enum):
    """What an adapter slot is at."""

    LOADING = enum.auto()
    READY = enum.auto()
    EVICTING = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """One adapter in the engine.

    Parameters
    ----------
    serving
        Requests that run on it or are about to, streams being resumed
        included.
    is_closing
        Whether it takes no new requests, so that it comes free.
    adopted_at_s
        When it was taken over from an earlier sidecar, whose runs may
        still be on it; they count as one in `serving`.
    busy_until_s
        When its requests are expected to have ended; ``None`` if none of
        them said.
    mean_use_s
        For how long one of them is expected to use it, in the mean.
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
        """Whether a request can start on it now."""
        return self.state is SlotState.READY and not self.is_closing

    def serve(self, now_s: float, use_s: float | None) -> None:
        """Count one more request, expected to keep it for some time."""
        self.serving += 1
        if use_s is not None:
            until_s = now_s + use_s
            if not self.mean_use_s:
                self.mean_use_s = use_s
            self.mean_use_s += _SMOOTHING_RATIO * (use_s - self.mean_use_s)
            self.busy_until_s = max(self.busy_until_s or 0.0, until_s)

    def free_in_s(self, now_s: float) -> float:
        """Return when its requests are expected to have ended."""
        if not self.serving or self.busy_until_s is None:
            return 0.0
        # What is overdue by some time is expected to last as long again,
        # so that a stalled engine worsens every estimate.
        return abs(self.busy_until_s - now_s)
