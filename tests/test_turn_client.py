"""Where an entry gets turns from while sidecars come and go."""

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
from lacewingpitch import settings
from lacewingpitch import suspects
from lacewingpitch import turn_client
from lacewingpitch import turn_messages
from lacewingpitch import turn_spec

DRAINING = errors.ErrorKind.DRAINING
STARTING = errors.ErrorKind.BACKEND_STARTING
CRASHES = errors.ErrorKind.CRASHES_BACKEND_SERVERS


class FakeSidecars:
    """Sidecars by IP, each with a reply, an error, or silence."""

    def __init__(self):
        self.replies = {}
        self.asked = []
        self.ended = []
        self.ends = []
        self.state = turn_messages.TurnEndsReply()
        self.delay_s = 0.0

    async def request_turn(self, ip, request, timeout_s):
        self.asked.append((ip, request))
        reply = self.replies.get(ip, turn_messages.TurnReply())
        await asyncio.sleep(self.delay_s)
        if isinstance(reply, list):
            reply = reply.pop(0)
        if reply is None:
            await asyncio.sleep(timeout_s)
            raise errors.NoReplyError(ip)
        return reply

    async def end_turns(self, ip, message, timeout_s):
        self.ended += [(ip, turn_id) for turn_id in message.turn_ids]
        self.ends.append(message)
        return self.state


class Scene:
    """A source before three engines."""

    def __init__(self, **adapters):
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
        self.source = turn_client.TurnClient(
            'edge-1',
            self.sidecars,
            self.servers,
            self.placement,
            ejection.Ejector(self.clock, random.Random(1)),
            self.clock,
            lambda ip, version: self.versions.append(version),
            self.entries.append,
            self.suspects,
        )

    def wanted(self, name='one', **fields):
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
            'until_s': now_s + 12.0,
        }
        return turn_spec.TurnSpec(**{**values, **fields})

    async def take(self, name='one', excluded=(), **fields):
        wanted = self.wanted(name, **fields)
        async with self.source.acquire(wanted, excluded) as turn:
            return turn


def play(story, **adapters):
    async def main():
        scene = Scene(**adapters)
        sending = asyncio.create_task(scene.source.run())
        await story(scene)
        await asyncio.sleep(0.1)
        sending.cancel()
        return scene

    return virtual_time.run(main())


class TestTurn:
    def test_is_ended_at_the_sidecar(self):
        async def story(scene):
            await scene.take()

        scene = play(story)
        ip = scene.sidecars.asked[0][0]
        assert scene.sidecars.ended == [(ip, 'one.1')]

    def test_requests_for_one_adapter_go_to_one_engine(self):
        async def story(scene):
            for number in range(10):
                await scene.take(f'r{number}')

        scene = play(story)
        assert len({ip for ip, _ in scene.sidecars.asked}) == 1

    def test_pending_is_asked_again(self):
        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = [
                    turn_messages.TurnReply(is_pending=True),
                    turn_messages.TurnReply(version=2),
                ]
            assert (await scene.take()).version == 2

        scene = play(story)
        first, second = scene.sidecars.asked
        assert first[0] == second[0]
        assert first[1].turn_id == second[1].turn_id

    def test_names_the_incarnation_that_the_sidecar_sees(self):
        """A request goes to an engine that was replaced, and is refused.

        The engine restarts; its sidecar knows at once, the list later.
        """

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(backend_server='new')
                )
            assert (await scene.take()).server.name == 'new'

        play(story)


class TestRefusals:
    def test_another_engine_is_asked(self):
        async def story(scene):
            for number in (1, 2):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(refusal=DRAINING)
                )
            turn = await scene.take()
            assert turn.server.name == 'c'

        play(story)

    def test_of_all_is_the_soonest(self):
        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(
                        refusal=DRAINING, retry_after_ms=number * 100
                    )
                )
            with pytest.raises(errors.RefusalError) as found:
                await scene.take()
            assert found.value.retry_after_s == pytest.approx(0.1)
            assert found.value.outcome is errors.Outcome.NOT_RUN

        play(story)

    def test_excluded_engines_are_not_asked(self):
        async def story(scene):
            turn = await scene.take(excluded=['a', 'b'])
            assert turn.server.name == 'c'

        play(story)


