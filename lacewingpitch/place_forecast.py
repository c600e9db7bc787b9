"""When an adapter that waits finds a place in the engine, and is loaded."""

from collections.abc import Iterable
import dataclasses
import heapq
import math

# Requests of one adapter at once.  Above it a busy period lasts longer than
# any caller waits.
_MAX_LOAD = 3.5
# What an engine without any place tells: longer than any request waits.
_NEVER_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Occupancy:
    """What one adapter that waits takes of a place.

    Parameters
    ----------
    load_s
        Time until it is loaded.
    use_s
        Time for which its requests then keep it.
    """

    load_s: float
    use_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterWait:
    """What a request waits for its adapter.

    Parameters
    ----------
    place_s
        Until a place is free, and its load begins.
    load_s
        From then on until it is loaded.
    """

    place_s: float = 0.0
    load_s: float = 0.0

    @property
    def total_s(self) -> float:
        """Return the whole wait."""
        return self.place_s + self.load_s


def renewed_s(busy_s: float, rate_per_s: float, use_s: float) -> float:
    """Return how much longer a place is kept by requests to come.

    While it is busy, they come by chance at some rate, and each keeps it
    for some time: the busy period of a queue with any number of servers
    (M/G/infinity), begun again where one comes before the last has ended.

    Parameters
    ----------
    busy_s
        Until when those that are there keep it.
    use_s
        For how long each of them keeps it, in the mean.
    """
    if not rate_per_s:
        return 0.0
    load = min(rate_per_s * use_s, _MAX_LOAD)
    period_s = math.expm1(load) / rate_per_s
    return -math.expm1(-rate_per_s * busy_s) * period_s


class PlaceForecast:
    """Plays the places of an engine forward, adapter by adapter.

    Load it answers: more adapters wanted at once than an engine holds.
    Each waits for a place that is kept by runs, by prompts that wait and
    by loads; without knowing that, requests are let in and are late.

    Parameters
    ----------
    free_in_s
        When each place comes free; those with an adapter on its way
        included.
    load_count
        Loads that may be under way at once.
    """

    def __init__(self, free_in_s: Iterable[float], load_count: int) -> None:
        self._places = list(free_in_s)
        heapq.heapify(self._places)
        self._loaders = [0.0] * max(1, load_count)

    def take(self, occupancy: Occupancy) -> AdapterWait:
        """Give the next place to an adapter; return what it waits."""
        if not self._places:
            return AdapterWait(_NEVER_S, occupancy.load_s)
        begin_s = max(self._places[0], self._loaders[0])
        loaded_s = begin_s + occupancy.load_s
        heapq.heapreplace(self._loaders, loaded_s)
        heapq.heapreplace(self._places, loaded_s + occupancy.use_s)
        return AdapterWait(begin_s, occupancy.load_s)
