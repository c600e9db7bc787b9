"""Acquiring turns while sidecars restart, refuse or don't respond."""

import asyncio
import dataclasses
import random

import pytest

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import hint
from lacewingpitch import placement
from lacewingpitch import server_gate
from lacewingpitch import server_notice
from lacewingpitch import settings
from lacewingpitch import suspects
from lacewingpitch import turn_client
from lacewingpitch import turn_messages
from lacewingpitch import turn_spec
from tests import limit_fakes

DRAINING = errors.ErrorKind.DRAINING
STARTING = errors.ErrorKind.BACKEND_STARTING
CRASHES = errors.ErrorKind.CRASHES_BACKEND_SERVERS


class FakeSidecars:
    """Sidecars by IP, each with a reply, an error, or no response."""

    def __init__(self):
        self.replies = {}
        self.requests = []
        self.ended_turns = []
        self.end_messages = []
        self.state = turn_messages.TurnEndsReply()
        self.delay_s = 0.0

    async def request_turn(self, ip, request, timeout_s):
        self.requests.append((ip, request))
        reply = self.replies.get(ip, turn_messages.TurnReply())
        await asyncio.sleep(self.delay_s)
        if isinstance(reply, list):
            reply = reply.pop(0)
        if isinstance(reply, Exception):
            raise reply
        if reply is None:
            await asyncio.sleep(timeout_s)
            raise errors.NoReplyError(ip)
        return reply

    async def end_turns(self, ip, message, timeout_s):
        self.ended_turns += [(ip, turn_id) for turn_id in message.turn_ids]
        self.end_messages.append(message)
        return self.state


class Scene:
    """A turn client with three engines."""

    def __init__(self, search=None, **adapters):
        self.clock = virtual_time.LoopClock()
        self.sidecars = FakeSidecars()
        self.servers = backend_list.BackendList(self.clock)
        self.servers.replace_all(
            backend_list.BackendServer(
                name,
                'chat',
                f'10.0.0.{number}',
                80,
                'z',
                adapters=adapters.get(name, {}),
            )
            for number, name in enumerate('abc', 1)
        )
        self.versions = []
        self.suspects = suspects.Suspects(self.clock, random.Random(2))
        self.entries = []
        self.placement = placement.Placement(
            self.clock, settings.ObjectiveSettings(stall_weight=1)
        )
        self.ejector = ejection.Ejector(self.clock, random.Random(1))
        self.limits = limit_fakes.make_limits(self.clock)
        self.gate = server_gate.ServerGate(
            self.servers, self.clock, random.Random(4)
        )
        self.client = turn_client.TurnClient(
            'edge-1',
            self.sidecars,
            self.servers,
            self.placement,
            self.ejector,
            self.clock,
            lambda ip, version: self.versions.append(version),
            self.entries.append,
            self.suspects,
            self.limits,
            self.gate,
            search,
        )

    def spec(self, name='one', **fields):
        now_s = self.clock.monotonic_s()
        values = {
            'run_id': name,
            'attempt': 1,
            'service': 'chat',
            'model': 'm',
            'adapter': 'x',
            'version': 0,
            'route': 'r',
            'rank': 0,
            'prompt_tokens': 10,
            'max_tokens': 10,
            'expected_tokens': 10,
            'start_by_s': now_s + 3.0,
            'target_at_s': now_s + 0.8,
            'deadline_at_s': now_s + 12.0,
        }
        return turn_spec.TurnSpec(**{**values, **fields})

    async def acquire(self, name='one', excluded=(), **fields):
        spec = self.spec(name, **fields)
        async with self.client.acquire(spec, excluded) as turn:
            return turn


def play(story, **adapters):
    async def main():
        scene = Scene(**adapters)
        sending = asyncio.create_task(scene.client.run())
        await story(scene)
        await asyncio.sleep(0.1)
        sending.cancel()
        return scene

    return virtual_time.run(main())


