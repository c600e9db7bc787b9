"""How an entry ends, in virtual time."""

import asyncio

from benchmarks import virtual_time
from lacewingpitch import draining


class Front:
    """Counts requests, and notes what it was told and when."""

    def __init__(self):
        self.is_draining = False
        self.is_refusing = False
        self.in_progress = 0
        self.listening_until_s = None
        self.closed_idle = False

    async def stop_listening(self):
        if self.listening_until_s is None:
            self.listening_until_s = asyncio.get_running_loop().time()

    def close_idle(self):
        assert self.listening_until_s is not None
        self.closed_idle = True


def play(front, drain_s=8.0, end_at_s=None):
    async def main():
        loop = asyncio.get_running_loop()
        if end_at_s is not None:
            loop.call_later(end_at_s, setattr, front, 'in_progress', 0)
        await draining.drain(front, virtual_time.LoopClock(), drain_s)
        return loop.time()

    return virtual_time.run(main())


class TestDrain:
    def test_takes_requests_until_the_balancer_has_noticed(self):
        front = Front()
        took_s = play(front)
        assert front.is_draining
        assert 2.0 < front.listening_until_s < 2.4
        assert front.closed_idle
        assert 2.8 < took_s < 3.1

    def test_waits_for_what_is_in_progress(self):
        """A stream breaks off while an instance is replaced."""
        front = Front()
        front.in_progress = 1
        assert 4.9 < play(front, end_at_s=5.0) < 5.2
        assert front.is_refusing

    def test_ends_before_it_is_ended_by_force(self):
        front = Front()
        front.in_progress = 1
        assert 7.0 < play(front) < 7.4
