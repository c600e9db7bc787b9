"""Requests that crash each server that runs them, with real processes."""

import asyncio

import pytest

from tests import crash_scene
from tests import platform_processes
from tests import standin_crashes

LENGTH_S = 12.0
PAUSE_S = 0.25
# A request under which three servers have crashed may still be on its way.
CRASHES_OF_REQUEST = 3
MOST_LATE_SENDS = 3
# Until entries and sidecars have exchanged their crashes, the request may
# reach further engines.
MOST_CRASHES = 6
CRASHES_OF_PART = 5
CALM_S = 3.0
# Requests that crash engines are the only ones in this time.
QUIET_S = 4.0
LEAST_SERVED = 0.5
MANY_PARTS = tuple(f'bb{number:04x}:10' for number in range(200))
MALFORMED_PARTS = ('aa01:198', '', 'bb02', 'x.y:-3', f'{"f" * 90}:2')
SOUND_PAUSE_S = 0.08


@pytest.fixture
async def platform(tmp_path):
    async with platform_processes.Platform(tmp_path, entry_count=2) as found:
        yield found


@pytest.fixture
def scene(platform):
    found = crash_scene.CrashScene(platform, platform.engines)
    for engine in platform.engines:
        engine.crashes.body = crash_scene.DEADLY_BODY
    return found


async def play(scene):
    await asyncio.gather(
        scene.press(LENGTH_S, PAUSE_S, crash_scene.same_stream),
        scene.press(LENGTH_S, PAUSE_S, crash_scene.other_stream),
    )


class TestCrashingRequest:
    async def test_a_request_that_crashes_engines_is_sent_to_few(self, scene):
        """Guards against one request that crashes engine after engine."""
        await play(scene)
        crashed_at_s = scene.crashed_at_s
        bound_from_s = crashed_at_s[2] + crash_scene.CONTACT_S
        assert len([at for at in crashed_at_s if at > bound_from_s]) == 0
        assert len(crashed_at_s) <= MOST_CRASHES

    async def test_an_answer_that_a_crash_ends_in_order_proves_nothing(
        self, scene
    ):
        """Guards against taking the end of a crash for that of an answer."""
        for engine in scene.platform.engines:
            engine.crashes.ways = standin_crashes.IN_ORDER
            engine.crashes.is_unframed = True
        await play(scene)
        assert scene.late_sends(CRASHES_OF_REQUEST) <= MOST_LATE_SENDS
        assert scene.lies() == []


class TestCrashingRequestOfPlainService:
    @pytest.mark.parametrize('with_models', [False, True])
    async def test_entries_that_start_again_learn_of_crashes(
        self, tmp_path, with_models
    ):
        """Guards against a start that forgets what crashes servers."""
        async with platform_processes.Platform(
            tmp_path, entry_count=4
        ) as platform:
            scene = crash_scene.CrashScene(platform, platform.services)
            for server in platform.services:
                server.crashes.body = crash_scene.DEADLY_BODY
            loads = [crash_scene.same_lookup, crash_scene.other_lookup]
            if with_models:
                loads.append(crash_scene.other_stream)
            await asyncio.gather(
                crash_scene.kill_in_series(platform, LENGTH_S, 1.0),
                *(scene.press(LENGTH_S, PAUSE_S, load) for load in loads),
            )
        assert scene.late_sends(CRASHES_OF_REQUEST) <= MOST_LATE_SENDS


class TestCrashingPart:
    async def test_requests_with_a_part_that_crashes_engines_are_stopped(
        self, platform
    ):
        """Guards against one part of unlike prompts that crashes engines."""
        scene = crash_scene.CrashScene(platform, platform.engines)
        for engine in platform.engines:
            engine.crashes.part = crash_scene.DEADLY_PART
        sound_load = crash_scene.shares_parts
        await scene.press(CALM_S, SOUND_PAUSE_S, sound_load)
        await asyncio.gather(
            scene.press(LENGTH_S, PAUSE_S, crash_scene.has_deadly_part),
            scene.press(LENGTH_S, SOUND_PAUSE_S, sound_load),
        )
        assert scene.late_sends(CRASHES_OF_PART) <= MOST_LATE_SENDS
        first_s, last_s = scene.crashed_at_s[0], scene.crashed_at_s[-1]
        before = scene.served_ratio(until_s=first_s - 0.5)
        after = scene.served_ratio(last_s + 2 * crash_scene.CONTACT_S)
        assert after >= before / 2
        # Some are sent after the last crash, and are answered at once.
        assert scene.refused_count(last_s + crash_scene.CONTACT_S)

    @pytest.mark.parametrize('others', [MANY_PARTS, MALFORMED_PARTS])
    async def test_parts_are_found_in_any_list(self, platform, others):
        """Guards against lists of parts that pass as none."""
        scene = crash_scene.CrashScene(platform, platform.engines)
        for engine in platform.engines:
            engine.crashes.part = crash_scene.DEADLY_PART

        def has_part(number):
            parts = (*others, f'{crash_scene.DEADLY_PART}:9')
            return crash_scene.of_parts(crash_scene.DEADLY, parts, number)

        def is_sound(number):
            return crash_scene.of_parts('o-', others, number)

        await scene.press(CALM_S, SOUND_PAUSE_S, is_sound)
        await asyncio.gather(
            scene.press(LENGTH_S, PAUSE_S, has_part),
            scene.press(LENGTH_S, SOUND_PAUSE_S, is_sound),
        )
        assert scene.late_sends(CRASHES_OF_PART) <= MOST_LATE_SENDS
        judged_from_s = scene.crashed_at_s[-1] + 2 * crash_scene.CONTACT_S
        assert scene.served_ratio(judged_from_s) >= LEAST_SERVED

    @pytest.mark.parametrize('deadly_part', ['0bad', 'dead0bad'])
    async def test_sound_requests_are_served_though_none_ran_before(
        self, platform, deadly_part
    ):
        """Guards against blaming the part that all requests share."""
        scene = crash_scene.CrashScene(platform, platform.engines)
        for engine in platform.engines:
            engine.crashes.part = deadly_part

        def has_part(number):
            parts = ('aa01:198', f'{deadly_part}:60')
            return crash_scene.of_parts(crash_scene.DEADLY, parts, number)

        def is_sound(number):
            return crash_scene.of_parts('o-', ('aa01:198',), number)

        await scene.press(QUIET_S, PAUSE_S, has_part)
        await asyncio.gather(
            scene.press(LENGTH_S, PAUSE_S, has_part),
            scene.press(LENGTH_S, SOUND_PAUSE_S, is_sound),
        )
        assert scene.late_sends(CRASHES_OF_PART) <= MOST_LATE_SENDS
        judged_from_s = scene.crashed_at_s[-1] + 2 * crash_scene.CONTACT_S
        assert scene.served_ratio(judged_from_s) >= LEAST_SERVED
