"""Claims over real voters, with links that fail on command."""

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
    """Sidecars' voters and claims, linked in memory."""

    def __init__(self, count=5):
        self.clock = clocks.ManualClock(test_voter.START_S)
        self.listed = test_voter.instances(count)
        self.voters = {}
        self.claims = {}
        self.unreachable = set()
        self.asked = collections.Counter()
        self.delayed = {}
        for instance in self.listed:
            self.boot(instance.name)
        self.clock.now_s += 1000.0

    def boot(self, name):
        known = membership.Membership(self.clock)
        known.update(live_list.InstanceList(1, self.listed))
        self.voters[name] = test_voter.make_voter(name, self.clock)
        self.voters[name].apply_list(self.listed)
        self.claims[name] = claim.Claims(name, self, known, self.clock, 600.0)

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

    def check(self, kind, name):
        self.asked[kind] += 1
        if name in self.unreachable:
            raise errors.LinkError(f'{name} is frozen')

    async def vote(self, instance, request):
        if instance.name in self.delayed:
            await self.delayed[instance.name].wait()
        await asyncio.sleep(0)
        self.check('vote', instance.name)
        return self.voters[instance.name].vote(request)

    async def withdraw(self, instance, request):
        await asyncio.sleep(0)
        self.check('withdraw', instance.name)
        return self.voters[instance.name].withdraw(request)

    async def outcome(self, holder, claim_id):
        await asyncio.sleep(0)
        self.check('outcome', holder)
        return await self.claims[holder].report_outcome(
            voter_link.OutcomeRequest(claim_id=claim_id)
        )

    async def run(self, name, order, *, body=BODY, work_done=None):
        """Do what a sidecar does with an order, on a counted service."""
        async with self.claims[name].claim(order, body) as found:
            async with found.collecting_votes():
                pass
            found.start()
            response = await work_done()
            found.record_answer(response)
            return response


class Service:
    """A backend server that counts its runs."""

    def __init__(self):
        self.runs = 0
        self.go_on = asyncio.Event()
        self.go_on.set()
        self.started = asyncio.Event()

    async def __call__(self):
        self.runs += 1
        self.started.set()
        await self.go_on.wait()
        return runs.WholeAnswer(200, 'text/plain', b'done')


@pytest.fixture
def fleet():
    return Fleet()


@pytest.fixture
def service():
    return Service()


class TestWinner:
    async def test_runs_once_and_answers_whoever_asks_again(
        self, fleet, service
    ):
        order = fleet.order()
        await fleet.run('sidecar-0', order, work_done=service)
        for name in ('sidecar-0', 'sidecar-1'):
            with pytest.raises(claim.KeptAnswerError) as found:
                await fleet.run(name, order, work_done=service)
            assert found.value.answer.body == b'done'
        assert service.runs == 1

    async def test_without_a_key_asks_nobody(self, fleet, service):
        order = fleet.order(idempotency_key='')
        for _ in range(2):
            await fleet.run('sidecar-0', order, work_done=service)
        assert service.runs == 2
        assert not fleet.asked

    async def test_does_without_one_voter(self, fleet, service):
        fleet.unreachable = {'sidecar-3'}
        await fleet.run('sidecar-0', fleet.order(), work_done=service)
        assert service.runs == 1

    async def test_asks_no_more_voters_than_it_needs(self, fleet, service):
        await fleet.run('sidecar-0', fleet.order(), work_done=service)
        assert fleet.asked == {'vote': 4}
        fleet.clock.now_s += 1.0
        order = fleet.order()
        fleet.asked.clear()
        async with fleet.claims['sidecar-0'].claim(order, BODY) as found:
            async with found.collecting_votes():
                pass
        assert fleet.asked == {'vote': 4, 'withdraw': 4}

    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.FROZEN, Step.QUEUED)
    @pytest.mark.parametrize('frozen', range(5))
    async def test_does_without_a_voter_that_is_frozen(
        self, fleet, service, frozen
    ):
        """Keyed requests wait a second each while one sidecar is frozen.

        It is a voter of their keys, does not answer, and the claim needs
        four of five.  The cause would be a claim that asks four and waits
        for each of them.
        """
        fleet.delayed = {f'sidecar-{frozen}': asyncio.Event()}
        async with asyncio.timeout(0.5):
            await fleet.run('sidecar-0', fleet.order(), work_done=service)
        assert service.runs == 1

    @pytest.mark.proves(
        Promise.AT_MOST_ONCE, Fault.DUPLICATE, Step.BEFORE_ADMISSION
    )
    async def test_one_of_many_at_once(self, fleet, service):
        """A buyer gets two quotes that disagree.

        Five sidecars get the same key at the same moment and split the
        votes between them.  One wins; the others answer as it did.
        """
        order = fleet.order()
        found = await asyncio.gather(
            *(
                fleet.run(i.name, order, work_done=service)
                for i in fleet.listed
            ),
            return_exceptions=True,
        )
        assert service.runs == 1
        kept = [r for r in found if isinstance(r, claim.KeptAnswerError)]
        assert len(kept) == 4


