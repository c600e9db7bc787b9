"""The soak: a short seeded run, and what its checks find."""

import random

import pytest

from tests import platform_standin as standin
from tests import soak
from tests import soak_faults
from tests import soak_keys

SIGNED = {standin.SIGNATURE: 's'}
WHOLE = b''.join(b'id: %d\ndata: x\n\n' % number for number in soak.EVENTS)
TARGETS = {
    'link': ['store'],
    'process': ['entry-1'],
    'store': ['store'],
    'engine': ['0'],
    'service': ['0'],
}


class FakePlatform:
    """What ran, as the backend servers saw it."""

    def __init__(self):
        self.engines = [standin.Engine('i-1')]
        self.services = [standin.Service('p-1')]


@pytest.fixture
def judge():
    return soak.Judge(FakePlatform())


def answer(judge, kind, status=200, headers=SIGNED, body=WHOLE):
    call = judge.begin(kind, 0)
    call.status = status
    judge.check_answer(call, headers, body)
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


class TestJudge:
    def test_whole_answers_are_well(self, judge):
        answer(judge, 'chat')
        call = judge.begin('command', 0)
        call.status = 200
        judge.check_answer(call, SIGNED, b'ran ' + call.id.encode())
        judge.check_runs()

    @pytest.mark.parametrize(
        ('kind', 'fields'),
        [
            ('chat', {'body': WHOLE.replace(b'id: 3', b'id: 2')}),
            ('chat', {'body': WHOLE[:30]}),
            ('chat', {'headers': {}}),
            ('lookup', {'body': b'ran lookup-of-another'}),
            ('lookup', {'status': 404}),
        ],
        ids=['doubled', 'cut', 'unsigned', 'of another', 'denied'],
    )
    def test_a_wrong_answer_is_found(self, judge, kind, fields):
        answer(judge, kind, **fields)
        with pytest.raises(soak.BrokenPromiseError):
            judge.check_runs()

    def test_a_second_run_is_found(self, judge):
        call = judge.begin('command', 0)
        judge.platform.services[0].runs += [call.id, call.id]
        with pytest.raises(soak.BrokenPromiseError, match='ran 2 times'):
            judge.check_runs()

    def test_a_false_refusal_is_found(self, judge):
        call = answer(judge, 'draft', status=503)
        judge.platform.engines[0].ran.append(call.id)
        with pytest.raises(soak.BrokenPromiseError, match='and ran'):
            judge.check_runs()

    def test_a_run_that_nobody_asked_for_is_found(self, judge):
        judge.platform.services[0].runs.append('command-of-nobody')
        with pytest.raises(soak.BrokenPromiseError, match='nobody sent'):
            judge.check_runs()

    def test_an_adapter_too_many_is_found(self, judge):
        judge.platform.engines[0].has_crashed = True
        with pytest.raises(soak.BrokenPromiseError, match='too many'):
            judge.check_runs()


class TestKeys:
    """What the checks of keys and limits find."""

    def run(self, judge, key, at_s=None, **headers):
        call = judge.begin('lookup', 0, key)
        call.status = 200
        at_s = call.sent_at_s if at_s is None else at_s
        judge.platform.services[0].run_log.append((call.id, at_s, headers))
        return call

    def test_a_run_for_its_organisation_is_well(self, judge):
        self.run(judge, soak_keys.Key('k', 'garden'), Tenant='garden')
        judge.check_runs()

    @pytest.mark.parametrize(
        'headers',
        [
            {},
            {'Tenant': 'balcony'},
            {'Tenant': 'garden', 'Authorization': 'k'},
        ],
        ids=['of nobody', 'of another', 'with its key'],
    )
    def test_another_is_found(self, judge, headers):
        self.run(judge, soak_keys.Key('k', 'garden'), **headers)
        with pytest.raises(soak.BrokenPromiseError):
            judge.check_runs()

    def test_a_run_with_a_void_key_is_found(self, judge):
        key = soak_keys.Key('k', 'garden')
        call = self.run(judge, key, Tenant='garden')
        key.taken_at_s = call.sent_at_s - 4.0
        judge.check_runs()
        key.taken_at_s = call.sent_at_s - 6.0
        with pytest.raises(soak.BrokenPromiseError, match='was taken'):
            judge.check_runs()

    def test_more_than_the_limit_is_found(self, judge):
        key = soak_keys.Key('k', 'small')
        for number in range(100):
            self.run(judge, key, at_s=number / 20, Tenant='small')
        with pytest.raises(soak.BrokenPromiseError, match='units'):
            judge.check_runs()


class TestSoak:
    async def test_a_short_run_holds(self):
        """Real processes under faults that overlap, and then in calm."""
        scene, planned = await soak.run(seed=1, length_s=4.0)
        assert planned
        assert any(call.is_served for call in scene.judge.calls)
