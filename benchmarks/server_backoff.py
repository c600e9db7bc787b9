"""Ways in which entries follow the backoffs that servers ask for.

Requests choose a server, wait for a turn there, and are sent.  One of the
servers turns requests away, of all entries or of some, and asks for backoff.
"""

import dataclasses
import heapq
import logging
import random

import structlog

from lacewingpitch import backend_list
from lacewingpitch import server_backoff
from tests import clocks

SEED_COUNT = 5
LENGTH_S = 120.0
BACKOFF_S = 3.0
REACTION_S = 0.5
REQUESTS_PER_S = 60.0
SERVER_COUNT = 5
# Time between the choice of a server and the sending.
WAIT_S = (0.0, 1.5)
# Time between the sending and the answer.
ANSWER_S = 0.2
ENTRY_COUNTS = (4, 30, 300)
SERVERS = [
    backend_list.BackendServer(f's-{number}', 'chat', '10.0.0.1', number, 'z')
    for number in range(SERVER_COUNT)
]


@dataclasses.dataclass(frozen=True)
class Trouble:
    """How the first server turns requests away.

    Parameters
    ----------
    entry_ratio
        Part of the entries whose requests it may turn away.
    shed_ratio
        Part of their requests that it turns away.
    for_s, every_s
        Length of the trouble, and time from one to the next.
    """

    name: str
    entry_ratio: float
    shed_ratio: float
    for_s: float
    every_s: float

    def sheds(self, entry, entry_count, now_s, source):
        """Return whether a request that arrives now is turned away."""
        if now_s % self.every_s > self.for_s:
            return False
        if entry >= self.entry_ratio * entry_count:
            return False
        return source.random() < self.shed_ratio


TROUBLES = (
    Trouble('all requests, 9 of 30 s', 1.0, 1.0, 9.0, 30.0),
    Trouble('all of one zone in four', 0.25, 1.0, 30.0, 30.0),
    Trouble('four of ten', 1.0, 0.4, 30.0, 30.0),
)


@dataclasses.dataclass(frozen=True)
class Way:
    """How entries follow a backoff."""

    name: str
    asks_at_choice: bool = True
    asks_at_sending: bool = True
    tells_others: bool = False
    tries_alone: bool = True


WAYS = (
    Way('ignored', asks_at_choice=False, asks_at_sending=False),
    Way('at the choice', asks_at_sending=False),
    Way('at the sending', asks_at_choice=False),
    Way('at both'),
    Way('at both, all at the end', tries_alone=False),
    Way('at both, others are told', tells_others=True),
)


@dataclasses.dataclass
class Figures:
    """What one run shows."""

    sent: int = 0
    turned_away: int = 0
    moved: int = 0
    served_by_first: int = 0
    most_in_backoff: int = 0


class Run:
    """One run of a way under one trouble."""

    def __init__(self, way, trouble, entry_count, seed):
        self.way = way
        self.trouble = trouble
        self.source = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.entry_count = entry_count
        self.backoffs = [
            server_backoff.ServerBackoffs(self.clock)
            for _ in range(entry_count)
        ]
        self.figures = Figures()
        self._owed_s = [[] for _ in range(entry_count)]
        self._events = []
        self._number = 0

    def play(self):
        at_s = 0.0
        while at_s < LENGTH_S:
            at_s += self.source.expovariate(REQUESTS_PER_S)
            entry = self.source.randrange(self.entry_count)
            self._schedule(at_s, self._arrive, entry)
        while self._events:
            self.clock.now_s, _, action, arguments = heapq.heappop(
                self._events
            )
            action(*arguments)
        return self.figures

    def _schedule(self, at_s, action, *arguments):
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, action, arguments))

    def _arrive(self, entry):
        due_s = self.clock.now_s + self.source.uniform(*WAIT_S)
        self._schedule(due_s, self._send, entry, self._choose(entry))

    def _choose(self, entry):
        backoffs = self.backoffs[entry]
        candidates = list(SERVERS)
        if self.way.asks_at_choice:
            candidates = [s for s in SERVERS if not backoffs.wait_s(s)]
        return self.source.choice(candidates or SERVERS)

    def _send(self, entry, server):
        backoffs = self.backoffs[entry]
        if self.way.asks_at_sending and backoffs.wait_s(server):
            self.figures.moved += 1
            server = self.source.choice(SERVERS[1:])
        now_s = self.clock.now_s
        self.figures.sent += 1
        if server is not SERVERS[0]:
            return
        if self.way.tries_alone:
            backoffs.record_sending(server)
        self._count_owed(entry, now_s)
        is_shed = self.trouble.sheds(
            entry, self.entry_count, now_s, self.source
        )
        self._schedule(
            now_s + ANSWER_S, self._answer, entry, server, is_shed, now_s
        )

    def _answer(self, entry, server, is_shed, sent_at_s):
        if not is_shed:
            self.figures.served_by_first += 1
            self.backoffs[entry].record_served(server, sent_at_s)
            return
        self.figures.turned_away += 1
        self._owed_s[entry].append([self.clock.now_s, 0])
        told = [self.backoffs[entry]]
        if self.way.tells_others:
            told = self.backoffs
        for each in told:
            each.record(server, BACKOFF_S)

    def _count_owed(self, entry, now_s):
        owed = [o for o in self._owed_s[entry] if o[0] + BACKOFF_S > now_s]
        for each in owed:
            each[1] += now_s > each[0] + REACTION_S
            most = max(self.figures.most_in_backoff, each[1])
            self.figures.most_in_backoff = most
        self._owed_s[entry] = owed


def main():
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    print(
        '| trouble | entries | way | most in a backoff | turned away '
        '| moved | served by it |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for trouble in TROUBLES:
        for entry_count in ENTRY_COUNTS:
            for way in WAYS:
                found = [
                    Run(way, trouble, entry_count, seed).play()
                    for seed in range(SEED_COUNT)
                ]
                sent = sum(f.sent for f in found)
                turned_away = sum(f.turned_away for f in found) / sent
                moved = sum(f.moved for f in found) / sent
                served = sum(f.served_by_first for f in found) / sent
                most = max(f.most_in_backoff for f in found)
                print(
                    f'| {trouble.name} | {entry_count} | {way.name} '
                    f'| {most} | {turned_away:.2%} | {moved:.2%} '
                    f'| {served:.1%} |'
                )


if __name__ == '__main__':
    main()
