"""Limits of organisations at several entries with one owner."""

import asyncio
import dataclasses
import random

import pytest

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch import organisation
from lacewingpitch import usage_limits
from lacewingpitch import usage_ownership
from tests import fault_matrix
from tests import usage_fakes

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
RATE_PER_S = 12_000.0
BURST = 12_000.0
COST = 1_200
LIMIT = organisation.UsageLimit(RATE_PER_S, BURST, default_cost=200.0)
BALCONY = organisation.Organisation('balcony', ('key-1',), limit=LIMIT)
WINDOW_S = 8.0
ENGINES = tuple(
    backend_list.BackendServer(f'i-{n}', 'chat', f'10.0.0.{n}', 80, 'z')
    for n in (1, 2)
)
# Excess that an unreachable owner may cause, in bursts.
SPARE_BURSTS = 2


class Fleet:
    """Entries that charge requests, and a record of admitted ones."""

    def __init__(self, entry_count=4):
        self.clock = virtual_time.LoopClock()
        self.link = usage_fakes.Link(self.clock)
        self.entries = [
            usage_fakes.limits(self.link, self.clock, f'edge-{n}', entry_count)
            for n in range(entry_count)
        ]
        self.admitted = []
        self.refusals = []

    async def call(self, entry, caller=BALCONY, cost=COST, run=None):
        try:
            async with self.entries[entry].charged(caller, cost, 0):
                self.admitted.append((self.clock.monotonic_s(), cost))
                if run is not None:
                    await run()
        except errors.RefusalError as error:
            self.refusals.append(error)
            return error.kind
        return None

    async def load(self, per_s, length_s, pick, seed=1):
        """Send calls at a rate, each to the entry that `pick` returns."""
        source = random.Random(seed)
        until_s = self.clock.monotonic_s() + length_s
        calls = []
        while self.clock.monotonic_s() < until_s:
            await asyncio.sleep(source.expovariate(per_s))
            calls.append(asyncio.create_task(self.call(pick(source))))
        await asyncio.gather(*calls)

    def worst_window(self):
        """Return the most that was admitted in any window."""
        return max(
            sum(c for at_s, c in self.admitted if 0 <= at_s - s < WINDOW_S)
            for s, _ in self.admitted
        )


def anywhere(source):
    return source.randrange(4)


def at_one(_source):
    return 0


class TestWithinLimit:
    @pytest.mark.parametrize('pick', [anywhere, at_one])
    def test_nobody_is_refused(self, pick):
        async def scenario():
            fleet = Fleet()
            # A warm-up, as after the start of a fleet.
            await fleet.load(4.0, 2.0, pick)
            del fleet.refusals[:]
            await fleet.load(0.6 * RATE_PER_S / COST, 30.0, pick, seed=2)
            return fleet

        fleet = virtual_time.run(scenario())
        assert len(fleet.refusals) <= 0.01 * len(fleet.admitted)

    def test_no_message_is_sent_for_what_is_leased(self):
        async def scenario():
            fleet = Fleet()
            await fleet.load(0.5 * RATE_PER_S / COST, 20.0, at_one)
            return fleet

        fleet = virtual_time.run(scenario())
        assert len(fleet.link.messages) < len(fleet.admitted) / 2

    def test_one_without_a_limit_asks_nobody(self):
        async def scenario():
            fleet = Fleet()
            await fleet.call(0, organisation.Organisation('free'))
            await fleet.call(0, None)
            return fleet

        fleet = virtual_time.run(scenario())
        assert not fleet.link.messages
        assert len(fleet.admitted) == 2

    def test_a_request_without_max_tokens_is_charged_the_default(self):
        assert LIMIT.cost(0, 0) == 200.0
        assert LIMIT.cost(1000, 80) == 1080.0

    def test_requests_may_be_counted_instead(self):
        limit = organisation.UsageLimit(5.0, 5.0, counts_tokens=False)
        assert limit.cost(1000, 80) == 1.0


class TestFlood:
    @pytest.mark.parametrize('pick', [anywhere, at_one])
    def test_is_held_to_the_limit(self, pick):
        """Guards against entries that each admit the whole limit."""

        async def scenario():
            fleet = Fleet()
            await fleet.load(8.0 * RATE_PER_S / COST, 20.0, pick)
            return fleet

        fleet = virtual_time.run(scenario())
        limit = WINDOW_S * RATE_PER_S + BURST
        assert fleet.worst_window() <= limit
        assert sum(c for _, c in fleet.admitted) > 0.9 * 20.0 * RATE_PER_S
        assert {e.kind for e in fleet.refusals} == {
            errors.ErrorKind.RATE_LIMITED
        }
        assert all(0.0 < e.retry_after_s < 2.0 for e in fleet.refusals)

    def test_another_organisation_does_not_notice(self):
        async def scenario():
            fleet = Fleet()
            other = organisation.Organisation('garden', limit=LIMIT)
            flood = asyncio.create_task(
                fleet.load(8.0 * RATE_PER_S / COST, 10.0, anywhere)
            )
            kinds = []
            for _ in range(20):
                await asyncio.sleep(0.4)
                kinds.append(await fleet.call(1, other))
            await flood
            return kinds

        assert not any(virtual_time.run(scenario()))


