"""Requests that wait until an engine has room that no other request needs."""

import asyncio
import bisect
import collections
from collections.abc import Callable
import dataclasses
import itertools

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import turn_lease
from lacewingpitch import turn_messages

# Between two releases the first one's work shows in the estimates of room.
_CHECK_INTERVAL_S = 0.02
# The first request may need an adapter that is hard to get; some behind it
# are checked as well.
_CHECKED_COUNT = 4
# Bounds the memory, and the cost of a check.
_MAX_COUNT = 64
# Window in which the rate of releases is measured.
_RATE_WINDOW_S = 2.0
# Releases that are assumed in a window in addition to those that were
# measured, so that requests are put off before any was released.
_ASSUMED_COUNT = 4.0


@dataclasses.dataclass(slots=True, order=True)
class _PutOff:
    """A request that is put off; the lowest `order_s` goes first."""

    order_s: float
    number: int
    turn: turn_lease.TurnLease = dataclasses.field(compare=False)
    released: asyncio.Future[None] = dataclasses.field(compare=False)


class PutOffQueue:
    """Releases requests one by one while nothing else waits.

    Intended for requests whose answers will be late.  They get what other
    requests leave, in the order in which their callers give up.

    Parameters
    ----------
    has_room
        Whether a request could start now without delaying another one.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        has_room: Callable[[turn_messages.TurnRequest], bool],
    ) -> None:
        self._clock = clock
        self._has_room = has_room
        self._waiting: list[_PutOff] = []
        self._sequence_numbers = itertools.count()
        self._released_at_s: collections.deque[float] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of requests that are put off."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether no further request can be put off."""
        return len(self._waiting) >= _MAX_COUNT

    def has_any_of(self, organisation: str) -> bool:
        """Whether a request of an organisation is put off."""
        return any(
            queued.turn.request.organisation == organisation
            for queued in self._waiting
        )

    @property
    def interval_s(self) -> float:
        """Return the expected time from one release to the next."""
        self._discard_old_releases()
        return _RATE_WINDOW_S / (len(self._released_at_s) + _ASSUMED_COUNT)

    def expected_wait_s(self, order_s: float) -> float:
        """Return how long a request would be put off."""
        ahead_count = sum(q.order_s <= order_s for q in self._waiting)
        return (ahead_count + 1) * self.interval_s

    async def wait(self, turn: turn_lease.TurnLease) -> None:
        """Wait until a turn that is put off is released.

        Raises
        ------
        RefusalError
            It would be released too late; it did not run.
        """
        released = asyncio.get_running_loop().create_future()
        queued = _PutOff(
            turn.decision.put_off_order_s,
            next(self._sequence_numbers),
            turn,
            released,
        )
        bisect.insort(self._waiting, queued)
        self._schedule()
        try:
            await released
        finally:
            if queued in self._waiting:
                self._waiting.remove(queued)
            turn.is_put_off = False
            turn.put_off_s = self._clock.monotonic_s() - turn.requested_at_s

    def _schedule(self) -> None:
        if self._timer is None and self._waiting:
            self._timer = asyncio.get_running_loop().call_later(
                _CHECK_INTERVAL_S, self._check
            )

    def _check(self) -> None:
        self._timer = None
        self._refuse_late()
        for queued in self._waiting[:_CHECKED_COUNT]:
            if self._has_room(queued.turn.request):
                self._waiting.remove(queued)
                self._released_at_s.append(self._clock.monotonic_s())
                queued.released.set_result(None)
                break
        self._schedule()

    def _refuse_late(self) -> None:
        now_s = self._clock.monotonic_s()
        interval_s = self.interval_s
        kept: list[_PutOff] = []
        for queued in self._waiting:
            if queued.released.done():
                continue
            wait_s = len(kept) * interval_s
            refusal = _refusal(queued.turn, now_s, wait_s + interval_s)
            if refusal is None:
                kept.append(queued)
            else:
                queued.released.set_exception(refusal)
        self._waiting = kept

    def _discard_old_releases(self) -> None:
        since_s = self._clock.monotonic_s() - _RATE_WINDOW_S
        while self._released_at_s and self._released_at_s[0] < since_s:
            self._released_at_s.popleft()


def _refusal(
    turn: turn_lease.TurnLease, now_s: float, wait_s: float
) -> errors.RefusalError | None:
    """Return why a turn is put off no longer; ``None`` if it still is."""
    if now_s > turn.asked_until_s:
        return errors.RefusalError(
            errors.ErrorKind.CALLER_GONE, 'its entry no longer asks for it'
        )
    if now_s + wait_s > turn.start_by_s:
        return errors.RefusalError(
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            'it was put off until its caller gives up',
            retry_after_s=wait_s,
        )
    return None
