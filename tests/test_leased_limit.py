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


def lease(leased, clock, asked_s=None, **part):
    leased.want(1, 1)
    leased.apply(
        limit_lease.LeaseGrant('haneul', **part),
        clock.now_s if asked_s is None else asked_s,
    )


class TestLease:
    def test_is_spent_once(self, leased, clock):
        lease(leased, clock, requests=2, tokens=10)
        assert [leased.spend(1) for _ in range(3)] == [True, True, False]

    def test_lapses(self, leased, clock):
        lease(leased, clock, requests=2, tokens=10, running=1)
        clock.now_s += limit_lease.LONG_LEASE_DURATION_S
        assert not leased.spend(1)
        assert not leased.has_running_slot()

    @pytest.mark.proves(Promise.LIMITS, Fault.FROZEN, Step.BEFORE_ADMISSION)
    def test_a_reply_read_late_is_no_lease(self, leased, clock):
        """An instance that slept admits on places leased to others since.

        It asks, is paused, and reads the reply after the lease is over.
        The cause would be a lease that runs from when the reply is read.
        """
        asked_s = clock.now_s
        clock.now_s += limit_lease.LONG_LEASE_DURATION_S
        lease(leased, clock, asked_s, requests=2, tokens=10, running=1)
        assert not leased.spend(1)
        assert not leased.has_running_slot()

    @pytest.mark.proves(Promise.LIMITS, Fault.LINK_CUT, Step.BEFORE_DELIVERY)
    def test_debt_outlives_a_lost_message(self, leased, clock):
        """Tokens are free for a customer whose link to the owner is bad.

        The debt of a long answer is told to the owner, and the message is
        lost.  The cause would be a debt that is forgotten once it is sent.
        """
        lease(leased, clock, requests=2, tokens=10)
        leased.charge(500)
        assert leased.want(1, 1).tokens_back == -490
        leased.mark_unreachable()
        assert leased.want(1, 1).tokens_back == -490

    def test_places_asked_back_are_not_used_meanwhile(self, leased, clock):
        lease(leased, clock, requests=9, tokens=10, running=5)
        leased.running = leased.want(0, 0).running
        assert not leased.has_running_slot()

    def test_a_new_owner_is_told_of_free_places(self, leased, clock):
        """A limit is held twice after its owner has changed.

        An entry holds a free place for a call to come.  The cause would
        be a holder that tells the new owner only of places in use.
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

    @pytest.mark.parametrize(('places', 'is_told'), [(40, False), (39, True)])
    def test_only_of_a_large_limit_a_call_is_kept_ahead(
        self, clock, places, is_told
    ):
        """A customer with few places waits for one that lies idle.

        A call ends, and its place and the one ahead of it stay at the
        entry.  The cause would be an entry that keeps them of any limit.
        """
        contracts = lease_entries.Contracts()
        contract = contracts.add('haneul', concurrent_requests=places)
        leased = leased_limit.LeasedLimit(clock, contract, 4)
        ahead = leased.want(1, 1).running
        assert ahead == (1 if is_told else 2)
        lease(leased, clock, requests=1, tokens=9, running=ahead)
        clock.now_s += 2.1 * limit_lease.RENEWAL_INTERVAL_S
        assert leased.needs_renewal(limit_lease.RENEWAL_INTERVAL_S) == is_told
        # Where it stays, nobody is told, and the owner has it again when
        # the lease lapses.
        clock.now_s += limit_lease.LONG_LEASE_DURATION_S
        assert not leased.has_running_slot()

    def test_asks_again_while_the_queue_may_have_room(self, leased, clock):
        """A customer is refused while its queue is empty.

        It runs all that it may, has requests to spend, and calls come
        faster than places are asked for.  The cause would be a holder
        that takes "no place to run" for "no place to wait".
        """
        lease(leased, clock, requests=9, running=0, waiting=1)
        assert leased.may_ask_slots
        lease(leased, clock, running=0, waiting=0)
        assert not leased.may_ask_slots


class TestShare:
    def test_is_admitted_while_the_owner_is_silent(self, leased, clock):
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
