import pytest

from lacewingpitch import leased_limit
from lacewingpitch import limit_lease
from tests import clocks
from tests import fault_matrix
from tests import lease_entries

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def leased(clock):
    contracts = lease_entries.Contracts()
    contract = contracts.add('haneul', requests_per_s=4, burst_requests=8)
    return leased_limit.LeasedLimit(clock, contract, 4)


def lease(leased, clock, asked_at_s=None, **part):
    leased.want(1, 1)
    leased.apply(
        limit_lease.LeaseGrant('haneul', **part),
        clock.now_s if asked_at_s is None else asked_at_s,
    )


class TestLease:
    def test_is_spent_once(self, leased, clock):
        lease(leased, clock, requests=2, tokens=10)
        assert [leased.spend(1) for _ in range(3)] == [True, True, False]

    def test_expires(self, leased, clock):
        lease(leased, clock, requests=2, tokens=10, running=1)
        clock.now_s += limit_lease.LONG_LEASE_DURATION_S
        assert not leased.spend(1)
        assert not leased.has_running_slot()

    @pytest.mark.proves(Promise.LIMITS, Fault.FROZEN, Step.BEFORE_ADMISSION)
    def test_a_reply_read_late_is_no_lease(self, leased, clock):
        """Guards against slots that are used after others leased them.

        An instance asks, is paused, and reads the reply after the lease
        expired.  The lease must run from before the message was sent, and
        not from when the reply is read.
        """
        asked_at_s = clock.now_s
        clock.now_s += limit_lease.LONG_LEASE_DURATION_S
        lease(leased, clock, asked_at_s, requests=2, tokens=10, running=1)
        assert not leased.spend(1)
        assert not leased.has_running_slot()

    @pytest.mark.proves(Promise.LIMITS, Fault.LINK_CUT, Step.BEFORE_DELIVERY)
    def test_debt_outlives_a_lost_message(self, leased, clock):
        """Guards against free tokens while the link to the owner is bad.

        The debt of a long answer is sent to the owner, and the message is
        lost.  The debt must be sent again.
        """
        lease(leased, clock, requests=2, tokens=10)
        leased.charge(500)
        assert leased.want(1, 1).tokens_back == -490
        leased.mark_unreachable()
        assert leased.want(1, 1).tokens_back == -490

    def test_slots_being_returned_are_not_used(self, leased, clock):
        lease(leased, clock, requests=9, tokens=10, running=5)
        leased.running = leased.want(0, 0).running
        assert not leased.has_running_slot()

    def test_a_new_owner_learns_of_free_slots(self, leased, clock):
        """Guards against slots that are leased twice after a new owner.

        An entry holds a free slot for a request to come.  It must report
        that to the new owner, too, and not only slots in use.
        """
        lease(leased, clock, requests=1, tokens=1, running=1)
        leased.request_renewal()
        assert leased.needs_renewal(limit_lease.RENEWAL_INTERVAL_S)

    @pytest.mark.parametrize(('calls', 'renews'), [(1, 0), (2, 0), (4, 1)])
    def test_is_renewed_soon_only_where_calls_are_frequent(
        self, leased, clock, calls, renews
    ):
        lease(leased, clock, requests=calls, tokens=99, running=calls)
        leased.running = sum(leased.spend(1) for _ in range(calls))
        clock.now_s += 1.05 * limit_lease.RENEWAL_INTERVAL_S
        assert leased.needs_renewal(limit_lease.RENEWAL_INTERVAL_S) == renews

    @pytest.mark.parametrize(
        ('slots', 'is_reported'), [(40, False), (39, True)]
    )
    def test_a_spare_slot_is_kept_only_with_a_large_limit(
        self, clock, slots, is_reported
    ):
        """Guards against waiting requests while slots are unused.

        A request ends, and its slot and a spare one stay at the entry.
        That is right only if the customer has many slots.
        """
        contracts = lease_entries.Contracts()
        contract = contracts.add('haneul', concurrent_requests=slots)
        leased = leased_limit.LeasedLimit(clock, contract, 4)
        ahead = leased.want(1, 1).running
        assert ahead == (1 if is_reported else 2)
        lease(leased, clock, requests=1, tokens=9, running=ahead)
        clock.now_s += 2.1 * limit_lease.RENEWAL_INTERVAL_S
        assert (
            leased.needs_renewal(limit_lease.RENEWAL_INTERVAL_S) == is_reported
        )
        # A slot that is kept isn't reported; the owner has it again when
        # the lease expires.
        clock.now_s += limit_lease.LONG_LEASE_DURATION_S
        assert not leased.has_running_slot()

    def test_asks_again_while_the_queue_may_have_room(self, leased, clock):
        """Guards against refusals while the customer's queue is empty.

        All running slots are in use, and requests come faster than slots
        are asked for.  A lack of running slots must not count as a lack of
        queue slots.
        """
        lease(leased, clock, requests=9, running=0, waiting=1)
        assert leased.may_ask_slots
        lease(leased, clock, running=0, waiting=0)
        assert not leased.may_ask_slots


class TestShare:
    def test_is_admitted_while_the_owner_is_unreachable(self, leased, clock):
        leased.mark_unreachable()
        assert [leased.spend(1) for _ in range(3)] == [True, True, False]
        assert leased.retry_after_s() == pytest.approx(1.0)
        assert leased.has_running_slot()

    def test_does_not_grow_by_failing_again(self, leased, clock):
        for _ in range(5):
            leased.mark_unreachable()
            lease(leased, clock)
        leased.mark_unreachable()
        assert sum(leased.spend(1) for _ in range(9)) == 2
