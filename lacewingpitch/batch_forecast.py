"""Simulates when a request would get a turn in its engine's batch."""

import collections
from collections.abc import Iterator, Mapping

from lacewingpitch import clock as clock_module
from lacewingpitch import slot_simulation
from lacewingpitch import turn_lease


class BatchForecast:
    """Simulates the turns of an engine, run by run.

    Intended for engines that batch about a dozen requests and get more
    than that.  A request that is admitted without an estimate of when a
    run ends can wait for its turn as long as a whole run, and is late.

    Parameters
    ----------
    leases
        Granted and pending turns, in order of arrival.
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
        self,
        prepared_in_s: float,
        flow: str = '',
        weight: float = 1.0,
        order_s: float | None = None,
    ) -> float:
        """Return the wait of a request that arrives now.

        Parameters
        ----------
        prepared_in_s
            Time until it has its adapter; the wait counts from then on.
        flow
            Flow that the request belongs to.
        weight
            Weight of the flow relative to the others.
        order_s
            Order of the request; ``None`` if flows share by weight.
        """
        count = sum(not lease.is_put_off for lease in self._leases.values())
        if count < self._turn_count:
            return 0.0
        forecast = slot_simulation.SlotSimulation(self._turns_free_in_s(), 1)
        ahead = self._leases_ahead(prepared_in_s, flow, weight)
        if order_s is not None:
            ahead = self._leases_before(order_s)
        for lease in ahead:
            forecast.assign_next(slot_simulation.Occupancy(0.0, lease.run_s))
        start_in_s = forecast.assign_next(
            slot_simulation.Occupancy(0.0)
        ).slot_s
        return max(0.0, start_in_s - prepared_in_s)

    def _turns_free_in_s(self) -> list[float]:
        now_s = self._clock.monotonic_s()
        free_in_s = [
            lease.remaining_s(now_s)
            for lease in self._leases.values()
            if lease.has_turn
        ]
        return free_in_s + [0.0] * (self._turn_count - len(free_in_s))

    def _leases_before(self, order_s: float) -> Iterator[turn_lease.TurnLease]:
        """Yield the leases without a turn whose order is lower."""
        for lease in self._leases.values():
            if lease.has_turn or lease.is_put_off:
                continue
            lease_order_s = lease.decision.order_s
            if lease_order_s is not None and lease_order_s <= order_s:
                yield lease

    def _leases_ahead(
        self, prepared_in_s: float, flow: str, weight: float
    ) -> Iterator[turn_lease.TurnLease]:
        """Yield the leases that get a turn before the request."""
        own_count = 1 + sum(
            lease.request.flow == flow
            for lease in self._leases.values()
            if not lease.has_reservation and not lease.is_put_off
        )
        queued_count: collections.Counter[str] = collections.Counter()
        for lease in self._leases.values():
            if lease.has_turn or lease.is_put_off:
                continue
            if lease.has_reservation:
                # Turns go in the order in which requests finish preparing:
                # one whose adapter is held overtakes those that wait for
                # theirs.
                if lease.is_prepared or prepared_in_s > 0.0:
                    yield lease
                continue
            # Flows share the queue by weight, so that a flow with many
            # requests has no more than its share ahead of this request.
            request = lease.request
            queued_count[request.flow] += 1
            share = own_count * request.weight / weight
            if request.flow == flow or queued_count[request.flow] <= share:
                yield lease
