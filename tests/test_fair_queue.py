import collections

import hypothesis
from hypothesis import strategies
import pytest

from lacewingpitch import contract
from lacewingpitch import fair_queue
from lacewingpitch import turn_queue
from tests import clocks
from tests import samples

Urgency = contract.Urgency
HELD_LEAD_S = 2.0
LEADS_S = {
    Urgency.INTERACTIVE: 5.0,
    Urgency.STANDARD: 1.0,
    Urgency.BATCH: 0.0,
}

costs = strategies.floats(0.01, 10.0)
weights = strategies.floats(0.1, 10.0)
customers = strategies.lists(
    strategies.tuples(weights, strategies.sampled_from(Urgency)),
    min_size=2,
    max_size=5,
)


def make_order(held=lambda _order: True, clock=None):
    return fair_queue.FairQueue(
        1, held, clock or clocks.ManualClock(), LEADS_S, HELD_LEAD_S
    )


def make_waiter(
    customer,
    cost_s=1.0,
    weight=1.0,
    urgency=Urgency.STANDARD,
    path='/',
    arrived_s=0.0,
):
    return turn_queue.Waiter(
        samples.order(
            customer=customer, weight=weight, urgency=urgency, path=path
        ),
        arrived_s,
        cost_s,
        None,
        None,
    )


def serve(order, used_s=None):
    """Give the next place, and end its turn at once."""
    waiter = order.pop()
    order.finish(waiter, waiter.cost_s if used_s is None else used_s)
    return waiter


class TestShares:
    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(
        customers=customers,
        steps=strategies.lists(
            strategies.tuples(costs, costs, strategies.booleans()),
            min_size=1,
            max_size=60,
        ),
    )
    def test_are_the_weights_within_the_bound(self, customers, steps):
        """Bound per pair: the leads and one request of each.

        Whatever turns really took is charged in the end, so that wrong
        estimates move the shares by no more.
        """
        holds = [True]
        order = make_order(lambda _order: holds[0])
        used_s = collections.Counter()

        def add(number, cost_s):
            weight, urgency = customers[number]
            order.add(make_waiter(str(number), cost_s, weight, urgency))

        for number in range(len(customers)):
            add(number, 1.0)
        longest_s = 1.0
        for cost_s, took_s, is_held in steps:
            holds[0] = is_held
            number = int(serve(order, took_s).order.customer)
            used_s[number] += took_s
            add(number, cost_s)
            longest_s = max(longest_s, cost_s, took_s)
        for one, (one_weight, one_urgency) in enumerate(customers):
            for two, (two_weight, two_urgency) in enumerate(customers):
                lead_s = abs(LEADS_S[one_urgency] - LEADS_S[two_urgency])
                bound_s = lead_s + HELD_LEAD_S
                bound_s += longest_s / one_weight + longest_s / two_weight
                difference_s = (
                    used_s[one] / one_weight - used_s[two] / two_weight
                )
                assert difference_s <= bound_s + 1e-6

    def test_save_up_nothing_while_idle(self):
        """A customer comes back after a night and has all the turns.

        The other has used a thousand seconds meanwhile.  The cause
        would be a share that counts from the beginning of the world.
        """
        order = make_order()
        order.add(make_waiter('busy'))
        for _ in range(1000):
            order.add(make_waiter('busy'))
            serve(order)
        for _ in range(20):
            order.add(make_waiter('busy'))
            order.add(make_waiter('back'))
        first = [serve(order).order.customer for _ in range(20)]
        assert first.count('busy') >= 8

    def test_urgency_is_a_lead_and_no_larger_share(self):
        order = make_order()
        for _ in range(100):
            order.add(make_waiter('urgent', urgency=Urgency.INTERACTIVE))
            order.add(make_waiter('batch', urgency=Urgency.BATCH))
        first = [serve(order).order.customer for _ in range(100)]
        assert first[:5] == ['urgent'] * 5
        assert first.count('urgent') == pytest.approx(52, abs=2)

    def test_ahead_of_estimates_that_were_too_low(self):
        """A customer with longer answers than it says has all the turns.

        Its turns take ten times what was expected.  The cause would be
        shares charged by the estimate and never mended.
        """
        order = make_order()
        used_s = collections.Counter()
        for _ in range(200):
            order.add(make_waiter('long'))
            order.add(make_waiter('honest'))
        for _ in range(100):
            waiter = order.pop()
            customer = waiter.order.customer
            took_s = 10.0 if customer == 'long' else 1.0
            order.finish(waiter, took_s)
            used_s[customer] += took_s
        assert used_s['long'] / used_s['honest'] == pytest.approx(1, abs=0.2)