class TestLoser:
    async def test_waits_for_the_winner_to_finish(self, fleet, service):
        order = fleet.order()
        service.go_on.clear()
        winner = asyncio.create_task(
            fleet.run('sidecar-0', order, work_done=service)
        )
        await service.started.wait()
        loser = asyncio.create_task(
            fleet.run('sidecar-1', order, work_done=service)
        )
        await until(lambda: fleet.asked['outcome'])
        service.go_on.set()
        await winner
        with pytest.raises(claim.KeptAnswerError):
            await loser
        assert service.runs == 1

    async def test_is_never_told_not_run_when_the_winner_is_silent(
        self, fleet, service
    ):
        order = fleet.order()
        await fleet.run('sidecar-0', order, work_done=service)
        fleet.unreachable = {'sidecar-0'}
        with pytest.raises(errors.RefusalError) as found:
            await fleet.run('sidecar-1', order, work_done=service)
        assert found.value.kind is ErrorKind.KEY_IN_USE
        assert found.value.outcome is Outcome.UNKNOWN

    async def test_is_told_unknown_when_the_answer_was_not_kept(
        self, fleet, service
    ):
        async def stream():
            service.runs += 1
            return None

        order = fleet.order()
        await fleet.run('sidecar-0', order, work_done=stream)
        with pytest.raises(errors.RefusalError) as found:
            await fleet.run('sidecar-1', order, work_done=service)
        assert found.value.kind is ErrorKind.KEY_IN_USE
        assert service.runs == 1

    async def test_is_told_of_another_body(self, fleet, service):
        order = fleet.order()
        await fleet.run('sidecar-0', order, work_done=service)
        with pytest.raises(errors.RefusalError) as found:
            await fleet.run(
                'sidecar-1', order, body=b'other', work_done=service
            )
        assert found.value.kind is ErrorKind.BAD_IDEMPOTENCY_KEY
        assert service.runs == 1

    async def test_stops_waiting_for_its_turn(self, fleet, service):
        fleet.unreachable = {'sidecar-1', 'sidecar-2'}
        order = fleet.order()
        with pytest.raises(errors.RefusalError) as found:
            async with (
                fleet.claims['sidecar-0'].claim(order, BODY) as one,
                one.collecting_votes(),
            ):
                await asyncio.Event().wait()
        assert found.value.kind is ErrorKind.CLAIM_UNAVAILABLE
        assert found.value.outcome is Outcome.NOT_RUN
        assert found.value.retry_after_s

    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.KILLED, Step.SENT)
    async def test_restarted_voters_do_not_help_it(self, fleet, service):
        """A household's command runs again after a rolling restart.

        A request ran; all voters restart and forget; the caller sends
        the key again.  It is told that the outcome is unknown.
        """
        order = fleet.order()
        await fleet.run('sidecar-0', order, work_done=service)
        for instance in fleet.listed:
            fleet.boot(instance.name)
        fleet.clock.now_s += 100.0
        with pytest.raises(errors.RefusalError) as found:
            await fleet.run('sidecar-1', order, work_done=service)
        assert found.value.kind is ErrorKind.KEY_OUT_OF_WINDOW
        assert found.value.outcome is Outcome.UNKNOWN
        assert service.runs == 1


