import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from lacewingpitch import limit_lease
from lacewingpitch import limit_ownership
from tests import clocks
from tests import fault_matrix
from tests import lease_entries

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
CUSTOMER = 'haneul'
BURST = 10
RATE_PER_S = 4.0
SLOTS = 6


class Scene:
    """Limit owners with a common clock, without links."""

    def __init__(self, count=3):
        self.clock = clocks.ManualClock(100.0)
        self.contracts = lease_entries.Contracts()
        self.contracts.add(
            CUSTOMER,
            requests_per_s=RATE_PER_S,
            burst_requests=BURST,
            concurrent_requests=SLOTS,
            queued_requests=SLOTS,
        )
        self.instances = [
            lease_entries.make_instance(number) for number in range(count)
        ]
        self.ownerships = {}
        self.owners = {}
        for instance in self.instances:
            ownership = limit_ownership.LimitOwnership(
                self.clock, instance.name, lease_entries.REGION
            )
            ownership.update(1, self.instances)
            self.ownerships[instance.name] = ownership
            self.owners[instance.name] = limit_lease.LimitOwner(
                self.clock, ownership, self.contracts
            )
        self.sequence = 0
        first = self.ownerships[self.instances[0].name]
        found = first.owner(CUSTOMER, lease_entries.REGION)
        self.owner_name = found.name if found else self.instances[0].name

    @property
    def owner(self):
        return self.owners[self.owner_name]

    def run_for(self, seconds):
        """Let time pass as in a process that runs without a pause."""
        end_s = self.clock.now_s + seconds
        while self.clock.now_s < end_s:
            self.clock.now_s = min(end_s, self.clock.now_s + 0.5)
            for owner in self.owners.values():
                owner.tick()

    def ask(self, holder='entry-9', sequence=None, **want):
        self.sequence += 1
        return limit_lease.LeaseAsk(
            holder=holder,
            incarnation='1',
            sequence=sequence or self.sequence,
            wants=(limit_lease.LeaseWant(CUSTOMER, **want),),
        )

    def lease(self, holder='entry-9', **want):
        reply = self.owner.grant(self.ask(holder, **want))
        return reply.parts[0] if reply.parts else None


@pytest.fixture
def scene():
    found = Scene()
    found.run_for(60)
    return found


class TestRate:
    def test_leases_what_is_wanted_and_no_more(self, scene):
        assert scene.lease(requests=4).requests == 4
        assert scene.lease(requests=20).requests == BURST - 4
        part = scene.lease(requests=1)
        assert part.requests == 0
        assert part.retry_after_s == pytest.approx(1 / RATE_PER_S)

    def test_what_is_given_back_can_be_leased_again(self, scene):
        scene.lease(requests=BURST)
        assert scene.lease('entry-8', requests=1).requests == 0
        scene.lease(requests_back=3)
        assert scene.lease('entry-8', requests=3).requests == 3

    @pytest.mark.proves(Promise.LIMITS, Fault.SAME_TWICE, Step.ANY)
    def test_a_message_that_arrives_twice_counts_once(self, scene):
        """Guards against a repeated message that is credited twice.

        A holder returns three requests, the link breaks, and the message
        is sent again: the customer would exceed its rate.
        """
        scene.lease(requests=BURST)
        ask = scene.ask(requests_back=3)
        assert scene.owner.grant(ask).parts
        assert not scene.owner.grant(ask).parts
        assert scene.lease('entry-8', requests=9).requests == 3

    def test_debt_of_tokens_stops_further_requests(self, scene):
        scene.lease(tokens=1, tokens_back=-1e6)
        part = scene.lease(tokens=10)
        assert part.tokens == 0
        assert part.retry_after_s > 1

    def test_new_limits_hold_from_the_next_lease(self, scene):
        scene.contracts.add(
            CUSTOMER, revision=2, requests_per_s=1, burst_requests=2
        )
        assert scene.lease(requests=10).requests == 2


class TestSlots:
    def test_are_shared_and_freed(self, scene):
        assert scene.lease('entry-1', running=4).running == 4
        assert scene.lease('entry-2', running=4).running == 2
        assert scene.lease('entry-1', running=1).running == 1
        assert scene.lease('entry-2', running=9).running == 5

    def test_expire_with_the_lease(self, scene):
        scene.lease('entry-9', running=SLOTS, renews=True)
        scene.run_for(limit_lease.LEASE_DURATION_S + 0.5)
        assert scene.lease('entry-1', running=SLOTS).running == SLOTS

    def test_share_of_an_unreachable_holder_is_reserved(self, scene):
        scene.lease('entry-1', running=1, renews=True)
        scene.run_for(limit_lease.LEASE_DURATION_S + 0.5)
        assert scene.lease('entry-2', running=9).running == SLOTS - 2


