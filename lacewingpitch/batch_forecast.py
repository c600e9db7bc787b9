"""When a request would get a turn in the batch of its engine."""

from collections.abc import Mapping

from lacewingpitch import clock as clock_module
from lacewingpitch import place_forecast
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

    def wait_s(self, prepared_in_s: float) -> float:
        """Return how long a request would wait that came now.

        Parameters
        ----------
        prepared_in_s
            When it has its adapter; the wait counts from then on.
        """
        if len(self._leases) < self._turn_count:
            return 0.0
        forecast = place_forecast.PlaceForecast(self._free_in_s(), 1)
        for lease in self._leases.values():
            if self._is_ahead(lease, prepared_in_s):
                forecast.take(place_forecast.Occupancy(0.0, lease.run_s))
        begin_s = forecast.take(place_forecast.Occupancy(0.0)).place_s
        return max(0.0, begin_s - prepared_in_s)

    def _free_in_s(self) -> list[float]:
        now_s = self._clock.monotonic_s()
        free_in_s = [
            lease.left_s(now_s)
            for lease in self._leases.values()
            if lease.has_turn
        ]
        return free_in_s + [0.0] * (self._turn_count - len(free_in_s))

    def _is_ahead(
        self, lease: turn_lease.TurnLease, prepared_in_s: float
    ) -> bool:
        # Turns go to whoever is prepared first: a request whose adapter
        # is held overtakes those that wait for theirs.
        if lease.has_turn:
            return False
        return lease.is_prepared or prepared_in_s > 0.0
