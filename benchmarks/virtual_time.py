"""An event loop whose clock jumps to the next timer: no time is spent."""

import asyncio
import heapq


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs coroutines of one process in virtual time."""

    def __init__(self):
        self._now_s = 0.0
        super().__init__()

    def time(self):
        return self._now_s

    def _run_once(self):
        timers = self._scheduled
        while timers and timers[0].cancelled():
            timer = heapq.heappop(timers)
            timer._scheduled = False
            self._timer_cancelled_count -= 1
        if timers and not self._ready:
            self._now_s = max(self._now_s, timers[0].when())
        super()._run_once()


class LoopClock:
    """The virtual loop's time, as the product reads it."""

    def monotonic_s(self):
        return asyncio.get_running_loop().time()

    def wall_s(self):
        return 1.8e9 + self.monotonic_s()


def run(main):
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