class TestRefunds:
    def test_what_did_not_run_is_given_back(self):
        """Guards against refused requests that use up the limit."""

        async def refuse():
            raise errors.RefusalError(errors.ErrorKind.QUEUE_FULL, 'full')

        async def scenario():
            fleet = Fleet()
            kinds = []
            for _ in range(40):
                kinds.append(await fleet.call(0, run=refuse))
            kinds.append(await fleet.call(0))
            return kinds

        kinds = virtual_time.run(scenario())
        assert errors.ErrorKind.RATE_LIMITED not in kinds
        assert kinds[-1] is None

    def test_what_may_have_run_is_not_given_back(self):
        async def lose():
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN, 'no answer'
            )

        async def scenario():
            fleet = Fleet()
            return [await fleet.call(0, run=lose) for _ in range(40)]

        assert errors.ErrorKind.RATE_LIMITED in virtual_time.run(scenario())


class TestUnreachableOwner:
    def test_requests_are_served_within_part_of_the_limit(self):
        """Guards against refusals while the owner of the limit is down."""

        async def scenario():
            fleet = Fleet()
            await fleet.load(0.4 * RATE_PER_S / COST, 10.0, at_one)
            del fleet.refusals[:]
            fleet.link.is_unreachable = True
            admitted_before = len(fleet.admitted)
            await fleet.load(0.4 * RATE_PER_S / COST, 10.0, at_one, seed=3)
            return fleet, len(fleet.admitted) - admitted_before

        fleet, admitted = virtual_time.run(scenario())
        assert len(fleet.refusals) < 0.2 * admitted

    @pytest.mark.proves(Promise.LIMITS, Fault.PARTITION, Step.BEFORE_ADMISSION)
    def test_a_flood_stays_within_the_limit(self):
        """Guards against the full limit at each entry of a partition."""

        async def scenario():
            fleet = Fleet()
            flood = 8.0 * RATE_PER_S / COST
            await fleet.load(flood, 10.0, anywhere)
            fleet.link.is_unreachable = True
            await fleet.load(flood, 10.0, anywhere, seed=2)
            return fleet

        fleet = virtual_time.run(scenario())
        limit = WINDOW_S * RATE_PER_S + SPARE_BURSTS * BURST
        assert fleet.worst_window() <= limit

    def test_requests_do_not_wait_for_it_one_by_one(self):
        async def scenario():
            fleet = Fleet()
            fleet.link.is_unreachable = True
            began_s = fleet.clock.monotonic_s()
            for _ in range(50):
                await fleet.call(0)
            return fleet.clock.monotonic_s() - began_s, fleet

        took_s, fleet = virtual_time.run(scenario())
        assert took_s < 1.0
        assert len(fleet.link.messages) == 1

    @pytest.mark.proves(Promise.LIMITS, Fault.KILLED, Step.BEFORE_ADMISSION)
    def test_a_restarted_owner_grants_no_second_burst(self):
        """Guards against a full burst at each restart of the owner."""

        async def scenario():
            fleet = Fleet()
            flood = 8.0 * RATE_PER_S / COST
            await fleet.load(flood, 6.0, anywhere)
            fleet.link.owner = usage_fakes.Link(fleet.clock).owner
            await fleet.load(flood, 6.0, anywhere, seed=2)
            return fleet

        fleet = virtual_time.run(scenario())
        limit = WINDOW_S * RATE_PER_S + SPARE_BURSTS * BURST
        assert fleet.worst_window() <= limit


class TestChangedLimit:
    def test_a_lowered_limit_binds(self):
        """Guards against the use of units leased under the old limit."""

        async def scenario():
            fleet = Fleet()
            await fleet.load(4.0, 5.0, anywhere)
            lowered = organisation.Organisation(
                'balcony', limit=organisation.UsageLimit(100.0, 100.0)
            )
            for entry in fleet.entries:
                entry._version = lambda: 2
            for _ in range(50):
                await asyncio.sleep(0.05)
                await fleet.call(0, lowered, cost=50)
            return fleet

        fleet = virtual_time.run(scenario())
        used = sum(c for at_s, c in fleet.admitted if c == 50)
        assert used <= 2.5 * 100.0 + 100.0


class TestCallerThatDisconnects:
    def test_does_not_stop_those_behind_it(self):
        """Guards against requests that wait for a disconnected caller."""

        async def scenario():
            fleet = Fleet()
            first = asyncio.create_task(fleet.call(0))
            second = asyncio.create_task(fleet.call(0))
            await asyncio.sleep(0)
            first.cancel()
            async with asyncio.timeout(1.0):
                return await second

        assert virtual_time.run(scenario()) is None


class FailingLink:
    """Fails with an error that isn't of a link, after a round trip."""

    async def request_usage(self, _ip, _message, _timeout_s):
        await asyncio.sleep(0.1)
        raise OSError('too many open files')


