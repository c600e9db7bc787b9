"""Costs of a claim: latency, processor time and memory.

Run ``python -m benchmarks.claims``.  Requests with and without a key
alternate through the same real processes, so that the ratios hold on a
noisy machine; absolute figures do not apply to another machine.
"""

import asyncio
import pathlib
import statistics
import tempfile
import time
import tracemalloc

import numpy
import psutil

from lacewingpitch import clock
from lacewingpitch import live_list
from lacewingpitch import voter
from tests import processes

_REQUEST_COUNT = 600
_ROUND_COUNT = 5
_VOTE_COUNT = 100_000
_CLOCK_OFFSET_S = 66.0
_KEY_COUNT = 500
_CLOCK_SETTINGS = {'clock_skew_s': 0.5, 'list_lag_s': 5.0}


class OffsetClock(clock.SystemClock):
    """The system clock with its wall time ahead by a fixed offset."""

    offset_s = 0.0

    def wall_s(self):
        return super().wall_s() + self.offset_s


def make_instances(count):
    return tuple(
        live_list.Instance(
            name=f'sidecar-{number}',
            role=live_list.Role.SIDECAR,
            region='region-a',
            availability_zone=f'zone-{number % 3}',
            ip='127.0.0.1',
            work_port=1,
            control_port=2,
        )
        for number in range(count)
    )


def make_voter(members):
    found_clock = OffsetClock()
    found = voter.Voter(
        members[0].name,
        found_clock,
        window_s=600.0,
        skew_s=5.0,
        list_lag_s=60.0,
        list_age_s=lambda: 0.0,
        max_votes=_VOTE_COUNT,
    )
    found.apply_list(members)
    found_clock.offset_s = _CLOCK_OFFSET_S
    return found


def make_vote_request(key, voters):
    return voter.VoteRequest(
        customer='customer-0001',
        key=key,
        region='region-a',
        claim_id=processes.new_key(),
        holder='sidecar-0',
        digest='0' * 32,
        voters=tuple(sorted(voters.names)),
        quorum=voters.quorum,
    )


def measure_memory():
    """Print the memory of a vote in a table of the maximum size."""
    members = make_instances(1)
    found = make_voter(members)
    voters = voter.select_voters('', '', 'region-a', members)
    offset = int(1000 * _CLOCK_OFFSET_S) << 80
    tracemalloc.start()
    for _ in range(_VOTE_COUNT):
        made = processes.uuid.UUID(processes.new_key()).int + offset
        key = str(processes.uuid.UUID(int=made))
        found.vote(make_vote_request(key, voters))
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(found) == _VOTE_COUNT
    print(f'memory: {used_bytes / _VOTE_COUNT:.0f} bytes per vote')


def measure_votes():
    """Print the processor time to find a key's voters in one list.

    A vote does this once for each list that was current since one list
    lag before the creation of the key.
    """
    for count in (9, 13, 250, 1000):
        members = make_instances(count)
        keys = [processes.new_key() for _ in range(_KEY_COUNT)]
        started_s = time.process_time()
        for key in keys:
            voter.select_voters('customer-0001', key, 'region-a', members)
        took_s = (time.process_time() - started_s) / len(keys)
        print(f'voters of a key: {1e6 * took_s:.0f} us of {count} sidecars')


async def call(deployment, key):
    started_s = time.perf_counter()
    async with deployment.call(
        deployment.entries[0], 'haneul', 'ficus', key=key
    ) as response:
        await response.read()
        assert response.status == 200, await response.text()
    return time.perf_counter() - started_s


def processor_s(deployment):
    return sum(
        sum(psutil.Process(s._process.pid).cpu_times()[:2])
        for s in deployment.sidecars
    )


async def measure_path(folder):
    """Print ratios of requests with a key to requests without one."""
    async with processes.Deployment(folder) as deployment:
        for zone in 'abcde':
            await deployment.add_engine(
                '--token-s=0',
                availability_zone=f'zone-{zone}',
                **_CLOCK_SETTINGS,
            )
        await deployment.add_entry(**_CLOCK_SETTINGS)
        deployment.add_customer(
            'haneul', 'ficus', limits=processes.WIDE_LIMITS
        )
        await deployment.publish()

        async def is_granted():
            try:
                await call(deployment, processes.new_key())
            except AssertionError:
                return False
            return True

        await processes.wait_until(is_granted)
        ratios = []
        for _ in range(_ROUND_COUNT):
            ratios.append(await measure_round(deployment))
        for number, name in enumerate(('p50', 'p95', 'processor')):
            found = sorted(ratio[number] for ratio in ratios)
            print(
                f'path: {name} with a key to without: '
                f'{statistics.median(found):.2f} '
                f'({found[0]:.2f} to {found[-1]:.2f})'
            )


async def measure_round(deployment):
    times = {False: [], True: []}
    spent_s = {False: 0.0, True: 0.0}
    for _ in range(4):
        for with_key in (False, True):
            before_s = processor_s(deployment)
            for _ in range(_REQUEST_COUNT // 8):
                key = processes.new_key() if with_key else ''
                times[with_key].append(await call(deployment, key))
            spent_s[with_key] += processor_s(deployment) - before_s
    added_s = (spent_s[True] - spent_s[False]) / len(times[True])
    p50, p95 = (
        numpy.percentile(times[True], q) / numpy.percentile(times[False], q)
        for q in (50, 95)
    )
    print(
        f'round: median {1e3 * statistics.median(times[False]):.2f} ms '
        f'without, {1e3 * statistics.median(times[True]):.2f} ms with; '
        f'{1e6 * added_s:.0f} us of all sidecars added per claim'
    )
    return p50, p95, spent_s[True] / spent_s[False]


def main():
    measure_memory()
    measure_votes()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure_path(pathlib.Path(folder)))


if __name__ == '__main__':
    main()
