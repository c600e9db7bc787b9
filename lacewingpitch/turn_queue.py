"""Hands the turns of one backend server to the requests that wait."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
import contextlib
import dataclasses
import heapq
from typing import Protocol

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import turn_time
from lacewingpitch import work

RECHECK_INTERVAL_S = 0.2
_MIN_GRANTED_COUNT = 16
_MAX_BACKLOG_AGE_S = 20.0


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """One request from its arrival to the end of its turn.

    Parameters
    ----------
    cost_s
        Seconds for which it is expected to keep its turn.
    placed
        Done when it gets its place; fails when it is refused.
    turn
        Done when it gets its turn; fails when it is refused.
    """

    order: work.WorkOrder
    arrived_s: float
    cost_s: float
    placed: asyncio.Future[None]
    turn: asyncio.Future[None]
    placed_s: float = 0.0
    started_s: float = 0.0
    used_s: float = 0.0

    @property
    def start_by_s(self) -> float:
        """Return the time by which it must have its turn."""
        return self.arrived_s + self.order.deadline_s


@dataclasses.dataclass(slots=True)
class _Backlog:
    """One customer's requests that wait, and how fast they get turns.

    Parameters
    ----------
    granted_s
        Turn seconds given to the customer from `since_s` to `until_s`.
    late_wait_s
        What its newest request would wait, believed to `late_until_s`.
    """

    since_s: float
    until_s: float
    count: int = 0
    granted_count: int = 0
    granted_s: float = 0.0
    late_wait_s: float = 0.0
    late_until_s: float = 0.0

    def grant(self, cost_s: float, now_s: float) -> None:
        self.until_s = now_s
        self.granted_count += 1
        self.granted_s += cost_s
        age_s = now_s - self.since_s
        if age_s > _MAX_BACKLOG_AGE_S:
            self.since_s = now_s - age_s / 2
            self.granted_s /= 2

    def wait_s(self, ahead_s: float) -> float:
        """Return the wait behind `ahead_s` turn seconds of its own."""
        if self.granted_count < _MIN_GRANTED_COUNT:
            return 0.0
        return ahead_s * (self.until_s - self.since_s) / self.granted_s


class Order(Protocol):
    """Decides which waiting request gets the next place."""

    def add(self, waiter: Waiter) -> None:
        """Take note of a request that waits."""
        ...

    def remove(self, waiter: Waiter) -> None:
        """Forget a request that waits no longer and got no place."""
        ...

    def take(self) -> Waiter:
        """Return the request that gets a place; at least one waits."""
        ...

    def finish(self, waiter: Waiter, used_s: float) -> None:
        """Take note that a place is free, and how long its turn was."""
        ...

    def forecast(self) -> Iterator[Waiter]:
        """Yield those waiting in their order, if nobody else came."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLoad:
    """How much work a queue has, as a hint for whoever sends more.

    Parameters
    ----------
    estimated_wait_s
        Wait of a request that came now and went last.
    """

    queued_count: int
    running_count: int
    estimated_wait_s: float


class Place:
    """The place of one request, which it keeps while it prepares."""

    def __init__(self, queue: 'TurnQueue', waiter: Waiter) -> None:
        self._queue = queue
        self._waiter = waiter

    def turn(self) -> contextlib.AbstractAsyncContextManager[None]:
        """Wait for a turn and keep it while the context lasts.

        Raises
        ------
        RefusalError
            The turn would come after the deadline; the request did
            not run.
        """
        return self._queue.turn(self._waiter)


def _prepared(_order: work.WorkOrder) -> float:
    return 0.0


