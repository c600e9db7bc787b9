"""Tests of the soak test: its checks, and a short seeded run."""

import asyncio
import random
import types

import pytest

from tests import notice_checks
from tests import platform_standin as standin
from tests import soak
from tests import soak_duplicates
from tests import soak_faults
from tests import soak_keys
from tests import soak_notices
from tests import soak_silence

SIGNED_HEADERS = {standin.SIGNATURE: 's'}
# The data of an event is the id of its request.
WHOLE_STREAM = b''.join(
    b'id: %d\ndata: chat-0\n\n' % number for number in soak.EVENT_NUMBERS
)
TARGETS = {
    'link': ['store'],
    'process': ['entry-1'],
    'store': ['store'],
    'engine': ['0'],
    'service': ['0'],
}


class FakePlatform:
    """Backend servers with the runs that they recorded."""

    def __init__(self):
        self.engines = [standin.Engine('i-1')]
        self.services = [standin.Service('p-1')]


@pytest.fixture
def checker():
    return soak.ResultChecker(FakePlatform())


def answer(
    checker, kind, status=200, headers=SIGNED_HEADERS, body=WHOLE_STREAM
):
    call = checker.start_call(kind, 0)
    call.status = status
    checker.check_answer(call, headers, body)
    return call


class TestPlan:
    def test_is_the_same_for_the_same_seed(self):
        first, second = (
            soak_faults.plan(random.Random(7), TARGETS, 8.0) for _ in range(2)
        )
        assert first == second

    def test_has_faults_that_overlap(self):
        planned = soak_faults.plan(random.Random(7), TARGETS, 8.0)
        ends_s = [fault.at_s + fault.for_s for fault in planned]
        starts_s = [fault.at_s for fault in planned]
        pairs = zip(ends_s, starts_s[1:], strict=False)
        assert any(end_s > start_s for end_s, start_s in pairs)


class TestResultChecker:
    def test_accepts_whole_answers(self, checker):
        answer(checker, 'chat')
        call = checker.start_call('command', 0)
        call.status = 200
        checker.check_answer(call, SIGNED_HEADERS, b'ran ' + call.id.encode())
        checker.check_runs()

    @pytest.mark.parametrize(
        ('kind', 'fields'),
        [
            ('chat', {'body': WHOLE_STREAM.replace(b'id: 3', b'id: 2')}),
            ('chat', {'body': WHOLE_STREAM[:30]}),
            ('chat', {'headers': {}}),
            ('chat', {'headers': {**SIGNED_HEADERS, 'Request-Id': 'chat-9'}}),
            ('chat', {'body': WHOLE_STREAM.replace(b'chat-0', b'chat-9', 1)}),
            ('lookup', {'body': b'ran lookup-of-another'}),
            ('lookup', {'status': 404}),
        ],
        ids=[
            'doubled',
            'cut',
            'unsigned',
            'of another id',
            'with an event of another',
            'of another',
            'denied',
        ],
    )
    def test_finds_a_wrong_answer(self, checker, kind, fields):
        answer(checker, kind, **fields)
        with pytest.raises(soak.BrokenPromiseError):
            checker.check_runs()

    def test_finds_a_second_run(self, checker):
        call = checker.start_call('command', 0)
        checker.platform.services[0].runs += [call.id, call.id]
        with pytest.raises(soak.BrokenPromiseError, match='ran 2 times'):
            checker.check_runs()

    def test_finds_a_refused_request_that_ran(self, checker):
        call = answer(checker, 'draft', status=503)
        checker.platform.engines[0].ran.append(call.id)
        with pytest.raises(soak.BrokenPromiseError, match='and ran'):
            checker.check_runs()

    def test_finds_a_run_that_no_caller_sent(self, checker):
        checker.platform.services[0].runs.append('command-of-nobody')
        with pytest.raises(soak.BrokenPromiseError, match='no caller sent'):
            checker.check_runs()

    def test_finds_more_adapters_than_slots(self, checker):
        checker.platform.engines[0].has_crashed = True
        with pytest.raises(
            soak.BrokenPromiseError, match='more adapters than'
        ):
            checker.check_runs()


