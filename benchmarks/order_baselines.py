"""Queue disciplines that `FairQueue` is compared with."""

import collections

from lacewingpitch import contract

RANKS = {
    contract.Urgency.INTERACTIVE: 0,
    contract.Urgency.STANDARD: 1,
    contract.Urgency.BATCH: 2,
}


class FifoQueue:
    """First come, first served."""

    def __init__(self):
        self._waiting = {}

    def add(self, waiter):
        self._waiting[waiter] = None

    def remove(self, waiter):
        del self._waiting[waiter]

    def pop(self):
        waiter = next(iter(self._waiting))
        del self._waiting[waiter]
        return waiter

    def finish(self, waiter, used_s):
        pass

    def forecast(self):
        return iter(tuple(self._waiting))


class UrgencyQueue(FifoQueue):
    """Strict priority by urgency, optionally with aging.

    A request rises by one urgency for each `aging_s` that it waits.
    """

    def __init__(self, aging_s=float('inf')):
        super().__init__()
        self._aging_s = aging_s

    def pop(self):
        waiter = min(self._waiting, key=self._key)
        del self._waiting[waiter]
        return waiter

    def forecast(self):
        return iter(sorted(self._waiting, key=self._key))

    def _key(self, waiter):
        # All requests age equally, so that their order never changes.
        rank = RANKS[waiter.order.urgency]
        if self._aging_s == float('inf'):
            return rank, waiter.arrived_s
        return rank * self._aging_s + waiter.arrived_s, 0


class DeficitQueue:
    """The deficits of Hadoop's fair scheduler, with customers as pools.

    A customer's deficit is its fair share of machine time minus the time
    that it got; the customer with the highest deficit is next.  With
    `doubles`, each level of urgency doubles the weight.
    """

    def __init__(self, clock, turn_count, *, doubles=True):
        self._clock = clock
        self._turn_count = turn_count
        self._doubles = doubles
        self._updated_s = clock.monotonic_s()
        self._deficits_s = collections.defaultdict(float)
        self._running = collections.Counter()
        self._waiting = {}
        self._weights = {}

    def add(self, waiter):
        self._update()
        order = waiter.order
        level = 2 - RANKS[order.urgency] if self._doubles else 0
        self._weights[order.customer] = order.weight * 2**level
        queue = self._waiting.setdefault(order.customer, {})
        queue[waiter] = None

    def remove(self, waiter):
        self._update()
        self._discard(waiter)

    def pop(self):
        self._update()
        customer = max(self._waiting, key=lambda c: self._deficits_s[c])
        waiter = next(iter(self._waiting[customer]))
        self._discard(waiter)
        self._running[customer] += 1
        return waiter

    def finish(self, waiter, used_s):
        self._update()
        customer = waiter.order.customer
        self._running[customer] -= 1
        if not self._running[customer]:
            del self._running[customer]

    def forecast(self):
        # Deficits change as turns are granted; this approximation spreads
        # the turns by weight, beginning with the highest deficit.
        heads = []
        for customer, queue in self._waiting.items():
            position_s = -self._deficits_s[customer]
            for waiter in queue:
                heads.append((position_s, waiter.arrived_s, waiter))
                position_s += waiter.cost_s / self._weights[customer]
        heads.sort(key=lambda head: head[:2])
        return iter([head[2] for head in heads])

    def _discard(self, waiter):
        customer = waiter.order.customer
        del self._waiting[customer][waiter]
        if not self._waiting[customer]:
            del self._waiting[customer]

    def _update(self):
        now_s = self._clock.monotonic_s()
        passed_s = now_s - self._updated_s
        self._updated_s = now_s
        active = set(self._waiting) | set(self._running)
        for customer in set(self._deficits_s) - active:
            del self._deficits_s[customer]
        total = sum(self._weights[c] for c in active)
        for customer in active:
            share = self._turn_count * self._weights[customer] / total
            used = self._running[customer]
            self._deficits_s[customer] += passed_s * (share - used)