class TestTurn:
    def test_turn_is_ended_at_the_sidecar(self):
        async def story(scene):
            await scene.acquire()

        scene = play(story)
        ip = scene.sidecars.requests[0][0]
        assert scene.sidecars.ended_turns == [(ip, 'one.1')]

    def test_requests_for_one_adapter_go_to_one_engine(self):
        async def story(scene):
            for number in range(10):
                await scene.acquire(f'r{number}')

        scene = play(story)
        assert len({ip for ip, _ in scene.sidecars.requests}) == 1

    def test_pending_turn_is_requested_again(self):
        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = [
                    turn_messages.TurnReply(is_pending=True),
                    turn_messages.TurnReply(version=2),
                ]
            assert (await scene.acquire()).version == 2

        scene = play(story)
        first, second = scene.sidecars.requests
        assert first[0] == second[0]
        assert first[1].turn_id == second[1].turn_id

    def test_turn_has_the_incarnation_known_to_the_sidecar(self):
        """Guards against a request sent to a replaced engine.

        The engine restarts; its sidecar knows at once, the list later.
        """

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(backend_server='new')
                )
            assert (await scene.acquire()).server.name == 'new'

        play(story)


class TestPace:
    def test_reply_tells_the_pace_of_the_engine(self):
        async def story(scene):
            told = hint.Hint(
                running=1,
                queued=0,
                max_running=8,
                load_wait_ms=0,
                token_us=7000,
            )
            for ip in ('10.0.0.1', '10.0.0.2', '10.0.0.3'):
                scene.sidecars.replies[ip] = turn_messages.TurnReply(hint=told)
            await scene.acquire()

        assert play(story).placement.known_pace_count == 1


class TestRefusals:
    def test_another_engine_is_tried(self):
        async def story(scene):
            for number in (1, 2):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(refusal=DRAINING)
                )
            turn = await scene.acquire()
            assert turn.server.name == 'c'

        play(story)

    def test_earliest_retry_time_is_returned(self):
        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(
                        refusal=DRAINING, retry_after_ms=number * 100
                    )
                )
            with pytest.raises(errors.RefusalError) as found:
                await scene.acquire()
            assert found.value.retry_after_s == pytest.approx(0.1)
            assert found.value.outcome is errors.Outcome.NOT_RUN

        play(story)

    def test_excluded_engines_are_not_tried(self):
        async def story(scene):
            turn = await scene.acquire(excluded=['a', 'b'])
            assert turn.server.name == 'c'

        play(story)


class TestMessages:
    def test_nothing_is_told_of_pauses_without_the_part(self):
        """Guards against messages that differ although the part is off."""

        async def story(scene):
            await scene.acquire()

        (request,) = [r for _, r in play(story).sidecars.requests]
        assert request.gap_ms == 0
        assert not request.has_uneven_engines


class TestStarting:
    """All engines restart together and load their model."""

    def test_waits_for_a_start_if_no_engine_serves(self):
        """Guards against refusals although an engine serves a second later."""

        async def story(scene):
            starting = turn_messages.TurnReply(
                refusal=STARTING, retry_after_ms=1500
            )
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = [
                    starting,
                    turn_messages.TurnReply(is_pending=True),
                    turn_messages.TurnReply(version=2),
                ]
            assert (await scene.acquire()).version == 2

        scene = play(story)
        ips = [ip for ip, _ in scene.sidecars.requests]
        waits = [
            request.waits_for_engine for _, request in scene.sidecars.requests
        ]
        assert waits == [False, False, False, True, True]
        assert ips[0] == ips[3] == ips[4]

    def test_waits_for_a_start_although_the_engines_tell_their_waits(self):
        """Guards against an engine that counts twice, asked twice."""

        async def story(scene):
            starting = turn_messages.TurnReply(
                refusal=STARTING, retry_after_ms=1500, wait_ms=300
            )
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = [
                    starting,
                    starting,
                    turn_messages.TurnReply(version=2),
                ]
            assert (await scene.acquire()).version == 2

        assert play(story).sidecars.requests[-1][1].waits_for_engine

    def test_no_wait_for_a_start_if_another_engine_is_busy(self):
        async def story(scene):
            for number in (1, 2, 3):
                refusal = STARTING if number < 3 else DRAINING
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(
                        refusal=refusal, retry_after_ms=300
                    )
                )
            with pytest.raises(errors.RefusalError):
                await scene.acquire()

        assert len(play(story).sidecars.requests) == 3

    def test_refusal_after_the_wait_is_returned(self):
        """Guards against a retry time that is outdated, and too early."""

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = [
                    turn_messages.TurnReply(
                        refusal=STARTING, retry_after_ms=100
                    ),
                    turn_messages.TurnReply(
                        refusal=DRAINING, retry_after_ms=900
                    ),
                ]
            with pytest.raises(errors.RefusalError) as found:
                await scene.acquire()
            assert found.value.kind is DRAINING
            assert found.value.retry_after_s == pytest.approx(0.9)

        play(story)

    def test_sidecar_lost_during_the_wait(self):
        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = [
                    turn_messages.TurnReply(
                        refusal=STARTING, retry_after_ms=100
                    ),
                    None,
                ]
            with pytest.raises(errors.RefusalError) as found:
                await scene.acquire()
            assert found.value.outcome is errors.Outcome.NOT_RUN

        play(story)