class TestNewOwner:
    @pytest.mark.proves(Promise.LIMITS, Fault.KILLED, Step.ANY)
    def test_starts_with_a_share_of_the_burst(self):
        """Guards against a second burst each time an owner is killed.

        The owner leases the whole burst and dies, and the instance list
        makes another the owner.  A successor that took missing state for an
        idle customer would grant the whole burst again.
        """
        scene = Scene()
        scene.run_for(60)
        assert scene.lease(requests=BURST).requests == BURST
        rest = [i for i in scene.instances if i.name != scene.owner_name]
        for name, ownership in scene.ownerships.items():
            if name != scene.owner_name:
                ownership.update(2, rest)
        found = scene.ownerships[rest[0].name].owner(CUSTOMER, 'default')
        scene.owner_name = found.name if found else rest[0].name
        assert scene.lease(requests=BURST).requests <= BURST / len(rest)

    @pytest.mark.proves(Promise.LIMITS, Fault.LIST_WRONG, Step.ANY)
    def test_takes_over_state_and_the_old_one_stops(self):
        """Guards against two owners of a limit while a list is out of date.

        The list drops the owner, which gets the new list last.  It must
        stop granting leases to holders with the old list.
        """
        scene = Scene()
        scene.run_for(60)
        scene.lease('entry-1', requests=BURST, running=4)
        old_name, old = scene.owner_name, scene.owner
        rest = [i for i in scene.instances if i.name != old_name]
        for instance in rest:
            scene.ownerships[instance.name].update(2, rest)
        found = scene.ownerships[rest[0].name].owner(CUSTOMER, 'default')
        new_name = found.name if found else rest[0].name
        new = scene.owners[new_name]
        ask = scene.ask('entry-2', requests=5, running=SLOTS)
        asked = new.pending_handovers(ask.wants)
        assert [previous.name for previous in asked] == [old_name]
        message = limit_lease.HandOver(
            owner=scene.ownerships[new_name].this_instance(),
            revision=2,
            customers=(CUSTOMER,),
        )
        new.apply_handover((CUSTOMER,), old.hand_over(message))
        part = new.grant(ask).parts[0]
        assert (part.requests, part.running) == (0, SLOTS - 4)
        reply = old.grant(scene.ask('entry-1', requests=1))
        assert not reply.parts
        assert reply.moved[0].owner.name == new_name

    @pytest.mark.proves(Promise.LIMITS, Fault.FROZEN, Step.ANY)
    def test_an_older_list_takes_nothing_from_the_owner(self, scene):
        """Guards against doubled limits after a paused owner resumes.

        It resumes with an old list, and asks the current owner to hand
        over.  The current owner must refuse, as its list is newer.
        """
        scene.lease(requests=BURST)
        scene.ownerships[scene.owner_name].update(5, scene.instances)
        message = limit_lease.HandOver(
            owner=lease_entries.make_instance(9),
            revision=4,
            customers=(CUSTOMER,),
        )
        assert not scene.owner.hand_over(message).states
        assert scene.lease(requests=0) is not None

    @pytest.mark.proves(Promise.LIMITS, Fault.FROZEN, Step.ANY)
    def test_grants_nothing_just_after_a_pause(self, scene):
        """Guards against twice the rate after a pause of the owner.

        The owner is paused, a successor grants leases, and the owner
        resumes with buckets that refilled meanwhile.  It must detect its
        own pause.
        """
        scene.lease(requests=BURST)
        scene.clock.now_s += 30
        assert scene.lease(requests=BURST) is None
        want = limit_lease.LeaseWant(CUSTOMER, requests=1)
        assert not scene.owner.pending_handovers([want])
        scene.run_for(limit_lease.PAUSE_RECOVERY_S)
        part = scene.lease(requests=BURST)
        most = BURST / 3 + RATE_PER_S * limit_lease.PAUSE_RECOVERY_S
        assert 0 < part.requests <= most + 1

    def test_leases_only_shares_of_slots_until_all_have_asked(self):
        scene = Scene()
        part = scene.lease('entry-1', running=SLOTS)
        assert part.running == SLOTS // 3
        scene.run_for(limit_lease.LEASE_DURATION_S)
        part = scene.lease('entry-1', running=SLOTS)
        assert part.running == SLOTS


class TestReply:
    @pytest.mark.parametrize(
        ('reads_order', 'other', 'names'),
        [
            (True, CUSTOMER, ['', '']),
            (False, CUSTOMER, [CUSTOMER, CUSTOMER]),
            # This customer has no contract, so its part is missing.
            (True, 'unknown', [CUSTOMER]),
        ],
    )
    def test_leaves_names_out_where_no_part_is_missing(
        self, scene, reads_order, other, names
    ):
        """Guards against a customer that uses the lease of another.

        A reply without names, in which a customer isn't owned, would assign
        the following parts to the wrong customers.
        """
        asked = scene.ask(requests=2)
        wants = (limit_lease.LeaseWant(other), *asked.wants)
        reply = scene.owner.grant(
            msgspec.structs.replace(
                asked, wants=wants, reads_order=reads_order
            )
        )
        assert [part.customer for part in reply.parts] == names
        found = reply.by_customer([other, CUSTOMER])
        assert found[CUSTOMER].requests == 2
        assert 'unknown' not in found


