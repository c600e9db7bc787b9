"""An engine that runs a batch in steps, in virtual time."""

import asyncio
import dataclasses
import random

from lacewingpitch import engine_snapshot

# Each run more lengthens a step by this share.
_STEP_GROWTH_RATIO = 0.005
_FALTER_RATIO = 2.5
_FALTER_S = 0.6


@dataclasses.dataclass
class Run:
    """A request at the engine, and when its events were made."""

    prompt_tokens: int
    tokens_left: int
    arrived_at_s: float
    tokens: int = 0
    events_at_s: list = dataclasses.field(default_factory=list)
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def longest_gap_s(self):
        pairs = zip(self.events_at_s, self.events_at_s[1:], strict=False)
        return max((b - a for a, b in pairs), default=0.0)


class BatchEngine:
    """Generates a token of each run in a step, and reads prompts between.

    Parameters
    ----------
    token_s
        Time of a step with few runs.
    piece_tokens
        Longest piece of a prompt that is read between two steps.
    falter_ratio
        Share of the time in which the engine is slower.
    """

    def __init__(
        self,
        token_s,
        prompt_tokens_per_s,
        tokens_per_event=8,
        max_running=32,
        piece_tokens=1500,
        falter_ratio=0.0,
        seed=1,
    ):
        self.token_s = token_s
        self.prompt_tokens_per_s = prompt_tokens_per_s
        self.slowdown = 1.0
        self._tokens_per_event = tokens_per_event
        self._max_running = max_running
        self._piece_tokens = piece_tokens
        self._falter_ratio = falter_ratio
        self._random = random.Random(seed)
        self._runs = {}
        self._arrived = asyncio.Event()
        self._is_faltering = False
        self._falter_changes_at_s = 0.0

    def snapshot(self):
        """Return the engine's report."""
        return engine_snapshot.EngineSnapshot(
            order_count=0,
            is_leaving=False,
            is_busy=False,
            models=frozenset({'m'}),
            held={},
            pending={},
            run_ids=frozenset(self._runs),
            queued=0,
            running=len(self._runs),
            events_by_run={
                name: len(run.events_at_s) for name, run in self._runs.items()
            },
        )

    async def serve(self, name, prompt_tokens, tokens):
        """Run a request to its end, and return its run."""
        loop = asyncio.get_running_loop()
        run = Run(prompt_tokens, tokens, loop.time())
        self._runs[name] = run
        self._arrived.set()
        await run.done.wait()
        return run

    async def work(self):
        """Make steps until cancelled."""
        while True:
            if not self._runs:
                self._arrived.clear()
                await self._arrived.wait()
            await self._step()

    async def _step(self):
        running = list(self._runs.items())[: self._max_running]
        read_tokens = self._read_piece([run for _, run in running])
        generating = [item for item in running if not item[1].prompt_tokens]
        step_s = read_tokens / self.prompt_tokens_per_s
        if generating:
            growth = 1.0 + _STEP_GROWTH_RATIO * len(generating)
            step_s += self.token_s * growth
        await asyncio.sleep(step_s * self.slowdown * self._falter())
        now_s = asyncio.get_running_loop().time()
        for name, run in generating:
            run.tokens += 1
            run.tokens_left -= 1
            is_last = not run.tokens_left
            if is_last or not run.tokens % self._tokens_per_event:
                run.events_at_s.append(now_s)
            if is_last:
                del self._runs[name]
                run.done.set()

    def _read_piece(self, runs):
        for run in runs:
            if run.prompt_tokens:
                read_tokens = min(run.prompt_tokens, self._piece_tokens)
                run.prompt_tokens -= read_tokens
                return read_tokens
        return 0

    def _falter(self):
        now_s = asyncio.get_running_loop().time()
        if self._falter_ratio and now_s >= self._falter_changes_at_s:
            self._is_faltering = (
                not self._is_faltering and self._falter_changes_at_s > 0.0
            )
            mean_s = _FALTER_S
            if not self._is_faltering:
                mean_s *= 1.0 / self._falter_ratio - 1.0
            self._falter_changes_at_s = now_s + self._random.expovariate(
                1.0 / mean_s
            )
        return _FALTER_RATIO if self._is_faltering else 1.0