class TestSilent:
    """Engines that don't answer for a moment."""

    def silent(self, **fields):
        return turn_messages.TurnReply(
            refusal=STARTING, retry_after_ms=700, is_silent=True, **fields
        )

    def test_waits_for_a_silent_engine_if_the_others_do_not_serve(self):
        """Guards against refusals although an engine serves soon."""

        async def story(scene):
            for number in (2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(refusal=DRAINING)
                )
            scene.sidecars.replies['10.0.0.1'] = [
                self.silent(),
                turn_messages.TurnReply(is_pending=True, is_silent=True),
                turn_messages.TurnReply(version=2),
            ]
            assert (await scene.acquire()).version == 2

        requests = play(story).sidecars.requests
        waits = [ip for ip, request in requests if request.waits_for_engine]
        assert waits == ['10.0.0.1', '10.0.0.1']

    def test_refusal_while_waiting_ends_the_wait(self):
        """Guards against asking a sidecar without a pause."""

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = self.silent()
            with pytest.raises(errors.RefusalError) as found:
                await scene.acquire()
            assert found.value.retry_after_s == pytest.approx(0.7)

        assert len(play(story).sidecars.requests) == 6

    def test_sidecar_lost_during_the_wait_is_not_asked_again(self):
        """Guards against waiting for a sidecar that has ended."""

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = [
                    self.silent(),
                    None,
                ]
            with pytest.raises(errors.RefusalError):
                await scene.acquire()

        assert len(play(story).sidecars.requests) <= 6


class TestUnusableReply:
    """A sidecar refuses the message itself, or its reply is malformed."""

    def test_another_engine_is_tried(self):
        """Guards against faults of one sidecar that callers see."""

        async def story(scene):
            for number in (1, 2):
                scene.sidecars.replies[f'10.0.0.{number}'] = errors.LinkError(
                    'replied _Refused'
                )
            turn = await scene.acquire()
            assert turn.server.name == 'c'

        play(story)

    def test_request_is_refused_as_not_run_if_there_is_no_other(self):
        """Guards against unknown outcomes of requests that were not sent."""

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = errors.LinkError(
                    'replied _Refused'
                )
            with pytest.raises(errors.RefusalError) as caught:
                await scene.acquire()
            assert caught.value.kind is errors.ErrorKind.NO_BACKEND_SERVER
            assert caught.value.outcome is errors.Outcome.NOT_RUN

        play(story)