class TestRepeats:
    """Checks of how often requests arrive."""

    def arrive(self, checker, name, *after_s):
        server = checker.platform.services[0]
        server.arrivals += [(name, 100.0 + at_s, 'p-1') for at_s in after_s]

    def test_accepts_the_attempts_of_a_route(self, checker):
        call = checker.start_call('lookup', 0)
        self.arrive(checker, call.id, 0.0, 0.1)
        checker.check_runs()

    def test_finds_more_attempts_than_the_route_allows(self, checker):
        call = checker.start_call('lookup', 0)
        self.arrive(checker, call.id, 0.0, 0.1, 0.2)
        with pytest.raises(soak.BrokenPromiseError, match='more than 2'):
            checker.check_runs()

    def test_finds_more_repeats_than_the_budget_allows(self, checker):
        for _ in range(60):
            call = checker.start_call('lookup', 0)
            call.sent_at_s = 100.0
            self.arrive(checker, call.id, 0.0, 0.1)
        checker.check_runs()
        for _ in range(60):
            call = checker.start_call('lookup', 0)
            call.sent_at_s = 100.0
            self.arrive(checker, call.id, 1.0, 1.1)
        with pytest.raises(soak.BrokenPromiseError, match='repeats in 10 s'):
            checker.check_runs()


class TestLimits:
    """Checks of the limits that servers name."""

    def check(self, checker, *arrived_after_s):
        server = checker.platform.engines[0]
        server.set_limit(1.0)
        server.limit_headers()
        named_at_s = server.limit_periods()[0][1]
        server.arrived_at_s += [named_at_s + at_s for at_s in arrived_after_s]
        checker.check_runs()

    def test_accepts_what_the_limit_allows(self, checker):
        self.check(checker, *[0.1] * 50, *[3.5] * 11)

    def test_finds_more_than_the_limit_allows(self, checker):
        with pytest.raises(soak.BrokenPromiseError, match='named 1.0'):
            self.check(checker, *[0.6] * 6, *[3.5] * 6)

    def test_a_limit_ends_with_the_first_answer_without_it(self, checker):
        server = checker.platform.engines[0]
        server.set_limit(1.0)
        server.limit_headers()
        server.set_limit(None)
        server.limit_headers()
        (period,) = server.limit_periods()
        assert period[2] < float('inf')


class TestNotices:
    """Checks of servers that leave or ask for backoff."""

    SENT = {'one': (0, 100.0), 'two': (0, 103.0), 'of another': (1, 103.0)}

    def late(self, **fields):
        server = standin.Service('p-1')
        server.arrivals += [
            ('one', 100.1, 'p-1'),
            ('two', 103.1, 'p-1'),
            ('of another', 103.1, 'p-1'),
        ]
        told = {(0, 'p-1'): 100.5}
        return notice_checks.sent_while_leaving(
            server, self.SENT, told, **fields
        )

    def test_finds_what_was_sent_after_the_bound(self):
        assert self.late() == ['two']

    def test_excuses_an_entry_that_restarted(self):
        assert self.late(is_excused=lambda *_: True) == []

    def in_backoff(self, *arrived_after_s, **fields):
        server = standin.Service('p-1')
        server.backoff_answers.append(('one', 100.0, 'p-1', 3.0))
        server.arrivals += [
            ('two', 100.0 + at_s, 'p-1') for at_s in arrived_after_s
        ]
        return notice_checks.most_in_backoff(server, self.SENT, **fields)

    def test_counts_what_arrives_in_a_backoff(self):
        assert self.in_backoff(0.4, 0.6, 1.0, 2.9, 3.1) == 3

    def test_excuses_an_entry_that_was_cut_off(self):
        assert self.in_backoff(1.0, is_excused=lambda *_: True) == 0


