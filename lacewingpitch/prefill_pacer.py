"""Paces the prefill of prompts, so that running streams don't stall."""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import heapq
import itertools

from lacewingpitch import clock as clock_module
from lacewingpitch import token_bucket

# Engines read prompts between the events of their streams.  At this rate the
# gaps between events stay below what callers tolerate, even with one prompt
# of the largest size.
_BASE_TOKENS_PER_S = 12_000.0
# This rate lengthens the gaps on the slowest engines.  It is used while more
# requests wait than the base rate can release in time.
_MAX_TOKENS_PER_S = 22_000.0
_BURST_TOKENS = 1_000.0
# A backlog that would take longer than this to drain raises the rate.
_TARGET_DRAIN_S = 0.2
# Time until requests whose adapters are loading need their turns.  Prompts
# that can be read before then don't wait for these requests.
_PREPARATION_S = 0.25
# While demand exceeds the rate, a route of the highest rank gets this many
# tokens per token of another route, which must not starve.
_URGENT_WEIGHT = 4.0
_MAX_FLOWS = 4096


@dataclasses.dataclass(slots=True, order=True)
class _QueuedPrompt:
    """A queued prompt; the lowest `virtual_finish` goes first."""

    virtual_finish: float
    number: int
    tokens: int = dataclasses.field(compare=False)
    released: asyncio.Future[None] = dataclasses.field(compare=False)


class PrefillPacer:
    """Releases requests to one engine at the rate it can read prompts.

    Designed for bursts of new streams at an engine whose batch has free
    slots.  If such requests are released together, their prompts are read
    in one go, and every running stream stalls meanwhile.  Flows share the
    rate by weighted fair queueing.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._bucket = token_bucket.TokenBucket(
            _BASE_TOKENS_PER_S,
            _BURST_TOKENS,
            _BURST_TOKENS,
            clock.monotonic_s(),
        )
        self._waiting: list[_QueuedPrompt] = []
        self._expected_tokens: float = 0.0
        self._sequence_numbers = itertools.count()
        self._virtual_time = 0.0
        self._finish_by_flow: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def wait_s(
        self,
        tokens: int = 0,
        flow: str = '',
        rank: int = 0,
        after_s: float = 0.0,
        weight: float = 1.0,
    ) -> float:
        """Return the expected wait of a request beyond `after_s`.

        Parameters
        ----------
        after_s
            Time until it is ready, during which other prompts are read.
        """
        now_s = self._clock.monotonic_s()
        virtual_finish = self._virtual_finish(tokens, flow, rank, weight)
        ahead: float = sum(
            w.tokens
            for w in self._waiting
            if w.virtual_finish <= virtual_finish
        )
        preparing = self._expected_tokens - _PREPARATION_S * _MAX_TOKENS_PER_S
        ahead += max(0.0, preparing)
        deficit = ahead + 1.0 - self._bucket.level(now_s)
        return max(0.0, deficit / _rate_per_s(deficit) - after_s)

    @contextlib.contextmanager
    def expecting(self, tokens: int) -> Iterator[None]:
        """Count a prompt as ahead of others while its request prepares.

        Otherwise requests that arrive together all find the engine free,
        and those that wait for their adapters arrive here together.
        """
        self._expected_tokens += tokens
        try:
            yield
        finally:
            self._expected_tokens -= tokens

    async def admit(
        self, tokens: int, flow: str, rank: int, weight: float = 1.0
    ) -> None:
        """Wait until the engine can read a prompt.

        Parameters
        ----------
        flow
            Flow of weighted fair queueing that the request belongs to.
        rank
            Urgency; 0 is the most urgent.
        weight
            Weight of the flow relative to the others.
        """
        now_s = self._clock.monotonic_s()
        if not self._waiting and self._bucket.level(now_s) > 0.0:
            self._bucket.add(-tokens, now_s)
            return
        virtual_finish = self._virtual_finish(tokens, flow, rank, weight)
        if len(self._finish_by_flow) >= _MAX_FLOWS:
            self._finish_by_flow.clear()
        self._finish_by_flow[flow] = virtual_finish
        queued = _QueuedPrompt(
            virtual_finish,
            next(self._sequence_numbers),
            tokens,
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self._waiting, queued)
        self._set_rate()
        self._schedule()
        try:
            await queued.released
        except asyncio.CancelledError:
            if queued in self._waiting:
                self._waiting.remove(queued)
                heapq.heapify(self._waiting)
            raise

    def _virtual_finish(
        self, tokens: int, flow: str, rank: int, weight: float
    ) -> float:
        weight *= 1.0 if rank else _URGENT_WEIGHT
        start = max(self._virtual_time, self._finish_by_flow.get(flow, 0.0))
        return start + tokens / weight

    def _schedule(self) -> None:
        if self._timer is None and self._waiting:
            now_s = self._clock.monotonic_s()
            # A prompt of any size is released once the debt of the previous
            # ones is repaid, and then adds its own tokens to the debt.
            wait_s = self._bucket.wait_s(1.0, now_s)
            self._timer = asyncio.get_running_loop().call_later(
                wait_s, self._release
            )

    def _release(self) -> None:
        self._timer = None
        now_s = self._clock.monotonic_s()
        while self._waiting and self._bucket.level(now_s) > 0.0:
            queued = heapq.heappop(self._waiting)
            self._virtual_time = max(self._virtual_time, queued.virtual_finish)
            if not queued.released.done():
                self._bucket.add(-queued.tokens, now_s)
                queued.released.set_result(None)
        self._set_rate()
        self._schedule()

    def _set_rate(self) -> None:
        now_s = self._clock.monotonic_s()
        backlog = sum(queued.tokens for queued in self._waiting)
        deficit = backlog - self._bucket.level(now_s)
        rate_per_s = _rate_per_s(deficit)
        if rate_per_s != self._bucket.rate_per_s:
            self._bucket.change(rate_per_s, _BURST_TOKENS, now_s)
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None


def _rate_per_s(deficit_tokens: float) -> float:
    """Return the rate at which a backlog is released."""
    wanted_per_s = deficit_tokens / _TARGET_DRAIN_S
    return min(max(wanted_per_s, _BASE_TOKENS_PER_S), _MAX_TOKENS_PER_S)