class TestUnresponsiveSidecar:
    def test_engine_serves_without_its_sidecar(self):
        """Guards against an outage although every engine serves.

        All sidecars are frozen or restart; the engines hold the adapters
        that the list shows.
        """

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = None
            turn = await scene.acquire()
            assert (turn.server.name, turn.version) == ('b', 4)

        play(story, b={'m/x': 4})

    def test_older_version_is_no_substitute(self):
        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = None
            with pytest.raises(errors.RefusalError):
                await scene.acquire(version=5)

        play(story, b={'m/x': 4})

    def test_unresponsive_sidecar_is_not_tried_again_soon(self):
        async def story(scene):
            await scene.acquire('first')
            ip = scene.sidecars.requests[0][0]
            scene.sidecars.replies[ip] = None
            await scene.acquire('second')
            scene.sidecars.requests.clear()
            started_s = scene.clock.monotonic_s()
            await scene.acquire('third')
            assert scene.clock.monotonic_s() - started_s < 0.1
            assert ip not in {tried for tried, _ in scene.sidecars.requests}

        play(story)

    def test_turn_that_may_be_granted_is_ended(self):
        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = None
            task = asyncio.create_task(scene.acquire())
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait([task])

        scene = play(story)
        assert scene.sidecars.ended_turns


class TestShortestWait:
    """Engines that report the expected wait of a request."""

    def play(self, *waits_ms):
        """Return the engine of the turn, and the limits of the requests."""
        found = []

        class Sidecars(FakeSidecars):
            async def request_turn(self, ip, request, timeout_s):
                self.requests.append((ip, request.accept_within_ms))
                wait_ms = waits_ms[int(ip.rpartition('.')[2]) - 1]
                limit_ms = request.accept_within_ms or 600
                if wait_ms <= limit_ms:
                    return turn_messages.TurnReply()
                return turn_messages.TurnReply(
                    refusal=errors.ErrorKind.DEADLINE_UNREACHABLE,
                    retry_after_ms=wait_ms,
                    wait_ms=wait_ms,
                )

        async def story(scene):
            turn = await scene.acquire()
            found.append(int(turn.server.ip.rpartition('.')[2]) - 1)

        async def main():
            scene = Scene()
            scene.sidecars.__class__ = Sidecars
            await story(scene)
            return scene.sidecars.requests

        requests = virtual_time.run(main())
        return found[0], [limit_ms for _, limit_ms in requests]

    def test_first_engine_with_a_short_wait_is_used(self):
        _, limits_ms = self.play(100, 100, 100)
        assert limits_ms == [400]

    def test_shortest_of_long_waits_is_used(self):
        """Guards against waiting at an engine while another is faster.

        The first engine in order would admit the request just in time.
        """
        chosen, limits_ms = self.play(590, 450, 560)
        assert chosen == 1
        assert limits_ms == [400, 400, 400, 0]

    def test_earliest_retry_time_if_all_waits_are_too_long(self):
        with pytest.raises(errors.RefusalError) as caught:
            self.play(900, 700, 800)
        assert caught.value.retry_after_s == 0.7


class TestLeaving:
    def test_turn_at_an_engine_that_left_is_not_used(self):
        """Guards against a request sent to an engine that is leaving.

        The list shows it while the request waits for its turn there.
        """

        async def story(scene):
            taking = asyncio.create_task(scene.acquire())
            await asyncio.sleep(0.05)
            first_ip = scene.sidecars.requests[0][0]
            for server in scene.servers.all():
                if server.ip == first_ip:
                    scene.servers.put(
                        dataclasses.replace(server, is_leaving=True)
                    )
            turn = await taking
            assert turn.server.ip != first_ip
            await asyncio.sleep(0.1)
            assert (first_ip, 'one.1') in scene.sidecars.ended_turns

        async def main():
            scene = Scene()
            sending = asyncio.create_task(scene.client.run())
            scene.sidecars.delay_s = 0.2
            await story(scene)
            sending.cancel()

        virtual_time.run(main())


class TestRestart:
    def test_hint_from_before_a_restart_is_ignored(self):
        """Guards against sending requests where the adapter was before.

        A reply that a sidecar sent before its engine restarted arrives
        after the list has shown the new start.
        """
        stale_hint = hint.Hint(
            running=0,
            queued=0,
            max_running=16,
            load_wait_ms=0,
            spare_slots=9,
            adapters=hint.encode_fingerprints(['m/x']),
        )

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(
                        hint=stale_hint, started_at_ms=1000
                    )
                )
            for server in scene.servers.all():
                scene.servers.put(
                    dataclasses.replace(server, started_at_ms=2000)
                )
            await scene.acquire()
            assert not scene.placement._holders

        play(story)

    def test_reply_announces_a_restart(self):
        async def story(scene):
            restarted = []
            scene.servers.restarts.subscribe(restarted.append)
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(started_at_ms=1000)
                )
            await scene.acquire()
            assert len(restarted) == 1

        play(story)


