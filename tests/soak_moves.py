"""Streams of the soak test that move as their engines leave."""

import random

from tests import soak_notices

PARTS = ('moving-runs',)
# Five events may last longer than an engine that leaves.
_SLOW_PAUSE_S = 0.7
_PAUSE_S = 0.02


def slow_down(engines):
    """Have the engines' streams last for seconds."""
    for engine in engines:
        engine.event_pause_s = _SLOW_PAUSE_S


def speed_up(engines):
    """Have the engines' streams last as long as without moves."""
    for engine in engines:
        engine.event_pause_s = _PAUSE_S


def plan(seed, length_s):
    """Return when the engines leave, one after the other."""
    rng = random.Random(f'moves/{seed}')
    return [
        soak_notices.PlannedNotice(
            (number + rng.uniform(0.2, 0.4)) * length_s / 2,
            number,
            length_s / 2,
        )
        for number in range(2)
    ]


def check(copies):
    """Yield what must never happen to the memory of runs."""
    repeated = {h for h in copies.used if copies.used.count(h) > 1}
    if repeated:
        yield f'handles were used twice: {sorted(repeated)[:3]}'
    if copies.overlaps:
        yield f'two engines ran {copies.overlaps[:3]}'
    if copies.mixed:
        yield f'memory of another request: {copies.mixed[:3]}'
