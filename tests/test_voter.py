"""Tests of voters: single votes, then at most one winner of a key.

The latter is checked with random interleavings of messages and faults.
"""

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
    """Clock of one process, whose wall time differs by `offset_s`."""

    def __init__(self, clock, offset_s):
        self._clock = clock
        self._offset_s = offset_s

    def wall_s(self):
        return self._clock.now_s + self._offset_s

    def monotonic_s(self):
        return self._clock.now_s


def instances(count, zones=4):
    return tuple(
        samples.sidecar(
            f'sidecar-{number}', availability_zone=f'zone-{number % zones}'
        )
        for number in range(count)
    )


def key_at(created_s, noise=0):
    """Return a UUIDv7 with the given creation time."""
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


def vote_request(key, claim_id='claim-1', voters=None, **fields):
    voters = voters or voter.VoterSet(instances(1))
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


def withdraw_request(key, claim_id):
    return voter.WithdrawRequest(customer='haneul', key=key, claim_id=claim_id)


@pytest.fixture
def clock():
    return clocks.ManualClock(START_S)


@pytest.fixture
def single_voter(clock):
    """Return the only voter of every key, well after its start."""
    only_voter = make_voter('sidecar-0', clock)
    only_voter.apply_list(instances(1))
    clock.now_s += 100.0
    return only_voter


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
        old = voter.select_voters('haneul', key, 'region-a', before)
        new = voter.select_voters('haneul', key, 'region-a', after)
        assert len(old.names - new.names) <= 1
        assert len(new.names - old.names) <= 1

    @given(count=strategies.integers(1, 14), noise=strategies.integers(0, 99))
    def test_two_quorums_of_one_list_intersect(self, count, noise):
        voters = voter.select_voters(
            'haneul', key_at(START_S, noise), 'region-a', instances(count)
        )
        assert 2 * voters.quorum > len(voters.instances)
        assert len(voters.instances) == min(count, voter.MAX_VOTERS)

    @pytest.mark.parametrize('zones', [3, 4, 5])
    def test_no_zone_holds_a_quorum(self, zones):
        for noise in range(200):
            voters = voter.select_voters(
                'haneul',
                key_at(START_S, noise),
                'region-a',
                instances(12, zones),
            )
            found_zones = [i.availability_zone for i in voters.instances]
            assert max(found_zones.count(zone) for zone in found_zones) <= 2

    @given(
        zones=strategies.lists(strategies.integers(1, 9), max_size=7),
        noise=strategies.integers(0, 1 << 40),
    )
    def test_zones_contribute_in_rotation_by_hash(self, zones, noise):
        """Guards against refusal of all claims during a rolling upgrade.

        That happens if an optimised search finds other voters than
        processes of the earlier version do.  A zone with too few sidecars
        for its share leaves the rest of it to the other zones.
        """
        numbers = [z for z, size in enumerate(zones) for _ in range(size)]
        members = tuple(
            msgspec.structs.replace(member, availability_zone=f'zone-{number}')
            for member, number in zip(
                instances(len(numbers)), numbers, strict=True
            )
        )
        elsewhere = tuple(
            msgspec.structs.replace(member, name=f'far-{number}', region='b')
            for number, member in enumerate(instances(9))
        )
        key = key_at(START_S, noise)
        seed = xxhash.xxh3_64_intdigest(f'haneul/{key}'.encode())
        scored = sorted(
            (
                -xxhash.xxh3_64_intdigest(member.name.encode(), seed),
                number,
                member,
            )
            for member, number in zip(members, numbers, strict=True)
        )
        chosen_counts = [0] * len(zones)
        expected = []
        for score, number, member in scored:
            expected.append((chosen_counts[number], score, member.name))
            chosen_counts[number] += 1
        index = voter.VoterIndex(elsewhere + members)
        for _ in range(2):
            voters = index.select_voters('haneul', key, 'region-a')
            assert [i.name for i in voters.instances] == [
                item[2] for item in sorted(expected)[: voter.MAX_VOTERS]
            ]

    def test_other_regions_have_no_vote(self):
        voters = voter.select_voters(
            'haneul', key_at(START_S), 'region-b', instances(9)
        )
        assert not voters.instances


