"""Tests of claims with real voters and simulated link failures."""

import asyncio
import collections

import pytest

from lacewingpitch import ballot as ballot_module
from lacewingpitch import claim
from lacewingpitch import errors
from lacewingpitch import idempotency
from lacewingpitch import live_list
from lacewingpitch import membership
from lacewingpitch import runs
from lacewingpitch import voter
from lacewingpitch import voter_link
from tests import clocks
from tests import fault_matrix
from tests import samples
from tests import test_voter

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
ErrorKind = errors.ErrorKind
Outcome = errors.Outcome
BODY = b'{"water": "balcony"}'


class Fleet:
    """Voters and claims of several sidecars, connected in memory."""

    def __init__(self, count=5):
        self.clock = clocks.ManualClock(test_voter.START_S)
        self.listed = test_voter.instances(count)
        self.voters = {}
        self.claims = {}
        self.unreachable = set()
        self.request_counts = collections.Counter()
        self.delayed = {}
        for instance in self.listed:
            self.start_sidecar(instance.name)
        self.clock.now_s += 1000.0

    def start_sidecar(self, name):
        member_list = membership.Membership(self.clock)
        member_list.update(live_list.InstanceList(1, self.listed))
        self.voters[name] = test_voter.make_voter(name, self.clock)
        self.voters[name].apply_list(self.listed)
        self.claims[name] = claim.Claims(
            name, self, member_list, self.clock, 600.0
        )

    def order(self, attempt=1, **fields):
        defaults = {
            'path': '/water',
            'repeatable': False,
            'service': 'plain',
            'idempotency_key': test_voter.key_at(self.clock.now_s),
            'region': 'region-a',
            'deadline_s': 5.0,
        }
        return samples.order(attempt=attempt, **(defaults | fields))

    def count_request(self, kind, name):
        self.request_counts[kind] += 1
        if name in self.unreachable:
            raise errors.LinkError(f'{name} is frozen')

    async def vote(self, instance, request):
        if instance.name in self.delayed:
            await self.delayed[instance.name].wait()
        await asyncio.sleep(0)
        self.count_request('vote', instance.name)
        return self.voters[instance.name].vote(request)

    async def withdraw(self, instance, request):
        await asyncio.sleep(0)
        self.count_request('withdraw', instance.name)
        return self.voters[instance.name].withdraw(request)

    async def outcome(self, holder, claim_id):
        await asyncio.sleep(0)
        self.count_request('outcome', holder)
        return await self.claims[holder].report_outcome(
            voter_link.OutcomeRequest(claim_id=claim_id)
        )

    async def run(self, name, order, *, body=BODY, execute=None):
        """Claim and execute an order as the named sidecar would."""
        async with self.claims[name].claim(order, body) as held_claim:
            async with held_claim.collecting_votes():
                pass
            held_claim.start()
            response = await execute()
            held_claim.record_answer(response)
            return response


class Service:
    """A backend server that counts its runs."""

    def __init__(self):
        self.runs = 0
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.started = asyncio.Event()

    async def __call__(self):
        self.runs += 1
        self.started.set()
        await self.may_finish.wait()
        return runs.WholeAnswer(200, 'text/plain', b'done')


@pytest.fixture
def fleet():
    return Fleet()


@pytest.fixture
def service():
    return Service()


class TestWinner:
    async def test_runs_once_and_answers_retries(self, fleet, service):
        order = fleet.order()
        await fleet.run('sidecar-0', order, execute=service)
        for name in ('sidecar-0', 'sidecar-1'):
            with pytest.raises(claim.KeptAnswerError) as caught:
                await fleet.run(name, order, execute=service)
            assert caught.value.answer.body == b'done'
        assert service.runs == 1

    async def test_without_a_key_sends_no_messages(self, fleet, service):
        order = fleet.order(idempotency_key='')
        for _ in range(2):
            await fleet.run('sidecar-0', order, execute=service)
        assert service.runs == 2
        assert not fleet.request_counts

    async def test_tolerates_one_unreachable_voter(self, fleet, service):
        fleet.unreachable = {'sidecar-3'}
        await fleet.run('sidecar-0', fleet.order(), execute=service)
        assert service.runs == 1

    async def test_asks_no_more_voters_than_it_needs(self, fleet, service):
        await fleet.run('sidecar-0', fleet.order(), execute=service)
        assert fleet.request_counts == {'vote': 4}
        fleet.clock.now_s += 1.0
        order = fleet.order()
        fleet.request_counts.clear()
        async with fleet.claims['sidecar-0'].claim(order, BODY) as held_claim:
            async with held_claim.collecting_votes():
                pass
        assert fleet.request_counts == {'vote': 4, 'withdraw': 4}

    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.FROZEN, Step.QUEUED)
    @pytest.mark.parametrize('frozen', range(5))
    async def test_tolerates_one_frozen_voter(self, fleet, service, frozen):
        """Guards against a delay of keyed requests by one frozen sidecar.

        The sidecar is a voter of their keys and does not answer.  A claim
        needs four of five votes.  If it asked only four voters and waited
        for each of them, every request would wait for a second.
        """
        fleet.delayed = {f'sidecar-{frozen}': asyncio.Event()}
        async with asyncio.timeout(0.5):
            await fleet.run('sidecar-0', fleet.order(), execute=service)
        assert service.runs == 1

    @pytest.mark.proves(
        Promise.AT_MOST_ONCE, Fault.DUPLICATE, Step.BEFORE_ADMISSION
    )
    async def test_one_of_many_concurrent_claims_wins(self, fleet, service):
        """Guards against two runs when claims split the votes.

        Five sidecars receive the same key at the same time.  One wins;
        the others return its answer.
        """
        order = fleet.order()
        results = await asyncio.gather(
            *(fleet.run(i.name, order, execute=service) for i in fleet.listed),
            return_exceptions=True,
        )
        assert service.runs == 1
        cached = [r for r in results if isinstance(r, claim.KeptAnswerError)]
        assert len(cached) == 4


