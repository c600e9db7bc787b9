"""Release of prompts to an engine, in virtual time."""

import asyncio

from benchmarks import virtual_time
from lacewingpitch import prefill_pacer

# An engine that reads 40 tokens per ms, and a longest gap between events of
# 250 ms that is still on time.
ENGINE_TOKENS_PER_S = 40_800.0
MAX_GAP_S = 0.25


def play(arrivals):
    """Return when each (time, tokens, route, rank) was released."""

    async def main():
        pacer = prefill_pacer.PrefillPacer(virtual_time.LoopClock())
        loop = asyncio.get_running_loop()

        async def one(at_s, tokens, route, rank):
            await asyncio.sleep(at_s)
            await pacer.admit(tokens, route, rank)
            return loop.time()

        return await asyncio.gather(*(one(*a) for a in arrivals))

    return virtual_time.run(main())


class TestStalls:
    def test_burst_stalls_no_stream_beyond_its_target(self):
        """Guards against prompts read in one go that stall all streams."""
        tokens = 800
        times_s = play([(0.0, tokens, 'r', 0)] * 20)
        worst = max(
            sum(tokens for other in times_s if 0 <= other - at_s < MAX_GAP_S)
            for at_s in times_s
        )
        assert worst / ENGINE_TOKENS_PER_S < 0.18
        assert max(times_s) < 1.0

    def test_a_single_request_does_not_wait(self):
        assert play([(1.0, 3000, 'r', 0)]) == [1.0]


class TestShares:
    def test_less_urgent_routes_are_not_starved(self):
        """Guards against urgent prompts that starve other routes."""
        urgent = [(n * 0.02, 800, 'chat', 0) for n in range(100)]
        others = [(n * 0.1, 2400, 'digest', 2) for n in range(20)]
        times_s = play(urgent + others)
        done_urgent = sum(at_s <= 2.0 for at_s in times_s[:100])
        done_others = sum(at_s <= 2.0 for at_s in times_s[100:])
        shares = (done_urgent * 800, done_others * 2400)
        assert 0.1 < shares[1] / sum(shares) < 0.35

    def test_urgent_route_goes_ahead(self):
        arrivals = [(0.0, 2400, 'digest', 2)] * 5 + [(0.01, 800, 'chat', 0)]
        times_s = play(arrivals)
        assert times_s[-1] < sorted(times_s[:-1])[2]


class TestWait:
    def test_estimate_matches_the_actual_wait(self):
        async def main():
            pacer = prefill_pacer.PrefillPacer(virtual_time.LoopClock())
            waits = [
                asyncio.create_task(pacer.admit(1000, 'r', 0))
                for _ in range(8)
            ]
            await asyncio.sleep(0)
            expected_s = pacer.wait_s(1000, 'r', 0)
            started_s = asyncio.get_running_loop().time()
            await pacer.admit(1000, 'r', 0)
            await asyncio.gather(*waits)
            return expected_s, asyncio.get_running_loop().time() - started_s

        expected_s, waited_s = virtual_time.run(main())
        # The rate falls again while the last prompts are released.
        assert abs(expected_s - waited_s) < 0.2 * waited_s

    def test_cancelled_request_frees_the_queue(self):
        async def main():
            pacer = prefill_pacer.PrefillPacer(virtual_time.LoopClock())
            await pacer.admit(3000, 'r', 0)
            abandoned = asyncio.create_task(pacer.admit(50_000, 'r', 0))
            await asyncio.sleep(0)
            abandoned.cancel()
            await asyncio.wait([abandoned])
            return pacer.wait_s()

        assert virtual_time.run(main()) < 0.2
