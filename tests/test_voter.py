"""Voters alone, then the promise under random interleavings."""

import random

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest
import xxhash

from lacewingpitch import ballot as ballot_module
from lacewingpitch import voter
from tests import clocks
from tests import fault_matrix
from tests import samples

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
Verdict = voter.Verdict

WINDOW_S = 600.0
SKEW_S = 4.0
LAG_S = 60.0
START_S = 1_700_000_000.0


class SkewedClock:
    """The clock of one process, whose wall time is off by some seconds."""

    def __init__(self, world, offset_s):
        self._world = world
        self._offset_s = offset_s

    def wall_s(self):
        return self._world.now_s + self._offset_s

    def monotonic_s(self):
        return self._world.now_s


def instances(count, zones=4):
    return tuple(
        samples.sidecar(
            f'sidecar-{number}', availability_zone=f'zone-{number % zones}'
        )
        for number in range(count)
    )


def key_at(created_s, noise=0):
    """Return a UUIDv7 made at some time."""
    value = int(created_s * 1000) << 80 | 7 << 76 | 2 << 62 | noise
    text = f'{value:032x}'
    return '-'.join(
        (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    )


def make_voter(
    name, clock, *, kind=voter.Voter, max_votes=100, list_age_s=0.0
):
    return kind(
        name,
        clock,
        window_s=WINDOW_S,
        skew_s=SKEW_S,
        list_lag_s=LAG_S,
        list_age_s=lambda: list_age_s,
        max_votes=max_votes,
    )


def ask(key, claim_id='claim-1', found=None, **fields):
    voters = found or voter.VoterSet(instances(1))
    return voter.VoteRequest(
        **{
            'customer': 'haneul',
            'key': key,
            'region': 'region-a',
            'claim_id': claim_id,
            'holder': 'sidecar-0',
            'digest': 'body-1',
            'voters': tuple(i.name for i in voters.instances),
            'quorum': voters.quorum,
        }
        | fields
    )


def give_back(key, claim_id):
    return voter.WithdrawRequest(customer='haneul', key=key, claim_id=claim_id)


@pytest.fixture
def clock():
    return clocks.ManualClock(START_S)


@pytest.fixture
def alone(clock):
    """Return the only voter of every key, past its start."""
    found = make_voter('sidecar-0', clock)
    found.apply_list(instances(1))
    clock.now_s += 100.0
    return found


class TestVotersOf:
    @given(
        count=strategies.integers(1, 14),
        zones=strategies.integers(1, 5),
        gone=strategies.integers(0, 13),
        noise=strategies.integers(0, 1 << 40),
    )
    def test_one_change_of_the_list_changes_one_voter(
        self, count, zones, gone, noise
    ):
        before = instances(count, zones)
        after = tuple(i for i in before if i.name != f'sidecar-{gone % count}')
        key = key_at(START_S, noise)
        one = voter.select_voters('haneul', key, 'region-a', before)
        other = voter.select_voters('haneul', key, 'region-a', after)
        assert len(one.names - other.names) <= 1
        assert len(other.names - one.names) <= 1

    @given(count=strategies.integers(1, 14), noise=strategies.integers(0, 99))
    def test_two_quorums_of_one_list_meet(self, count, noise):
        found = voter.select_voters(
            'haneul', key_at(START_S, noise), 'region-a', instances(count)
        )
        assert 2 * found.quorum > len(found.instances)
        assert len(found.instances) == min(count, voter.MAX_VOTERS)

    @pytest.mark.parametrize('zones', [3, 4, 5])
    def test_no_zone_holds_a_quorum(self, zones):
        for noise in range(200):
            found = voter.select_voters(
                'haneul',
                key_at(START_S, noise),
                'region-a',
                instances(12, zones),
            )
            places = [i.availability_zone for i in found.instances]
            assert max(places.count(zone) for zone in places) <= 2

    @given(
        zones=strategies.lists(strategies.integers(1, 9), max_size=7),
        noise=strategies.integers(0, 1 << 40),
    )
    def test_zones_take_turns_each_with_its_best(self, zones, noise):
        """All claims are refused while an upgrade rolls.

        The old and the new processes find other voters for each key.
        The cause would be a search that is quick and not the same; zones
        too small for their turns leave them to the others.
        """
        numbers = [z for z, size in enumerate(zones) for _ in range(size)]
        members = tuple(
            msgspec.structs.replace(one, availability_zone=f'zone-{number}')
            for one, number in zip(
                instances(len(numbers)), numbers, strict=True
            )
        )
        elsewhere = tuple(
            msgspec.structs.replace(one, name=f'far-{number}', region='b')
            for number, one in enumerate(instances(9))
        )
        key = key_at(START_S, noise)
        seed = xxhash.xxh3_64_intdigest(f'haneul/{key}'.encode())
        scored = sorted(
            (-xxhash.xxh3_64_intdigest(one.name.encode(), seed), number, one)
            for one, number in zip(members, numbers, strict=True)
        )
        chosen_counts = [0] * len(zones)
        expected = []
        for score, number, one in scored:
            expected.append((chosen_counts[number], score, one.name))
            chosen_counts[number] += 1
        index = voter.VoterIndex(elsewhere + members)
        for _ in range(2):
            found = index.select_voters('haneul', key, 'region-a')
            assert [i.name for i in found.instances] == [
                item[2] for item in sorted(expected)[: voter.MAX_VOTERS]
            ]

    def test_other_regions_have_no_vote(self):
        found = voter.select_voters(
            'haneul', key_at(START_S), 'region-b', instances(9)
        )
        assert not found.instances


class TestVote:
    def test_backs_one_claim_however_often_it_asks(self, alone, clock):
        key = key_at(clock.now_s)
        for _ in range(2):
            assert alone.vote(ask(key)).verdict is Verdict.GRANTED
        reply = alone.vote(ask(key, 'claim-2', holder='sidecar-9'))
        assert reply.verdict is Verdict.TAKEN
        assert (reply.claim_id, reply.holder) == ('claim-1', 'sidecar-0')

    def test_keys_of_two_customers_are_two_keys(self, alone, clock):
        key = key_at(clock.now_s)
        alone.vote(ask(key))
        reply = alone.vote(ask(key, 'claim-2', customer='caravan'))
        assert reply.verdict is Verdict.GRANTED

    def test_tells_another_body(self, alone, clock):
        key = key_at(clock.now_s)
        alone.vote(ask(key))
        reply = alone.vote(ask(key, 'claim-2', digest='body-2'))
        assert reply.verdict is Verdict.OTHER_BODY

    def test_only_the_holder_gives_its_vote_back(self, alone, clock):
        key = key_at(clock.now_s)
        alone.vote(ask(key))
        alone.withdraw(give_back(key, 'claim-2'))
        assert alone.vote(ask(key, 'claim-3')).verdict is Verdict.TAKEN
        alone.withdraw(give_back(key, 'claim-1'))
        assert alone.vote(ask(key, 'claim-3')).verdict is Verdict.GRANTED

    def test_late_request_of_a_withdrawn_claim_blocks_nothing(
        self, alone, clock
    ):
        """A caller's key is refused though nothing holds it.

        A claim is given up; its request for the vote arrives after the
        withdrawal.  The cause would be a voter that backs it then.
        """
        key = key_at(clock.now_s)
        alone.withdraw(give_back(key, 'claim-1'))
        assert alone.vote(ask(key)).verdict is Verdict.WITHDRAWN
        assert alone.vote(ask(key, 'claim-2')).verdict is Verdict.GRANTED


class TestWindow:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.KILLED, Step.CLAIMED)
    def test_restarted_voter_backs_no_older_key(self, clock):
        """A subscriber's balcony is watered twice.

        A first sending wins the votes and runs; the voters restart and
        forget; the second sending would win them again.
        """
        key = key_at(clock.now_s)
        clock.now_s += 1.0
        found = make_voter('sidecar-0', clock)
        assert found.vote(ask(key)).verdict is Verdict.TOO_OLD
        found.apply_list(instances(1))
        clock.now_s += LAG_S + 2 * SKEW_S
        assert found.vote(ask(key)).verdict is Verdict.TOO_OLD
        fresh = key_at(clock.now_s)
        assert found.vote(ask(fresh)).verdict is Verdict.GRANTED

    def test_key_from_the_future_is_refused(self, alone, clock):
        key = key_at(clock.now_s + SKEW_S + 1.0)
        assert alone.vote(ask(key)).verdict is Verdict.FROM_FUTURE

    def test_what_is_forgotten_is_refused_whatever_the_clock(
        self, alone, clock
    ):
        """A buyer gets a second quote after a clock was set back.

        The vote lapses with the window; then the clock jumps back, and
        the key looks young again.
        """
        key = key_at(clock.now_s)
        alone.vote(ask(key))
        clock.now_s += WINDOW_S + 1.0
        alone.vote(ask(key_at(clock.now_s)))
        assert len(alone) == 1
        clock.now_s -= WINDOW_S
        assert alone.vote(ask(key, 'claim-2')).verdict is Verdict.TOO_OLD

    def test_full_table_refuses_and_forgets_nothing(self, clock):
        found = make_voter('sidecar-0', clock, max_votes=3)
        found.apply_list(instances(1))
        clock.now_s += 100.0
        keys = [key_at(clock.now_s, noise) for noise in range(5)]
        for key in keys[:3]:
            assert found.vote(ask(key)).verdict is Verdict.GRANTED
        reply = found.vote(ask(keys[3], 'claim-2'))
        assert reply.verdict is Verdict.TABLE_FULL
        assert reply.retry_after_s == pytest.approx(WINDOW_S, abs=1.0)
        found.withdraw(give_back(keys[4], 'claim-2'))
        assert len(found) == 3
        assert found.vote(ask(keys[0], 'claim-2')).verdict is Verdict.TAKEN


