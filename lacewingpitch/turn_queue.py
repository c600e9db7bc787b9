"""Bounded queue of requests for the turns of one backend server.

A turn is a lease on one of a backend server's concurrent execution slots.
The queue runs in the sidecar beside the server.  In the system's own
interface, `attempts` queues the requests that the sidecar receives.  On the
users' platform, `turn_granter` queues the turns that entries request from the
sidecar; see `turn_spec`.  A sidecar does one or the other.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
import contextlib
import dataclasses
import heapq
from typing import Protocol

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import queue_backlog
from lacewingpitch import turn_duration
from lacewingpitch import work

RECHECK_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request from its arrival to the end of its turn.

    Parameters
    ----------
    cost_s
        Expected duration of its turn.
    order_s
        The lowest goes first among requests that wait for a turn.
    reserved
        Resolved when the request gets its reservation; fails when the
        request is refused.
    turn
        Resolved when the request gets its turn; fails when the request
        is refused.
    """

    order: work.WorkOrder
    arrived_s: float
    cost_s: float
    reserved: asyncio.Future[None]
    turn: asyncio.Future[None]
    order_s: float = 0.0
    reserved_s: float = 0.0
    started_s: float = 0.0
    used_s: float = 0.0

    @property
    def start_by_s(self) -> float:
        """Return the time by which the turn must have started."""
        return self.arrived_s + self.order.deadline_s


class QueueDiscipline(Protocol):
    """Queue discipline: selects the request that is reserved next."""

    def add(self, waiter: Waiter) -> None:
        """Enqueue a request."""
        ...

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that leaves without a reservation."""
        ...

    def pop(self) -> Waiter:
        """Remove and return the next request; one must be queued."""
        ...

    def finish(self, waiter: Waiter, used_s: float) -> None:
        """Release a reservation, and charge its customer for the turn.

        The customer's share of turn seconds then counts `used_s` instead of
        the expected duration; it is 0 if the request got no turn.
        """
        ...

    def forecast(self) -> Iterator[Waiter]:
        """Yield the queued requests in order, as if no more arrived."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLoad:
    """Load of a queue, as the sidecar reports it to entries in hints.

    A hint is a load report piggybacked on a reply.

    Parameters
    ----------
    estimated_wait_s
        Wait of a request that arrives now and is served last.
    """

    queued_count: int
    running_count: int
    estimated_wait_s: float


class Reservation:
    """A request's reservation, kept while the request prepares."""

    def __init__(self, queue: 'TurnQueue', waiter: Waiter) -> None:
        self._queue = queue
        self._waiter = waiter

    def turn(self) -> contextlib.AbstractAsyncContextManager[None]:
        """Acquire a turn and hold it while the context is open.

        Raises
        ------
        RefusalError
            The turn would start after the deadline; the request did
            not run.
        """
        return self._queue.turn(self._waiter)


def _no_preparation(_order: work.WorkOrder) -> float:
    return 0.0