class TestGivingBack:
    async def test_next_attempt_wins_after_one_that_did_not_run(
        self, fleet, service
    ):
        """A caller is refused though no backend server was busy.

        The first attempt is refused before its start, with the claim
        complete; the next, on another sidecar, needs the votes.
        """

        async def refuse():
            raise errors.RefusalError(
                ErrorKind.ADAPTER_UNAVAILABLE, 'not sent'
            )

        with pytest.raises(errors.RefusalError):
            await fleet.run('sidecar-0', fleet.order(), work_done=refuse)
        await fleet.run('sidecar-1', fleet.order(2), work_done=service)
        assert service.runs == 1

    async def test_keeps_the_votes_when_the_outcome_is_unknown(
        self, fleet, service
    ):
        async def break_off():
            service.runs += 1
            raise errors.RefusalError(ErrorKind.OUTCOME_UNKNOWN, 'broke off')

        with pytest.raises(errors.RefusalError):
            await fleet.run('sidecar-0', fleet.order(), work_done=break_off)
        with pytest.raises(errors.RefusalError) as found:
            await fleet.run('sidecar-1', fleet.order(2), work_done=service)
        assert found.value.kind is ErrorKind.KEY_IN_USE
        assert service.runs == 1

    async def test_cancelled_before_its_start(self, fleet, service):
        waiting = asyncio.Event()

        async def wait_forever():
            async with (
                fleet.claims['sidecar-0'].claim(fleet.order(), BODY) as one,
                one.collecting_votes(),
            ):
                waiting.set()
                await asyncio.Event().wait()

        task = asyncio.create_task(wait_forever())
        await waiting.wait()
        task.cancel()
        await asyncio.wait([task])
        await fleet.run('sidecar-1', fleet.order(2), work_done=service)
        assert service.runs == 1

    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.ENGINE_LATE, Step.QUEUED)
    async def test_late_votes_do_not_start_what_was_given_up(
        self, fleet, service
    ):
        """A pot is watered by a request that was refused before.

        Votes reach a sidecar after it gave its claim up and gave the
        votes back, by when another has won them.
        """
        order = fleet.order()
        ballot = ballot_module.Ballot(fleet.claims['sidecar-0'].voters(order))
        ballot.close()
        await fleet.run('sidecar-1', order, work_done=service)
        for name in ballot.voters.names:
            ballot.record_reply(
                name, voter.VoteReply(verdict=voter.Verdict.GRANTED)
            )
        assert not ballot.is_won

    def test_a_doubled_vote_counts_once(self, fleet):
        ballot = ballot_module.Ballot(
            fleet.claims['sidecar-0'].voters(fleet.order())
        )
        for _ in range(5):
            ballot.record_reply(
                'sidecar-1', voter.VoteReply(verdict=voter.Verdict.GRANTED)
            )
        assert not ballot.is_won


class TestKeptAnswers:
    async def test_memory_is_bounded(self, fleet):
        found = fleet.claims['sidecar-0']
        answer = runs.WholeAnswer(200, 'text/plain', bytes(60_000))
        for number in range(400):
            found.record_state(
                f'{number}', voter_link.ClaimState.FINISHED, answer
            )
        kept = [
            (
                await found.report_outcome(
                    voter_link.OutcomeRequest(claim_id=f'{n}')
                )
            ).answer
            for n in range(400)
        ]
        assert 60_000 * sum(a is not None for a in kept) <= (
            claim.MAX_CACHED_BYTES
        )
        assert kept[0] is None
        assert kept[-1] == answer


class TestIdempotencyKey:
    def test_one_spelling(self):
        key = test_voter.key_at(test_voter.START_S, 99)
        for text in (key, key.upper(), key.replace('-', ''), f'{{{key}}}'):
            assert idempotency.canonical(text) == key
        assert idempotency.created_at_s(key) == test_voter.START_S

    @pytest.mark.parametrize(
        'text',
        ['', 'quote-7', '0f8fad5b-d9cb-469f-a165-70867728950e', '\u0663' * 32],
    )
    def test_anything_else_is_refused(self, text):
        with pytest.raises(errors.RefusalError) as found:
            idempotency.canonical(text)
        assert found.value.kind is ErrorKind.BAD_IDEMPOTENCY_KEY

    def test_window(self):
        key = test_voter.key_at(1000.0)
        for now_s in (996.0, 1000.0, 1599.0):
            idempotency.check_window(key, now_s, 600.0, 5.0)
        with pytest.raises(errors.RefusalError) as found:
            idempotency.check_window(key, 990.0, 600.0, 5.0)
        assert found.value.outcome is Outcome.NOT_RUN
        with pytest.raises(errors.RefusalError) as found:
            idempotency.check_window(key, 1601.0, 600.0, 5.0)
        assert found.value.outcome is Outcome.UNKNOWN


async def until(predicate):
    async with asyncio.timeout(10.0):
        while not predicate():
            await asyncio.sleep(0)