class TestStarting:
    """All engines restart together, and load their model."""

    def test_is_waited_for_where_no_engine_serves(self):
        """Callers are refused although an engine serves a second later."""

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
            assert (await scene.take()).version == 2

        scene = play(story)
        ips = [ip for ip, _ in scene.sidecars.asked]
        waits = [asked.waits_for_engine for _, asked in scene.sidecars.asked]
        assert waits == [False, False, False, True, True]
        assert ips[0] == ips[3] == ips[4]

    def test_is_not_waited_for_where_another_only_is_busy(self):
        async def story(scene):
            for number in (1, 2, 3):
                refusal = STARTING if number < 3 else DRAINING
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(
                        refusal=refusal, retry_after_ms=300
                    )
                )
            with pytest.raises(errors.RefusalError):
                await scene.take()

        assert len(play(story).sidecars.asked) == 3

    def test_what_is_refused_then_says_why(self):
        """A caller comes back too soon, by what was known before."""

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
                await scene.take()
            assert found.value.kind is DRAINING
            assert found.value.retry_after_s == pytest.approx(0.9)

        play(story)

    def test_a_sidecar_that_is_lost_meanwhile(self):
        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = [
                    turn_messages.TurnReply(
                        refusal=STARTING, retry_after_ms=100
                    ),
                    None,
                ]
            with pytest.raises(errors.RefusalError) as found:
                await scene.take()
            assert found.value.outcome is errors.Outcome.NOT_RUN

        play(story)


class TestSilence:
    def test_a_silent_sidecar_does_not_stop_its_engine(self):
        """Answers stop although every engine works.

        All sidecars are frozen or restart; engines hold adapters as the
        list says.
        """

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = None
            turn = await scene.take()
            assert (turn.server.name, turn.version) == ('b', 4)

        play(story, b={'m/x': 4})

    def test_an_older_version_is_no_substitute(self):
        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = None
            with pytest.raises(errors.RefusalError):
                await scene.take(version=5)

        play(story, b={'m/x': 4})

    def test_it_is_asked_no_more_for_a_while(self):
        async def story(scene):
            await scene.take('first')
            ip = scene.sidecars.asked[0][0]
            scene.sidecars.replies[ip] = None
            await scene.take('second')
            scene.sidecars.asked.clear()
            started_s = scene.clock.monotonic_s()
            await scene.take('third')
            assert scene.clock.monotonic_s() - started_s < 0.1
            assert ip not in {asked for asked, _ in scene.sidecars.asked}

        play(story)

    def test_a_turn_that_may_be_granted_is_given_back(self):
        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = None
            task = asyncio.create_task(scene.take())
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait([task])

        scene = play(story)
        assert scene.sidecars.ended


class TestSoonest:
    """Engines that say what a request would wait there."""

    def play(self, *waits_ms):
        """Return where the turn was, and the limits that were asked with."""
        found = []

        class Sidecars(FakeSidecars):
            async def request_turn(self, ip, request, timeout_s):
                self.asked.append((ip, request.accept_within_ms))
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
            turn = await scene.take()
            found.append(int(turn.server.ip.rpartition('.')[2]) - 1)

        async def main():
            scene = Scene()
            scene.sidecars.__class__ = Sidecars
            await story(scene)
            return scene.sidecars.asked

        asked = virtual_time.run(main())
        return found[0], [limit_ms for _, limit_ms in asked]

    def test_the_first_that_is_soon_is_taken(self):
        _, limits_ms = self.play(100, 100, 100)
        assert limits_ms == [400]

    def test_where_none_is_soon_the_least_wait_is_taken(self):
        """A request waits at an engine while another is sooner.

        The first that is asked would let it in just in time.
        """
        chosen, limits_ms = self.play(590, 450, 560)
        assert chosen == 1
        assert limits_ms == [400, 400, 400, 0]

    def test_where_all_are_late_the_caller_hears_when_to_come_back(self):
        with pytest.raises(errors.RefusalError) as caught:
            self.play(900, 700, 800)
        assert caught.value.retry_after_s == 0.7


class TestLeaving:
    def test_a_turn_at_an_engine_that_left_meanwhile_is_not_used(self):
        """A request reaches an engine seconds after it began to leave.

        The list told of it while the request waited for its turn there.
        """

        async def story(scene):
            taking = asyncio.create_task(scene.take())
            await asyncio.sleep(0.05)
            first_ip = scene.sidecars.asked[0][0]
            for server in scene.servers.all():
                if server.ip == first_ip:
                    scene.servers.put(
                        dataclasses.replace(server, is_leaving=True)
                    )
            turn = await taking
            assert turn.server.ip != first_ip
            await asyncio.sleep(0.1)
            assert (first_ip, 'one.1') in scene.sidecars.ended

        async def main():
            scene = Scene()
            sending = asyncio.create_task(scene.source.run())
            scene.sidecars.delay_s = 0.2
            await story(scene)
            sending.cancel()

        virtual_time.run(main())


