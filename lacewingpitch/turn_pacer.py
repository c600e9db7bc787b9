"""Paces the turns of one engine by the request rate limit that it names."""

import contextlib
import random

from lacewingpitch import clock as clock_module
from lacewingpitch import fair_pacer
from lacewingpitch import return_times

# An engine that gets no request can't raise its limit.
MIN_RATE_PER_S = 1.0 / 30.0
# Releases all waiting turns when the limit ends.
_UNLIMITED_PER_S = 1e6
# One turn at a time: turns that were saved up would exceed the limit.
_BURST = 1.0
_READY_LEVEL = 0.99


class TurnPacer:
    """Releases turns no faster than the engine accepts requests.

    Flows share the limited rate by weighted fair queueing.

    Parameters
    ----------
    source
        Source of jitter for the return times of refused callers.
    """

    def __init__(
        self, clock: clock_module.Clock, source: random.Random
    ) -> None:
        self._rate_per_s = _UNLIMITED_PER_S
        self._pacer = fair_pacer.FairPacer(
            clock, lambda _deficit: self._rate_per_s, _BURST, _READY_LEVEL
        )
        self._returns = return_times.ReturnTimes(clock, source)

    @property
    def is_limited(self) -> bool:
        """Whether the engine names a limit."""
        return self._rate_per_s < _UNLIMITED_PER_S

    def apply_limit(
        self, per_s: float | None, unsent_count: int, idle_s: float
    ) -> None:
        """Apply another limit.

        Parameters
        ----------
        per_s
            Requests per second; ``None`` for no limit.
        unsent_count
            Turns that are granted, and whose requests may still be on their
            way to the engine.
        idle_s
            Time since a turn was granted last.
        """
        was_limited = self.is_limited
        self._rate_per_s = _UNLIMITED_PER_S
        if per_s is not None:
            self._rate_per_s = max(MIN_RATE_PER_S, per_s)
        self._pacer.update_rate()
        self._returns.reset()
        if self.is_limited and not was_limited:
            self._pacer.set_level(
                min(_BURST, idle_s * self._rate_per_s) - unsent_count
            )

    def wait_s(
        self,
        flow: str = '',
        rank: int = 0,
        weight: float = 1.0,
        after_s: float = 0.0,
        order_s: float | None = None,
    ) -> float:
        """Return the expected wait of a request beyond `after_s`.

        Parameters
        ----------
        after_s
            Time until it is ready, during which other turns are released.
        """
        if not self.is_limited:
            return 0.0
        ahead = self._pacer.expected_cost + self._pacer.queued_ahead(
            1.0, flow, fair_pacer.effective_weight(rank, weight), order_s
        )
        return max(0.0, self.wait_behind_s(ahead) - after_s)

    def wait_behind_s(self, count: float) -> float:
        """Return the expected wait of a request behind `count` others."""
        missing = count + _READY_LEVEL - self._pacer.level
        return max(0.0, missing / self._rate_per_s)

    def next_return_s(self, wait_s: float) -> float:
        """Return when the next refused caller should return.

        Parameters
        ----------
        wait_s
            Expected wait of a request that arrives now.
        """
        return self._returns.next_s(wait_s, 1.0 / self._rate_per_s)

    def expecting(self) -> contextlib.AbstractContextManager[None]:
        """Count a turn as ahead of others while its request prepares."""
        return self._pacer.expecting(1.0)

    async def admit(
        self,
        flow: str,
        rank: int,
        weight: float,
        order_s: float | None = None,
    ) -> None:
        """Wait until the engine accepts one more request.

        Parameters
        ----------
        flow
            Flow of weighted fair queueing that the request belongs to.
        rank
            Urgency; 0 is the most urgent.
        weight
            Weight of the flow relative to the others.
        order_s
            Orders the request instead of its flow; see `FairPacer.admit`.
        """
        if self.is_limited:
            await self._pacer.admit(
                1.0, flow, fair_pacer.effective_weight(rank, weight), order_s
            )
