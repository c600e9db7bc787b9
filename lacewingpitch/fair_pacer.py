"""Releases work at a limited rate, by weighted fair queueing."""

import asyncio
from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import heapq
import itertools

from lacewingpitch import clock as clock_module
from lacewingpitch import token_bucket

# While demand exceeds the rate, a route of the highest rank gets this many
# times as much as another route, which must not starve.
_URGENT_WEIGHT = 4.0
_MAX_FLOWS = 4096
# The bucket holds more than the ready level once it holds this much; the
# difference allows for timers that fire early.
_NEXT_LEVEL = 1.0


def effective_weight(rank: int, weight: float) -> float:
    """Return the weight of a flow, given the urgency of its route."""
    return weight * (1.0 if rank else _URGENT_WEIGHT)


@dataclasses.dataclass(slots=True, order=True)
class _QueuedWork:
    """Queued work; the lowest `virtual_finish` goes first."""

    virtual_finish: float
    number: int
    cost: float = dataclasses.field(compare=False)
    released: asyncio.Future[None] = dataclasses.field(compare=False)


class FairPacer:
    """Releases work at a rate that its flows share by weight.

    Parameters
    ----------
    rate_per_s
        Returns the rate, given the cost that exceeds the bucket's level.
    burst
        Capacity of the bucket.
    ready_level
        Work of any cost is released while the bucket holds more than this,
        and may leave a debt.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        rate_per_s: Callable[[float], float],
        burst: float,
        ready_level: float = 0.0,
    ) -> None:
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._ready_level = ready_level
        self._bucket = token_bucket.TokenBucket(
            rate_per_s(0.0), burst, burst, clock.monotonic_s()
        )
        self._waiting: list[_QueuedWork] = []
        self._sequence_numbers = itertools.count()
        self._virtual_time = 0.0
        self._finish_by_flow: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.expected_cost = 0.0

    @property
    def level(self) -> float:
        """Return what the bucket holds, negative for a debt."""
        return self._bucket.level(self._clock.monotonic_s())

    def queued_ahead(
        self,
        cost: float,
        flow: str,
        weight: float,
        order_s: float | None = None,
    ) -> float:
        """Return the cost of the queued work that goes before new work."""
        virtual_finish = self._virtual_finish(cost, flow, weight, order_s)
        return sum(
            queued.cost
            for queued in self._waiting
            if queued.virtual_finish <= virtual_finish
        )

    @contextlib.contextmanager
    def expecting(self, cost: float) -> Iterator[None]:
        """Add to `expected_cost` while work prepares to be admitted.

        Otherwise requests that arrive together all find the bucket full,
        and those that wait for their adapters arrive here together.
        """
        self.expected_cost += cost
        try:
            yield
        finally:
            self.expected_cost -= cost

    async def admit(
        self,
        cost: float,
        flow: str,
        weight: float,
        order_s: float | None = None,
    ) -> None:
        """Wait until work is released.

        Parameters
        ----------
        flow
            Flow of weighted fair queueing that the work belongs to.
        weight
            Weight of the flow relative to the others.
        order_s
            Orders the work instead of its flow; the lowest goes first.  Of
            a pacer, either all work has an order or none.
        """
        if not self._waiting and self.level > self._ready_level:
            self._bucket.add(-cost, self._clock.monotonic_s())
            return
        virtual_finish = self._virtual_finish(cost, flow, weight, order_s)
        if len(self._finish_by_flow) >= _MAX_FLOWS:
            self._finish_by_flow.clear()
        self._finish_by_flow[flow] = virtual_finish
        queued = _QueuedWork(
            virtual_finish,
            next(self._sequence_numbers),
            cost,
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self._waiting, queued)
        self.update_rate()
        self._schedule()
        try:
            await queued.released
        except asyncio.CancelledError:
            if queued in self._waiting:
                self._waiting.remove(queued)
                heapq.heapify(self._waiting)
            raise

    def set_level(self, level: float) -> None:
        """Set what the bucket holds."""
        now_s = self._clock.monotonic_s()
        self._bucket.add(level - self._bucket.level(now_s), now_s)
        self._restart_timer()

    def update_rate(self) -> None:
        """Apply the rate for the current deficit."""
        now_s = self._clock.monotonic_s()
        backlog = sum(queued.cost for queued in self._waiting)
        deficit = backlog - self._bucket.level(now_s)
        rate_per_s = self._rate_per_s(deficit)
        if rate_per_s != self._bucket.rate_per_s:
            self._bucket.change(rate_per_s, self._burst, now_s)
            self._restart_timer()

    def set_burst(self, burst: float) -> None:
        """Set the capacity of the bucket."""
        if burst != self._burst:
            self._burst = burst
            self._bucket.change(
                self._bucket.rate_per_s, burst, self._clock.monotonic_s()
            )

    def _virtual_finish(
        self, cost: float, flow: str, weight: float, order_s: float | None
    ) -> float:
        if order_s is not None:
            return order_s
        start = max(self._virtual_time, self._finish_by_flow.get(flow, 0.0))
        return start + cost / weight

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._schedule()

    def _schedule(self) -> None:
        if self._timer is None and self._waiting:
            now_s = self._clock.monotonic_s()
            wait_s = self._bucket.wait_s(_NEXT_LEVEL, now_s)
            self._timer = asyncio.get_running_loop().call_later(
                wait_s, self._release
            )

    def _release(self) -> None:
        self._timer = None
        now_s = self._clock.monotonic_s()
        while self._waiting and self._bucket.level(now_s) > self._ready_level:
            queued = heapq.heappop(self._waiting)
            self._virtual_time = max(self._virtual_time, queued.virtual_finish)
            if not queued.released.done():
                self._bucket.add(-queued.cost, now_s)
                queued.released.set_result(None)
        self.update_rate()
        self._schedule()