class TestRestart:
    def test_a_hint_of_before_is_not_believed(self):
        """A request goes where its adapter was before a restart.

        A reply that a sidecar sent before its engine restarted comes after
        the list has told of the new start.
        """
        told = hint.Hint(
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
                    turn_messages.TurnReply(hint=told, started_at_ms=1000)
                )
            for server in scene.servers.all():
                scene.servers.put(
                    dataclasses.replace(server, started_at_ms=2000)
                )
            await scene.take()
            assert not scene.placement._holders

        play(story)

    def test_a_reply_tells_of_a_restart(self):
        async def story(scene):
            restarted = []
            scene.servers.restarts.subscribe(restarted.append)
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(started_at_ms=1000)
                )
            await scene.take()
            assert len(restarted) == 1

        play(story)


class TestSuspects:
    """Requests under which engines crashed."""

    def crash(self, scene, count, fingerprint='f'):
        for number in range(count):
            scene.suspects.record.record_crash(fingerprint, f'x-{number}')

    def test_all_go_to_one_engine_and_no_other(self):
        """Guards against suspects that end engine after engine."""

        async def story(scene):
            for number in range(8):
                fingerprint = f'f-{number}'
                self.crash(scene, 2, fingerprint)
                await scene.take(
                    f'r{number}', adapter=f'a{number}', fingerprint=fingerprint
                )

        scene = play(story)
        assert len({ip for ip, _ in scene.sidecars.asked}) == 1
        assert all(request.is_isolated for _, request in scene.sidecars.asked)

    def test_a_refusal_there_sends_it_nowhere_else(self):
        async def story(scene):
            self.crash(scene, 2)
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(
                        refusal=errors.ErrorKind.QUEUE_FULL, retry_after_ms=900
                    )
                )
            with pytest.raises(errors.RefusalError) as raised:
                await scene.take(fingerprint='f')
            assert raised.value.retry_after_s == 0.9

        assert len(play(story).sidecars.asked) == 1

    def test_what_crashed_three_asks_no_engine(self):
        """Guards against a request that ends engine after engine."""

        async def story(scene):
            self.crash(scene, 3)
            with pytest.raises(errors.RefusalError) as raised:
                await scene.take(fingerprint='f')
            assert raised.value.kind is CRASHES

        assert play(story).sidecars.asked == []

    def test_a_sidecar_that_knows_more_ends_the_asking(self):
        """Guards against an entry that asks one engine after the other."""

        async def story(scene):
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(refusal=CRASHES)
                )
            with pytest.raises(errors.RefusalError) as raised:
                await scene.take(fingerprint='f')
            assert raised.value.kind is CRASHES

        assert len(play(story).sidecars.asked) == 1

    @pytest.mark.parametrize(
        ('count', 'kind'), [(2, errors.ErrorKind.QUEUE_FULL), (3, CRASHES)]
    )
    def test_a_turn_is_given_back_by_what_became_one_meanwhile(
        self, count, kind
    ):
        """Guards against a deadly request that waited for its turn."""

        async def story(scene):
            scene.sidecars.delay_s = 0.2
            taking = asyncio.create_task(scene.take(fingerprint='f'))
            await asyncio.sleep(0.1)
            self.crash(scene, count)
            with pytest.raises(errors.RefusalError) as raised:
                await taking
            assert raised.value.kind is kind

        scene = play(story)
        assert len(scene.sidecars.asked) == 1
        assert len(scene.sidecars.ended) == 1

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
    def test_a_cut_is_a_crash_if_its_sidecar_says_so(self, state, crash_count):
        async def story(scene):
            scene.sidecars.state = state
            server = scene.servers.get('a')
            wanted = scene.wanted(fingerprint='f', adapter='')
            excluded = ('b', 'c')
            async with scene.source.acquire(wanted, excluded):
                scene.suspects.detector.record_disconnect('f', server)

        scene = play(story)
        assert len(scene.suspects.record.crashed_servers('f')) == crash_count
        assert scene.sidecars.ends[-1].asks_state
