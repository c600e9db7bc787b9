"""Who waits for which adapter, and what it costs."""

import asyncio

import pytest

from benchmarks import virtual_time
from lacewingpitch import adapter_waiters


def play(story):
    async def main():
        clock = virtual_time.LoopClock()
        await story(adapter_waiters.AdapterWaiters(clock))

    virtual_time.run(main())


class TestAdapterWaiters:
    def test_those_of_one_adapter_get_it_together(self):
        async def story(waiters):
            first = waiters.add('a', 1.0)
            waiters.add('b', 1.0)
            second = waiters.add('a', 1.0)
            assert len(waiters) == 3
            assert list(waiters) == ['a', 'b']
            assert waiters.take_all('a') == [first, second]
            assert 'a' not in waiters and 'b' in waiters

        play(story)

    def test_one_that_has_left_is_not_served(self):
        """An adapter is held for a request that is gone, for ever."""

        async def story(waiters):
            first, second = waiters.add('a', 1.0), waiters.add('a', 1.0)
            waiters.remove('a', first)
            second.given.cancel()
            assert waiters.take_all('a') == []
            waiters.remove('a', second)
            assert not waiters

        play(story)

    def test_costs_more_the_longer_it_lasts(self):
        """An adapter that one request wants is never loaded.

        Others, each with more that wait, always go ahead of it.
        """

        async def story(waiters):
            waiters.add('rare', 1.0)
            await asyncio.sleep(60.0)
            waiters.add('hot', 1.0)
            waiters.add('hot', 1.0)
            assert waiters.cost('rare') == pytest.approx(3.0)
            assert waiters.cost('hot') == pytest.approx(2.0)
            assert waiters.longest_wait_s('rare') == pytest.approx(60.0)
            assert waiters.longest_wait_s('other') == 0.0

        play(story)
