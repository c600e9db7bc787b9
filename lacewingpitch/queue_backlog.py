"""Backlog of one customer in a queue, and its measured service rate."""

import dataclasses

# With fewer reservations, a customer's rate counts as unknown.
_MIN_RESERVED_COUNT = 16
# Bounds the window in which a customer's rate is measured, so that the rate
# follows changes.
_MAX_RATE_WINDOW_S = 20.0


@dataclasses.dataclass(slots=True)
class QueueBacklog:
    """One customer's queued requests and its measured service rate.

    It exists while the customer has requests without a reservation.

    Parameters
    ----------
    count
        Requests without a reservation.
    reserved_count
        Reservations since the backlog began, also before `since_s`; compared
        with `_MIN_RESERVED_COUNT`.
    reserved_turns_s
        Expected turn seconds of the reservations that the customer got from
        `since_s` to `until_s`.
    cached_wait_s
        Estimated wait of its newest request, valid to `cached_until_s`.
    """

    since_s: float
    until_s: float
    count: int = 0
    reserved_count: int = 0
    reserved_turns_s: float = 0.0
    cached_wait_s: float = 0.0
    cached_until_s: float = 0.0

    def record_reservation(self, cost_s: float, now_s: float) -> None:
        """Record that a request of the customer got its reservation."""
        self.until_s = now_s
        self.reserved_count += 1
        self.reserved_turns_s += cost_s
        age_s = now_s - self.since_s
        # Halving the window and its turn seconds keeps the rate, and gives
        # later reservations more weight in it.
        if age_s > _MAX_RATE_WINDOW_S:
            self.since_s = now_s - age_s / 2
            self.reserved_turns_s /= 2

    def estimate_wait_s(self, ahead_s: float) -> float:
        """Return the wait behind `ahead_s` turn seconds of this customer.

        It is 0 while there are too few reservations to measure the rate.
        """
        if self.reserved_count < _MIN_RESERVED_COUNT:
            return 0.0
        return ahead_s * (self.until_s - self.since_s) / self.reserved_turns_s