class TestSuspects:
    """Requests during which engines crashed."""

    def crash(self, scene, count, fingerprint='f'):
        for number in range(count):
            scene.suspects.record.record_crash(fingerprint, f'x-{number}')

    def test_all_suspects_go_to_one_engine(self):
        """Guards against suspect requests that crash several engines."""

        async def story(scene):
            for number in range(8):
                fingerprint = f'f-{number}'
                self.crash(scene, 2, fingerprint)
                await scene.acquire(
                    f'r{number}', adapter=f'a{number}', fingerprint=fingerprint
                )

        scene = play(story)
        assert len({ip for ip, _ in scene.sidecars.requests}) == 1
        assert all(
            request.is_isolated for _, request in scene.sidecars.requests
        )

    def test_suspect_refused_there_is_not_sent_elsewhere(self):
        async def story(scene):
            self.crash(scene, 2)
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(
                        refusal=errors.ErrorKind.QUEUE_FULL, retry_after_ms=900
                    )
                )
            with pytest.raises(errors.RefusalError) as raised:
                await scene.acquire(fingerprint='f')
            assert raised.value.retry_after_s == 0.9

        assert len(play(story).sidecars.requests) == 1

    def test_request_with_three_crashes_is_not_sent(self):
        """Guards against a request that crashes one engine after another."""

        async def story(scene):
            self.crash(scene, 3)
            with pytest.raises(errors.RefusalError) as raised:
                await scene.acquire(fingerprint='f')
            assert raised.value.kind is CRASHES

        assert play(story).sidecars.requests == []

    def test_refusal_for_crashes_is_final(self):
        """Guards against an entry that tries one engine after another."""

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(refusal=CRASHES)
                )
            with pytest.raises(errors.RefusalError) as raised:
                await scene.acquire(fingerprint='f')
            assert raised.value.kind is CRASHES

        assert len(play(story).sidecars.requests) == 1

    @pytest.mark.parametrize(
        ('count', 'kind'), [(2, errors.ErrorKind.QUEUE_FULL), (3, CRASHES)]
    )
    def test_turn_of_a_new_suspect_is_ended(self, count, kind):
        """Guards against a crashing request that was waiting for its turn."""

        async def story(scene):
            scene.sidecars.delay_s = 0.2
            taking = asyncio.create_task(scene.acquire(fingerprint='f'))
            await asyncio.sleep(0.1)
            self.crash(scene, count)
            with pytest.raises(errors.RefusalError) as raised:
                await taking
            assert raised.value.kind is kind

        scene = play(story)
        assert len(scene.sidecars.requests) == 1
        assert len(scene.sidecars.ended_turns) == 1

    @pytest.mark.parametrize(
        ('state', 'crash_count'),
        [
            (turn_messages.TurnEndsReply(), 0),
            (turn_messages.TurnEndsReply(is_known=True), 1),
            (
                turn_messages.TurnEndsReply(
                    is_known=True, is_running=True, backend_server='a'
                ),
                0,
            ),
            (
                turn_messages.TurnEndsReply(
                    is_known=True, is_running=True, backend_server='a2'
                ),
                1,
            ),
        ],
        ids=['unknown', 'down', 'same', 'another'],
    )
    def test_disconnect_is_a_crash_if_the_sidecar_confirms(
        self, state, crash_count
    ):
        async def story(scene):
            scene.sidecars.state = state
            server = scene.servers.get('a')
            spec = scene.spec(fingerprint='f', adapter='')
            excluded = ('b', 'c')
            async with scene.client.acquire(spec, excluded):
                scene.suspects.detector.record_disconnect(('f',), server)

        scene = play(story)
        assert len(scene.suspects.record.crashed_servers('f')) == crash_count
        assert scene.sidecars.end_messages[-1].asks_state


