"""Weighted fair turns between customers, with a head start by urgency."""

import collections
from collections.abc import Callable, Iterator, Mapping
import dataclasses
import heapq
import itertools

from lacewingpitch import clock as clock_module
from lacewingpitch import contract
from lacewingpitch import turn_queue
from lacewingpitch import work

URGENCY_LEADS_S: Mapping[contract.Urgency, float] = {
    contract.Urgency.INTERACTIVE: 5.0,
    contract.Urgency.STANDARD: 1.0,
    contract.Urgency.BATCH: 0.0,
}
HELD_LEAD_S = 1.0
AGING_RATIO = 0.75
_MAX_PASSED_COUNT = 16
_MAX_LOOK_COUNT = 16
_MIN_SWEEP_COUNT = 64

Holds = Callable[[work.WorkOrder], bool]


@dataclasses.dataclass(slots=True)
class _Share:
    """What one customer has used, and its requests that wait.

    Parameters
    ----------
    used_s
        Turn seconds per unit of weight, on the scale of virtual time.
    passed_count
        How often a later request went ahead of the first that waits.
    """

    used_s: float = 0.0
    weight: float = 1.0
    passed_count: int = 0
    running_count: int = 0
    waiting: collections.deque[turn_queue.Waiter] = dataclasses.field(
        default_factory=collections.deque
    )


class FairQueue:
    """Start-time fair queueing by turn seconds over contract weight.

    A customer's position is what it used per unit of weight, less the
    lead of its urgency; the lowest goes first.  A customer that comes
    back starts at virtual time, so that it saves up nothing; virtual time
    passes as an equal customer would use turns, and is no lower than any
    position that got a place.  Urgency is a lead and no larger share: in
    the long run each customer gets its weight.  A request that has waited
    for most of its deadline has every lead, unless its customer is over
    its share, so that nothing starves.

    A request whose adapter is held has a lead as well, so that turns
    are not spent on loads; it may pass a few of its own customer's.

    Parameters
    ----------
    turn_count
        Turns of the backend server, which a lead in seconds is times.
    holds
        Whether the backend server holds what a request needs.
    leads_s
        Seconds of the backend server, per unit of weight, by which an
        urgency goes ahead.
    held_lead_s
        The same for a request whose adapter is held.
    aging_ratio
        Part of its deadline after which a request has every lead.
    """

    def __init__(
        self,
        turn_count: int,
        holds: Holds,
        clock: clock_module.Clock,
        leads_s: Mapping[contract.Urgency, float] = URGENCY_LEADS_S,
        held_lead_s: float = HELD_LEAD_S,
        aging_ratio: float = AGING_RATIO,
    ) -> None:
        self._holds = holds
        self._clock = clock
        self._patience_ratio = aging_ratio
        self._leads_s = {u: s * turn_count for u, s in leads_s.items()}
        self._held_lead_s = held_lead_s * turn_count
        self._most_lead_s = max(self._leads_s.values()) + self._held_lead_s
        self._virtual_s = 0.0
        self._running_count = 0
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
        share.weight = waiter.order.weight
        if not share.waiting:
            # Without this an idle night would give a customer the whole
            # backend server in the morning, until it had caught up.
            share.used_s = max(share.used_s, self._virtual_s)
            self._backlog[customer] = share
        share.waiting.append(waiter)

    def remove(self, waiter: turn_queue.Waiter) -> None:
        """Forget a request that waits no longer and got no place."""
        customer = waiter.order.customer
        share = self._shares[customer]
        share.waiting.remove(waiter)
        if not share.waiting:
            del self._backlog[customer]

    def pop(self) -> turn_queue.Waiter:
        """Return the request that gets a place; at least one waits."""
        rank, waiter, share = min(
            (self._choice(share) for share in self._backlog.values()),
            key=lambda choice: choice[0],
        )
        self._virtual_s += waiter.cost_s / self._active_weight()
        self._virtual_s = max(self._virtual_s, rank[0])
        share.used_s += waiter.cost_s / waiter.order.weight
        share.running_count += 1
        self._running_count += 1
        is_first = waiter is share.waiting[0]
        share.passed_count = 0 if is_first else share.passed_count + 1
        self.remove(waiter)
        return waiter

    def finish(self, waiter: turn_queue.Waiter, used_s: float) -> None:
        """Charge what the turn took instead of what was expected."""
        share = self._shares[waiter.order.customer]
        share.running_count -= 1
        share.used_s += (used_s - waiter.cost_s) / waiter.order.weight
        self._running_count -= 1
        if not self._running_count and not self._backlog:
            # Nobody was kept waiting by what was used so far.
            self._shares.clear()

    def forecast(self) -> Iterator[turn_queue.Waiter]:
        """Yield those waiting in their order, if nobody else came."""
        heads = []
        for number, share in enumerate(self._backlog.values()):
            waiters = iter(share.waiting)
            waiter = next(waiters)
            rank = self._rank(share.used_s, waiter, True)
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
            rank = self._rank(used_s, following, True)
            heapq.heapreplace(
                heads, (rank, number, used_s, following, waiters)
            )

    def _active_weight(self) -> float:
        return sum(
            share.weight
            for share in self._shares.values()
            if share.waiting or share.running_count
        )

    def _choice(
        self, share: _Share
    ) -> tuple[tuple[float, float], turn_queue.Waiter, _Share]:
        waiter = share.waiting[0]
        held = self._first_held(share)
        if held is not None:
            waiter = held
        rank = self._rank(share.used_s, waiter, held is not None)
        return rank, waiter, share

    def _first_held(self, share: _Share) -> turn_queue.Waiter | None:
        # A customer's first request could starve while later ones find
        # their adapters held; after some of them it goes first.
        look_count = _MAX_LOOK_COUNT
        if share.passed_count >= _MAX_PASSED_COUNT:
            look_count = 1
        looked_at = itertools.islice(share.waiting, look_count)
        return next((w for w in looked_at if self._holds(w.order)), None)

    def _rank(
        self, used_s: float, waiter: turn_queue.Waiter, is_held: bool
    ) -> tuple[float, float]:
        lead_s = self._leads_s[waiter.order.urgency]
        if is_held:
            lead_s += self._held_lead_s
        # Each customer that comes has its lead anew.  Where hundreds
        # come with a request or two, one without a lead would wait
        # behind all of them until its deadline.  With every lead it has
        # the lowest position of all who came later.  Who has used more
        # than its share waits because of that, and gets none.
        if used_s <= self._virtual_s and self._is_aged(waiter):
            lead_s = self._most_lead_s
        return used_s - lead_s, waiter.arrived_s

    def _is_aged(self, waiter: turn_queue.Waiter) -> bool:
        waited_s = self._clock.monotonic_s() - waiter.arrived_s
        return waited_s >= self._patience_ratio * waiter.order.deadline_s

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
