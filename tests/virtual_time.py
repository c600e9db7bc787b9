"""An event loop whose time jumps to the next timer."""

import asyncio


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self):
        super().__init__()
        self._now_s = 1000.0

    def time(self):
        return self._now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0].when())
        super()._run_once()


class LoopClock:
    """The clock of the running loop."""

    def monotonic_s(self):
        return asyncio.get_running_loop().time()

    def wall_s(self):
        return self.monotonic_s()


def run(coroutine):
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
