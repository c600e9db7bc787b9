import pytest

from lacewingpitch import limit_holding
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
def holding(clock):
    contracts = lease_entries.Contracts()
    contract = contracts.add('haneul', requests_per_s=4, burst_requests=8)
    return limit_holding.LimitHolding(clock, contract, 4)


def lease(holding, clock, asked_s=None, **part):
    holding.want(1, 1)
    holding.apply(
        limit_lease.LeasePart('haneul', **part),
        clock.now_s if asked_s is None else asked_s,
    )


class TestLease:
    def test_is_spent_once(self, holding, clock):
        lease(holding, clock, requests=2, tokens=10)
        assert [holding.spend(1) for _ in range(3)] == [True, True, False]

    def test_lapses(self, holding, clock):
        lease(holding, clock, requests=2, tokens=10, running=1)
        clock.now_s += limit_lease.LONG_LEASE_DURATION_S
        assert not holding.spend(1)
        assert not holding.has_place()

    @pytest.mark.proves(Promise.LIMITS, Fault.FROZEN, Step.BEFORE_ADMISSION)
    def test_a_reply_read_late_is_no_lease(self, holding, clock):
        """An instance that slept admits on places leased to others since.

        It asks, is paused, and reads the reply after the lease is over.
        The cause would be a lease that runs from when the reply is read.
        """
        asked_s = clock.now_s
        clock.now_s += limit_lease.LONG_LEASE_DURATION_S
        lease(holding, clock, asked_s, requests=2, tokens=10, running=1)
        assert not holding.spend(1)
        assert not holding.has_place()

    @pytest.mark.proves(Promise.LIMITS, Fault.LINK_CUT, Step.BEFORE_DELIVERY)
    def test_debt_outlives_a_lost_message(self, holding, clock):
        """Tokens are free for a customer whose link to the owner is bad.

        The debt of a long answer is told to the owner, and the message is
        lost.  The cause would be a debt that is forgotten once it is sent.
        """
        lease(holding, clock, requests=2, tokens=10)
        holding.charge(500)
        assert holding.want(1, 1).tokens_back == -490
        holding.fail()
        assert holding.want(1, 1).tokens_back == -490

    def test_places_asked_back_are_not_used_meanwhile(self, holding, clock):
        lease(holding, clock, requests=9, tokens=10, running=5)
        holding.running = holding.want(0, 0).running
        assert not holding.has_place()

    def test_a_new_owner_is_told_of_free_places(self, holding, clock):
        """A limit is held twice after its owner has changed.

        An entry holds a free place for a call to come.  The cause would
        be a holder that tells the new owner only of places in use.
        """
        lease(holding, clock, requests=1, tokens=1, running=1)
        holding.renew_now()
        assert holding.needs_renewal(limit_lease.RENEWAL_INTERVAL_S)

    @pytest.mark.parametrize(('calls', 'renews'), [(1, 0), (2, 0), (4, 1)])
    def test_is_renewed_soon_only_where_calls_are_frequent(
        self, holding, clock, calls, renews
    ):
        lease(holding, clock, requests=calls, tokens=99, running=calls)
        holding.running = sum(holding.spend(1) for _ in range(calls))
        clock.now_s += 1.05 * limit_lease.RENEWAL_INTERVAL_S
        assert holding.needs_renewal(limit_lease.RENEWAL_INTERVAL_S) == renews

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
        holding = limit_holding.LimitHolding(clock, contract, 4)
        ahead = holding.want(1, 1).running
        assert ahead == (1 if is_told else 2)
        lease(holding, clock, requests=1, tokens=9, running=ahead)
        clock.now_s += 2.1 * limit_lease.RENEWAL_INTERVAL_S
        assert holding.needs_renewal(limit_lease.RENEWAL_INTERVAL_S) == is_told
        # Where it stays, nobody is told, and the owner has it again when
        # the lease lapses.
        clock.now_s += limit_lease.LONG_LEASE_DURATION_S
        assert not holding.has_place()

    def test_asks_again_while_the_queue_may_have_room(self, holding, clock):
        """A customer is refused while its queue is empty.

        It runs all that it may, has requests to spend, and calls come
        faster than places are asked for.  The cause would be a holder
        that takes "no place to run" for "no place to wait".
        """
        lease(holding, clock, requests=9, running=0, waiting=1)
        assert holding.may_ask_places
        lease(holding, clock, running=0, waiting=0)
        assert not holding.may_ask_places


class TestShare:
    def test_is_admitted_while_the_owner_is_silent(self, holding, clock):
        holding.fail()
        assert [holding.spend(1) for _ in range(3)] == [True, True, False]
        assert holding.retry_after_s() == pytest.approx(1.0)
        assert holding.has_place()

    def test_does_not_grow_by_failing_again(self, holding, clock):
        for _ in range(5):
            holding.fail()
            lease(holding, clock)
        holding.fail()
        assert sum(holding.spend(1) for _ in range(9)) == 2