class TestKeys:
    """Checks of API keys and usage limits."""

    def run(self, checker, key, at_s=None, **headers):
        call = checker.start_call('lookup', 0, key)
        call.status = 200
        at_s = call.sent_at_s if at_s is None else at_s
        checker.platform.services[0].run_log.append((call.id, at_s, headers))
        return call

    def test_accepts_a_run_for_its_organisation(self, checker):
        self.run(checker, soak_keys.Key('k', 'garden'), Tenant='garden')
        checker.check_runs()

    @pytest.mark.parametrize(
        'headers',
        [
            {},
            {'Tenant': 'balcony'},
            {'Tenant': 'garden', 'Authorization': 'k'},
        ],
        ids=['of nobody', 'of another', 'with its key'],
    )
    def test_finds_a_run_for_another_organisation(self, checker, headers):
        self.run(checker, soak_keys.Key('k', 'garden'), **headers)
        with pytest.raises(soak.BrokenPromiseError):
            checker.check_runs()

    def test_finds_a_run_with_a_revoked_key(self, checker):
        key = soak_keys.Key('k', 'garden')
        call = self.run(checker, key, Tenant='garden')
        key.revoked_at_s = call.sent_at_s - 4.0
        checker.check_runs()
        key.revoked_at_s = call.sent_at_s - 6.0
        with pytest.raises(soak.BrokenPromiseError, match='was revoked'):
            checker.check_runs()

    def test_finds_usage_above_the_limit(self, checker):
        key = soak_keys.Key('k', 'small')
        for number in range(100):
            self.run(checker, key, at_s=number / 20, Tenant='small')
        with pytest.raises(soak.BrokenPromiseError, match='units'):
            checker.check_runs()


class TestSilence:
    """Checks of calls that were passed on to servers."""

    @pytest.fixture
    def scene(self, checker):
        checker.platform.programs = [
            types.SimpleNamespace(role='sidecar', name='sidecar-1')
        ]
        return types.SimpleNamespace(
            platform=checker.platform,
            checker=checker,
            disturbances=soak_notices.Disturbances(),
            entry_name=lambda number: f'entry-{number}',
        )

    def lose(self, scene, after_s=1.2, error='ServerDisconnectedError()'):
        call = scene.checker.start_call('chat', 0)
        engine = scene.platform.engines[0]
        engine.arrivals.append((call.id, call.sent_at_s, engine.name))
        call.error = error
        call.ended_at_s = call.sent_at_s + after_s
        return call

    def lost(self, scene):
        platform = scene.platform
        servers = (*platform.engines, *platform.services)
        return list(soak_silence.check(scene, servers))

    def disturb(self, scene, call, kind, name, fault='', since_s=0.0):
        at_s = call.sent_at_s + since_s
        scene.disturbances.record(kind, name, at_s, at_s + 9.0, fault)

    def test_finds_calls_that_end_without_an_answer(self, scene):
        self.lose(scene)
        self.lose(scene, after_s=6.0, error='TimeoutError()')
        assert len(self.lost(scene)) == 2

    def test_accepts_calls_that_were_answered_or_not_passed_on(self, scene):
        self.lose(scene, error='')
        self.lose(scene)
        scene.platform.engines[0].arrivals.pop()
        assert self.lost(scene) == []

    def test_accepts_calls_that_reach_their_deadline(self, scene):
        self.lose(scene, after_s=5.1)
        assert self.lost(scene) == []

    def test_accepts_calls_that_their_server_broke_off(self, scene):
        call = self.lose(scene)
        scene.platform.engines[0].broken_off.add(call.id)
        assert self.lost(scene) == []

    @pytest.mark.parametrize(
        ('kind', 'name'),
        [
            ('process', 'entry-0'),
            ('link', 'entry-0'),
            ('link', 'i-1'),
            ('server', 'i-1'),
            ('process', 'sidecar-1'),
        ],
    )
    def test_accepts_calls_that_a_fault_may_have_ended(
        self, scene, kind, name
    ):
        call = self.lose(scene)
        self.disturb(scene, call, kind, name, since_s=1.1)
        assert self.lost(scene) == []

    @pytest.mark.parametrize(
        ('kind', 'name', 'fault', 'since_s'),
        [
            ('process', 'entry-1', 'kill', 0.0),
            ('link', 'i-2', 'reset', 0.0),
            ('server', 'p-1', '', 0.0),
            ('store', 'store', 'configuration', 0.0),
            ('process', 'entry-0', 'reload', 0.0),
            ('process', 'entry-0', 'terminate', -2.0),
            ('process', 'entry-0', 'kill', 1.3),
        ],
    )
    def test_finds_calls_that_no_fault_excuses(
        self, scene, kind, name, fault, since_s
    ):
        call = self.lose(scene)
        self.disturb(scene, call, kind, name, fault, since_s)
        assert len(self.lost(scene)) == 1

    def test_accepts_calls_that_outlast_the_grace(self, scene):
        call = self.lose(scene)
        self.disturb(scene, call, 'process', 'entry-0', 'terminate', -3.0)
        assert self.lost(scene) == []

    def test_servers_are_silent_one_at_a_time_and_at_once(self):
        planned = [
            silence
            for seed in range(20)
            for silence in soak_silence.plan(seed, TARGETS, 8.0)
        ]
        assert {len(silence.servers) for silence in planned} == {1, 2, 4}
        assert any(silence.beside for silence in planned)
        assert any(silence.crashed is not None for silence in planned)
        assert planned[:2] == soak_silence.plan(0, TARGETS, 8.0)[:2]


