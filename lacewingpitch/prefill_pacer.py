"""Spreads the reading of prompts, so that running streams do not pause."""

import asyncio
from collections.abc import Iterator
import contextlib
import heapq
import itertools

from lacewingpitch import clock as clock_module
from lacewingpitch import token_bucket

# An engine reads prompts between the tokens of its streams, 30 to 40
# tokens a ms where it was measured, and an event takes 30 to 40 ms without
# that.  A pause of 250 ms then bears 6,000 tokens: the burst and what
# comes at this rate within a pause are 6,000 together.
_TOKENS_PER_S = 14_000.0
_BURST_TOKENS = 2_500.0


class PrefillPacer:
    """Lets requests go to one engine as it can read their prompts.

    Load it answers: bursts of new streams at an engine whose batch has
    places left.  Admitted together, their prompts are read in one go,
    and each stream that runs there pauses for that long.  The more
    urgent goes first, then who came first.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._bucket = token_bucket.TokenBucket(
            _TOKENS_PER_S,
            _BURST_TOKENS,
            _BURST_TOKENS,
            clock.monotonic_s(),
        )
        self._waiting: list[tuple[int, int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    def wait_s(self) -> float:
        """Return how long a request that came now would wait."""
        now_s = self._clock.monotonic_s()
        tokens = sum(tokens for _, _, tokens, _ in self._waiting)
        missing = tokens + 1.0 - self._bucket.level(now_s)
        return max(0.0, missing / _TOKENS_PER_S)

    async def admit(self, tokens: int, rank: int) -> None:
        """Wait until the engine can read a prompt.

        Parameters
        ----------
        rank
            Urgency; 0 is the most urgent.
        """
        now_s = self._clock.monotonic_s()
        if not self._waiting and self._bucket.level(now_s) > 0.0:
            self._bucket.add(-tokens, now_s)
            return
        turn = asyncio.get_running_loop().create_future()
        entry = (rank, next(self._numbers), tokens, turn)
        heapq.heappush(self._waiting, entry)
        self._schedule()
        with self._forgotten_if_cancelled(entry):
            await turn

    @contextlib.contextmanager
    def _forgotten_if_cancelled(
        self, entry: tuple[int, int, int, asyncio.Future[None]]
    ) -> Iterator[None]:
        try:
            yield
        except asyncio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def _schedule(self) -> None:
        if self._timer is None and self._waiting:
            now_s = self._clock.monotonic_s()
            # A prompt of any size goes once the debt of those before is
            # paid, and then leaves a debt of its own.
            wait_s = self._bucket.wait_s(1.0, now_s)
            self._timer = asyncio.get_running_loop().call_later(
                wait_s, self._give
            )

    def _give(self) -> None:
        self._timer = None
        now_s = self._clock.monotonic_s()
        while self._waiting and self._bucket.level(now_s) > 0.0:
            _, _, tokens, turn = heapq.heappop(self._waiting)
            if not turn.done():
                self._bucket.add(-tokens, now_s)
                turn.set_result(None)
        self._schedule()
