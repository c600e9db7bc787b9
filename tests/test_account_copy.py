"""Replication of accounts under reordering, loss and repetition."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import account_holders
from lacewingpitch import account_rows
from lacewingpitch import errors
from tests import clocks
from tests import fault_matrix
from tests import samples

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
OWNER = account_module.AccountId('entry-0', 'one', 'zone-a', 0.0)
CUSTOMERS = strategies.sampled_from(['haneul', 'caravan'])
COUNTERS = strategies.integers(0, 1)


class Link:
    """An account's owner and a holder, connected by messages."""

    def __init__(self, capacity_accounts=8):
        self.account = account_module.Account(OWNER, clocks.ManualClock())
        self.backlog = account_copy.Backlog(self.account.rows)
        self.holder = account_copy.CopyHolder(capacity_accounts)
        self.now_s = 1.0
        self.past_rows = {}

    def count(self, customer, number):
        self.account.add(customer, {number: 1})

    def snapshot(self):
        rows = self.account.rows
        return {c: dict(rows.row(c)) for c in rows}

    def next_copy(self, max_bytes=account_copy.MAX_BATCH_BYTES):
        self.now_s += 1
        self.past_rows[self.now_s] = self.snapshot()
        self.backlog.record_changes(self.account.pop_changes(), self.now_s)
        head = account_copy.AccountHead(
            account_id=OWNER, complete_until_s=self.now_s
        )
        return self.backlog.next_copy(head, max_bytes)

    async def exchange(self, **fields):
        message = self.next_copy(**fields)
        self.backlog.confirm(message, await self.holder.merge(message))

    def held(self):
        return self.holder.account(OWNER)

    def held_rows(self):
        held = self.held()
        return {c: dict(held.rows.row(c)) for c in held.rows}

    def check_completeness(self):
        """Check that the holder has all counts up to its stated time."""
        held = self.held()
        if held is None or not held.complete_until_s:
            return
        past_rows = self.past_rows[held.complete_until_s]
        for customer, row in past_rows.items():
            held_row = held.rows.row(customer)
            for number, count in row.items():
                assert held_row.get(number, 0) >= count


def run(coroutine):
    """Run a coroutine that never suspends."""
    with pytest.raises(StopIteration) as found:
        coroutine.send(None)
    return found.value.value


class CopyMachine(stateful.RuleBasedStateMachine):
    """Copies converge under any order, loss and repetition of messages."""

    def __init__(self):
        super().__init__()
        self.link = Link()
        self.sent = []

    @stateful.rule(customer=CUSTOMERS, number=COUNTERS)
    def count(self, customer, number):
        self.link.count(customer, number)

    @stateful.rule(max_bytes=strategies.sampled_from([1, 40, 1536]))
    def delivered(self, max_bytes):
        message = self.link.next_copy(max_bytes)
        self.sent.append(message)
        self.link.backlog.confirm(
            message, run(self.link.holder.merge(message))
        )

    @stateful.rule(max_bytes=strategies.sampled_from([1, 40, 1536]))
    def lost(self, max_bytes):
        message = self.link.next_copy(max_bytes)
        self.sent.append(message)
        self.link.backlog.requeue(message)

    @stateful.rule(max_bytes=strategies.sampled_from([1, 40, 1536]))
    def reply_lost(self, max_bytes):
        message = self.link.next_copy(max_bytes)
        run(self.link.holder.merge(message))
        self.link.backlog.requeue(message)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=strategies.data())
    def redelivered(self, data):
        message = data.draw(strategies.sampled_from(self.sent))
        run(self.link.holder.merge(message))

    @stateful.rule()
    def holder_restarts(self):
        self.link.holder = account_copy.CopyHolder()

    @stateful.rule(count=strategies.integers(1, 4))
    def sweep(self, count):
        self.link.account.sweep(count)
        self.link.holder.sweep(count, 0.0)

    @stateful.invariant()
    def is_complete_until_its_stated_time(self):
        self.link.check_completeness()

    @stateful.invariant()
    def never_more_than_the_owner(self):
        if self.link.held() is None:
            return
        own = self.link.snapshot()
        for customer, row in self.link.held_rows().items():
            for number, count in row.items():
                assert own[customer][number] >= count

    def teardown(self):
        for _ in range(20):
            run(self.link.exchange())
        assert self.link.held_rows() == self.link.snapshot()
        assert self.link.held().complete_until_s == self.link.now_s


CopyMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
TestAnyOrder = CopyMachine.TestCase


class TestHolder:
    @pytest.mark.proves(Promise.ACCOUNT, Fault.TWO_FAULTS, Step.ANY)
    async def test_restarted_holder_claims_nothing_until_refilled(self):
        """A report lacks a lost instance's counts and states no gap.

        The holder restarts empty and receives one more delta, and then
        the instance is lost.  This happens if a holder adopts the
        sender's completeness time for a copy that it no longer has.
        """
        link = Link()
        link.count('haneul', 1)
        await link.exchange()
        await link.exchange()
        assert link.held().complete_until_s
        link.holder = account_copy.CopyHolder()
        link.count('caravan', 1)
        await link.exchange()
        assert link.held_rows() == {'caravan': {1: 1}}
        assert link.held().complete_until_s == 0.0
        await link.exchange()
        assert link.held_rows() == link.snapshot()
        assert link.held().complete_until_s

    async def test_evicted_copy_states_no_completeness(self):
        link = Link(capacity_accounts=1)
        link.count('haneul', 1)
        await link.exchange()
        await link.exchange()
        other = account_module.AccountId('entry-9', 'x', 'zone-b', 0.0)
        head = account_copy.AccountHead(account_id=other)
        await link.holder.merge(account_copy.make_copy(head, {}))
        assert link.held() is None
        await link.exchange()
        assert link.held().complete_until_s == 0.0

    async def test_is_bounded_by_rows(self):
        holder = account_copy.CopyHolder(capacity_rows=10)
        for number in range(5):
            account_id = account_module.AccountId(
                f'entry-{number}', 'x', 'zone-a', 0.0
            )
            head = account_copy.AccountHead(account_id=account_id)
            rows = {f'c{customer}': {1: 1} for customer in range(4)}
            await holder.merge(account_copy.make_copy(head, rows))
        assert [h.account_id.instance for h in holder.accounts] == [
            'entry-3',
            'entry-4',
        ]


class TestRows:
    def test_too_large_or_broken_rows_are_refused(self):
        head = account_copy.AccountHead(account_id=OWNER)
        rows = {f'customer-{n}': {n: n} for n in range(100_000)}
        for message in (
            account_copy.make_copy(head, rows),
            account_copy.AccountCopy(head=head, packed_rows=b'broken'),
        ):
            with pytest.raises(errors.LinkError):
                _ = message.rows


class TestBacklog:
    async def test_message_stays_within_its_bytes(self):
        link = Link()
        for number in range(500):
            link.count(f'customer-{number}', 1)
        for _ in range(100):
            message = link.next_copy()
            size = sum(
                account_copy._estimate_row_bytes(c, r)
                for c, r in message.rows.items()
            )
            assert size <= account_copy.MAX_BATCH_BYTES + 100
            link.backlog.confirm(message, await link.holder.merge(message))
        assert link.held_rows() == link.snapshot()

    def test_only_what_changed_is_sent(self):
        link = Link()
        link.count('haneul', 1)
        link.count('caravan', 1)
        link.next_copy()
        link.count('haneul', 2)
        assert link.next_copy().rows == {'haneul': {2: 1}}


def entry(name, zone, region='region-a'):
    return samples.entry(name, region=region, availability_zone=zone)


class TestChooseHolders:
    def test_spreads_over_other_zones_of_the_region(self):
        others = [
            entry(f'entry-{n}', f'zone-{"abc"[n % 3]}') for n in range(9)
        ]
        others += [entry(f'far-{n}', 'zone-z', 'region-z') for n in range(9)]
        chosen = account_holders.choose_holders(OWNER, 'region-a', others)
        zones = {holder.availability_zone for holder in chosen}
        assert zones == {'zone-b', 'zone-c'}

    def test_returns_fewer_if_entries_are_few(self):
        others = [entry('entry-1', 'zone-a')]
        assert (
            account_holders.choose_holders(OWNER, 'region-a', others) == others
        )
        assert not account_holders.choose_holders(OWNER, 'region-a', [])


class TestMerge:
    def test_keeps_the_greater(self):
        row = {1: 5, 2: 1}
        account_rows.merge(row, {1: 3, 2: 4, 3: 1})
        assert row == {1: 5, 2: 4, 3: 1}