class TestVote:
    def test_grants_one_claim_and_repeats_its_grant(self, single_voter, clock):
        key = key_at(clock.now_s)
        for _ in range(2):
            assert (
                single_voter.vote(vote_request(key)).verdict is Verdict.GRANTED
            )
        reply = single_voter.vote(
            vote_request(key, 'claim-2', holder='sidecar-9')
        )
        assert reply.verdict is Verdict.TAKEN
        assert (reply.claim_id, reply.holder) == ('claim-1', 'sidecar-0')

    def test_keys_of_two_customers_are_two_keys(self, single_voter, clock):
        key = key_at(clock.now_s)
        single_voter.vote(vote_request(key))
        reply = single_voter.vote(
            vote_request(key, 'claim-2', customer='caravan')
        )
        assert reply.verdict is Verdict.GRANTED

    def test_refuses_a_different_body(self, single_voter, clock):
        key = key_at(clock.now_s)
        single_voter.vote(vote_request(key))
        reply = single_voter.vote(
            vote_request(key, 'claim-2', digest='body-2')
        )
        assert reply.verdict is Verdict.OTHER_BODY

    def test_only_the_holder_can_release_its_vote(self, single_voter, clock):
        key = key_at(clock.now_s)
        single_voter.vote(vote_request(key))
        single_voter.withdraw(withdraw_request(key, 'claim-2'))
        assert (
            single_voter.vote(vote_request(key, 'claim-3')).verdict
            is Verdict.TAKEN
        )
        single_voter.withdraw(withdraw_request(key, 'claim-1'))
        assert (
            single_voter.vote(vote_request(key, 'claim-3')).verdict
            is Verdict.GRANTED
        )

    def test_late_request_of_a_withdrawn_claim_blocks_nothing(
        self, single_voter, clock
    ):
        """Guards against a key that is blocked although no claim holds it.

        A claim is withdrawn, and its vote request arrives after the
        withdrawal.  The voter must not grant it then.
        """
        key = key_at(clock.now_s)
        single_voter.withdraw(withdraw_request(key, 'claim-1'))
        assert (
            single_voter.vote(vote_request(key)).verdict is Verdict.WITHDRAWN
        )
        assert (
            single_voter.vote(vote_request(key, 'claim-2')).verdict
            is Verdict.GRANTED
        )


class TestWindow:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.KILLED, Step.CLAIMED)
    def test_restarted_voter_refuses_older_keys(self, clock):
        """Guards against a second run after a restart of the voters.

        A first request wins the votes and runs.  The voters restart and
        lose their votes, so that its retry could win them again.
        """
        key = key_at(clock.now_s)
        clock.now_s += 1.0
        restarted = make_voter('sidecar-0', clock)
        assert restarted.vote(vote_request(key)).verdict is Verdict.TOO_OLD
        restarted.apply_list(instances(1))
        clock.now_s += LAG_S + 2 * SKEW_S
        assert restarted.vote(vote_request(key)).verdict is Verdict.TOO_OLD
        fresh = key_at(clock.now_s)
        assert restarted.vote(vote_request(fresh)).verdict is Verdict.GRANTED

    def test_key_from_the_future_is_refused(self, single_voter, clock):
        key = key_at(clock.now_s + SKEW_S + 1.0)
        assert (
            single_voter.vote(vote_request(key)).verdict is Verdict.FROM_FUTURE
        )

    def test_expired_key_is_refused_if_the_clock_is_set_back(
        self, single_voter, clock
    ):
        """Guards against a second run after a clock is set back.

        The vote expires with the window.  Then the clock is set back, so
        that the key is within the window again.
        """
        key = key_at(clock.now_s)
        single_voter.vote(vote_request(key))
        clock.now_s += WINDOW_S + 1.0
        single_voter.vote(vote_request(key_at(clock.now_s)))
        assert len(single_voter) == 1
        clock.now_s -= WINDOW_S
        assert (
            single_voter.vote(vote_request(key, 'claim-2')).verdict
            is Verdict.TOO_OLD
        )

    def test_full_table_refuses_and_evicts_nothing(self, clock):
        tested_voter = make_voter('sidecar-0', clock, max_votes=3)
        tested_voter.apply_list(instances(1))
        clock.now_s += 100.0
        keys = [key_at(clock.now_s, noise) for noise in range(5)]
        for key in keys[:3]:
            assert (
                tested_voter.vote(vote_request(key)).verdict is Verdict.GRANTED
            )
        reply = tested_voter.vote(vote_request(keys[3], 'claim-2'))
        assert reply.verdict is Verdict.TABLE_FULL
        assert reply.retry_after_s == pytest.approx(WINDOW_S, abs=1.0)
        tested_voter.withdraw(withdraw_request(keys[4], 'claim-2'))
        assert len(tested_voter) == 3
        assert (
            tested_voter.vote(vote_request(keys[0], 'claim-2')).verdict
            is Verdict.TAKEN
        )