class TestLists:
    @pytest.mark.parametrize(
        ('gone', 'verdict'),
        [(1, Verdict.GRANTED), (2, Verdict.GRANTED), (3, 'lists-differ')],
    )
    def test_newcomer_backs_older_keys_only_within_the_bound(
        self, clock, gone, verdict
    ):
        everyone = instances(12)
        key = key_at(clock.now_s + 90.0)
        old = voter.select_voters('haneul', key, 'region-a', everyone)
        after = tuple(i for i in everyone if i not in old.instances[:gone])
        new = voter.select_voters('haneul', key, 'region-a', after)
        name = min(new.names - old.names)
        found = make_voter(name, clock)
        found.apply_list(everyone)
        clock.now_s += 100.0
        found.apply_list(after)
        assert found.vote(ask(key, found=new)).verdict == verdict
        clock.now_s += LAG_S + 2 * SKEW_S
        later = key_at(clock.now_s)
        new = voter.select_voters('haneul', later, 'region-a', after)
        assert found.vote(ask(later, found=new)).verdict is Verdict.GRANTED

    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.LIST_WRONG, Step.QUEUED)
    def test_voter_notices_lists_too_far_apart(self, clock):
        """Two zones each water the same balcony.

        Two sidecars hold lists that share too few voters of a key, so
        that both could win it.  The voter that sees both abstains.
        """
        everyone = instances(12)
        key = key_at(clock.now_s + 100.0)
        mine = voter.select_voters('haneul', key, 'region-a', everyone)
        few = tuple(
            i
            for i in everyone
            if i not in mine.instances or i == mine.instances[0]
        )
        theirs = voter.select_voters('haneul', key, 'region-a', few)
        found = make_voter(mine.instances[0].name, clock)
        found.apply_list(everyone)
        clock.now_s += 100.0
        reply = found.vote(ask(key, found=theirs))
        assert reply.verdict is Verdict.LISTS_DIFFER
        assert found.vote(ask(key, found=mine)).verdict is Verdict.GRANTED

    def test_voter_cut_off_from_the_list_backs_nothing(self, clock):
        found = make_voter('sidecar-0', clock, list_age_s=LAG_S + 1.0)
        found.apply_list(instances(1))
        clock.now_s += 100.0
        reply = found.vote(ask(key_at(clock.now_s)))
        assert reply.verdict is Verdict.LIST_STALE


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Sendings of one key against voters that fail in every way.

    Lists change as they like and all reach everyone within `LAG_S`; clocks
    differ by `SKEW_S` at most; messages are lost, doubled, late and out
    of order.
    Each rule takes its choices from a seeded generator, so that `stir`
    can do many of them in a row.
    """

    voter_kind = voter.Voter
    ballot_kind = ballot_module.Ballot

    @stateful.initialize(
        count=strategies.integers(1, 8),
        zones=strategies.integers(1, 4),
        seed=strategies.integers(0, 1 << 32),
        caller_s=strategies.sampled_from([-SKEW_S / 2, 0.0, SKEW_S / 2]),
    )
    def set_up(self, count, zones, seed, caller_s):
        self.noise = random.Random(seed)
        self.caller_s = caller_s
        self.clock = clocks.ManualClock(START_S)
        self.pool = instances(count + 3, zones)
        self.published = [(0.0, self.pool[:count])]
        offsets_s = [-SKEW_S / 2, 0.0, SKEW_S / 2]
        self.offsets = {
            i.name: self.noise.choice(offsets_s) for i in self.pool
        }
        self.known = {i.name: 0 for i in self.pool}
        self.voters = {}
        for instance in self.pool:
            self.boot(instance.name)
        self.clock.now_s += LAG_S
        self.new_key()

    def new_key(self):
        self.clock.now_s += 2 * SKEW_S
        self.key = key_at(
            self.clock.now_s + self.caller_s, self.noise.getrandbits(32)
        )
        self.ballots = []
        self.started = []
        self.votes = []
        self.replies = []
        self.withdrawals = []

    def boot(self, name):
        clock = SkewedClock(self.clock, self.offsets[name])
        self.voters[name] = make_voter(name, clock, kind=self.voter_kind)
        self.voters[name].apply_list(self.published[self.known[name]][1])

    def catch_up(self, name, revision):
        while revision > self.known[name]:
            self.known[name] += 1
            listed = self.published[self.known[name]][1]
            self.voters[name].apply_list(listed)

    def pass_time(self, by_s):
        overdue_s = self.clock.now_s + by_s - LAG_S
        due = sum(at_s < overdue_s for at_s, _ in self.published) - 1
        for name in self.known:
            self.catch_up(name, due)
        self.clock.now_s += by_s

    @stateful.rule()
    def send(self):
        """One more sending of the key, to a sidecar with its own list."""
        listed = self.published[self.known[self.noise.choice(self.pool).name]]
        ballot = self.ballot_kind(
            voter.select_voters('haneul', self.key, 'region-a', listed[1])
        )
        self.ballots.append(ballot)
        request = ask(self.key, ballot.claim_id, ballot.voters)
        names = sorted(ballot.voters.names)
        self.votes += [(ballot, name, request) for name in names]

    @stateful.rule()
    def deliver_votes(self):
        """Some votes arrive, some of them twice or with a lost reply."""
        for sent in self.some(self.votes):
            ballot, name, request = sent
            if self.noise.random() < 0.9:
                self.votes.remove(sent)
            reply = self.voters[name].vote(request)
            lost = self.noise.random() < 0.1
            self.replies.append((ballot, name, None if lost else reply))

    @stateful.rule()
    def deliver_replies(self):
        for sent in self.some(self.replies):
            if self.noise.random() < 0.9:
                self.replies.remove(sent)
            ballot, name, reply = sent
            ballot.record_reply(name, reply)

    @stateful.rule()
    def give_up(self):
        """A claim ends before its request started, or proven not run.

        Its late replies go on arriving, and must not complete it.
        """
        for ballot in self.some(self.ballots)[:1]:
            if ballot in self.started:
                self.started.remove(ballot)
            message = give_back(self.key, ballot.claim_id)
            self.withdrawals += [(i.name, message) for i in ballot.close()]

    @stateful.rule()
    def deliver_withdrawals(self):
        for sent in self.some(self.withdrawals):
            self.withdrawals.remove(sent)
            self.voters[sent[0]].withdraw(sent[1])

    @stateful.rule()
    def restart(self):
        share = self.noise.choice([0.2, 0.5, 1.0])
        for name in self.voters:
            if self.noise.random() < share:
                self.boot(name)

    @stateful.rule()
    def change_list(self):
        """Take some members in and some out."""
        listed = self.published[-1][1]
        for one in self.some(self.pool):
            without = tuple(i for i in listed if i != one)
            listed = (*listed, one) if without == listed else without
        if listed:
            self.published.append((self.clock.now_s, listed))

    @stateful.rule()
    def take_list(self):
        for instance in self.some(self.pool):
            self.catch_up(instance.name, len(self.published) - 1)

    @stateful.rule()
    def wait(self):
        self.pass_time(self.noise.choice([0.5, SKEW_S, LAG_S, LAG_S + 1.0]))

    @stateful.rule(seed=strategies.integers(0, 1 << 32))
    def stir(self, seed):
        """Do many things in a row, then go on with another key."""
        self.noise = random.Random(seed)
        faults = [self.give_up, self.deliver_withdrawals]
        faults += self.noise.sample(
            [self.restart, self.change_list, self.take_list, self.wait], 3
        )
        steps = 3 * [self.send, self.deliver_votes, self.deliver_replies]
        for _ in range(10):
            if self.noise.random() < 0.3:
                self.pass_time(LAG_S + SKEW_S)
            self.new_key()
            for _ in range(40):
                self.noise.choice(steps + faults)()
                self.at_most_one_started()

    def some(self, things):
        count = self.noise.randint(0, len(things))
        return self.noise.sample(list(things), count)

    @stateful.invariant()
    def at_most_one_started(self):
        """What has the quorum starts at once, the worst case."""
        for ballot in getattr(self, 'ballots', ()):
            if ballot.is_won and ballot not in self.started:
                self.started.append(ballot)
        assert len(getattr(self, 'started', ())) <= 1


class SkippingMachine(ClaimMachine):
    """Lists change by two members within the lag, and may be skipped."""

    def catch_up(self, name, revision):
        if revision > self.known[name]:
            self.known[name] = revision
            self.voters[name].apply_list(self.published[revision][1])

    def some(self, things):
        return (
            super().some(things)[:2]
            if things is self.pool
            else (super().some(things))
        )

    @stateful.rule()
    def change_list(self):
        if self.published[-1][0] <= self.clock.now_s - LAG_S:
            super().change_list()


MACHINE_SETTINGS = settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


class ForgetfulVoter(voter.Voter):
    """Backs keys from before its start."""

    def apply_list(self, found):
        super().apply_list(found)
        self._oldest_key_s = 0.0


class TrustingVoter(voter.Voter):
    """Backs whoever asks, whatever the lists say."""

    def _check_lists(self, request):
        return None


class GenerousVoter(voter.Voter):
    """Backs every claim."""

    def _decide(self, vote, request):
        vote.claim_id = ''
        return super()._decide(vote, request)


class EndlessBallot(ballot_module.Ballot):
    """Counts replies also after its votes were given back."""

    def close(self):
        found = super().close()
        self._is_closed = False
        return found


class TestInterleavings:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.TWO_FAULTS, Step.QUEUED)
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.SAME_TWICE, Step.CLAIMED)
    @pytest.mark.parametrize('machine', [ClaimMachine, SkippingMachine])
    def test_never_two_winners(self, machine):
        """A subscriber's balcony is watered twice.

        Sendings of one key race each other while messages are lost,
        doubled and late, voters restart, and lists differ.
        """
        stateful.run_state_machine_as_test(machine, settings=MACHINE_SETTINGS)

    @pytest.mark.parametrize(
        'broken',
        [
            {'voter_kind': ForgetfulVoter},
            {'voter_kind': TrustingVoter},
            {'voter_kind': GenerousVoter},
            {'ballot_kind': EndlessBallot},
        ],
        ids=lambda broken: next(iter(broken.values())).__name__,
    )
    def test_finds_two_winners_without_a_guard(self, broken):
        machine = type('BrokenMachine', (ClaimMachine,), broken)
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                machine, settings=MACHINE_SETTINGS
            )
