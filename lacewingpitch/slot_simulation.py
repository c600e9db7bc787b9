"""Simulates when adapter slots of an engine come free and are loaded."""

from collections.abc import Iterable
import dataclasses
import heapq
import math

# Limit of the mean number of concurrent requests of an adapter.  Above it,
# a busy period lasts longer than any caller waits.
_MAX_OFFERED_LOAD = 3.5
# The wait at an engine without any slot; longer than any request waits.
_NEVER_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Occupancy:
    """How long a waiting adapter will occupy a slot.

    Parameters
    ----------
    load_s
        Duration of its load.
    use_s
        How long its requests use it then.
    """

    load_s: float
    use_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterWait:
    """The expected wait of a request for its adapter.

    Parameters
    ----------
    slot_s
        Until a slot is free and the load begins.
    load_s
        Duration of the load.
    """

    slot_s: float = 0.0
    load_s: float = 0.0

    @property
    def total_s(self) -> float:
        """Return the total wait."""
        return self.slot_s + self.load_s


def busy_extension_s(busy_s: float, rate_per_s: float, use_s: float) -> float:
    """Return how much longer future requests keep a slot busy.

    Requests arrive as a Poisson process, and each uses the slot for some
    time.  The result is the expected busy period of an M/G/infinity
    queue, times the probability that a request arrives before the
    running ones have ended.

    Parameters
    ----------
    busy_s
        How long the running requests keep the slot busy.
    rate_per_s
        Arrival rate.
    use_s
        Mean duration of a request.
    """
    if not rate_per_s:
        return 0.0
    load = min(rate_per_s * use_s, _MAX_OFFERED_LOAD)
    period_s = math.expm1(load) / rate_per_s
    return -math.expm1(-rate_per_s * busy_s) * period_s


class SlotSimulation:
    """Simulates the slots of an engine, adapter by adapter.

    If more adapters are wanted at once than an engine has slots, each
    waits for slots that are held by running requests, by queued prompts
    and by loads.  Without this estimate, requests would be admitted that
    miss their deadline.

    Parameters
    ----------
    free_in_s
        When each slot comes free, including those whose adapter is being
        loaded.
    load_count
        How many loads may run at once.
    """

    def __init__(self, free_in_s: Iterable[float], load_count: int) -> None:
        self._free_in_s = list(free_in_s)
        heapq.heapify(self._free_in_s)
        self._loader_free_in_s = [0.0] * max(1, load_count)

    def assign_next(self, occupancy: Occupancy) -> AdapterWait:
        """Assign the next free slot to an adapter; return its wait."""
        if not self._free_in_s:
            return AdapterWait(_NEVER_S, occupancy.load_s)
        begin_s = max(self._free_in_s[0], self._loader_free_in_s[0])
        loaded_s = begin_s + occupancy.load_s
        heapq.heapreplace(self._loader_free_in_s, loaded_s)
        heapq.heapreplace(self._free_in_s, loaded_s + occupancy.use_s)
        return AdapterWait(begin_s, occupancy.load_s)