class TestClosedEngines:
    """Engines that leave or asked this entry for backoff."""

    def close(self, scene, *names, backoff_s=3.0, is_leaving=False):
        notice = server_notice.ServerNotice(
            backoff_s=0.0 if is_leaving else backoff_s, is_leaving=is_leaving
        )
        for name in names:
            scene.gate.record_answer(
                scene.servers.get(name), notice, scene.clock.boot_s()
            )

    def test_their_sidecars_are_not_asked(self):
        """Guards against turns that an entry can't use."""

        async def story(scene):
            self.close(scene, 'a', 'b')
            assert (await scene.acquire()).server.name == 'c'

        scene = play(story)
        assert [ip for ip, _ in scene.sidecars.requests] == ['10.0.0.3']

    def test_a_request_is_refused_at_once_if_all_are_closed(self):
        async def story(scene):
            self.close(scene, 'a', 'b', 'c')
            before_s = scene.clock.monotonic_s()
            with pytest.raises(errors.RefusalError) as found:
                await scene.acquire()
            assert scene.clock.monotonic_s() == before_s
            assert found.value.kind is errors.ErrorKind.SERVER_BACKOFF
            assert found.value.retry_after_s >= 3.0

        assert play(story).sidecars.requests == []

    def test_an_ejected_engine_is_tried_if_the_others_are_closed(self):
        """Guards against refusals while an engine may be tried."""

        async def story(scene):
            for _ in range(3):
                scene.ejector.record_failure('a')
            self.close(scene, 'b', 'c')
            assert (await scene.acquire()).server.name == 'a'

        play(story)

    def test_no_turn_without_consent_is_used_at_them(self):
        """Guards against a backoff that ends with its sidecar."""

        async def story(scene):
            scene.sidecars.replies = dict.fromkeys(
                ('10.0.0.1', '10.0.0.2', '10.0.0.3')
            )
            self.close(scene, 'a', 'b', backoff_s=60.0)
            turn = await scene.acquire(adapter='')
            assert turn.server.name == 'c'

        play(story)

    @pytest.mark.parametrize('is_leaving', [False, True])
    def test_a_turn_that_was_pending_is_given_up(self, is_leaving):
        """Guards against a request that waited while its engine closed."""

        async def story(scene):
            scene.sidecars.delay_s = 0.3
            pending = turn_messages.TurnReply(is_pending=True)
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = [
                    pending,
                    turn_messages.TurnReply(version=2),
                ]
            acquiring = asyncio.create_task(scene.acquire())
            await asyncio.sleep(0.1)
            ip = scene.sidecars.requests[0][0]
            name = 'abc'[int(ip[-1]) - 1]
            self.close(scene, name, is_leaving=is_leaving)
            assert (await acquiring).server.name != name
            await asyncio.sleep(0.1)
            assert (ip, 'one.1') in scene.sidecars.ended_turns

        play(story)

    def test_a_suspect_request_does_not_move_to_another_engine(self):
        """Guards against two suspect requests that run at the same time."""

        async def story(scene):
            spec = scene.spec(fingerprint='f')
            for start in ('x@1', 'y@1'):
                scene.suspects.record.record_crash('f', start)
            chosen = scene.client._candidates.isolation_server(spec, ())
            self.close(scene, chosen.name)
            with pytest.raises(errors.RefusalError) as found:
                await scene.acquire(fingerprint='f')
            assert found.value.kind is errors.ErrorKind.SERVER_BACKOFF

        assert play(story).sidecars.requests == []

    def test_leaving_is_told_and_heard_with_the_messages_about_turns(self):
        """Guards against entries that hear of leaving by the list alone."""

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(leaving=('b@0',))
                )
            self.close(scene, 'a', is_leaving=True)
            await scene.acquire(excluded=['b'])
            turn = await scene.acquire('two')
            assert turn.server.name == 'c'

        scene = play(story)
        assert scene.sidecars.requests[0][1].leaving == ('a@0',)
