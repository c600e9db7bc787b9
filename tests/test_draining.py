"""Draining of an entry, in virtual time."""

import asyncio

from benchmarks import virtual_time
from lacewingpitch import draining


class Frontend:
    """Counts requests, and records when it stops listening."""

    def __init__(self):
        self.is_draining = False
        self.is_refusing = False
        self.in_progress = 0
        self.listening_until_s = None
        self.closed_idle = False
        self.ended_at_s = None

    async def stop_listening(self):
        if self.listening_until_s is None:
            self.listening_until_s = asyncio.get_running_loop().time()

    async def close_idle(self):
        assert self.listening_until_s is not None
        self.closed_idle = True

    async def end_requests(self, limit_s):
        self.ended_at_s = asyncio.get_running_loop().time()
        await asyncio.sleep(limit_s)


def play(frontend, drain_s=8.0, end_at_s=None):
    async def main():
        loop = asyncio.get_running_loop()
        if end_at_s is not None:
            loop.call_later(end_at_s, setattr, frontend, 'in_progress', 0)
        await draining.drain(frontend, virtual_time.LoopClock(), drain_s)
        return loop.time()

    return virtual_time.run(main())


class TestDrain:
    def test_accepts_requests_until_the_balancer_has_removed_it(self):
        frontend = Frontend()
        took_s = play(frontend)
        assert frontend.is_draining
        assert 2.0 < frontend.listening_until_s < 2.4
        assert frontend.closed_idle
        assert 2.8 < took_s < 3.1

    def test_waits_for_requests_in_progress(self):
        """Guards against cutting a stream while an instance is replaced."""
        frontend = Frontend()
        frontend.in_progress = 1
        assert 4.9 < play(frontend, end_at_s=5.0) < 5.2
        assert frontend.is_refusing

    def test_ends_before_the_process_is_killed(self):
        frontend = Frontend()
        frontend.in_progress = 1
        assert 7.0 < play(frontend) < 7.6
        assert 7.0 < frontend.ended_at_s < 7.4

    def test_a_short_drain_leaves_most_of_its_time_to_answers(self):
        """Guards against answers cut well before the process must end."""
        frontend = Frontend()
        frontend.in_progress = 1
        play(frontend, drain_s=4.0)
        assert 4.0 * 5 / 6 < frontend.ended_at_s < 4.0