class TestLoser:
    async def test_waits_for_the_winner_to_finish(self, fleet, service):
        order = fleet.order()
        service.may_finish.clear()
        winner = asyncio.create_task(
            fleet.run('sidecar-0', order, execute=service)
        )
        await service.started.wait()
        loser = asyncio.create_task(
            fleet.run('sidecar-1', order, execute=service)
        )
        await wait_until(lambda: fleet.request_counts['outcome'])
        service.may_finish.set()
        await winner
        with pytest.raises(claim.KeptAnswerError):
            await loser
        assert service.runs == 1

    async def test_outcome_is_unknown_when_the_winner_does_not_answer(
        self, fleet, service
    ):
        order = fleet.order()
        await fleet.run('sidecar-0', order, execute=service)
        fleet.unreachable = {'sidecar-0'}
        with pytest.raises(errors.RefusalError) as caught:
            await fleet.run('sidecar-1', order, execute=service)
        assert caught.value.kind is ErrorKind.KEY_IN_USE
        assert caught.value.outcome is Outcome.UNKNOWN

    async def test_is_refused_when_the_answer_is_not_cached(
        self, fleet, service
    ):
        async def stream():
            service.runs += 1
            return None

        order = fleet.order()
        await fleet.run('sidecar-0', order, execute=stream)
        with pytest.raises(errors.RefusalError) as caught:
            await fleet.run('sidecar-1', order, execute=service)
        assert caught.value.kind is ErrorKind.KEY_IN_USE
        assert service.runs == 1

    async def test_is_refused_for_a_different_body(self, fleet, service):
        order = fleet.order()
        await fleet.run('sidecar-0', order, execute=service)
        with pytest.raises(errors.RefusalError) as caught:
            await fleet.run('sidecar-1', order, body=b'other', execute=service)
        assert caught.value.kind is ErrorKind.BAD_IDEMPOTENCY_KEY
        assert service.runs == 1

    async def test_stops_waiting_for_its_turn(self, fleet, service):
        fleet.unreachable = {'sidecar-1', 'sidecar-2'}
        order = fleet.order()
        with pytest.raises(errors.RefusalError) as caught:
            async with (
                fleet.claims['sidecar-0'].claim(order, BODY) as held_claim,
                held_claim.collecting_votes(),
            ):
                await asyncio.Event().wait()
        assert caught.value.kind is ErrorKind.CLAIM_UNAVAILABLE
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after_s

    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.KILLED, Step.SENT)
    async def test_cannot_win_after_all_voters_restart(self, fleet, service):
        """Guards against a second run after a rolling restart.

        After the request ran, all voters restart and lose their votes.
        The caller retries with the same key and receives the outcome
        "unknown".
        """
        order = fleet.order()
        await fleet.run('sidecar-0', order, execute=service)
        for instance in fleet.listed:
            fleet.start_sidecar(instance.name)
        fleet.clock.now_s += 100.0
        with pytest.raises(errors.RefusalError) as caught:
            await fleet.run('sidecar-1', order, execute=service)
        assert caught.value.kind is ErrorKind.KEY_OUT_OF_WINDOW
        assert caught.value.outcome is Outcome.UNKNOWN
        assert service.runs == 1