class FakeWriter:
    """What is written to a caller beside the answers."""

    def __init__(self):
        self.written = b''

    def is_closing(self):
        return False

    def write(self, data):
        self.written += data


class TestDuplicates:
    """Servers that write answers twice."""

    HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n'
    ANSWERS = (
        HEAD + b'Content-Length: 2\r\n\r\nok',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
        HEAD + b'Content-Length: 0\r\n\r\n',
    )
    REQUEST = b'GET / HTTP/1.1\r\nRequest-Id: r-1\r\n\r\n'

    def echo(self, monkeypatch, time, request=REQUEST, without_id=0.0):
        monkeypatch.setattr(soak_duplicates, '_TIMES', (time,))
        monkeypatch.setattr(soak_duplicates, '_WITHOUT_ID_RATIO', without_id)
        writer = FakeWriter()
        echo = soak_duplicates.Duplicates(1.0, 'seed').new_echo(writer)
        echo.record_request(request)
        return echo, writer

    @pytest.mark.parametrize('answer', ANSWERS)
    def test_an_answer_comes_again_with_its_last_bytes(
        self, monkeypatch, answer
    ):
        echo, _ = self.echo(monkeypatch, soak_duplicates.AT_ONCE)
        assert echo.answer_bytes(answer[:-1]) == answer[:-1]
        assert echo.answer_bytes(answer[-1:]) == answer[-1:] + answer

    @pytest.mark.parametrize('answer', ANSWERS)
    def test_an_answer_comes_again_as_the_next_request_arrives(
        self, monkeypatch, answer
    ):
        echo, writer = self.echo(monkeypatch, soak_duplicates.NEXT)
        assert echo.answer_bytes(answer) == answer
        assert not writer.written
        echo.record_request(self.REQUEST)
        assert writer.written == answer

    async def test_an_answer_comes_again_late_but_not_within_another(
        self, monkeypatch
    ):
        first, second, _ = self.ANSWERS
        echo, writer = self.echo(monkeypatch, soak_duplicates.LATE)
        echo.answer_bytes(first)
        echo.record_request(self.REQUEST)
        echo.answer_bytes(second[:-1])
        await asyncio.sleep(0.15)
        assert not writer.written
        assert echo.answer_bytes(second[-1:]) == second[-1:] + first
        await asyncio.sleep(0.15)
        assert writer.written == second

    def test_an_answer_without_a_length_comes_again_at_its_end(
        self, monkeypatch
    ):
        echo, _ = self.echo(monkeypatch, soak_duplicates.AT_ONCE)
        answer = self.HEAD + b'\r\nok'
        assert echo.answer_bytes(answer) == answer
        assert echo.last_bytes() == answer

    def test_an_answer_may_come_again_without_its_id(self, monkeypatch):
        echo, _ = self.echo(
            monkeypatch, soak_duplicates.AT_ONCE, without_id=1.0
        )
        answer = self.ANSWERS[0]
        again = answer.replace(b'Request-Id: r-1\r\n', b'')
        assert echo.answer_bytes(answer) == answer + again

    def test_what_callers_did_not_ask_for_is_answered_once(self, monkeypatch):
        """Guards against reports that come twice, which no seed asks for."""
        answer = self.ANSWERS[0]
        request = b'GET /healthz HTTP/1.1\r\n\r\n'
        echo, _ = self.echo(monkeypatch, soak_duplicates.AT_ONCE, request)
        assert echo.answer_bytes(answer) == answer

    def test_the_schedule_is_the_same_for_the_same_seed(self):
        first, second = (soak_duplicates.plan(7, 4) for _ in range(2))
        assert first == second
        assert all(0.05 <= duplicates.share <= 0.5 for duplicates in first)