class TestExchangeThatFails:
    @staticmethod
    def ends(closes_after_s=None):
        """Return how calls of two organisations end.

        The second arrives during the exchange of the first.
        """

        async def scenario():
            fleet = Fleet(entry_count=1)
            fleet.entries[0]._link = FailingLink()
            calls = []
            for name in ('balcony', 'garden'):
                caller = dataclasses.replace(BALCONY, name=name)
                calls.append(asyncio.create_task(fleet.call(0, caller)))
                await asyncio.sleep(0.03)
            if closes_after_s is not None:
                await asyncio.sleep(closes_after_s)
                await fleet.entries[0].close()
            async with asyncio.timeout(5.0):
                return await asyncio.gather(*calls, return_exceptions=True)

        return virtual_time.run(scenario())

    def test_each_that_waits_is_admitted_or_refused(self):
        """Guards against requests that are cancelled or never end."""
        assert self.ends() == [None, None]

    def test_each_that_waits_ends_as_the_limits_are_closed(self):
        """Guards against requests that are cancelled or never end."""
        assert self.ends(closes_after_s=0.01) == [None, None]


class TestOwnerThatMoves:
    def test_each_that_waits_for_the_earlier_one_ends(self):
        """Guards against requests that no reply resolves."""

        async def scenario():
            fleet = Fleet(entry_count=1)
            owners = usage_fakes.OneOwner()
            owners.owner = lambda _name: fleet.owner_ip
            fleet.owner_ip = ENGINES[0].ip
            fleet.entries[0]._owners = owners

            async def request_usage(ip, message, timeout_s):
                if ip == ENGINES[0].ip:
                    await asyncio.sleep(timeout_s)
                    raise errors.NoReplyError('silent')
                await asyncio.sleep(0.05)
                return await fleet.link.owner.grant(message)

            fleet.link.request_usage = request_usage
            calls = []
            for number in range(20):
                if number == 10:
                    fleet.owner_ip = ENGINES[1].ip
                calls.append(asyncio.create_task(fleet.call(0, cost=900)))
                await asyncio.sleep(0.02)
            async with asyncio.timeout(5.0):
                return await asyncio.gather(*calls)

        ends = virtual_time.run(scenario())
        assert set(ends) <= {None, errors.ErrorKind.RATE_LIMITED}

    def test_an_evicted_account_does_not_stop_the_others(self):
        """Guards against requests that wait for a message never sent."""

        async def scenario():
            fleet = Fleet(entry_count=1)
            limits = fleet.entries[0]
            limits._states[usage_fakes.OWNER_IP].due.add('evicted')
            async with asyncio.timeout(5.0):
                return await fleet.call(0)

        assert virtual_time.run(scenario()) is None


class TwoOwners:
    """Messages to the sidecars of two engines."""

    def __init__(self, clock):
        self.by_ip = {
            engine.ip: usage_fakes.Link(clock).owner for engine in ENGINES
        }

    async def request_usage(self, ip, message, _timeout_s):
        return await self.by_ip[ip].grant(message)


class Listed:
    """The list of servers as one entry sees it."""

    def __init__(self):
        self.listed = ENGINES
        self.position = (1, 1)

    def all(self):
        return self.listed


class TestOwnersThatLeave:
    ENTRY_COUNT = 20
    LIMIT = organisation.UsageLimit(60.0, 60.0, default_cost=10.0)
    # Time until all entries have read a change of the list.
    SPREAD_S = 0.02

    def test_a_flood_stays_within_the_limit_as_they_leave_in_turn(self):
        """Guards against a burst of each owner that a limit moves to."""
        caller = organisation.Organisation('small', limit=self.LIMIT)

        async def scenario():
            fleet = Fleet(self.ENTRY_COUNT)
            link = TwoOwners(fleet.clock)
            views = [Listed() for _ in fleet.entries]
            fleet.entries = [
                usage_limits.UsageLimits(
                    f'edge-{number}',
                    link,
                    usage_ownership.UsageOwnership(
                        view, lambda _service: True, fleet.clock
                    ),
                    fleet.clock,
                    lambda: 1,
                    lambda: self.ENTRY_COUNT,
                )
                for number, view in enumerate(views)
            ]
            source = random.Random(5)

            async def change(view, at_s, *leaving):
                await asyncio.sleep(at_s + source.uniform(0.0, self.SPREAD_S))
                view.position = (1, int(at_s))
                view.listed = tuple(
                    dataclasses.replace(e, is_leaving=e.name in leaving)
                    for e in ENGINES
                )

            async def flood():
                await asyncio.sleep(9.5)
                for _ in range(600):
                    await asyncio.sleep(0.02)
                    entry = source.randrange(self.ENTRY_COUNT)
                    asyncio.create_task(fleet.call(entry, caller, 10))

            async with asyncio.TaskGroup() as group:
                group.create_task(flood())
                for view in views:
                    group.create_task(change(view, 10.0, 'i-2'))
                    group.create_task(change(view, 13.0, 'i-1', 'i-2'))
                    group.create_task(change(view, 14.1))
                    group.create_task(change(view, 16.0, 'i-1'))
            return fleet

        fleet = virtual_time.run(scenario())
        allowed = 1.25 * (WINDOW_S + 1.0) * 60.0 + 60.0
        assert fleet.worst_window() <= allowed