class TestWithdrawal:
    async def test_next_attempt_wins_after_one_that_did_not_run(
        self, fleet, service
    ):
        """Guards against a refusal although the key is free.

        The first attempt has won its claim but is refused before it
        starts.  The next one, on another sidecar, needs the votes.
        """

        async def refuse():
            raise errors.RefusalError(
                ErrorKind.ADAPTER_UNAVAILABLE, 'not sent'
            )

        with pytest.raises(errors.RefusalError):
            await fleet.run('sidecar-0', fleet.order(), execute=refuse)
        await fleet.run('sidecar-1', fleet.order(2), execute=service)
        assert service.runs == 1

    async def test_keeps_the_votes_when_the_outcome_is_unknown(
        self, fleet, service
    ):
        async def disconnect():
            service.runs += 1
            raise errors.RefusalError(ErrorKind.OUTCOME_UNKNOWN, 'broke off')

        with pytest.raises(errors.RefusalError):
            await fleet.run('sidecar-0', fleet.order(), execute=disconnect)
        with pytest.raises(errors.RefusalError) as caught:
            await fleet.run('sidecar-1', fleet.order(2), execute=service)
        assert caught.value.kind is ErrorKind.KEY_IN_USE
        assert service.runs == 1

    async def test_cancelled_before_its_start(self, fleet, service):
        waiting = asyncio.Event()

        async def wait_forever():
            async with (
                fleet.claims['sidecar-0'].claim(
                    fleet.order(), BODY
                ) as held_claim,
                held_claim.collecting_votes(),
            ):
                waiting.set()
                await asyncio.Event().wait()

        task = asyncio.create_task(wait_forever())
        await waiting.wait()
        task.cancel()
        await asyncio.wait([task])
        await fleet.run('sidecar-1', fleet.order(2), execute=service)
        assert service.runs == 1

    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.ENGINE_LATE, Step.QUEUED)
    async def test_late_votes_do_not_complete_a_withdrawn_claim(
        self, fleet, service
    ):
        """Guards against a run of a request that was already refused.

        Votes arrive after the sidecar has ended its round and released
        the votes, which another sidecar has won since.
        """
        order = fleet.order()
        ballot = ballot_module.Ballot(fleet.claims['sidecar-0'].voters(order))
        ballot.close()
        await fleet.run('sidecar-1', order, execute=service)
        for name in ballot.voters.names:
            ballot.record_reply(
                name, voter.VoteReply(verdict=voter.Verdict.GRANTED)
            )
        assert not ballot.is_won

    def test_repeated_vote_counts_once(self, fleet):
        ballot = ballot_module.Ballot(
            fleet.claims['sidecar-0'].voters(fleet.order())
        )
        for _ in range(5):
            ballot.record_reply(
                'sidecar-1', voter.VoteReply(verdict=voter.Verdict.GRANTED)
            )
        assert not ballot.is_won


class TestCachedAnswers:
    async def test_memory_is_bounded(self, fleet):
        claims = fleet.claims['sidecar-0']
        answer = runs.WholeAnswer(200, 'text/plain', bytes(60_000))
        for number in range(400):
            claims.record_state(
                f'{number}', voter_link.ClaimState.FINISHED, answer
            )
        cached = [
            (
                await claims.report_outcome(
                    voter_link.OutcomeRequest(claim_id=f'{n}')
                )
            ).answer
            for n in range(400)
        ]
        assert 60_000 * sum(a is not None for a in cached) <= (
            claim.MAX_CACHED_BYTES
        )
        assert cached[0] is None
        assert cached[-1] == answer


class TestIdempotencyKey:
    def test_canonical_text(self):
        key = test_voter.key_at(test_voter.START_S, 99)
        for text in (key, key.upper(), key.replace('-', ''), f'{{{key}}}'):
            assert idempotency.canonical(text) == key
        assert idempotency.created_at_s(key) == test_voter.START_S

    @pytest.mark.parametrize(
        'text',
        ['', 'quote-7', '0f8fad5b-d9cb-469f-a165-70867728950e', '\u0663' * 32],
    )
    def test_anything_else_is_refused(self, text):
        with pytest.raises(errors.RefusalError) as caught:
            idempotency.canonical(text)
        assert caught.value.kind is ErrorKind.BAD_IDEMPOTENCY_KEY

    def test_window(self):
        key = test_voter.key_at(1000.0)
        for now_s in (996.0, 1000.0, 1599.0):
            idempotency.check_window(key, now_s, 600.0, 5.0)
        with pytest.raises(errors.RefusalError) as caught:
            idempotency.check_window(key, 990.0, 600.0, 5.0)
        assert caught.value.outcome is Outcome.NOT_RUN
        with pytest.raises(errors.RefusalError) as caught:
            idempotency.check_window(key, 1601.0, 600.0, 5.0)
        assert caught.value.outcome is Outcome.UNKNOWN


async def wait_until(predicate):
    async with asyncio.timeout(10.0):
        while not predicate():
            await asyncio.sleep(0)
