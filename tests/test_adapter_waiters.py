"""Waiting requests by adapter, and their waiting cost."""

import asyncio

import pytest

from benchmarks import virtual_time
from lacewingpitch import adapter_waiters


def run(scenario):
    async def main():
        clock = virtual_time.LoopClock()
        await scenario(adapter_waiters.AdapterWaiters(clock))

    virtual_time.run(main())


class TestAdapterWaiters:
    def test_requests_of_one_adapter_are_popped_together(self):
        async def scenario(waiters):
            first = waiters.add('a', 1.0)
            waiters.add('b', 1.0)
            second = waiters.add('a', 1.0)
            assert len(waiters) == 3
            assert list(waiters) == ['a', 'b']
            assert waiters.pop_all('a') == [first, second]
            assert 'a' not in waiters and 'b' in waiters

        run(scenario)

    def test_cancelled_request_is_not_returned(self):
        """An adapter is held for ever for a cancelled request."""

        async def scenario(waiters):
            first, second = waiters.add('a', 1.0), waiters.add('a', 1.0)
            waiters.remove('a', first)
            second.future.cancel()
            assert waiters.pop_all('a') == []
            waiters.remove('a', second)
            assert not waiters

        run(scenario)

    def test_cost_grows_with_the_wait(self):
        """An adapter with a single waiting request is never loaded.

        Other adapters, each with more waiting requests, always go first.
        """

        async def scenario(waiters):
            waiters.add('rare', 1.0)
            await asyncio.sleep(60.0)
            waiters.add('hot', 1.0)
            waiters.add('hot', 1.0)
            assert waiters.cost('rare') == pytest.approx(3.0)
            assert waiters.cost('hot') == pytest.approx(2.0)
            assert waiters.longest_wait_s('rare') == pytest.approx(60.0)
            assert waiters.longest_wait_s('other') == 0.0

        run(scenario)
