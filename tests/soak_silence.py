"""Servers of the soak test that fall silent for a moment and go on."""

import asyncio
import contextlib
import dataclasses
import random

from tests import soak_crashes
from tests import soak_faults

_SILENT_S = (1.0, 2.0)
_GAP_S = (0.5, 1.5)
# Streams are slow from so long before, so that many are in progress.
_LEAD_S = 1.0
_EVENT_PAUSE_S = 0.15
# Servers by number, the engines first.
_GROUPS = ((0,), (1,), (0, 1), (0, 1), (2,), (2, 3), (0, 1, 2, 3))
_CRASH = 'crash'
_BESIDE = (
    '',
    'configuration',
    'reload',
    'terminate',
    'kill',
    'engine_restart',
    _CRASH,
)
_BESIDE_S = (0.2, 3.0)
# A pooled connection may turn out to be broken so much later.
_MARGIN_S = 1.0
# Time after which planned work may cut requests: never, or in the last sixth
# of its grace.
_CUTS_AFTER_S = {'reload': float('inf'), 'terminate': 4.0 * 5 / 6}


@dataclasses.dataclass(frozen=True)
class PlannedSilence:
    """A time in which some servers write nothing.

    Parameters
    ----------
    beside
        Fault that begins with it.
    crashed
        Number of the server that crashes as it begins.
    """

    at_s: float
    for_s: float
    servers: tuple[int, ...]
    beside: soak_faults.PlannedFault | None = None
    crashed: int | None = None


def plan(seed, targets, length_s):
    """Return the silences of a run, one after the other.

    They have a schedule of their own, so that the faults of each seed stay
    as they are.
    """
    rng = random.Random(f'silence/{seed}')
    found = []
    at_s = rng.uniform(*_GAP_S)
    while at_s < length_s:
        for_s = rng.uniform(*_SILENT_S)
        servers = rng.choice(_GROUPS)
        beside = _beside(rng, targets)
        found.append(PlannedSilence(at_s, for_s, servers, **beside))
        at_s += _LEAD_S + for_s + rng.uniform(*_GAP_S)
    return found


def _beside(rng, targets):
    kind = rng.choice(_BESIDE)
    if not kind:
        return {}
    if kind == _CRASH:
        return {'crashed': rng.randrange(max(map(max, _GROUPS)) + 1)}
    target_kind = soak_faults.TARGET_KINDS[soak_faults.BY_NAME[kind]]
    target = rng.choice(targets[target_kind])
    for_s = rng.uniform(*_BESIDE_S)
    return {'beside': soak_faults.PlannedFault(0.0, kind, target, for_s)}


async def play(scene, servers, planned):
    """Have servers fall silent as planned, while streams are slow."""
    now_s = 0.0
    for silence in planned:
        await asyncio.sleep(silence.at_s - now_s)
        with _slow_streams(scene.platform.engines):
            await asyncio.sleep(_LEAD_S)
            async with asyncio.TaskGroup() as group:
                _begin(scene, servers, silence, group)
                await asyncio.sleep(silence.for_s)
        now_s = silence.at_s + _LEAD_S + silence.for_s


@contextlib.contextmanager
def _slow_streams(engines):
    pauses_s = [engine.event_pause_s for engine in engines]
    for engine in engines:
        engine.event_pause_s = max(engine.event_pause_s, _EVENT_PAUSE_S)
    yield
    for engine, pause_s in zip(engines, pauses_s, strict=True):
        engine.event_pause_s = pause_s


def _begin(scene, servers, silence, group):
    for number in silence.servers:
        servers[number].fall_silent(silence.for_s)
    if silence.beside is not None:
        group.create_task(scene.inject(silence.beside))
    if silence.crashed is not None:
        soak_crashes.crash(scene, servers[silence.crashed])


def check(scene, servers):
    """Yield calls that got no whole answer, though nothing was disturbed.

    A server that is silent for a moment is not disturbed.
    """
    sidecars = [p for p in scene.platform.programs if p.role == 'sidecar']
    needed = {}
    for number, server in enumerate(servers):
        needed[server] = {('link', server.link), ('server', server.link)}
        if number < len(sidecars):
            needed[server].add(('process', sidecars[number].name))
    arrived = {
        server: {name for name, _, _ in server.arrivals} for server in servers
    }
    for call in scene.checker.calls:
        passed_to = [s for s in servers if call.id in arrived[s]]
        if not passed_to or not call.is_lost:
            continue
        if any(call.id in server.broken_off for server in passed_to):
            continue
        entry = scene.entry_name(call.entry)
        targets = {('process', entry), ('link', entry)}
        targets.update(*(needed[server] for server in passed_to))
        if not scene.disturbances.any_of(
            targets,
            call.sent_at_s - _MARGIN_S,
            call.ended_at_s,
            begins_after_s=_CUTS_AFTER_S,
        ):
            links = [server.link for server in passed_to]
            yield (
                f'{call.id} at entry {call.entry}, passed on to {links}, '
                f'was lost after {call.ended_at_s - call.sent_at_s:.2f} s: '
                f'status {call.status}, {call.error}'
            )