class TurnQueue:
    """Bounded queue for the turns of one backend server.

    A request waits for a place, prepares, such as by getting its
    adapter, and then waits for its turn.  There are a few more places
    than turns, so that some prepare while others run.  Places go by the
    order, turns to whoever is prepared first.

    Parameters
    ----------
    turn_count
        Requests that may have a turn at once.
    lookahead_count
        Places beyond the turns.
    max_queued
        Requests that may wait for a place, over all customers.
    order
        Who goes first.
    prepare_wait_s
        How long a request that came now would prepare.
    """

    def __init__(
        self,
        turn_count: int,
        lookahead_count: int,
        max_queued: int,
        order: Order,
        clock: clock_module.Clock,
        prepare_wait_s: Callable[[work.WorkOrder], float] = _prepared,
    ) -> None:
        self._prepare_wait_s = prepare_wait_s
        self._turn_count = turn_count
        self._place_count = turn_count + lookahead_count
        self._max_queued = max_queued
        self._order = order
        self._clock = clock
        self._turn_times = turn_time.TurnTimes()
        self._waiting: dict[Waiter, None] = {}
        self._placed: dict[Waiter, None] = {}
        self._prepared: dict[Waiter, None] = {}
        self._running: dict[Waiter, None] = {}
        self._backlogs: dict[str, _Backlog] = {}
        self._recheck_timer: asyncio.TimerHandle | None = None

    @property
    def queued(self) -> int:
        """Return how many requests wait, with or without a place."""
        return len(self._waiting) + len(self._placed) - len(self._running)

    @property
    def running(self) -> int:
        """Return how many requests have a turn."""
        return len(self._running)

    @property
    def turn_count(self) -> int:
        """Return how many requests may have a turn at once."""
        return self._turn_count

    def load(self) -> QueueLoad:
        """Return how much work there is, for hints."""
        return QueueLoad(self.queued, self.running, self._wait_of_last())

    @contextlib.asynccontextmanager
    async def place(self, order: work.WorkOrder) -> AsyncIterator[Place]:
        """Wait for a place and keep it while the context lasts.

        Raises
        ------
        RefusalError
            The queue is full, or the turn would come after the
            deadline.  The request did not run.
        """
        waiter = self._enter(order)
        # A caller can hang up in the moment between being given the
        # place and waking up.  The place would be lost for good, and
        # with each such caller the backend server would get slower.
        try:
            await waiter.placed
            yield Place(self, waiter)
        finally:
            self._leave(waiter)

    @contextlib.asynccontextmanager
    async def turn(self, waiter: Waiter) -> AsyncIterator[None]:
        """Wait for a turn; see `Place.turn`."""
        self._prepared[waiter] = None
        self._give_turns()
        try:
            await waiter.turn
            yield
        finally:
            self._end_turn(waiter)

    def _enter(self, order: work.WorkOrder) -> Waiter:
        self._check_bounds(order)
        loop = asyncio.get_running_loop()
        waiter = Waiter(
            order,
            self._clock.monotonic_s(),
            self._turn_times.predict_s(order),
            loop.create_future(),
            loop.create_future(),
        )
        self._add(waiter)
        if len(self._placed) >= self._turn_count:
            self._check_in_time(waiter)
        self._give_places()
        self._schedule_recheck()
        return waiter

    def _check_in_time(self, waiter: Waiter) -> None:
        # A customer's wait is kept for a moment, its adapter's is not:
        # each of its requests may need another one.
        prepare_s = self._prepare_wait_s(waiter.order)
        wait_s = max(self._wait_of(waiter), prepare_s)
        if not self._is_in_time(waiter, wait_s):
            self._remove(waiter)
            raise self._too_late(waiter, wait_s)

    def _wait_of(self, waiter: Waiter) -> float:
        # A flood of requests that are refused would cost a pass over
        # the queue each, and the processor time of those that are not.
        # The wait found last is as good for a moment, and for no longer
        # than until its caller was told to come back.
        backlog = self._backlogs[waiter.order.customer]
        if waiter.arrived_s < backlog.late_until_s:
            return backlog.late_wait_s
        wait_s = next(s for w, s in self._forecast() if w is waiter)
        retry_after_s = wait_s - waiter.order.deadline_s
        backlog.late_until_s = waiter.arrived_s + min(
            RECHECK_INTERVAL_S, retry_after_s
        )
        backlog.late_wait_s = wait_s
        return wait_s

    def _leave(self, waiter: Waiter) -> None:
        if waiter in self._waiting:
            self._remove(waiter)
        elif waiter in self._placed:
            del self._placed[waiter]
            self._order.finish(waiter, waiter.used_s)
            self._give_places()

    def _add(self, waiter: Waiter) -> None:
        self._waiting[waiter] = None
        customer = waiter.order.customer
        if customer not in self._backlogs:
            self._backlogs[customer] = _Backlog(
                waiter.arrived_s, waiter.arrived_s
            )
        self._backlogs[customer].count += 1
        self._order.add(waiter)

    def _remove(self, waiter: Waiter) -> None:
        self._order.remove(waiter)
        self._forget_waiting(waiter)

    def _forget_waiting(self, waiter: Waiter) -> None:
        del self._waiting[waiter]
        customer = waiter.order.customer
        self._backlogs[customer].count -= 1
        if not self._backlogs[customer].count:
            del self._backlogs[customer]

    def _queued_of(self, customer: str) -> int:
        backlog = self._backlogs.get(customer)
        return backlog.count if backlog else 0

    def _has_free_place(self) -> bool:
        return len(self._placed) < self._place_count

    def _give_places(self) -> None:
        while self._waiting and self._has_free_place():
            waiter = self._order.take()
            waiter.placed_s = self._clock.monotonic_s()
            backlog = self._backlogs[waiter.order.customer]
            backlog.grant(waiter.cost_s, waiter.placed_s)
            self._forget_waiting(waiter)
            self._placed[waiter] = None
            _settle(waiter.placed)

    def _give_turns(self) -> None:
        while self._prepared and len(self._running) < self._turn_count:
            waiter = next(iter(self._prepared))
            del self._prepared[waiter]
            waiter.started_s = self._clock.monotonic_s()
            self._running[waiter] = None
            _settle(waiter.turn)

    def _end_turn(self, waiter: Waiter) -> None:
        self._prepared.pop(waiter, None)
        if waiter not in self._running:
            return
        del self._running[waiter]
        waiter.used_s = self._clock.monotonic_s() - waiter.started_s
        self._turn_times.learn(waiter.order, waiter.used_s)
        self._give_turns()

    def _check_bounds(self, order: work.WorkOrder) -> None:
        customer = order.customer
        if self._has_free_place():
            return
        if self._queued_of(customer) >= order.queued_requests:
            raise errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL,
                'too many requests of this customer wait here',
                retry_after_s=self._wait_of_first(customer),
            )
        if len(self._waiting) >= self._max_queued:
            self._make_room(order)

    def _make_room(self, order: work.WorkOrder) -> None:
        # One customer's burst can fill the queue while its own bound
        # still allows it; others would be refused for its sake.  The
        # newest request of the longest queue, by weight, gives way.
        victim = self._newest_of_longest_queue()
        customer = order.customer
        length = self._queued_of(customer) + 1
        if self._relative_length(victim) > length / order.weight:
            error = self._queue_full()
            self._remove(victim)
            _settle(victim.placed, error)
            return
        raise self._queue_full()

    def _newest_of_longest_queue(self) -> Waiter:
        newest = {w.order.customer: w for w in self._waiting}
        return max(newest.values(), key=self._relative_length)

    def _relative_length(self, waiter: Waiter) -> float:
        length = self._queued_of(waiter.order.customer)
        return length / waiter.order.weight

    def _queue_full(self) -> errors.RefusalError:
        return errors.RefusalError(
            errors.ErrorKind.QUEUE_FULL,
            'too many requests wait here',
            retry_after_s=self._wait_of_first(None),
        )

    def _schedule_recheck(self) -> None:
        if self._recheck_timer is None and (self._waiting or self._prepared):
            self._recheck_timer = asyncio.get_running_loop().call_later(
                RECHECK_INTERVAL_S, self._recheck
            )

    def _recheck(self) -> None:
        # The estimate made on arrival can worsen: the engine slows down
        # or stops, or others go ahead.  Callers would learn only at
        # their deadline that they had waited for nothing.
        self._recheck_timer = None
        waits = [
            (waiter, max(wait_s, self._left_to_prepare_s(waiter)))
            for waiter, wait_s in self._forecast()
        ]
        late = [
            (waiter, wait_s)
            for waiter, wait_s in waits
            if not self._is_in_time(waiter, wait_s)
        ]
        for waiter, wait_s in late:
            self._refuse(waiter, self._too_late(waiter, wait_s))
        self._schedule_recheck()

    def _left_to_prepare_s(self, waiter: Waiter) -> float:
        # Who has a place is told by what it prepares with.
        if waiter not in self._waiting:
            return 0.0
        return self._prepare_wait_s(waiter.order)

    def _refuse(self, waiter: Waiter, error: errors.RefusalError) -> None:
        if waiter in self._waiting:
            self._remove(waiter)
            _settle(waiter.placed, error)
        elif waiter in self._prepared:
            del self._prepared[waiter]
            _settle(waiter.turn, error)

    def _is_in_time(self, waiter: Waiter, wait_s: float) -> bool:
        return self._clock.monotonic_s() + wait_s <= waiter.start_by_s

    def _too_late(self, waiter: Waiter, wait_s: float) -> errors.RefusalError:
        # Coming back then, with its whole deadline, it starts in time.
        return errors.RefusalError(
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            'no turn before the deadline',
            retry_after_s=max(0.0, wait_s - waiter.order.deadline_s),
        )

    def _forecast(self) -> Iterator[tuple[Waiter, float]]:
        """Yield those without a turn, with the time until they have it."""
        # Who waits now says too little: others will come and go ahead
        # of a customer that sends more than its share.  What its queue
        # got of late tells how fast it really moves.
        now_s = self._clock.monotonic_s()
        free_in_s = self._free_in_s()
        ahead_s = dict.fromkeys(self._backlogs, 0.0)
        for waiter in self._placed:
            if waiter not in self._running:
                yield waiter, free_in_s[0]
                heapq.heapreplace(free_in_s, free_in_s[0] + waiter.cost_s)
        for waiter in self._order.forecast():
            customer = waiter.order.customer
            wait_s = max(
                free_in_s[0],
                self._backlogs[customer].wait_s(ahead_s[customer]),
            )
            yield waiter, wait_s
            if now_s + wait_s <= waiter.start_by_s:
                ahead_s[customer] += waiter.cost_s
                heapq.heapreplace(free_in_s, free_in_s[0] + waiter.cost_s)

    def _free_in_s(self) -> list[float]:
        now_s = self._clock.monotonic_s()
        times = [self._remaining_s(w, now_s) for w in self._running]
        times += [0.0] * (self._turn_count - len(times))
        heapq.heapify(times)
        return times

    def _remaining_s(self, waiter: Waiter, now_s: float) -> float:
        # A turn that is overdue by some time is expected to last as long
        # again, so that a stalled engine worsens every estimate.
        expected_s = self._turn_times.predict_s(waiter.order)
        return abs(expected_s - (now_s - waiter.started_s))

    def _wait_of_first(self, customer: str | None) -> float:
        for waiter, wait_s in self._forecast():
            is_asked = customer in (None, waiter.order.customer)
            if is_asked and waiter in self._waiting:
                return wait_s
        return 0.0

    def _wait_of_last(self) -> float:
        free_in_s = self._free_in_s()
        for waiter in (*self._placed, *self._waiting):
            if waiter not in self._running:
                heapq.heapreplace(free_in_s, free_in_s[0] + waiter.cost_s)
        return free_in_s[0]


def _settle(
    future: asyncio.Future[None], error: errors.RefusalError | None = None
) -> None:
    # The future of a caller that hung up is cancelled before its task
    # wakes up and leaves; settling it again would break the loop that
    # serves the others.
    if future.done():
        return
    if error is None:
        future.set_result(None)
    else:
        future.set_exception(error)