class TurnQueue:
    """Bounded queue for the turns of one backend server.

    A request waits for a reservation, prepares (for example by loading
    its adapter), and then waits for its turn.  There are a few more
    reservations than turns, so that some requests prepare while others
    run.  The queue discipline assigns reservations; turns go to requests
    by their order, and then as they finish preparing.

    Parameters
    ----------
    turn_count
        Maximum number of concurrent turns.
    lookahead_count
        Reservations beyond the turns.
    max_queued
        Maximum number of requests without a reservation, over all
        customers.
    discipline
        Queue discipline.
    prepare_wait_s
        Returns how long a request that arrives now would prepare.
    """

    def __init__(
        self,
        turn_count: int,
        lookahead_count: int,
        max_queued: int,
        discipline: QueueDiscipline,
        clock: clock_module.Clock,
        prepare_wait_s: Callable[[work.WorkOrder], float] = _no_preparation,
    ) -> None:
        self._prepare_wait_s = prepare_wait_s
        self._turn_count = turn_count
        self._max_reserved = turn_count + lookahead_count
        self._max_queued = max_queued
        self._discipline = discipline
        self._clock = clock
        self._turn_durations = turn_duration.TurnDurationEstimator()
        self._waiting: dict[Waiter, None] = {}
        self._reserved: dict[Waiter, None] = {}
        self._prepared: dict[Waiter, None] = {}
        self._running: dict[Waiter, None] = {}
        self._backlogs: dict[str, queue_backlog.QueueBacklog] = {}
        self._recheck_timer: asyncio.TimerHandle | None = None

    @property
    def queued(self) -> int:
        """Return how many requests wait, with or without a reservation."""
        return len(self._waiting) + len(self._reserved) - len(self._running)

    @property
    def running(self) -> int:
        """Return how many requests have a turn."""
        return len(self._running)

    @property
    def turn_count(self) -> int:
        """Return the maximum number of concurrent turns."""
        return self._turn_count

    def load(self) -> QueueLoad:
        """Return the current load, for hints; see `QueueLoad`."""
        return QueueLoad(self.queued, self.running, self._wait_at_tail_s())

    @contextlib.asynccontextmanager
    async def reserve(
        self, order: work.WorkOrder, order_s: float = 0.0
    ) -> AsyncIterator[Reservation]:
        """Acquire a reservation and hold it while the context is open.

        Parameters
        ----------
        order_s
            The lowest gets its turn first; those of the same order get
            theirs as they finish preparing.

        Raises
        ------
        RefusalError
            The queue is full, or the turn would start after the
            deadline.  The request did not run.
        """
        waiter = self._enter(order, order_s)
        # A caller may disconnect after it got the reservation and before
        # its task resumes.  Without the cleanup each such reservation
        # would leak, and the backend server would lose capacity.
        try:
            await waiter.reserved
            yield Reservation(self, waiter)
        finally:
            self._release(waiter)

    @contextlib.asynccontextmanager
    async def turn(self, waiter: Waiter) -> AsyncIterator[None]:
        """Acquire a turn; see `Reservation.turn`."""
        self._prepared[waiter] = None
        self._grant_turns()
        try:
            await waiter.turn
            yield
        finally:
            self._end_turn(waiter)

    def _enter(self, order: work.WorkOrder, order_s: float) -> Waiter:
        self._check_limits(order)
        loop = asyncio.get_running_loop()
        waiter = Waiter(
            order,
            self._clock.monotonic_s(),
            self._turn_durations.predict_s(order),
            loop.create_future(),
            loop.create_future(),
            order_s,
        )
        self._add(waiter)
        # With fewer reservations than turns, a turn is free for the request.
        # Its preparation has a time limit of its own.
        if len(self._reserved) >= self._turn_count:
            self._check_deadline(waiter)
        self._assign_reservations()
        self._schedule_recheck()
        return waiter

    def _check_deadline(self, waiter: Waiter) -> None:
        # The customer's wait is cached, the adapter's is not: each request
        # of a customer may need another adapter.
        prepare_s = self._prepare_wait_s(waiter.order)
        wait_s = max(self._estimate_wait_s(waiter), prepare_s)
        if not self._meets_deadline(waiter, wait_s):
            self._withdraw(waiter)
            raise self._deadline_error(waiter, wait_s)

    def _estimate_wait_s(self, waiter: Waiter) -> float:
        # Without the cache each refused request of a flood would cost a
        # pass over the queue, and take processor time from the requests
        # that are accepted.  The cached wait expires at the latest when
        # the refused caller may retry.  A wait within the deadline expires
        # at once, so that only waits beyond it are reused.
        backlog = self._backlogs[waiter.order.customer]
        if waiter.arrived_s < backlog.cached_until_s:
            return backlog.cached_wait_s
        wait_s = next(s for w, s in self._forecast() if w is waiter)
        retry_after_s = wait_s - waiter.order.deadline_s
        backlog.cached_until_s = waiter.arrived_s + min(
            RECHECK_INTERVAL_S, retry_after_s
        )
        backlog.cached_wait_s = wait_s
        return wait_s

    def _release(self, waiter: Waiter) -> None:
        """Withdraw a request, or release its reservation if it has one."""
        if waiter in self._waiting:
            self._withdraw(waiter)
        elif waiter in self._reserved:
            del self._reserved[waiter]
            self._discipline.finish(waiter, waiter.used_s)
            self._assign_reservations()

    def _add(self, waiter: Waiter) -> None:
        self._waiting[waiter] = None
        customer = waiter.order.customer
        if customer not in self._backlogs:
            self._backlogs[customer] = queue_backlog.QueueBacklog(
                waiter.arrived_s, waiter.arrived_s
            )
        self._backlogs[customer].count += 1
        self._discipline.add(waiter)

    def _withdraw(self, waiter: Waiter) -> None:
        """Take a request without a reservation out of the queue."""
        self._discipline.remove(waiter)
        self._uncount_waiting(waiter)

    def _uncount_waiting(self, waiter: Waiter) -> None:
        """Stop counting a request that the discipline no longer queues."""
        del self._waiting[waiter]
        customer = waiter.order.customer
        self._backlogs[customer].count -= 1
        if not self._backlogs[customer].count:
            del self._backlogs[customer]

    def _waiting_count(self, customer: str) -> int:
        backlog = self._backlogs.get(customer)
        return backlog.count if backlog else 0

    def _can_reserve(self) -> bool:
        return len(self._reserved) < self._max_reserved

    def _assign_reservations(self) -> None:
        while self._waiting and self._can_reserve():
            waiter = self._discipline.pop()
            waiter.reserved_s = self._clock.monotonic_s()
            backlog = self._backlogs[waiter.order.customer]
            backlog.record_reservation(waiter.cost_s, waiter.reserved_s)
            self._uncount_waiting(waiter)
            self._reserved[waiter] = None
            _resolve(waiter.reserved)

    def _grant_turns(self) -> None:
        while self._prepared and len(self._running) < self._turn_count:
            waiter = min(self._prepared, key=lambda w: w.order_s)
            del self._prepared[waiter]
            waiter.started_s = self._clock.monotonic_s()
            self._running[waiter] = None
            _resolve(waiter.turn)

    def _end_turn(self, waiter: Waiter) -> None:
        self._prepared.pop(waiter, None)
        if waiter not in self._running:
            return
        del self._running[waiter]
        waiter.used_s = self._clock.monotonic_s() - waiter.started_s
        self._turn_durations.record(waiter.order, waiter.used_s)
        self._grant_turns()

    def _check_limits(self, order: work.WorkOrder) -> None:
        """Raise `RefusalError` if a request exceeds a limit of the queue.

        The suggested retry time is when the first queued request, of the
        customer or of any, is expected to get its turn: it has left the
        queue by then.
        """
        customer = order.customer
        if self._can_reserve():
            return
        if self._waiting_count(customer) >= order.queued_requests:
            raise errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL,
                'the customer has too many queued requests',
                retry_after_s=self._wait_at_head_s(customer),
            )
        if len(self._waiting) >= self._max_queued:
            self._evict_or_refuse(order)

    def _evict_or_refuse(self, order: work.WorkOrder) -> None:
        """Evict a request in favour of a new one, or refuse the new one."""
        # A burst of one customer can fill the queue while it is within the
        # customer's own limit.  Evicting the newest request of the longest
        # queue by weight keeps the burst from refusing other customers.  The
        # new request is refused if its own customer's queue would become at
        # least as long by weight.
        victim = self._newest_of_longest_queue()
        customer = order.customer
        length = self._waiting_count(customer) + 1
        if self._weighted_length(victim) > length / order.weight:
            error = self._queue_full_error()
            self._withdraw(victim)
            _resolve(victim.reserved, error)
            return
        raise self._queue_full_error()

    def _newest_of_longest_queue(self) -> Waiter:
        newest = {w.order.customer: w for w in self._waiting}
        return max(newest.values(), key=self._weighted_length)

    def _weighted_length(self, waiter: Waiter) -> float:
        length = self._waiting_count(waiter.order.customer)
        return length / waiter.order.weight

    def _queue_full_error(self) -> errors.RefusalError:
        return errors.RefusalError(
            errors.ErrorKind.QUEUE_FULL,
            'the queue is full',
            retry_after_s=self._wait_at_head_s(None),
        )

    def _schedule_recheck(self) -> None:
        """Schedule a check if `_refuse` could refuse a request now.

        Called when a request arrives, and after each check.
        """
        if self._recheck_timer is None and (self._waiting or self._prepared):
            self._recheck_timer = asyncio.get_running_loop().call_later(
                RECHECK_INTERVAL_S, self._recheck
            )

    def _recheck(self) -> None:
        # The estimate made on arrival worsens when the engine slows down
        # or stops, or when other requests go ahead.  Without this check
        # callers would learn only at their deadline that they get no turn.
        self._recheck_timer = None
        waits = [
            (waiter, max(wait_s, self._remaining_preparation_s(waiter)))
            for waiter, wait_s in self._forecast()
        ]
        late = [
            (waiter, wait_s)
            for waiter, wait_s in waits
            if not self._meets_deadline(waiter, wait_s)
        ]
        for waiter, wait_s in late:
            self._refuse(waiter, self._deadline_error(waiter, wait_s))
        self._schedule_recheck()

    def _remaining_preparation_s(self, waiter: Waiter) -> float:
        # A request with a reservation is already preparing.  Its caller sets
        # a time limit for that, and refuses the request when it expires.
        if waiter not in self._waiting:
            return 0.0
        return self._prepare_wait_s(waiter.order)

    def _refuse(self, waiter: Waiter, error: errors.RefusalError) -> None:
        """Refuse a request that waits for a reservation or for its turn.

        A request that still prepares is left alone: it doesn't wait for
        either, and its preparation has a time limit of its own.
        """
        if waiter in self._waiting:
            self._withdraw(waiter)
            _resolve(waiter.reserved, error)
        elif waiter in self._prepared:
            del self._prepared[waiter]
            _resolve(waiter.turn, error)

    def _meets_deadline(self, waiter: Waiter, wait_s: float) -> bool:
        return self._clock.monotonic_s() + wait_s <= waiter.start_by_s

    def _deadline_error(
        self, waiter: Waiter, wait_s: float
    ) -> errors.RefusalError:
        # A retry after this time, with a full deadline, starts in time.
        return errors.RefusalError(
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            'no turn before the deadline',
            retry_after_s=max(0.0, wait_s - waiter.order.deadline_s),
        )

    def _forecast(self) -> Iterator[tuple[Waiter, float]]:
        """Yield each request without a turn, and the wait for its turn.

        Requests without a reservation that would start after their deadline
        take no turn in the forecast.
        """
        # The current queue alone underestimates the wait of a customer
        # that sends more than its share, because requests of others arrive
        # later and go ahead.  The rate of the customer's recent reservations
        # shows how fast its queue moves.
        now_s = self._clock.monotonic_s()
        free_in_s = self._turns_free_in_s()
        ahead_s = dict.fromkeys(self._backlogs, 0.0)
        for waiter in self._reserved:
            if waiter not in self._running:
                yield waiter, free_in_s[0]
                heapq.heapreplace(free_in_s, free_in_s[0] + waiter.cost_s)
        for waiter in self._discipline.forecast():
            customer = waiter.order.customer
            wait_s = max(
                free_in_s[0],
                self._backlogs[customer].estimate_wait_s(ahead_s[customer]),
            )
            yield waiter, wait_s
            if now_s + wait_s <= waiter.start_by_s:
                ahead_s[customer] += waiter.cost_s
                heapq.heapreplace(free_in_s, free_in_s[0] + waiter.cost_s)

    def _turns_free_in_s(self) -> list[float]:
        """Return a heap of the times until each turn is free."""
        now_s = self._clock.monotonic_s()
        times = [self._remaining_s(w, now_s) for w in self._running]
        times += [0.0] * (self._turn_count - len(times))
        heapq.heapify(times)
        return times

    def _remaining_s(self, waiter: Waiter, now_s: float) -> float:
        # A turn that has exceeded its expected duration by some time is
        # expected to last that time again, so that a stalled engine worsens
        # every estimate.
        expected_s = self._turn_durations.predict_s(waiter.order)
        return abs(expected_s - (now_s - waiter.started_s))

    def _wait_at_head_s(self, customer: str | None) -> float:
        """Return the wait of a customer's first request without reservation.

        ``None`` stands for any customer.
        """
        for waiter, wait_s in self._forecast():
            is_match = customer in (None, waiter.order.customer)
            if is_match and waiter in self._waiting:
                return wait_s
        return 0.0

    def _wait_at_tail_s(self) -> float:
        free_in_s = self._turns_free_in_s()
        for waiter in (*self._reserved, *self._waiting):
            if waiter not in self._running:
                heapq.heapreplace(free_in_s, free_in_s[0] + waiter.cost_s)
        return free_in_s[0]


def _resolve(
    future: asyncio.Future[None], error: errors.RefusalError | None = None
) -> None:
    # The future of a disconnected caller is cancelled before its task
    # resumes and leaves the queue.  Resolving it again would raise in the
    # task of another request.
    if future.done():
        return
    if error is None:
        future.set_result(None)
    else:
        future.set_exception(error)
