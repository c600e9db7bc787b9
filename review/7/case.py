"""A part of prompts crashes engines after a quiet half minute."""

import asyncio
import pathlib
import time
from typing import Any

from aiohttp import web

from review.standins_2 import deployment
from tests import crash_scene
from tests import platform_standin
from tests import standin_crashes

CONTACT_S = 3.0
# Engines are back after some seconds.
DOWN_S = 2.0
CALM_S = 6.0
QUIET_S = 32.0
# Requests with the deadly part come from the end of the quiet on; sound ones
# go on a little later.
DEADLY_PAUSE_S = 0.5
SOUND_AGAIN_AFTER_S = 10.0
SOUND_S = 16.0
SOUND_PAUSE_S = 0.2
MIN_COUNT = 20
FIRST_PART = 'aa01'
DEADLY_PART = 'dead0bad'


class RecordingEngine(platform_standin.Engine):
    """Records the requests that arrive, and crashes under one part."""

    record: deployment.Record

    def record_arrival(self, request: web.Request) -> None:
        """Record a request that has arrived."""
        super().record_arrival(request)
        request_id = request.headers['Request-Id']
        parts = request.headers.get(standin_crashes.PARTS)
        self.record.add(f'{self.name} gets {request_id}: {parts}')

    def crash(self, is_in_order: bool = False) -> None:
        """End all open connections; accept none until it is up again."""
        self.record.add(f'{self.name} crashes')
        super().crash(is_in_order)


def _headers(parts: str, number: int) -> dict[str, str]:
    return {
        'Model': f'{platform_standin.MODEL}/a7',
        'Token-Usage': '826,294',
        standin_crashes.PARTS: f'{parts},cc{number:06x}:628',
    }


def sound(number: int) -> tuple[str, str, bytes, dict[str, str]]:
    """Return a sound request with the first part of all requests."""
    headers = _headers(f'{FIRST_PART}:198', number)
    return 'o-', '/chat/x', b'sound %d' % number, headers


def deadly(number: int) -> tuple[str, str, bytes, dict[str, str]]:
    """Return a request unlike all others with the part that crashes."""
    headers = _headers(f'{FIRST_PART}:198,{DEADLY_PART}:60', number)
    return crash_scene.DEADLY, '/chat/x', b'deadly %d' % number, headers


async def play(folder: pathlib.Path, record: deployment.Record) -> str:
    """Return how few sound requests are served after the crashes."""
    RecordingEngine.record = record
    engines = deployment.new_engines(4, RecordingEngine)
    async with deployment.Deployment(folder, record, 2, engines) as platform:
        scene: Any = crash_scene.CrashScene(platform, engines, DOWN_S)
        for engine in engines:
            engine.crashes.part = DEADLY_PART
        await scene.press(CALM_S, SOUND_PAUSE_S, sound)
        record.add('no request for a while')
        await asyncio.sleep(QUIET_S)
        record.add('requests again')
        quiet_until_s = time.monotonic()
        loads = [_sound_again(scene)]
        if deployment.HAS_TROUBLE:
            length_s = SOUND_AGAIN_AFTER_S + SOUND_S
            loads.append(scene.press(length_s, DEADLY_PAUSE_S, deadly))
        await asyncio.gather(*loads)
    for answer in scene.answers:
        record.add(f'answer: {answer}')
    last_s = max(scene.crashed_at_s, default=quiet_until_s)
    return _judge(scene, record, quiet_until_s, last_s + 2 * CONTACT_S)


async def _sound_again(scene: Any) -> None:
    await asyncio.sleep(SOUND_AGAIN_AFTER_S)
    await scene.press(SOUND_S, SOUND_PAUSE_S, sound)


def _judge(
    scene: Any,
    record: deployment.Record,
    quiet_until_s: float,
    judged_from_s: float,
) -> str:
    found = [a for a in scene.answers if a.request_id.startswith('o-')]
    before = [a for a in found if a.sent_at_s < quiet_until_s]
    after = [a for a in found if a.sent_at_s >= judged_from_s]
    served_before = sum(a.is_served for a in before)
    served_after = sum(a.is_served for a in after)
    record.add(
        f'crashes: {len(scene.crashed_at_s)}; sound requests served: '
        f'{served_before} of {len(before)} before, {served_after} of '
        f'{len(after)} from 6 s after the last crash on; statuses after: '
        f'{sorted({a.status for a in after})}'
    )
    if min(len(before), len(after)) < MIN_COUNT:
        raise RuntimeError('too few requests to judge')
    ratio_before = served_before / len(before)
    ratio_after = served_after / len(after)
    if ratio_after >= ratio_before / 2:
        return ''
    return (
        f'{served_after} of {len(after)} sound requests were served, '
        f'{served_before} of {len(before)} before'
    )


if __name__ == '__main__':
    deployment.run(play, __file__)