class TestSoak:
    async def test_a_short_run_passes(self):
        """Real processes recover from overlapping faults."""
        scene, planned = await soak.run(
            seed=1,
            length_s=4.0,
            has_notices=False,
            mixes_methods=False,
            has_crashes=False,
            has_silences=False,
        )
        assert planned
        assert any(call.is_served for call in scene.checker.calls)

    async def test_an_entry_that_was_idle_serves_after_limits_have_ended(self):
        """Guards against refusals for a limit that ended unheard."""
        scene, _ = await soak.run(
            seed=5005,
            has_notices=False,
            mixes_methods=False,
            has_crashes=False,
            has_silences=False,
        )
        assert any(call.is_served for call in scene.checker.calls)

    async def test_servers_that_announce_how_to_use_them_get_no_more(self):
        """Guards against requests to servers that leave or asked for none."""
        scene, _ = await soak.run(
            seed=7010,
            mixes_methods=False,
            has_crashes=False,
            has_silences=False,
        )
        # Whether a caller is told depends on which server its entry prefers.
        assert scene.platform.services[0].name == 'p-1+'
        servers = (*scene.platform.engines, *scene.platform.services)
        assert any(server.backoff_answers for server in servers)

    async def test_commands_of_any_method_run_once(self):
        """Guards against a client that repeats some methods by itself."""
        scene, _ = await soak.run(
            seed=9003, has_crashes=False, has_silences=False
        )
        assert any(call.is_served for call in scene.checker.calls)

    @pytest.mark.parametrize('seed', [8009, 8013, 8050])
    async def test_orders_reach_engines_that_were_replaced(self, seed):
        """Guards against orders that name an incarnation that has ended."""
        scene, _ = await soak.run(
            seed=seed,
            mixes_methods=False,
            has_crashes=False,
            has_silences=False,
        )
        assert any(call.is_served for call in scene.checker.calls)

    @pytest.mark.parametrize('seed', [10004, 10018])
    async def test_what_crashes_servers_is_stopped(self, seed):
        """Guards against requests, or parts of prompts, that crash servers."""
        scene, _ = await soak.run(seed=seed, has_silences=False)
        assert any(call.is_served for call in scene.checker.calls)

    async def test_calls_end_as_their_entry_does(self):
        """Guards against requests that a drain leaves without a word."""
        scene, _ = await soak.run(seed=58013)
        assert any(call.is_served for call in scene.checker.calls)

    async def test_calls_end_whole_while_engines_are_silent(self):
        """Guards against streams cut off because their engine is silent."""
        scene, _ = await soak.run(seed=61180, length_s=4.0)
        assert any(call.is_served for call in scene.checker.calls)

    async def test_answers_are_the_callers_own_from_servers_that_answer_twice(
        self,
    ):
        """Guards against second answers that are given to other callers."""
        scene, _ = await soak.run(
            seed=70101, length_s=4.0, has_duplicates=True
        )
        assert sum(duplicates.count for duplicates in scene.duplicates)