class TestLists:
    @pytest.mark.parametrize(
        ('gone', 'verdict'),
        [(1, Verdict.GRANTED), (2, Verdict.GRANTED), (3, 'lists-differ')],
    )
    def test_new_voter_grants_older_keys_only_within_the_bound(
        self, clock, gone, verdict
    ):
        everyone = instances(12)
        key = key_at(clock.now_s + 90.0)
        old = voter.select_voters('haneul', key, 'region-a', everyone)
        after = tuple(i for i in everyone if i not in old.instances[:gone])
        new = voter.select_voters('haneul', key, 'region-a', after)
        name = min(new.names - old.names)
        tested_voter = make_voter(name, clock)
        tested_voter.apply_list(everyone)
        clock.now_s += 100.0
        tested_voter.apply_list(after)
        assert (
            tested_voter.vote(vote_request(key, voters=new)).verdict == verdict
        )
        clock.now_s += LAG_S + 2 * SKEW_S
        later = key_at(clock.now_s)
        new = voter.select_voters('haneul', later, 'region-a', after)
        assert (
            tested_voter.vote(vote_request(later, voters=new)).verdict
            is Verdict.GRANTED
        )

    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.LIST_WRONG, Step.QUEUED)
    def test_refuses_claim_whose_list_differs_too_much(self, clock):
        """Guards against two runs by sidecars with different lists.

        The lists of two sidecars share too few voters of a key, so that
        both could win it.  A voter that knows both lists refuses.
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
        tested_voter = make_voter(mine.instances[0].name, clock)
        tested_voter.apply_list(everyone)
        clock.now_s += 100.0
        reply = tested_voter.vote(vote_request(key, voters=theirs))
        assert reply.verdict is Verdict.LISTS_DIFFER
        assert (
            tested_voter.vote(vote_request(key, voters=mine)).verdict
            is Verdict.GRANTED
        )

    def test_voter_with_stale_list_grants_nothing(self, clock):
        tested_voter = make_voter('sidecar-0', clock, list_age_s=LAG_S + 1.0)
        tested_voter.apply_list(instances(1))
        clock.now_s += 100.0
        reply = tested_voter.vote(vote_request(key_at(clock.now_s)))
        assert reply.verdict is Verdict.LIST_STALE


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Concurrent requests with one key, and voters with random faults.

    Lists change arbitrarily, and every list reaches all processes within
    `LAG_S`.  Clocks differ by at most `SKEW_S`.  Messages are lost,
    repeated, delayed and reordered.

    Each rule takes its choices from a seeded generator, so that `stir`
    can apply many rules in a row.
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
        self.rng = random.Random(seed)
        self.caller_s = caller_s
        self.clock = clocks.ManualClock(START_S)
        self.pool = instances(count + 3, zones)
        self.published = [(0.0, self.pool[:count])]
        offsets_s = [-SKEW_S / 2, 0.0, SKEW_S / 2]
        self.offsets = {i.name: self.rng.choice(offsets_s) for i in self.pool}
        self.known_revisions = {i.name: 0 for i in self.pool}
        self.voters = {}
        for instance in self.pool:
            self.start_voter(instance.name)
        self.clock.now_s += LAG_S
        self.new_key()

    def new_key(self):
        self.clock.now_s += 2 * SKEW_S
        self.key = key_at(
            self.clock.now_s + self.caller_s, self.rng.getrandbits(32)
        )
        self.ballots = []
        self.started = []
        self.votes = []
        self.replies = []
        self.withdrawals = []

    def start_voter(self, name):
        clock = SkewedClock(self.clock, self.offsets[name])
        self.voters[name] = make_voter(name, clock, kind=self.voter_kind)
        self.voters[name].apply_list(
            self.published[self.known_revisions[name]][1]
        )

    def apply_lists_until(self, name, revision):
        while revision > self.known_revisions[name]:
            self.known_revisions[name] += 1
            listed = self.published[self.known_revisions[name]][1]
            self.voters[name].apply_list(listed)

    def advance_clock(self, by_s):
        overdue_s = self.clock.now_s + by_s - LAG_S
        due = sum(at_s < overdue_s for at_s, _ in self.published) - 1
        for name in self.known_revisions:
            self.apply_lists_until(name, due)
        self.clock.now_s += by_s

    @stateful.rule()
    def send(self):
        """Send one more request with the key, to a sidecar with any list."""
        listed = self.published[
            self.known_revisions[self.rng.choice(self.pool).name]
        ]
        ballot = self.ballot_kind(
            voter.select_voters('haneul', self.key, 'region-a', listed[1])
        )
        self.ballots.append(ballot)
        request = vote_request(self.key, ballot.claim_id, ballot.voters)
        names = sorted(ballot.voters.names)
        self.votes += [(ballot, name, request) for name in names]

    @stateful.rule()
    def deliver_votes(self):
        """Deliver some vote requests, some repeatedly or without a reply."""
        for sent in self.random_sample(self.votes):
            ballot, name, request = sent
            if self.rng.random() < 0.9:
                self.votes.remove(sent)
            reply = self.voters[name].vote(request)
            lost = self.rng.random() < 0.1
            self.replies.append((ballot, name, None if lost else reply))

    @stateful.rule()
    def deliver_replies(self):
        for sent in self.random_sample(self.replies):
            if self.rng.random() < 0.9:
                self.replies.remove(sent)
            ballot, name, reply = sent
            ballot.record_reply(name, reply)

    @stateful.rule()
    def give_up(self):
        """Withdraw a claim whose request has not run.

        Its late replies still arrive, and must not complete it.
        """
        for ballot in self.random_sample(self.ballots)[:1]:
            if ballot in self.started:
                self.started.remove(ballot)
            message = withdraw_request(self.key, ballot.claim_id)
            self.withdrawals += [(i.name, message) for i in ballot.close()]

    @stateful.rule()
    def deliver_withdrawals(self):
        for sent in self.random_sample(self.withdrawals):
            self.withdrawals.remove(sent)
            self.voters[sent[0]].withdraw(sent[1])

    @stateful.rule()
    def restart(self):
        share = self.rng.choice([0.2, 0.5, 1.0])
        for name in self.voters:
            if self.rng.random() < share:
                self.start_voter(name)

    @stateful.rule()
    def change_list(self):
        """Publish a list with some instances added and some removed."""
        listed = self.published[-1][1]
        for member in self.random_sample(self.pool):
            without = tuple(i for i in listed if i != member)
            listed = (*listed, member) if without == listed else without
        if listed:
            self.published.append((self.clock.now_s, listed))

    @stateful.rule()
    def take_list(self):
        for instance in self.random_sample(self.pool):
            self.apply_lists_until(instance.name, len(self.published) - 1)

    @stateful.rule()
    def wait(self):
        self.advance_clock(self.rng.choice([0.5, SKEW_S, LAG_S, LAG_S + 1.0]))

    @stateful.rule(seed=strategies.integers(0, 1 << 32))
    def stir(self, seed):
        """Apply many rules in a row to each of several new keys."""
        self.rng = random.Random(seed)
        faults = [self.give_up, self.deliver_withdrawals]
        faults += self.rng.sample(
            [self.restart, self.change_list, self.take_list, self.wait], 3
        )
        steps = 3 * [self.send, self.deliver_votes, self.deliver_replies]
        for _ in range(10):
            if self.rng.random() < 0.3:
                self.advance_clock(LAG_S + SKEW_S)
            self.new_key()
            for _ in range(40):
                self.rng.choice(steps + faults)()
                self.at_most_one_started()

    def random_sample(self, things):
        count = self.rng.randint(0, len(things))
        return self.rng.sample(list(things), count)

    @stateful.invariant()
    def at_most_one_started(self):
        """Start each request with a quorum at once, the worst case."""
        for ballot in getattr(self, 'ballots', ()):
            if ballot.is_won and ballot not in self.started:
                self.started.append(ballot)
        assert len(getattr(self, 'started', ())) <= 1


class SkippingMachine(ClaimMachine):
    """Lists change by at most two members within `LAG_S`.

    Instances may skip lists.
    """

    def apply_lists_until(self, name, revision):
        if revision > self.known_revisions[name]:
            self.known_revisions[name] = revision
            self.voters[name].apply_list(self.published[revision][1])

    def random_sample(self, things):
        return (
            super().random_sample(things)[:2]
            if things is self.pool
            else (super().random_sample(things))
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
    """Grants keys that were created before its start."""

    def apply_list(self, listed):
        super().apply_list(listed)
        self._oldest_key_s = 0.0


class TrustingVoter(voter.Voter):
    """Grants claims regardless of the lists."""

    def _check_lists(self, request):
        return None


class GenerousVoter(voter.Voter):
    """Grants every claim, even if another claim has the vote."""

    def _decide(self, vote, request):
        vote.claim_id = ''
        return super()._decide(vote, request)


class EndlessBallot(ballot_module.Ballot):
    """Counts replies even after its votes were released."""

    def close(self):
        voters = super().close()
        self._is_closed = False
        return voters


class TestInterleavings:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.TWO_FAULTS, Step.QUEUED)
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.SAME_TWICE, Step.CLAIMED)
    @pytest.mark.parametrize('machine', [ClaimMachine, SkippingMachine])
    def test_never_two_winners(self, machine):
        """Guards against two runs of requests with one key.

        Claims race while messages are lost, repeated and delayed, voters
        restart, and lists differ.
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
