"""An event loop in virtual time, which makes asyncio code repeatable.

No call waits: when no callback is ready, the time advances to the next
timer.  A loop without a timer is a deadlock, and raises an error.
"""

import asyncio
import selectors

WALL_TIME_AT_START_S = 1.8e9


class _AdvancingSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('deadlock: no timer is left')
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting."""

    def __init__(self):
        self._selector = _AdvancingSelector()
        super().__init__(self._selector)

    def time(self):
        return self._selector.now_s


class LoopClock:
    """A clock for the product that reads the running loop's time."""

    def monotonic_s(self):
        return asyncio.get_running_loop().time()

    def wall_s(self):
        return WALL_TIME_AT_START_S + self.monotonic_s()

    def boot_s(self):
        return self.monotonic_s()


def run(main):
    """Run a coroutine in a virtual loop and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
