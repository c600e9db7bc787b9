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


def make_queue(is_held=lambda _order: True, clock=None):
    return fair_queue.FairQueue(
        1, is_held, clock or clocks.ManualClock(), LEADS_S, HELD_LEAD_S
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


def serve(queue, used_s=None):
    """Pop the next request, and finish its turn at once."""
    waiter = queue.pop()
    queue.finish(waiter, waiter.cost_s if used_s is None else used_s)
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
    def test_shares_follow_the_weights_within_a_bound(self, customers, steps):
        """The bound for a pair is the leads plus one request of each.

        The actual duration of turns is charged in the end, so that wrong
        estimates shift the shares by no more than that.
        """
        holds = [True]
        queue = make_queue(lambda _order: holds[0])
        used_s = collections.Counter()

        def add(number, cost_s):
            weight, urgency = customers[number]
            queue.add(make_waiter(str(number), cost_s, weight, urgency))

        for number in range(len(customers)):
            add(number, 1.0)
        longest_s = 1.0
        for cost_s, took_s, is_held in steps:
            holds[0] = is_held
            number = int(serve(queue, took_s).order.customer)
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

    def test_idle_customer_accumulates_no_credit(self):
        """Guards against a returning customer that gets all turns.

        The other customer has used a thousand seconds meanwhile.  It
        happens if usage is counted from the start of the process.
        """
        queue = make_queue()
        queue.add(make_waiter('busy'))
        for _ in range(1000):
            queue.add(make_waiter('busy'))
            serve(queue)
        for _ in range(20):
            queue.add(make_waiter('busy'))
            queue.add(make_waiter('back'))
        first = [serve(queue).order.customer for _ in range(20)]
        assert first.count('busy') >= 8

    def test_urgency_is_a_lead_and_no_larger_share(self):
        queue = make_queue()
        for _ in range(100):
            queue.add(make_waiter('urgent', urgency=Urgency.INTERACTIVE))
            queue.add(make_waiter('batch', urgency=Urgency.BATCH))
        first = [serve(queue).order.customer for _ in range(100)]
        assert first[:5] == ['urgent'] * 5
        assert first.count('urgent') == pytest.approx(52, abs=2)

    def test_underestimated_turns_are_charged_in_full(self):
        """Guards against a customer that gains turns by low estimates.

        Its turns take ten times the expected time.  It happens if the
        charge stays at the estimate.
        """
        queue = make_queue()
        used_s = collections.Counter()
        for _ in range(200):
            queue.add(make_waiter('long'))
            queue.add(make_waiter('honest'))
        for _ in range(100):
            waiter = queue.pop()
            customer = waiter.order.customer
            took_s = 10.0 if customer == 'long' else 1.0
            queue.finish(waiter, took_s)
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
        """Guards against a batch request starved by urgent customers.

        The others always have more to send, and their adapters are held
        while its adapter isn't.  It happens if later requests can go ahead
        without limit.
        """
        queue = make_queue(lambda found: found.customer != 'patient')
        sent = 0

        def add(number):
            nonlocal sent
            weight, urgency = customers[number]
            cost_s = costs[sent % len(costs)]
            sent += 1
            queue.add(make_waiter(str(number), cost_s, weight, urgency))

        for number in range(len(customers)):
            add(number)
        for _ in range(before):
            add(int(serve(queue).order.customer))
        queue.add(make_waiter('patient', urgency=Urgency.BATCH))
        bound_s = sum(
            weight * (LEADS_S[urgency] + HELD_LEAD_S) + max(costs)
            for weight, urgency in customers
        )
        passed_s = 0.0
        while True:
            waiter = serve(queue)
            if waiter.order.customer == 'patient':
                return
            passed_s += waiter.cost_s
            assert passed_s <= bound_s + 1e-6
            add(int(waiter.order.customer))

    def test_aged_request_gets_the_maximum_lead(self):
        """Guards against a batch request starved by many light customers.

        Each second a new customer sends one urgent request that takes a
        second, so that no customer is over its share and the turns are
        never free.  It happens because each new customer gets its full
        lead.
        """
        clock = clocks.ManualClock()
        queue = make_queue(lambda found: found.path == '/hot', clock)
        waits_s = []
        for second in range(400):
            clock.now_s = float(second)
            queue.add(
                make_waiter(
                    f'light-{second}',
                    urgency=Urgency.INTERACTIVE,
                    path='/hot',
                    arrived_s=clock.now_s,
                )
            )
            if second % 20 == 0:
                queue.add(
                    make_waiter(
                        'patient',
                        urgency=Urgency.BATCH,
                        arrived_s=clock.now_s,
                    )
                )
            waiter = serve(queue)
            if waiter.order.customer == 'patient':
                waits_s.append(clock.now_s - waiter.arrived_s)
        assert len(waits_s) >= 18
        assert max(waits_s) <= 25.0

    def test_flood_gets_no_lead_by_aging(self):
        """Guards against a flood that delays a light customer by aging.

        The flood's requests wait long because it sends too many.  It
        happens if aging depends on the wait alone.
        """
        clock = clocks.ManualClock()
        queue = make_queue(clock=clock)
        for _ in range(200):
            queue.add(make_waiter('flood'))
        waits_s = []
        for second in range(60):
            clock.now_s = float(second)
            if second % 4 == 0:
                queue.add(make_waiter('light', arrived_s=clock.now_s))
            waiter = serve(queue)
            if waiter.order.customer == 'light':
                waits_s.append(clock.now_s - waiter.arrived_s)
        assert len(waits_s) == 15
        assert max(waits_s) <= 1.0

    def test_adapter_that_is_never_held_is_served(self):
        """Guards against a rare adapter starved by a hot one.

        Requests of the same customer for the hot adapter keep coming and
        find it held.  It happens if held adapters are preferred without
        limit.
        """
        queue = make_queue(lambda found: found.path == '/hot')
        queue.add(make_waiter('haneul', path='/rare'))
        overtaken_count = 0
        for _ in range(100):
            queue.add(make_waiter('haneul', path='/hot'))
            if serve(queue).order.path == '/rare':
                break
            overtaken_count += 1
        assert overtaken_count == 16


class TestHeldAdapters:
    def test_held_adapters_go_first_within_a_customer(self):
        queue = make_queue(lambda found: found.path == '/hot')
        for path in ('/rare', '/hot', '/rare', '/hot'):
            queue.add(make_waiter('haneul', path=path))
        paths = [serve(queue).order.path for _ in range(4)]
        assert paths == ['/hot', '/hot', '/rare', '/rare']

    def test_held_adapters_give_a_lead_between_customers(self):
        queue = make_queue(lambda found: found.path == '/hot')
        for _ in range(10):
            queue.add(make_waiter('cold', path='/cold'))
        for _ in range(10):
            queue.add(make_waiter('hot', path='/hot'))
        first = [serve(queue).order.customer for _ in range(10)]
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
    def test_forecast_matches_the_actual_order(self, customers, requests):
        queue = make_queue()
        for number, cost_s in requests:
            weight, urgency = customers[number % len(customers)]
            customer = str(number % len(customers))
            queue.add(make_waiter(customer, cost_s, weight, urgency))
        forecast = list(queue.forecast())
        assert forecast == [serve(queue) for _ in requests]

    def test_removed_request_is_left_out(self):
        queue = make_queue()
        waiters = [make_waiter('haneul') for _ in range(3)]
        for waiter in waiters:
            queue.add(waiter)
        queue.remove(waiters[1])
        assert list(queue.forecast()) == [waiters[0], waiters[2]]


class TestMemory:
    def test_memory_is_bounded_as_customers_come_and_go(self):
        queue = make_queue()
        queue.add(make_waiter('customer'))
        for number in range(5000):
            queue.add(make_waiter(f'customer-{number}'))
            serve(queue)
        assert len(queue._flows) < 200

    def test_usage_is_discarded_when_the_queue_is_idle(self):
        queue = make_queue()
        queue.add(make_waiter('haneul', cost_s=1000.0))
        serve(queue)
        assert not queue._flows
