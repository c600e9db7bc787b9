"""Estimates how long requests hold a turn of their backend server.

`turn_queue` defines turns.  A turn starts when the request runs: the time
that it waits or prepares, for example by loading its adapter, doesn't count.
"""

import collections
import dataclasses

from lacewingpitch import work

INITIAL_ESTIMATE_S = 0.1
# Beyond it, the customer whose last recorded turn is the oldest is dropped.
MAX_CUSTOMERS = 1024
_SMOOTHING_RATIO = 0.2


@dataclasses.dataclass(slots=True)
class _MovingMean:
    """Exponential moving average that starts at its first value."""

    value: float | None = None

    def record(self, value: float) -> None:
        if self.value is None:
            self.value = value
        else:
            self.value += _SMOOTHING_RATIO * (value - self.value)


@dataclasses.dataclass(slots=True)
class _DurationMeans:
    """Mean durations of the turns of one customer, or of all.

    Parameters
    ----------
    per_turn_s
        Mean over all recorded turns.
    per_token_s
        Mean of duration over ``max_tokens``, of the turns that set it.
    """

    per_turn_s: _MovingMean = dataclasses.field(default_factory=_MovingMean)
    per_token_s: _MovingMean = dataclasses.field(default_factory=_MovingMean)

    def record(self, order: work.WorkOrder, duration_s: float) -> None:
        self.per_turn_s.record(duration_s)
        if order.max_tokens:
            self.per_token_s.record(duration_s / order.max_tokens)

    def predict_s(self, order: work.WorkOrder) -> float | None:
        if order.max_tokens and self.per_token_s.value is not None:
            return order.max_tokens * self.per_token_s.value
        return self.per_turn_s.value


class TurnDurationEstimator:
    """Predicts the duration of turns from earlier turns of the customer.

    The prediction is proportional to ``max_tokens`` where the caller set
    it.  A customer without recorded turns gets the mean over all customers.
    """

    def __init__(self) -> None:
        self._overall = _DurationMeans()
        self._by_customer: collections.OrderedDict[str, _DurationMeans] = (
            collections.OrderedDict()
        )

    def predict_s(self, order: work.WorkOrder) -> float:
        """Return the expected duration of a request's turn, in seconds.

        It is `INITIAL_ESTIMATE_S` until a turn has been recorded.
        """
        means = self._by_customer.get(order.customer, self._overall)
        duration_s = means.predict_s(order)
        if duration_s is None:
            duration_s = self._overall.predict_s(order)
        return INITIAL_ESTIMATE_S if duration_s is None else duration_s

    def record(self, order: work.WorkOrder, duration_s: float) -> None:
        """Record the actual duration of a request's turn."""
        self._overall.record(order, duration_s)
        customer = order.customer
        means = self._by_customer.setdefault(customer, _DurationMeans())
        means.record(order, duration_s)
        self._by_customer.move_to_end(customer)
        if len(self._by_customer) > MAX_CUSTOMERS:
            self._by_customer.popitem(last=False)