class TestMemory:
    def test_idle_customers_are_dropped(self, scene):
        scene.lease(requests=BURST, running=2)
        assert len(scene.owner) == 1
        scene.run_for(60)
        assert len(scene.owner) == 0
        assert scene.lease(requests=BURST).requests == BURST


class BoundMachine:
    """Holders, beside a central bucket with the limits of the contract.

    `level` is the level of that bucket after all that was leased.  An
    owner without state starts with a share of the burst.  As the level
    wasn't negative before, each such start adds at most that share.
    """

    def __init__(self):
        self.scene = Scene()
        self.scene.run_for(60)
        self.level = float(BURST)
        self.unused = {'entry-1': 0.0, 'entry-2': 0.0, 'entry-3': 0.0}
        self.last_asks = {}

    def lease(self, holder, wanted, lost):
        ask = self.scene.ask(holder, requests=wanted)
        self.last_asks[holder] = ask
        reply = self.scene.owner.grant(ask)
        if reply.parts and not lost:
            self.unused[holder] += reply.parts[0].requests
            self.level -= reply.parts[0].requests

    def give_back(self, holder, lost):
        back, self.unused[holder] = self.unused[holder], 0.0
        ask = self.scene.ask(holder, requests_back=back)
        if not lost:
            self.last_asks[holder] = ask
            self.scene.owner.grant(ask)
            self._add(back)

    def repeat(self, holder):
        if holder in self.last_asks:
            self.scene.owner.grant(self.last_asks[holder])

    def spend(self, holder):
        self.unused[holder] = 0.0

    def pause(self, seconds):
        self.scene.clock.now_s += seconds
        self._add(RATE_PER_S * seconds)
        if seconds > limit_lease.PAUSE_THRESHOLD_S:
            self._start_without_state()

    def move(self):
        """Kill the owner, whose state is lost."""
        name = self.scene.owner_name
        if len(self.scene.instances) == 1:
            return
        rest = [i for i in self.scene.instances if i.name != name]
        self.scene.instances = rest
        del self.scene.ownerships[name], self.scene.owners[name]
        for ownership in self.scene.ownerships.values():
            ownership.update(ownership.revision + 1, rest)
        found = self.scene.ownerships[rest[0].name].owner(CUSTOMER, 'default')
        self.scene.owner_name = found.name if found else rest[0].name
        self._start_without_state()

    def _add(self, amount):
        self.level = min(max(self.level, BURST), self.level + amount)

    def _start_without_state(self):
        self.level = max(1.0, BURST / len(self.scene.instances))


HOLDERS = strategies.sampled_from(['entry-1', 'entry-2', 'entry-3'])
LEASE = strategies.tuples(
    strategies.just('lease'),
    HOLDERS,
    strategies.sampled_from([1, 5, 30]),
    strategies.sampled_from([False, False, False, True]),
)
STEPS = strategies.one_of(
    LEASE,
    LEASE,
    strategies.tuples(
        strategies.just('give_back'), HOLDERS, strategies.booleans()
    ),
    strategies.tuples(strategies.just('repeat'), HOLDERS),
    strategies.tuples(strategies.just('spend'), HOLDERS),
    strategies.tuples(
        strategies.just('pause'), strategies.sampled_from([0.1, 1.0, 9.0])
    ),
    strategies.tuples(strategies.just('move')),
)


class TestAnyInterleaving:
    @pytest.mark.proves(Promise.LIMITS, Fault.TWO_FAULTS, Step.ANY)
    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(strategies.lists(STEPS, min_size=30, max_size=60))
    def test_the_sum_stays_within_the_bound(self, steps):
        """Guards against a return or a start of an owner that counts twice.

        Leases, losses, repeats, pauses and kills of the owner come in any
        order; the customer must stay within the stated bound.
        """
        machine = BoundMachine()
        for name, *arguments in steps:
            getattr(machine, name)(*arguments)
            assert machine.level >= -1e-6

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                HOLDERS, strategies.integers(0, 9), strategies.floats(0, 1)
            ),
            max_size=40,
        )
    )
    def test_slots_of_leases_in_force_stay_within_the_limit(self, asks):
        scene = Scene()
        scene.run_for(60)
        leased = {}
        for holder, running, passed_s in asks:
            scene.run_for(passed_s)
            part = scene.lease(holder, running=running)
            expires_s = scene.clock.now_s + limit_lease.LONG_LEASE_DURATION_S
            leased[holder] = (part.running, expires_s)
            in_force = sum(
                slots
                for slots, until_s in leased.values()
                if until_s > scene.clock.now_s
            )
            assert in_force <= SLOTS
