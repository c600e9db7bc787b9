"""Learns how long requests keep a turn of their backend server."""

import collections
import dataclasses

from lacewingpitch import work

FIRST_GUESS_S = 0.1
MAX_CUSTOMERS = 1024
_SMOOTHING_RATIO = 0.2


@dataclasses.dataclass(slots=True)
class _Mean:
    """A moving mean that starts at its first value."""

    value: float | None = None

    def learn(self, value: float) -> None:
        if self.value is None:
            self.value = value
        else:
            self.value += _SMOOTHING_RATIO * (value - self.value)


@dataclasses.dataclass(slots=True)
class _Means:
    turn_s: _Mean = dataclasses.field(default_factory=_Mean)
    token_s: _Mean = dataclasses.field(default_factory=_Mean)

    def learn(self, order: work.WorkOrder, used_s: float) -> None:
        self.turn_s.learn(used_s)
        if order.max_tokens:
            self.token_s.learn(used_s / order.max_tokens)

    def predict_s(self, order: work.WorkOrder) -> float | None:
        if order.max_tokens and self.token_s.value is not None:
            return order.max_tokens * self.token_s.value
        return self.turn_s.value


class TurnDurationEstimator:
    """Predicts turns from what the customer's earlier ones took.

    The prediction grows with ``max_tokens`` where the caller gave it.
    A customer not met before is taken for an average one.
    """

    def __init__(self) -> None:
        self._all = _Means()
        self._by_customer: collections.OrderedDict[str, _Means] = (
            collections.OrderedDict()
        )

    def predict_s(self, order: work.WorkOrder) -> float:
        """Return for how long a request is expected to keep its turn."""
        means = self._by_customer.get(order.customer, self._all)
        found = means.predict_s(order)
        if found is None:
            found = self._all.predict_s(order)
        return FIRST_GUESS_S if found is None else found

    def learn(self, order: work.WorkOrder, used_s: float) -> None:
        """Take note of how long a request kept its turn."""
        self._all.learn(order, used_s)
        customer = order.customer
        means = self._by_customer.setdefault(customer, _Means())
        means.learn(order, used_s)
        self._by_customer.move_to_end(customer)
        if len(self._by_customer) > MAX_CUSTOMERS:
            self._by_customer.popitem(last=False)
