"""Timeouts of many waits that share one timer."""

import asyncio

import pytest

from benchmarks import virtual_time
from lacewingpitch import idle_timeout

LIMIT_S = 5.0


class TestExpiry:
    def test_each_wait_ends_at_its_own_limit(self):
        async def main():
            limit = idle_timeout.IdleTimeout(LIMIT_S)
            loop = asyncio.get_running_loop()
            for short_s in (0.0, 1.0, 4.0, 4.9):
                with limit:
                    await asyncio.sleep(short_s)
                began_s = loop.time()
                with pytest.raises(TimeoutError), limit:
                    await asyncio.sleep(100.0)
                assert loop.time() - began_s == pytest.approx(LIMIT_S)
            assert asyncio.current_task().cancelling() == 0

        virtual_time.run(main())

    def test_time_between_the_waits_does_not_count(self):
        async def main():
            faults = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, found: faults.append(found))
            limit = idle_timeout.IdleTimeout(LIMIT_S)
            for _ in range(20):
                with limit:
                    await asyncio.sleep(4.0)
                await asyncio.sleep(3 * LIMIT_S)
            assert not faults

        virtual_time.run(main())


class TestCancellation:
    @pytest.mark.parametrize(
        'cancel_s',
        [1.0, LIMIT_S],
        ids=['before the limit', 'in the moment of the limit'],
    )
    def test_wins_over_expiry(self, cancel_s):
        # The caller may disconnect in the same iteration of the event loop
        # in which the sidecar's timeout expires.  If its cancellation were
        # treated as the timeout, the request would continue without a
        # caller.
        async def wait(limit):
            with limit:
                await asyncio.sleep(100.0)

        async def main():
            limit = idle_timeout.IdleTimeout(LIMIT_S)
            task = asyncio.create_task(wait(limit))
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()
            loop.call_later(cancel_s, task.cancel)
            with pytest.raises(asyncio.CancelledError):
                await task

        virtual_time.run(main())


class TestTimer:
    def test_many_waits_share_one_timer(self):
        async def main():
            loop = asyncio.get_running_loop()
            limit = idle_timeout.IdleTimeout(LIMIT_S)
            for _ in range(100):
                with limit:
                    await asyncio.sleep(0)
            assert len(loop._scheduled) == 1
            limit.close()

        virtual_time.run(main())

    def test_the_timer_of_a_dropped_object_ends(self):
        async def main():
            loop = asyncio.get_running_loop()
            with idle_timeout.IdleTimeout(LIMIT_S):
                pass
            await asyncio.sleep(LIMIT_S + 1.0)
            assert not loop._scheduled

        virtual_time.run(main())
