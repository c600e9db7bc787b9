"""Weighted fair turns between customers, with a head start by urgency."""

import collections
from collections.abc import Iterator, Mapping
import dataclasses
import heapq

from lacewingpitch import contract
from lacewingpitch import turn_queue

LEADS_S: Mapping[contract.Urgency, float] = {
    contract.Urgency.INTERACTIVE: 10.0,
    contract.Urgency.STANDARD: 2.0,
    contract.Urgency.BATCH: 0.0,
}
_MIN_SWEEP_COUNT = 64


@dataclasses.dataclass(slots=True)
class _Share:
    """What one customer has used, and its requests that wait.

    Parameters
    ----------
    used_s
        Turn seconds per unit of weight, on the scale of virtual time.
    """

    used_s: float = 0.0
    running_count: int = 0
    waiting: collections.deque[turn_queue.Waiter] = dataclasses.field(
        default_factory=collections.deque
    )


class FairOrder:
    """Start-time fair queueing by turn seconds over contract weight.

    A customer's position is what it used per unit of weight, less the
    lead of its urgency; the lowest goes first.  A customer that comes
    back starts at virtual time, the highest position that got a turn, so
    that it saves up nothing.  Urgency is a lead and no larger share: in
    the long run each customer gets its weight.  Virtual time passes every
    position that waits, which is the aging: nothing starves.

    Parameters
    ----------
    leads_s
        Turn seconds per unit of weight by which an urgency goes ahead.
    """

    def __init__(
        self, leads_s: Mapping[contract.Urgency, float] = LEADS_S
    ) -> None:
        self._leads_s = leads_s
        self._virtual_s = 0.0
        self._shares: dict[str, _Share] = {}
        self._backlog: dict[str, _Share] = {}
        self._sweep_count = _MIN_SWEEP_COUNT

    def add(self, waiter: turn_queue.Waiter) -> None:
        """Take note of a request that waits."""
        customer = waiter.order.customer
        share = self._shares.get(customer)
        if share is None:
            self._sweep()
            share = self._shares[customer] = _Share()
        if not share.waiting:
            # Without this an idle night would give a customer the whole
            # backend server in the morning, until it had caught up.
            share.used_s = max(share.used_s, self._virtual_s)
            self._backlog[customer] = share
        share.waiting.append(waiter)

    def remove(self, waiter: turn_queue.Waiter) -> None:
        """Forget a request that waits no longer and got no turn."""
        customer = waiter.order.customer
        share = self._shares[customer]
        share.waiting.remove(waiter)
        if not share.waiting:
            del self._backlog[customer]

    def take(self) -> turn_queue.Waiter:
        """Return the request that gets a turn; at least one waits."""
        share = min(self._backlog.values(), key=self._rank)
        waiter = share.waiting[0]
        position_s = self._position_s(share.used_s, waiter)
        self._virtual_s = max(self._virtual_s, position_s)
        share.used_s += waiter.cost_s / waiter.order.weight
        share.running_count += 1
        share.waiting.popleft()
        if not share.waiting:
            del self._backlog[waiter.order.customer]
        return waiter

    def finish(self, waiter: turn_queue.Waiter, used_s: float) -> None:
        """Charge what the turn took instead of what was expected."""
        share = self._shares[waiter.order.customer]
        share.running_count -= 1
        share.used_s += (used_s - waiter.cost_s) / waiter.order.weight

    def forecast(self) -> Iterator[turn_queue.Waiter]:
        """Yield those waiting in order of turns, if nobody else came."""
        heads = []
        for number, share in enumerate(self._backlog.values()):
            waiters = iter(share.waiting)
            waiter = next(waiters)
            rank = self._rank(share)
            heads.append((rank, number, share.used_s, waiter, waiters))
        heapq.heapify(heads)
        while heads:
            _, number, used_s, waiter, waiters = heads[0]
            yield waiter
            used_s += waiter.cost_s / waiter.order.weight
            following = next(waiters, None)
            if following is None:
                heapq.heappop(heads)
                continue
            position_s = self._position_s(used_s, following)
            rank = (position_s, following.arrived_s)
            heapq.heapreplace(
                heads, (rank, number, used_s, following, waiters)
            )

    def _rank(self, share: _Share) -> tuple[float, float]:
        waiter = share.waiting[0]
        return self._position_s(share.used_s, waiter), waiter.arrived_s

    def _position_s(self, used_s: float, waiter: turn_queue.Waiter) -> float:
        return used_s - self._leads_s[waiter.order.urgency]

    def _sweep(self) -> None:
        # Customers come and go by the ten thousand.  One that virtual
        # time has passed would start at virtual time anyway, so that
        # forgetting it changes nothing.
        if len(self._shares) < self._sweep_count:
            return
        self._shares = {
            customer: share
            for customer, share in self._shares.items()
            if share.waiting
            or share.running_count
            or share.used_s > self._virtual_s
        }
        self._sweep_count = max(_MIN_SWEEP_COUNT, 2 * len(self._shares))
