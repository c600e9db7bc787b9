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
PLACES = 6


class Table:
    """Owners around one clock, without links."""

    def __init__(self, count=3):
        self.clock = clocks.ManualClock(100.0)
        self.contracts = lease_entries.Contracts()
        self.contracts.add(
            CUSTOMER,
            requests_per_s=RATE_PER_S,
            burst_requests=BURST,
            concurrent_requests=PLACES,
            queued_requests=PLACES,
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

    def age(self, seconds):
        """Pass time as a process that runs does."""
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
def table():
    found = Table()
    found.age(60)
    return found


class TestRate:
    def test_leases_what_is_wanted_and_no_more(self, table):
        assert table.lease(requests=4).requests == 4
        assert table.lease(requests=20).requests == BURST - 4
        part = table.lease(requests=1)
        assert part.requests == 0
        assert part.retry_after_s == pytest.approx(1 / RATE_PER_S)

    def test_what_is_given_back_can_be_leased_again(self, table):
        table.lease(requests=BURST)
        assert table.lease('entry-8', requests=1).requests == 0
        table.lease(requests_back=3)
        assert table.lease('entry-8', requests=3).requests == 3

    @pytest.mark.proves(Promise.LIMITS, Fault.SAME_TWICE, Step.ANY)
    def test_a_message_that_arrives_twice_counts_once(self, table):
        """A customer gets more than its rate after a link came back.

        A holder gives three requests back; the link breaks and the
        message is sent again.  The cause would be an owner that credits
        both.
        """
        table.lease(requests=BURST)
        ask = table.ask(requests_back=3)
        assert table.owner.grant(ask).parts
        assert not table.owner.grant(ask).parts
        assert table.lease('entry-8', requests=9).requests == 3

    def test_debt_of_tokens_stops_further_requests(self, table):
        table.lease(tokens=1, tokens_back=-1e6)
        part = table.lease(tokens=10)
        assert part.tokens == 0
        assert part.retry_after_s > 1

    def test_new_limits_hold_from_the_next_lease(self, table):
        table.contracts.add(
            CUSTOMER, revision=2, requests_per_s=1, burst_requests=2
        )
        assert table.lease(requests=10).requests == 2


class TestPlaces:
    def test_are_shared_and_freed(self, table):
        assert table.lease('entry-1', running=4).running == 4
        assert table.lease('entry-2', running=4).running == 2
        assert table.lease('entry-1', running=1).running == 1
        assert table.lease('entry-2', running=9).running == 5

    def test_lapse_with_the_lease(self, table):
        table.lease('entry-9', running=PLACES, renews=True)
        table.age(limit_lease.LEASE_DURATION_S + 0.5)
        assert table.lease('entry-1', running=PLACES).running == PLACES

    def test_share_of_a_silent_holder_stays_free(self, table):
        table.lease('entry-1', running=1, renews=True)
        table.age(limit_lease.LEASE_DURATION_S + 0.5)
        assert table.lease('entry-2', running=9).running == PLACES - 2


class TestNewOwner:
    @pytest.mark.proves(Promise.LIMITS, Fault.KILLED, Step.ANY)
    def test_starts_with_a_share_of_the_burst(self):
        """A customer gets a second burst each time an owner dies.

        The owner leases the whole burst and dies; the list makes another
        the owner.  The cause would be a successor that takes no state for
        an idle customer.
        """
        table = Table()
        table.age(60)
        assert table.lease(requests=BURST).requests == BURST
        rest = [i for i in table.instances if i.name != table.owner_name]
        for name, ownership in table.ownerships.items():
            if name != table.owner_name:
                ownership.update(2, rest)
        found = table.ownerships[rest[0].name].owner(CUSTOMER, 'default')
        table.owner_name = found.name if found else rest[0].name
        assert table.lease(requests=BURST).requests <= BURST / len(rest)

    @pytest.mark.proves(Promise.LIMITS, Fault.LIST_WRONG, Step.ANY)
    def test_takes_over_state_and_the_old_one_stops(self):
        """Two owners lease one limit while the list lags at one of them.

        The list drops the owner, and it hears of that last.  The cause
        would be an owner that goes on for those with the old list.
        """
        table = Table()
        table.age(60)
        table.lease('entry-1', requests=BURST, running=4)
        old_name, old = table.owner_name, table.owner
        rest = [i for i in table.instances if i.name != old_name]
        for instance in rest:
            table.ownerships[instance.name].update(2, rest)
        found = table.ownerships[rest[0].name].owner(CUSTOMER, 'default')
        new_name = found.name if found else rest[0].name
        new = table.owners[new_name]
        ask = table.ask('entry-2', requests=5, running=PLACES)
        asked = new.pending_handovers(ask.wants)
        assert [previous.name for previous in asked] == [old_name]
        message = limit_lease.HandOver(
            owner=table.ownerships[new_name].this_instance(),
            revision=2,
            customers=(CUSTOMER,),
        )
        new.apply_handover((CUSTOMER,), old.hand_over(message))
        part = new.grant(ask).parts[0]
        assert (part.requests, part.running) == (0, PLACES - 4)
        reply = old.grant(table.ask('entry-1', requests=1))
        assert not reply.parts
        assert reply.moved[0].owner.name == new_name

    @pytest.mark.proves(Promise.LIMITS, Fault.FROZEN, Step.ANY)
    def test_an_older_list_takes_nothing_from_the_owner(self, table):
        """Limits double after a paused owner wakes up.

        It wakes with the list of before and asks the owner of today to
        hand over.  The cause would be an owner that obeys an older list.
        """
        table.lease(requests=BURST)
        table.ownerships[table.owner_name].update(5, table.instances)
        message = limit_lease.HandOver(
            owner=lease_entries.make_instance(9),
            revision=4,
            customers=(CUSTOMER,),
        )
        assert not table.owner.hand_over(message).states
        assert table.lease(requests=0) is not None

    @pytest.mark.proves(Promise.LIMITS, Fault.FROZEN, Step.ANY)
    def test_grants_nothing_just_after_a_pause(self, table):
        """A customer gets twice its rate after an instance slept.

        The owner is paused, a successor serves, and the owner wakes up
        with buckets that refilled meanwhile.  The cause would be an owner
        that does not notice its own pause.
        """
        table.lease(requests=BURST)
        table.clock.now_s += 30
        assert table.lease(requests=BURST) is None
        want = limit_lease.LeaseWant(CUSTOMER, requests=1)
        assert not table.owner.pending_handovers([want])
        table.age(limit_lease.PAUSE_RECOVERY_S)
        part = table.lease(requests=BURST)
        most = BURST / 3 + RATE_PER_S * limit_lease.PAUSE_RECOVERY_S
        assert 0 < part.requests <= most + 1

    def test_leases_only_shares_of_places_until_all_have_asked(self):
        table = Table()
        part = table.lease('entry-1', running=PLACES)
        assert part.running == PLACES // 3
        table.age(limit_lease.LEASE_DURATION_S)
        part = table.lease('entry-1', running=PLACES)
        assert part.running == PLACES


class TestReply:
    @pytest.mark.parametrize(
        ('reads_order', 'other', 'names'),
        [
            (True, CUSTOMER, ['', '']),
            (False, CUSTOMER, [CUSTOMER, CUSTOMER]),
            # Of this one there is no contract, so its part is missing.
            (True, 'unknown', [CUSTOMER]),
        ],
    )
    def test_leaves_names_out_where_no_part_is_missing(
        self, table, reads_order, other, names
    ):
        """A customer runs on the lease of another.

        The reply has no names, and a customer in the middle is not owned.
        The cause would be parts that are taken by their order alone.
        """
        asked = table.ask(requests=2)
        wants = (limit_lease.LeaseWant(other), *asked.wants)
        reply = table.owner.grant(
            msgspec.structs.replace(
                asked, wants=wants, reads_order=reads_order
            )
        )
        assert [part.customer for part in reply.parts] == names
        found = reply.by_customer([other, CUSTOMER])
        assert found[CUSTOMER].requests == 2
        assert 'unknown' not in found


class TestMemory:
    def test_idle_customers_are_dropped(self, table):
        table.lease(requests=BURST, running=2)
        assert len(table.owner) == 1
        table.age(60)
        assert len(table.owner) == 0
        assert table.lease(requests=BURST).requests == BURST


class Bookkeeper:
    """Holders, and the bucket that the customer's contract gives.

    `level` is what one central bucket would hold after all that the
    holders got.  An owner that starts knowing nothing starts with a share
    of the burst: since the level was not below nothing, at most a share
    comes on top at each such start.
    """

    def __init__(self):
        self.table = Table()
        self.table.age(60)
        self.level = float(BURST)
        self.left = {'entry-1': 0.0, 'entry-2': 0.0, 'entry-3': 0.0}
        self.last = {}

    def lease(self, holder, wanted, lost):
        ask = self.table.ask(holder, requests=wanted)
        self.last[holder] = ask
        reply = self.table.owner.grant(ask)
        if reply.parts and not lost:
            self.left[holder] += reply.parts[0].requests
            self.level -= reply.parts[0].requests

    def give_back(self, holder, lost):
        back, self.left[holder] = self.left[holder], 0.0
        ask = self.table.ask(holder, requests_back=back)
        if not lost:
            self.last[holder] = ask
            self.table.owner.grant(ask)
            self._add(back)

    def repeat(self, holder):
        if holder in self.last:
            self.table.owner.grant(self.last[holder])

    def spend(self, holder):
        self.left[holder] = 0.0

    def pause(self, seconds):
        self.table.clock.now_s += seconds
        self._add(RATE_PER_S * seconds)
        if seconds > limit_lease.PAUSE_THRESHOLD_S:
            self._start_anew()

    def move(self):
        """Kill the owner; what it knew is lost."""
        name = self.table.owner_name
        if len(self.table.instances) == 1:
            return
        rest = [i for i in self.table.instances if i.name != name]
        self.table.instances = rest
        del self.table.ownerships[name], self.table.owners[name]
        for ownership in self.table.ownerships.values():
            ownership.update(ownership.revision + 1, rest)
        found = self.table.ownerships[rest[0].name].owner(CUSTOMER, 'default')
        self.table.owner_name = found.name if found else rest[0].name
        self._start_anew()

    def _add(self, amount):
        self.level = min(max(self.level, BURST), self.level + amount)

    def _start_anew(self):
        self.level = max(1.0, BURST / len(self.table.instances))


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
        """A customer gets more than the stated bound.

        Leases, losses, repeats, pauses and deaths of the owner come in
        any order.  The cause would be a credit or a start that counts
        twice.
        """
        keeper = Bookkeeper()
        for name, *arguments in steps:
            getattr(keeper, name)(*arguments)
            assert keeper.level >= -1e-6

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                HOLDERS, strategies.integers(0, 9), strategies.floats(0, 1)
            ),
            max_size=40,
        )
    )
    def test_places_of_leases_in_force_stay_within_the_limit(self, asks):
        table = Table()
        table.age(60)
        held = {}
        for holder, running, passed_s in asks:
            table.age(passed_s)
            part = table.lease(holder, running=running)
            expires_s = table.clock.now_s + limit_lease.LONG_LEASE_DURATION_S
            held[holder] = (part.running, expires_s)
            in_force = sum(
                places
                for places, until_s in held.values()
                if until_s > table.clock.now_s
            )
            assert in_force <= PLACES
