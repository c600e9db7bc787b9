"""Servers that name request rate limits in the soak test."""

import asyncio
import dataclasses
import random

CONTACT_S = 3.0
# From half a second after an entry has heard of a limit, it has to follow it.
HEARD_S = 0.5
WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS_COUNT = 5
_MIN_PERIOD_S = 4.0
_LIMITS_PER_S = (0.3, 6.0)
_NAMING_RATIO = 0.6


@dataclasses.dataclass(frozen=True)
class PlannedLimit:
    """A time in which one server names a limit."""

    at_s: float
    server: int
    per_s: float
    for_s: float


def plan(seed, server_count, length_s):
    """Return the limits of a run.

    They have a schedule of their own, so that the faults of each seed stay
    as they are.
    """
    rng = random.Random(f'limits/{seed}')
    found = []
    for server in range(server_count):
        if rng.random() > _NAMING_RATIO:
            continue
        at_s = rng.uniform(0.0, max(0.0, length_s - _MIN_PERIOD_S))
        for_s = rng.uniform(_MIN_PERIOD_S, max(_MIN_PERIOD_S, length_s - at_s))
        found.append(
            PlannedLimit(at_s, server, rng.uniform(*_LIMITS_PER_S), for_s)
        )
    return found


async def name(server, planned):
    """Have a server name a limit for a time."""
    await asyncio.sleep(planned.at_s)
    server.set_limit(round(planned.per_s, 2))
    await asyncio.sleep(planned.for_s)
    server.set_limit(None)


def check(servers):
    """Yield what servers got beyond their limits."""
    for server in servers:
        for per_s, named_at_s, until_s in server.limit_periods():
            most = most_in_window(server.arrived_at_s, named_at_s, until_s)
            if most > allowed(per_s):
                yield (
                    f'{server.name} named {per_s} requests a second and got '
                    f'{most} in {WINDOW_S:.0f} s'
                )


def allowed(per_s):
    """Return the most requests that a limit allows in a window."""
    return EXCESS_RATIO * per_s * WINDOW_S + EXCESS_COUNT


def most_in_window(arrived_at_s, named_at_s, until_s=float('inf')):
    """Return the most requests in any window in which a limit binds.

    It binds from `CONTACT_S` after it was first named, and counts what
    arrives from `HEARD_S` after that.
    """
    counted_s = [
        at_s for at_s in arrived_at_s if named_at_s + HEARD_S < at_s < until_s
    ]
    ends_s = [at_s for at_s in counted_s if at_s > named_at_s + CONTACT_S]
    return max(
        (
            sum(end_s - WINDOW_S < at_s <= end_s for at_s in counted_s)
            for end_s in ends_s
        ),
        default=0,
    )
