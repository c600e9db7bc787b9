"""Ways in which entries keep the request rate limit of one server.

Each way gets the same requests, more than the server accepts.  Entries get
unequal parts of them, after a time without any.
"""

import random
from typing import Protocol

from lacewingpitch import limit_share
from lacewingpitch import server_permits
from lacewingpitch import token_bucket

SEED_COUNT = 5
IDLE_S = 60.0
LENGTH_S = 120.0
WINDOW_S = 4.0
DEMAND_RATIO = 4.0
ENTRY_COUNTS = (4, 30, 300)
LIMITS_PER_S = (1.2, 5.0, 20.0)
SHARED_RATIO = 0.75


class Way(Protocol):
    """Decides which requests of the entries are sent."""

    def try_acquire(self, entry: int) -> bool: ...


class ManualClock:
    def __init__(self):
        self.now_s = 0.0

    def boot_s(self):
        return self.now_s

    monotonic_s = boot_s


class Buckets:
    """Token buckets that hold at most one request.

    Parameters
    ----------
    count
        Number of buckets; entries use them in turn.
    """

    def __init__(self, clock, rate_per_s, count):
        self._clock = clock
        self._buckets = [
            token_bucket.TokenBucket(rate_per_s, 1.0, 1.0, clock.now_s)
            for _ in range(count)
        ]

    def try_acquire(self, entry):
        bucket = self._buckets[entry % len(self._buckets)]
        if bucket.level(self._clock.now_s) < 1.0:
            return False
        bucket.add(-1.0, self._clock.now_s)
        return True


class Shares:
    """Shares that save up nothing."""

    def __init__(self, clock, rate_per_s, count, source):
        self._shares = [
            limit_share.LimitShare(rate_per_s, clock, source)
            for _ in range(count)
        ]

    def try_acquire(self, entry):
        return self._shares[entry].try_acquire()


class Permits:
    """Permits of one owner, which each entry asks when it said."""

    def __init__(self, clock, rate_per_s, count, source):
        self._clock = clock
        self._owner = server_permits.PermitOwner(clock, source)
        self._rate_per_s = rate_per_s
        self._refused_until_s = [0.0] * count
        self.message_count = 0

    def try_acquire(self, entry):
        if self._clock.now_s < self._refused_until_s[entry]:
            return False
        self.message_count += 1
        reply = self._owner.grant(
            server_permits.PermitRequest(
                entry=str(entry), server_start_id='a', per_s=self._rate_per_s
            )
        )
        wait_s = reply.wait_ms / 1000
        self._refused_until_s[entry] = self._clock.now_s + wait_s
        return not wait_s


def ways(clock, per_s, entry_count, source):
    """Return the ways to compare, by name."""
    share_per_s = per_s / entry_count
    return {
        'each entry the whole limit': Buckets(clock, per_s, entry_count),
        'equal shares, saved up': Buckets(clock, share_per_s, entry_count),
        'equal shares, not saved up': Shares(
            clock, share_per_s, entry_count, source
        ),
        f'the same, {SHARED_RATIO:.0%} of the limit': Shares(
            clock, SHARED_RATIO * share_per_s, entry_count, source
        ),
        'permits of one owner': Permits(clock, per_s, entry_count, source),
        'one bucket at the sidecar': Buckets(clock, per_s, 1),
    }


def most_in_window(times_s):
    """Return the most requests in any window; the times are sorted."""
    most = first = 0
    for last, end_s in enumerate(times_s):
        while times_s[first] <= end_s - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def play(name, per_s, entry_count, seed):
    """Return when requests were sent, with one way."""
    source = random.Random(seed)
    clock = ManualClock()
    way = ways(clock, per_s, entry_count, source)[name]
    weights = [1.0 / (1 + number) ** 0.5 for number in range(entry_count)]
    sent_at_s = []
    clock.now_s = IDLE_S
    while clock.now_s < IDLE_S + LENGTH_S:
        clock.now_s += source.expovariate(DEMAND_RATIO * per_s)
        entry = source.choices(range(entry_count), weights)[0]
        if way.try_acquire(entry):
            sent_at_s.append(clock.now_s)
    return sent_at_s


def main():
    print('| limit /s | entries | way | most in 4 s | allowed | used |')
    print('| --- | --- | --- | --- | --- | --- |')
    for per_s in LIMITS_PER_S:
        for entry_count in ENTRY_COUNTS:
            for name in ways(ManualClock(), 1.0, 1, random.Random(1)):
                runs = [
                    play(name, per_s, entry_count, seed)
                    for seed in range(SEED_COUNT)
                ]
                most = max(map(most_in_window, runs))
                used = sum(map(len, runs)) / (SEED_COUNT * LENGTH_S * per_s)
                allowed = 1.5 * per_s * WINDOW_S + 5
                print(
                    f'| {per_s:g} | {entry_count} | {name} | {most} '
                    f'| {allowed:.0f} | {used:.2f} |'
                )


if __name__ == '__main__':
    main()
