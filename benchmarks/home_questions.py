"""The share of requests that ask an adapter's home, at the target size.

The home is the sidecar that holds the adapter's directory entry.

Run ``python -m benchmarks.home_questions`` (one region) or with ``4``
(all regions).  One base model of five: 50 sidecars, 95 entry instances
with 2.74 requests a second each and 1,800 adapters for each region, in
virtual time.  Only the second half of the time is counted.
"""

import asyncio
import sys

from benchmarks import policy
from benchmarks import policy_workloads
from lacewingpitch import settings

_DURATION_S = 160.0
_SIDECAR_COUNT = 50
_ENTRY_COUNT = 95
_ADAPTER_COUNT = 1_800
_SESSIONS_PER_S = 26.0


def make_site(regions):
    """Return a fleet for one base model."""
    return policy_workloads.Site(
        'fleet',
        (_SIDECAR_COUNT * regions,),
        settings.StoreSettings(loads_per_s=12.0 * regions, loads_at_once=4),
        stall_weight=0.5,
        sessions_per_s=_SESSIONS_PER_S * regions,
        session_requests=10.0,
        session_gap_s=2.0,
        tokens=80.0,
        length_s=_DURATION_S,
        adapter_count=_ADAPTER_COUNT * regions,
        entry_count=_ENTRY_COUNT * regions,
        region_count=regions,
    )


class _CountingHomes(policy.DirectHomes):
    asked_count = 0

    async def locate(self, home, request):
        is_counted = asyncio.get_running_loop().time() >= _DURATION_S / 2
        _CountingHomes.asked_count += is_counted
        return await super().locate(home, request)


def main():
    """Print the share of the requests that asked a home."""
    regions = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    workload = policy_workloads.Workload('fleet', make_site(regions))
    policy.DirectHomes = _CountingHomes
    result = policy.run_policy(workload, 'lacewingpitch')
    counted = sum(
        request.at_s >= _DURATION_S / 2
        for request in policy_workloads.make_requests(workload)
    )
    share = _CountingHomes.asked_count / counted
    print(
        f'{regions} regions, {counted:,} requests, {share:.3f} asked,'
        f' stall {result.stall_mean_s:.3f} s, refused {result.refused}'
    )


if __name__ == '__main__':
    main()