class TestStarvation:
    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(
        customers=customers,
        before=strategies.integers(0, 40),
        costs=strategies.lists(costs, min_size=1, max_size=8),
    )
    def test_is_bounded_by_leads_and_one_request_each(
        self, customers, before, costs
    ):
        """A batch request waits for ever behind more urgent customers.

        The others always have more to send, and find their adapters
        held while it does not.  The cause would be an order in which
        those who came later can go ahead without end.
        """
        order = make_order(lambda found: found.customer != 'patient')
        sent = 0

        def add(number):
            nonlocal sent
            weight, urgency = customers[number]
            cost_s = costs[sent % len(costs)]
            sent += 1
            order.add(make_waiter(str(number), cost_s, weight, urgency))

        for number in range(len(customers)):
            add(number)
        for _ in range(before):
            add(int(serve(order).order.customer))
        order.add(make_waiter('patient', urgency=Urgency.BATCH))
        bound_s = sum(
            weight * (LEADS_S[urgency] + HELD_LEAD_S) + max(costs)
            for weight, urgency in customers
        )
        passed_s = 0.0
        while True:
            waiter = serve(order)
            if waiter.order.customer == 'patient':
                return
            passed_s += waiter.cost_s
            assert passed_s <= bound_s + 1e-6
            add(int(waiter.order.customer))

    def test_ends_when_most_of_the_deadline_has_passed(self):
        """A batch request waits behind hundreds of light customers.

        Each second another customer comes with one urgent request that
        takes a second, so that nobody is over its share and the turns
        are never free.  The cause would be leads that each newcomer has
        anew.
        """
        clock = clocks.ManualClock()
        order = make_order(lambda found: found.path == '/hot', clock)
        waits_s = []
        for second in range(400):
            clock.now_s = float(second)
            order.add(
                make_waiter(
                    f'light-{second}',
                    urgency=Urgency.INTERACTIVE,
                    path='/hot',
                    arrived_s=clock.now_s,
                )
            )
            if second % 20 == 0:
                order.add(
                    make_waiter(
                        'patient',
                        urgency=Urgency.BATCH,
                        arrived_s=clock.now_s,
                    )
                )
            waiter = serve(order)
            if waiter.order.customer == 'patient':
                waits_s.append(clock.now_s - waiter.arrived_s)
        assert len(waits_s) >= 18
        assert max(waits_s) <= 25.0

    def test_is_not_what_a_flood_suffers(self):
        """A light customer's requests are late whenever a flood ages.

        The flood's requests wait long because it sends too many.  The
        cause would be aging that asks for nothing but the wait.
        """
        clock = clocks.ManualClock()
        order = make_order(clock=clock)
        for _ in range(200):
            order.add(make_waiter('flood'))
        waits_s = []
        for second in range(60):
            clock.now_s = float(second)
            if second % 4 == 0:
                order.add(make_waiter('light', arrived_s=clock.now_s))
            waiter = serve(order)
            if waiter.order.customer == 'light':
                waits_s.append(clock.now_s - waiter.arrived_s)
        assert len(waits_s) == 15
        assert max(waits_s) <= 1.0

    def test_of_an_adapter_that_is_never_held(self):
        """A customer's rare adapter is never loaded beside its hot one.

        Requests for the hot adapter keep coming and find it held.  The
        cause would be a preference without a bound.
        """
        order = make_order(lambda found: found.path == '/hot')
        order.add(make_waiter('haneul', path='/rare'))
        passed_count = 0
        for _ in range(100):
            order.add(make_waiter('haneul', path='/hot'))
            if serve(order).order.path == '/rare':
                break
            passed_count += 1
        assert passed_count == 16


class TestHeldAdapters:
    def test_go_first_within_a_customer(self):
        order = make_order(lambda found: found.path == '/hot')
        for path in ('/rare', '/hot', '/rare', '/hot'):
            order.add(make_waiter('haneul', path=path))
        paths = [serve(order).order.path for _ in range(4)]
        assert paths == ['/hot', '/hot', '/rare', '/rare']

    def test_go_first_between_customers_by_the_lead(self):
        order = make_order(lambda found: found.path == '/hot')
        for _ in range(10):
            order.add(make_waiter('cold', path='/cold'))
        for _ in range(10):
            order.add(make_waiter('hot', path='/hot'))
        first = [serve(order).order.customer for _ in range(10)]
        assert first[:2] == ['hot', 'hot']
        assert first.count('hot') == pytest.approx(6, abs=1)


class TestForecast:
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(
        customers=customers,
        requests=strategies.lists(
            strategies.tuples(strategies.integers(0, 4), costs), max_size=20
        ),
    )
    def test_is_the_order_that_comes_about(self, customers, requests):
        order = make_order()
        for number, cost_s in requests:
            weight, urgency = customers[number % len(customers)]
            customer = str(number % len(customers))
            order.add(make_waiter(customer, cost_s, weight, urgency))
        forecast = list(order.forecast())
        assert forecast == [serve(order) for _ in requests]

    def test_leaves_out_who_has_left(self):
        order = make_order()
        waiters = [make_waiter('haneul') for _ in range(3)]
        for waiter in waiters:
            order.add(waiter)
        order.remove(waiters[1])
        assert list(order.forecast()) == [waiters[0], waiters[2]]


class TestMemory:
    def test_does_not_grow_with_customers_that_come_and_go(self):
        order = make_order()
        order.add(make_waiter('customer'))
        for number in range(5000):
            order.add(make_waiter(f'customer-{number}'))
            serve(order)
        assert len(order._shares) < 200

    def test_forgets_all_when_nobody_is_there(self):
        order = make_order()
        order.add(make_waiter('haneul', cost_s=1000.0))
        serve(order)
        assert not order._shares
