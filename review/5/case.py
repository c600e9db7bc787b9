"""A part that crashes engines comes in prompts of many parts."""

import asyncio
import pathlib
from typing import Any

from aiohttp import web

from review.standins_2 import deployment
from tests import crash_scene
from tests import platform_standin
from tests import standin_crashes

CONTACT_S = 3.0
# Engines are back after some seconds.
DOWN_S = 2.0
CALM_S = 3.0
PLAY_S = 25.0
DEADLY_PAUSE_S = 0.5
SOUND_PAUSE_S = 0.2
CRASHES_OF_PART = 5
MOST_LATE_SENDS = 3
FIRST_PART = 'aa01:198'
DEADLY_PART = 'dead0bad'
# A long conversation: each of its turns is a part.
TURN_COUNT = 66


class RecordingEngine(platform_standin.Engine):
    """Records the requests that arrive, and crashes under one part."""

    record: deployment.Record

    def record_arrival(self, request: web.Request) -> None:
        """Record a request that has arrived."""
        super().record_arrival(request)
        request_id = request.headers['Request-Id']
        self.record.add(f'{self.name} gets {request_id}')

    def crash(self, is_in_order: bool = False) -> None:
        """End all open connections; accept none until it is up again."""
        self.record.add(f'{self.name} crashes')
        super().crash(is_in_order)


def _headers(parts: list[str], number: int) -> dict[str, str]:
    listed = [*parts, f'cc{number:06x}:60']
    tokens = sum(int(part.partition(':')[2]) for part in listed)
    return {
        'Model': f'{platform_standin.MODEL}/a7',
        'Token-Usage': f'{tokens},294',
        standin_crashes.PARTS: ','.join(listed),
    }


def _turns() -> list[str]:
    return [f'bb{number:04x}:10' for number in range(TURN_COUNT)]


def sound(number: int) -> tuple[str, str, bytes, dict[str, str]]:
    """Return a sound request with all other parts of a deadly one."""
    headers = _headers([FIRST_PART, *_turns()], number)
    return 'o-', '/chat/x', b'sound %d' % number, headers


def deadly(number: int) -> tuple[str, str, bytes, dict[str, str]]:
    """Return a request unlike all others with the part that crashes."""
    parts = [FIRST_PART, *_turns(), f'{DEADLY_PART}:60']
    headers = _headers(parts, number)
    return crash_scene.DEADLY, '/chat/x', b'deadly %d' % number, headers


async def play(folder: pathlib.Path, record: deployment.Record) -> str:
    """Return how many requests with the part reached engines too late."""
    RecordingEngine.record = record
    engines = deployment.new_engines(4, RecordingEngine)
    async with deployment.Deployment(folder, record, 2, engines) as platform:
        scene: Any = crash_scene.CrashScene(platform, engines, DOWN_S)
        for engine in engines:
            engine.crashes.part = DEADLY_PART
        await scene.press(CALM_S, SOUND_PAUSE_S, sound)
        loads = [scene.press(PLAY_S, SOUND_PAUSE_S, sound)]
        if deployment.HAS_TROUBLE:
            loads.append(scene.press(PLAY_S, DEADLY_PAUSE_S, deadly))
        await asyncio.gather(*loads)
    for answer in scene.answers:
        record.add(f'answer: {answer}')
    late = scene.late_sends(CRASHES_OF_PART)
    record.add(
        f'crashes: {len(scene.crashed_at_s)}; requests with the part that '
        f'reached engines: {len(scene.deadly_arrivals())}, of them {late} '
        f'later than {CONTACT_S:g} s after the fifth crash; sound requests '
        f'served: {scene.served_ratio():.2f}'
    )
    if late <= MOST_LATE_SENDS:
        return ''
    return f'{late} requests reached engines after the bound'


if __name__ == '__main__':
    deployment.run(play, __file__)
