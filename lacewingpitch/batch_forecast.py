"""When a request would get a turn in the batch of its engine."""

import collections
from collections.abc import Iterator, Mapping

from lacewingpitch import clock as clock_module
from lacewingpitch import slot_simulation
from lacewingpitch import turn_lease


class BatchForecast:
    """Plays the turns of an engine forward, run by run.

    Load it answers: engines that batch a dozen requests, and get more.
    Those that are let in without knowing when a run ends wait for their
    turn for as long as a run, and are late.

    Parameters
    ----------
    leases
        Those that have a turn, and those that wait, by their arrival.
    turn_count
        Requests that the engine batches at once.
    """

    def __init__(
        self,
        leases: Mapping[str, turn_lease.TurnLease],
        turn_count: int,
        clock: clock_module.Clock,
    ) -> None:
        self._leases = leases
        self._turn_count = turn_count
        self._clock = clock

    def wait_s(
        self, prepared_in_s: float, flow: str = '', weight: float = 1.0
    ) -> float:
        """Return how long a request would wait that came now.

        Parameters
        ----------
        prepared_in_s
            When it has its adapter; the wait counts from then on.
        flow
            Those with which it shares its turns.
        weight
            Share of its flow where flows compete.
        """
        if len(self._leases) < self._turn_count:
            return 0.0
        forecast = slot_simulation.SlotSimulation(self._free_in_s(), 1)
        for lease in self._ahead(prepared_in_s, flow, weight):
            forecast.assign_next(slot_simulation.Occupancy(0.0, lease.run_s))
        begin_s = forecast.assign_next(slot_simulation.Occupancy(0.0)).slot_s
        return max(0.0, begin_s - prepared_in_s)

    def _free_in_s(self) -> list[float]:
        now_s = self._clock.monotonic_s()
        free_in_s = [
            lease.left_s(now_s)
            for lease in self._leases.values()
            if lease.has_turn
        ]
        return free_in_s + [0.0] * (self._turn_count - len(free_in_s))

    def _ahead(
        self, prepared_in_s: float, flow: str, weight: float
    ) -> Iterator[turn_lease.TurnLease]:
        """Yield the leases that get a turn before a request."""
        own_count = 1 + sum(
            lease.request.flow == flow
            for lease in self._leases.values()
            if not lease.has_place
        )
        queued_count: collections.Counter[str] = collections.Counter()
        for lease in self._leases.values():
            if lease.has_turn:
                continue
            if lease.has_place:
                # Turns go to whoever is prepared first: a request whose
                # adapter is held overtakes those that wait for theirs.
                if lease.is_prepared or prepared_in_s > 0.0:
                    yield lease
                continue
            # Flows share the queue for places, so that a long one has no
            # more than its share ahead of the request.
            request = lease.request
            queued_count[request.flow] += 1
            share = own_count * request.weight / weight
            if request.flow == flow or queued_count[request.flow] <= share:
                yield lease
