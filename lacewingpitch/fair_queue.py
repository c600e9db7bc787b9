"""Weighted fair queueing of customers, with a lead for urgent requests.

A flow of the queue is the requests of one customer.
"""

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
_MAX_OVERTAKEN_COUNT = 16
_MAX_LOOKAHEAD_COUNT = 16
_MIN_CLEANUP_COUNT = 64

Holds = Callable[[work.WorkOrder], bool]


@dataclasses.dataclass(slots=True)
class _Flow:
    """Usage and queued requests of one customer.

    Parameters
    ----------
    used_s
        Turn seconds per unit of weight, on the scale of virtual time.
    overtaken_count
        How often a later request overtook the first one in the queue.
    """

    used_s: float = 0.0
    weight: float = 1.0
    overtaken_count: int = 0
    running_count: int = 0
    waiting: collections.deque[turn_queue.Waiter] = dataclasses.field(
        default_factory=collections.deque
    )


class FairQueue:
    """Start-time fair queueing by turn seconds over contract weight.

    A customer's position is its usage per unit of weight, less the lead of
    its urgency; the lowest position goes first.  A customer that returns
    from idling starts at virtual time, so that it accumulates no credit.
    Virtual time advances as a customer with an equal share would use turns,
    and is never lower than the position of a request that got a
    reservation.  Urgency gives a lead but no larger share: in the long run
    each customer gets turns in proportion to its weight.  A request that
    has waited for most of its deadline gets the maximum lead, unless its
    customer is over its share, so that no request starves.

    A request whose adapter is held gets a lead as well, so that turns
    aren't spent on loads; it may overtake a limited number of requests of
    its own customer.

    Parameters
    ----------
    turn_count
        Turns of the backend server; leads in seconds are multiplied by it.
    holds
        Whether the backend server holds what a request needs.
    leads_s
        Lead of each urgency, in seconds of the backend server per unit of
        weight.
    held_lead_s
        Lead of a request whose adapter is held, in the same unit.
    aging_ratio
        Fraction of its deadline after which a request gets the maximum
        lead.
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
        self._aging_ratio = aging_ratio
        self._leads_s = {u: s * turn_count for u, s in leads_s.items()}
        self._held_lead_s = held_lead_s * turn_count
        self._max_lead_s = max(self._leads_s.values()) + self._held_lead_s
        self._virtual_time_s = 0.0
        self._running_count = 0
        self._flows: dict[str, _Flow] = {}
        self._backlog: dict[str, _Flow] = {}
        self._cleanup_count = _MIN_CLEANUP_COUNT

    def add(self, waiter: turn_queue.Waiter) -> None:
        """Enqueue a request."""
        customer = waiter.order.customer
        flow = self._flows.get(customer)
        if flow is None:
            self._discard_idle_flows()
            flow = self._flows[customer] = _Flow()
        flow.weight = waiter.order.weight
        if not flow.waiting:
            # Without this a customer that was idle overnight would get the
            # whole backend server until its usage had caught up.
            flow.used_s = max(flow.used_s, self._virtual_time_s)
            self._backlog[customer] = flow
        flow.waiting.append(waiter)

    def remove(self, waiter: turn_queue.Waiter) -> None:
        """Remove a request that leaves without a reservation."""
        customer = waiter.order.customer
        flow = self._flows[customer]
        flow.waiting.remove(waiter)
        if not flow.waiting:
            del self._backlog[customer]

    def pop(self) -> turn_queue.Waiter:
        """Remove and return the next request; one must be queued."""
        position, waiter, flow = min(
            (self._next_of(flow) for flow in self._backlog.values()),
            key=lambda choice: choice[0],
        )
        self._virtual_time_s += waiter.cost_s / self._active_weight()
        self._virtual_time_s = max(self._virtual_time_s, position[0])
        flow.used_s += waiter.cost_s / waiter.order.weight
        flow.running_count += 1
        self._running_count += 1
        is_first = waiter is flow.waiting[0]
        flow.overtaken_count = 0 if is_first else flow.overtaken_count + 1
        self.remove(waiter)
        return waiter

    def finish(self, waiter: turn_queue.Waiter, used_s: float) -> None:
        """Replace the expected duration of a turn by the actual one."""
        flow = self._flows[waiter.order.customer]
        flow.running_count -= 1
        flow.used_s += (used_s - waiter.cost_s) / waiter.order.weight
        self._running_count -= 1
        if not self._running_count and not self._backlog:
            # Usage that delayed no other customer doesn't count later.
            self._flows.clear()

    def forecast(self) -> Iterator[turn_queue.Waiter]:
        """Yield the queued requests in order, as if no more arrived."""
        heads = []
        for number, flow in enumerate(self._backlog.values()):
            waiters = iter(flow.waiting)
            waiter = next(waiters)
            position = self._position(flow.used_s, waiter, True)
            heads.append((position, number, flow.used_s, waiter, waiters))
        heapq.heapify(heads)
        while heads:
            _, number, used_s, waiter, waiters = heads[0]
            yield waiter
            used_s += waiter.cost_s / waiter.order.weight
            following = next(waiters, None)
            if following is None:
                heapq.heappop(heads)
                continue
            position = self._position(used_s, following, True)
            heapq.heapreplace(
                heads, (position, number, used_s, following, waiters)
            )

    def _active_weight(self) -> float:
        return sum(
            flow.weight
            for flow in self._flows.values()
            if flow.waiting or flow.running_count
        )

    def _next_of(
        self, flow: _Flow
    ) -> tuple[tuple[float, float], turn_queue.Waiter, _Flow]:
        waiter = flow.waiting[0]
        held = self._first_held(flow)
        if held is not None:
            waiter = held
        position = self._position(flow.used_s, waiter, held is not None)
        return position, waiter, flow

    def _first_held(self, flow: _Flow) -> turn_queue.Waiter | None:
        # A customer's first request could starve while later ones find
        # their adapters held.  Once it has been overtaken too often, only
        # the first request is considered.
        lookahead_count = _MAX_LOOKAHEAD_COUNT
        if flow.overtaken_count >= _MAX_OVERTAKEN_COUNT:
            lookahead_count = 1
        candidates = itertools.islice(flow.waiting, lookahead_count)
        return next((w for w in candidates if self._holds(w.order)), None)

    def _position(
        self, used_s: float, waiter: turn_queue.Waiter, is_held: bool
    ) -> tuple[float, float]:
        lead_s = self._leads_s[waiter.order.urgency]
        if is_held:
            lead_s += self._held_lead_s
        # Each new customer gets its full lead.  Where hundreds of customers
        # send a request or two, a request without a lead would wait behind
        # all of them until its deadline.  With the maximum lead it goes
        # before all that arrived later.  A customer over its share waits
        # because of its usage, and its requests get no such lead.
        if used_s <= self._virtual_time_s and self._has_aged(waiter):
            lead_s = self._max_lead_s
        return used_s - lead_s, waiter.arrived_s

    def _has_aged(self, waiter: turn_queue.Waiter) -> bool:
        waited_s = self._clock.monotonic_s() - waiter.arrived_s
        return waited_s >= self._aging_ratio * waiter.order.deadline_s

    def _discard_idle_flows(self) -> None:
        # Bounds the memory: tens of thousands of customers come and go.  An
        # idle customer whose usage is below virtual time would start at
        # virtual time anyway, so that discarding it changes nothing.
        if len(self._flows) < self._cleanup_count:
            return
        self._flows = {
            customer: flow
            for customer, flow in self._flows.items()
            if flow.waiting
            or flow.running_count
            or flow.used_s > self._virtual_time_s
        }
        self._cleanup_count = max(_MIN_CLEANUP_COUNT, 2 * len(self._flows))
