"""Isolation of suspect requests at engines and plain services."""

import random

import pytest

from lacewingpitch import backend_list
from lacewingpitch import crash_record
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import isolation
from lacewingpitch import plain_server_selector
from lacewingpitch import server_gate
from lacewingpitch import service_balancer
from lacewingpitch import turn_lease
from lacewingpitch import turn_messages
from lacewingpitch import wait_estimator
from tests import clocks
from tests import limit_fakes

WAIT = wait_estimator.WaitEstimate()


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def record(clock):
    return crash_record.CrashRecord(clock, random.Random(1))


def crash(record, count, fingerprint='f'):
    for number in range(count):
        record.record_crash(fingerprint, f'i-{number}')


def request(fingerprint='f', is_isolated=True):
    return turn_messages.TurnRequest(
        entry='edge-1',
        turn_id='t',
        run_id='r',
        model='m',
        adapter='',
        version=0,
        route='r',
        rank=0,
        prompt_tokens=1,
        max_tokens=1,
        wait_ms=0,
        start_within_ms=1,
        target_ms=1,
        deadline_ms=1,
        fingerprint=fingerprint,
        is_isolated=is_isolated,
    )


def turn(granted_at_s, **fields):
    lease = turn_lease.TurnLease(request(**fields), 90.0, 200.0, WAIT)
    lease.granted_at_s = granted_at_s
    return lease


class TestEngine:
    @pytest.fixture
    def found(self, record):
        return isolation.Isolation(record)

    def test_other_requests_are_not_affected(self, found):
        assert found.refusal(request('g', False), [turn(100.0)], 100.0) is None

    def test_a_suspect_runs_if_no_other_suspect_does(self, found, record):
        crash(record, 2)
        assert found.refusal(request(), [], 100.0) is None
        others = [turn(99.9, fingerprint='g', is_isolated=False)]
        assert found.refusal(request(), others, 100.0) is None

    @pytest.mark.parametrize('granted_at_s', [None, 99.0])
    def test_two_suspects_never_begin_together(
        self, found, record, granted_at_s
    ):
        """Guards against blaming a suspect for the crash of another."""
        crash(record, 2)
        refusal = found.refusal(request(), [turn(granted_at_s)], 100.0)
        assert refusal.kind is errors.ErrorKind.QUEUE_FULL
        assert refusal.outcome is errors.Outcome.NOT_RUN
        assert refusal.retry_after_s

    def test_a_suspect_after_its_probation_excludes_no_other(
        self, found, record
    ):
        crash(record, 2)
        assert found.refusal(request(), [turn(98.0)], 100.0) is None

    def test_a_suspect_that_its_entry_did_not_isolate_is_refused(
        self, found, record
    ):
        crash(record, 2)
        refusal = found.refusal(request(is_isolated=False), [], 100.0)
        assert refusal.kind is errors.ErrorKind.QUEUE_FULL

    def test_a_request_that_crashed_three_engines_is_refused_for_good(
        self, found, record
    ):
        crash(record, 3)
        refusal = found.refusal(request(is_isolated=False), [], 100.0)
        assert refusal.kind is errors.ErrorKind.CRASHES_BACKEND_SERVERS
        assert refusal.outcome is errors.Outcome.NOT_RUN
        assert refusal.retry_after_s is None
        assert not refusal.retry_elsewhere


class TestPlainService:
    @pytest.fixture
    def selector(self, record, clock):
        servers = backend_list.BackendList(clock)
        servers.replace_all(
            backend_list.BackendServer(
                name, 'lookup', f'10.0.0.{number}', 80, 'z'
            )
            for number, name in enumerate('abc')
        )
        source = random.Random(2)
        return plain_server_selector.PlainServerSelector(
            service_balancer.ServiceBalancer(
                servers, ejection.Ejector(clock, source), 'z', source
            ),
            record,
            limit_fakes.make_limits(clock),
            server_gate.ServerGate(servers, clock, source),
        )

    async def chosen(self, selector, count=20):
        found = set()
        for _ in range(count):
            async with selector.select(('f',), ('lookup',), ()) as turn:
                found.add(turn.server.name)
        return found

    async def test_a_closed_server_moves_no_suspect_to_another(
        self, selector, record
    ):
        """Guards against suspect requests at two servers at a time."""
        for start in ('x@1', 'y@1'):
            record.record_crash('f', start)
        (name,) = await self.chosen(selector, 1)
        server = next(
            s for s in selector._balancer.servers('lookup') if s.name == name
        )
        selector._gate.backoffs.record(server, 3.0)
        with pytest.raises(errors.RefusalError) as found:
            await self.chosen(selector, 1)
        assert found.value.kind is errors.ErrorKind.SERVER_BACKOFF

    async def test_other_requests_go_to_all_servers(self, selector):
        assert len(await self.chosen(selector)) > 1

    async def test_suspects_go_to_one_server(self, selector, record):
        crash(record, 2)
        assert len(await self.chosen(selector)) == 1

    async def test_suspects_run_one_at_a_time(self, selector, record):
        """Guards against blaming a suspect for the crash of another."""
        crash(record, 2)
        crash(record, 2, 'g')
        async with selector.select(('f',), ('lookup',), ()):
            with pytest.raises(errors.RefusalError) as raised:
                async with selector.select(('g',), ('lookup',), ()):
                    pass
        assert raised.value.kind is errors.ErrorKind.QUEUE_FULL
        async with selector.select(('g',), ('lookup',), ()):
            pass

    async def test_a_request_that_crashed_three_servers_is_refused(
        self, selector, record
    ):
        """Guards against a request that crashes server after server."""
        crash(record, 3)
        with pytest.raises(errors.RefusalError) as raised:
            await self.chosen(selector)
        assert raised.value.kind is errors.ErrorKind.CRASHES_BACKEND_SERVERS

    async def test_is_refused_without_any_server(self, selector):
        with pytest.raises(errors.RefusalError) as raised:
            async with selector.select(('f',), ('other',), ()):
                pass
        assert raised.value.kind is errors.ErrorKind.NO_BACKEND_SERVER
