"""Calls per request in an outage, with the real budget and ejection.

Run ``python -m benchmarks.retries``.  A seeded loop in virtual time: one
entry instance, ten backend servers, 200 requests a second for 60 s; in
the middle third a share of the servers fails every call.  It compares no
retries, three attempts without a budget, the budget alone, and the budget
with ejection.
"""

import dataclasses
import random

from lacewingpitch import ejection
from lacewingpitch import retry_budget

SERVERS = 10
REQUESTS_PER_S = 200
DURATION_S = 60
MAX_ATTEMPTS = 3


class VirtualClock:
    def __init__(self):
        self.now_s = 0.0

    def monotonic_s(self):
        return self.now_s

    def wall_s(self):
        return self.now_s


class UnlimitedBudget:
    """A retry budget without a limit."""

    def deposit(self):
        pass

    def try_withdraw(self):
        return True


class NoEjection:
    """An ejector that ejects no server."""

    def allowed(self, names):
        return list(names)

    def record_start(self, name):
        pass

    record_success = record_failure = record_start


@dataclasses.dataclass
class Counts:
    requests: int = 0
    calls: int = 0
    served: int = 0

    def line(self):
        return (
            f'{self.calls / self.requests:6.3f} '
            f'{self.served / self.requests:7.3f}'
        )


def run(budget, ejector, clock, failing, tries=MAX_ATTEMPTS):
    source = random.Random(7)
    names = [f'server-{n}' for n in range(SERVERS)]
    counts = Counts()
    for number in range(REQUESTS_PER_S * DURATION_S):
        clock.now_s = number / REQUESTS_PER_S
        in_outage = DURATION_S / 3 <= clock.now_s < 2 * DURATION_S / 3
        budget.deposit()
        order = source.sample(names, SERVERS)
        calls, served = send_request(
            ejector.allowed(order)[:tries],
            budget,
            ejector,
            set(names[:failing]) if in_outage else set(),
        )
        if in_outage:
            counts.requests += 1
            counts.calls += calls
            counts.served += served
    return counts


def send_request(order, budget, ejector, failing):
    calls = 0
    for number, name in enumerate(order):
        if number and not budget.try_withdraw():
            break
        calls += 1
        ejector.record_start(name)
        if name not in failing:
            ejector.record_success(name)
            return calls, True
        ejector.record_failure(name)
    return calls, False


def main():
    print('calls per request, and share served, during the outage')
    print('failing  none          three tries   budget        with ejection')
    for failing in (1, 3, 5, 10):
        cells = []
        for kind in ('none', 'tries', 'budget', 'both'):
            clock = VirtualClock()
            limited = kind in ('budget', 'both')
            found = run(
                retry_budget.RetryBudget() if limited else UnlimitedBudget(),
                ejection.Ejector(clock, random.Random(1))
                if kind == 'both'
                else NoEjection(),
                clock,
                failing,
                1 if kind == 'none' else MAX_ATTEMPTS,
            )
            cells.append(found.line())
        print(f'{failing:4d}/10', *cells)


if __name__ == '__main__':
    main()
