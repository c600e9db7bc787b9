import asyncio

import pytest

from benchmarks import virtual_time
from lacewingpitch import errors
from lacewingpitch import limit_lease
from tests import fault_matrix
from tests import lease_entries

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
ErrorKind = errors.ErrorKind
CUSTOMER = 'haneul'
COUNT = 4
BURST = 8
RATE_PER_S = 2.0
SLOTS = 4
QUEUE = 2
TOKENS_PER_S = 100.0


def in_virtual_time(test):
    """Run an async test method with entries, in virtual time."""

    def wrapper(self):
        async def run():
            entries = lease_entries.Entries(virtual_time.LoopClock(), COUNT)
            entries.contract = entries.contracts.add(
                CUSTOMER,
                requests_per_s=RATE_PER_S,
                burst_requests=BURST,
                concurrent_requests=SLOTS,
                queued_requests=QUEUE,
                tokens_per_s=TOKENS_PER_S,
            )
            await asyncio.sleep(60)
            try:
                await test(self, entries)
            finally:
                entries.close()

        virtual_time.run(run())

    wrapper.__name__ = test.__name__
    wrapper.__doc__ = test.__doc__
    return wrapper


def others(entries):
    """Return the entries that do not own the customer."""
    owner = entries.owner_of(CUSTOMER)
    return [e for e in entries.all.values() if e is not owner]


async def call(entry, contract, run_s=0.0, max_tokens=1, tokens=1):
    """Return ``None`` if admitted, else the refusal."""
    try:
        async with entry.limits.admit(contract, max_tokens) as admitted:
            await asyncio.sleep(run_s)
            admitted.used_tokens = tokens
    except errors.RefusalError as error:
        return error
    return None


async def call_repeatedly(entry, contract, count, **options):
    """Return how many of `count` calls, one by one, are admitted."""
    found = [await call(entry, contract, **options) for _ in range(count)]
    return found.count(None)


class TestRate:
    @in_virtual_time
    async def test_one_burst_over_all_entries(self, entries):
        admitted = 0
        for entry in entries.all.values():
            admitted += await call_repeatedly(entry, entries.contract, 10)
        assert admitted == BURST

    @in_virtual_time
    async def test_one_entry_alone_gets_the_whole_limit(self, entries):
        entry = others(entries)[0]
        assert await call_repeatedly(entry, entries.contract, 10) == BURST

    @in_virtual_time
    async def test_calls_at_once_are_all_admitted(self, entries):
        """Guards against refusals within the contract by concurrent calls.

        A second call comes between the owner's reply to the first and the
        iteration of the event loop in which the first resumes.  It must not
        use the grant of the first.
        """
        for turns in range(8):
            contract = entries.contracts.add(f'customer-{turns}')
            entry = entries.owner_of(contract.customer)
            first = asyncio.create_task(call(entry, contract))
            for _ in range(turns):
                await asyncio.sleep(0)
            second = asyncio.create_task(call(entry, contract))
            assert await asyncio.gather(first, second) == [None, None]

    @in_virtual_time
    async def test_retry_after_the_stated_time_is_admitted(self, entries):
        entry = others(entries)[0]
        await call_repeatedly(entry, entries.contract, BURST)
        error = await call(entry, entries.contract)
        assert error.kind is ErrorKind.RATE_LIMITED
        assert error.outcome is errors.Outcome.NOT_RUN
        assert 0 < error.retry_after_s <= 1 / RATE_PER_S
        await asyncio.sleep(error.retry_after_s)
        assert await call(entry, entries.contract) is None

    @in_virtual_time
    async def test_another_customers_burst_takes_nothing(self, entries):
        other = entries.contracts.add('caravan', requests_per_s=1)
        entry = others(entries)[0]
        await call_repeatedly(entry, other, 200)
        assert await call_repeatedly(entry, entries.contract, BURST) == BURST

    @in_virtual_time
    async def test_tokens_are_corrected_when_the_answer_ends(self, entries):
        entry = others(entries)[0]
        generated = TOKENS_PER_S * limit_lease.TOKEN_BURST_S + 200
        await call(entry, entries.contract, max_tokens=10, tokens=generated)
        error = await call(entry, entries.contract)
        assert error.kind is ErrorKind.RATE_LIMITED
        assert error.retry_after_s > 1
        await asyncio.sleep(error.retry_after_s + 1)
        assert await call(entry, entries.contract) is None

    @in_virtual_time
    async def test_new_limits_are_in_force_at_once(self, entries):
        entry = others(entries)[0]
        assert await call_repeatedly(entry, entries.contract, 2) == 2
        new = entries.contracts.add(
            CUSTOMER, revision=2, requests_per_s=0.01, burst_requests=1
        )
        for found in entries.all.values():
            found.limits.apply_contract(new)
        assert await call_repeatedly(entry, new, 5) <= 1


class TestSlots:
    @in_virtual_time
    async def test_run_wait_and_refuse_over_all_entries(self, entries):
        calls = [
            asyncio.create_task(call(entry, entries.contract, run_s=3.0))
            for entry in entries.all.values()
            for _ in range(2)
        ]
        await asyncio.sleep(1.0)
        running = sum(
            customer.leased.running
            for entry in entries.all.values()
            for customer in entry.limits._customers.values()
        )
        assert running <= SLOTS
        found = await asyncio.gather(*calls)
        kinds = [error.kind for error in found if error is not None]
        assert found.count(None) >= SLOTS
        assert set(kinds) <= {ErrorKind.QUEUE_FULL}

    @in_virtual_time
    async def test_the_whole_queue_is_used_before_one_is_refused(
        self, entries
    ):
        """Guards against refusals while the customer's queue is empty.

        All running slots are in use; calls come one after the other,
        faster than an entry asks again.  A lack of running slots must not
        count as a lack of queue slots.
        """
        entry = others(entries)[0]
        calls = []
        for _ in range(SLOTS + QUEUE):
            found = call(entry, entries.contract, run_s=5.0)
            calls.append(asyncio.create_task(found))
            await asyncio.sleep(0.02)
        error = await call(entry, entries.contract)
        assert error.kind is ErrorKind.QUEUE_FULL
        assert await asyncio.gather(*calls) == [None] * (SLOTS + QUEUE)

    @in_virtual_time
    async def test_free_slots_are_returned(self, entries):
        """Guards against a customer that waits though nothing of it runs.

        It calls every entry once, then one entry with as many calls as may
        run.  Entries must not keep free slots until their leases expire.
        """
        for entry in entries.all.values():
            assert await call(entry, entries.contract) is None
        await asyncio.sleep(6.0)
        started_s = asyncio.get_running_loop().time()
        entry = others(entries)[0]
        calls = [call(entry, entries.contract) for _ in range(SLOTS)]
        assert await asyncio.gather(*calls) == [None] * SLOTS
        assert asyncio.get_running_loop().time() - started_s < 0.2

    @in_virtual_time
    async def test_a_wait_too_long_is_refused(self, entries):
        entry = others(entries)[0]
        calls = [
            asyncio.create_task(call(entry, entries.contract, run_s=100.0))
            for _ in range(SLOTS + 1)
        ]
        found = await asyncio.gather(*calls)
        kinds = [error.kind for error in found if error is not None]
        assert kinds == [ErrorKind.CONCURRENCY_LIMITED]

    @pytest.mark.proves(Promise.LIMITS, Fault.NONE, Step.MID_STREAM)
    @in_virtual_time
    async def test_slots_of_disconnected_callers_are_released(self, entries):
        """Guards against slots that are lost when callers disconnect.

        Calls run and wait, and all are cancelled, some in the iteration of
        the event loop in which their slot is assigned.  The customer would
        be refused for good.
        """
        entry = others(entries)[0]
        for _ in range(3):
            calls = [
                asyncio.create_task(call(entry, entries.contract, run_s=9))
                for _ in range(SLOTS + QUEUE)
            ]
            await asyncio.sleep(1.0)
            for task in calls:
                task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            await asyncio.sleep(10.0)
        customer = entry.limits._customers.get(CUSTOMER)
        assert customer is None or customer.leased.running == 0
        calls = [call(entry, entries.contract, run_s=1) for _ in range(SLOTS)]
        assert await asyncio.gather(*calls) == [None] * SLOTS

    @pytest.mark.proves(Promise.LIMITS, Fault.NONE, Step.QUEUED)
    @in_virtual_time
    async def test_slot_assigned_to_a_caller_that_disconnects(self, entries):
        """Guards against a slot lost when a waiting caller disconnects.

        The slot is assigned, and the caller is cancelled before it resumes.
        Leaving the queue isn't enough: the slot must be released, too.
        """
        limits = others(entries)[0].limits
        admitted = [limits.admit(entries.contract, 1) for _ in range(SLOTS)]
        for slot in admitted:
            await slot.__aenter__()
        entry = others(entries)[0]
        waiting = asyncio.create_task(call(entry, entries.contract))
        await asyncio.sleep(0.05)
        await admitted[0].__aexit__(None, None, None)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        for slot in admitted[1:]:
            await slot.__aexit__(None, None, None)
        assert limits._customers[CUSTOMER].leased.running == 0

    @pytest.mark.proves(Promise.LIMITS, Fault.KILLED, Step.MID_STREAM)
    @in_virtual_time
    async def test_a_new_owner_learns_of_long_calls(self, entries):
        """Guards against twice the limit after an instance is killed.

        Calls run for long at one entry; the owner is killed, and another
        entry gets many calls.  The holder must report its calls to the new
        owner before its long lease ends.
        """
        owner = entries.owner_of(CUSTOMER)
        first, second = others(entries)[:2]
        long = []
        for _ in range(SLOTS):
            found = call(first, entries.contract, run_s=40.0)
            long.append(asyncio.create_task(found))
            await asyncio.sleep(4.0)
        entries.dead.add(owner.name)
        entries.publish([e.name for e in others(entries)])
        await asyncio.sleep(limit_lease.LEASE_DURATION_S + 1)
        late = asyncio.create_task(call(second, entries.contract))
        await asyncio.sleep(2.0)
        assert not late.done()
        assert await asyncio.gather(*long, late) == [None] * (SLOTS + 1)


class TestFaults:
    @pytest.mark.proves(Promise.LIMITS, Fault.PARTITION, Step.ANY)
    @in_virtual_time
    async def test_both_sides_of_a_partition_serve_within_bound(self, entries):
        """Guards against the whole limit on each side of a partition.

        Two of four entries can't reach the owner for two minutes; all are
        called as fast as they admit.  Each side must serve within its part
        of the limit.
        """
        cut = others(entries)[:2]
        entries.partition([entry.name for entry in cut])
        admitted = {entry.name: 0 for entry in cut}
        whole = 0
        started_s = asyncio.get_running_loop().time()
        for _ in range(600):
            await asyncio.sleep(0.2)
            for entry in entries.all.values():
                if await call(entry, entries.contract) is None:
                    whole += 1
                    if entry.name in admitted:
                        admitted[entry.name] += 1
        run_s = asyncio.get_running_loop().time() - started_s
        share = RATE_PER_S / COUNT
        for count in admitted.values():
            assert 0.5 * share * run_s < count
            assert count <= BURST / COUNT + share * run_s + 1
        cut_bound = 2 * (BURST / COUNT + share * run_s)
        assert whole <= BURST + RATE_PER_S * run_s + cut_bound + 2

    @pytest.mark.proves(Promise.LIMITS, Fault.LINK_CUT, Step.ANY)
    @in_virtual_time
    async def test_shares_in_use_are_kept_free_at_the_owner(self, entries):
        """Guards against more than the contract during a partition.

        All entries serve when the partition begins, and go on.  The owner
        must not lease the shares of entries that it can't reach, as they
        use them.
        """
        loop, admitted = asyncio.get_running_loop(), 0
        contract = entries.contracts.add(
            CUSTOMER, revision=2, requests_per_s=20, burst_requests=BURST
        )
        for second in range(140):
            if second == 20:
                cut_s = loop.time()
                cut = others(entries)[:2]
                entries.partition([entry.name for entry in cut])
            for _ in range(10):
                await asyncio.sleep(0.1)
                for entry in entries.all.values():
                    found = await call(entry, contract)
                    admitted += found is None and second >= 20
        run_s = loop.time() - cut_s
        lease = 20 * 2 / COUNT * limit_lease.LEASE_DURATION_S
        share = 2 * BURST / COUNT
        assert admitted <= BURST + 20 * run_s + lease + share + 8
        assert admitted >= 0.9 * 20 * run_s

    @pytest.mark.proves(Promise.LIMITS, Fault.KILLED, Step.BEFORE_ADMISSION)
    @in_virtual_time
    async def test_a_dead_owner_delays_a_few_and_refuses_none(self, entries):
        """Guards against refusals within the contract as an owner dies.

        The owner is killed, and the instance list drops it after 5 s.
        Holders must neither wait for it for long nor admit nothing.
        """
        owner = entries.owner_of(CUSTOMER)
        entries.dead.add(owner.name)
        entry = others(entries)[0]
        loop = asyncio.get_running_loop()
        slow = 0
        for second in range(20):
            if second == 5:
                entries.publish([e.name for e in others(entries)])
            await asyncio.sleep(COUNT / RATE_PER_S)
            started_s = loop.time()
            assert await call(entry, entries.contract) is None
            slow += loop.time() - started_s > 0.1
        assert slow <= 3

    @pytest.mark.proves(Promise.LIMITS, Fault.HALF_OPEN, Step.ANY)
    @in_virtual_time
    async def test_refuses_at_once_while_the_owner_is_unreachable(
        self, entries
    ):
        """Guards against refusals that each take as long as a timeout.

        The owner doesn't answer, and a customer sends more than the share
        of this instance.  Requests must not wait for an owner known to be
        unresponsive.
        """
        entries.dead.add(entries.owner_of(CUSTOMER).name)
        entry = others(entries)[0]
        await call(entry, entries.contract)
        started_s = asyncio.get_running_loop().time()
        assert await call_repeatedly(entry, entries.contract, 20) <= 2
        assert asyncio.get_running_loop().time() - started_s < 0.2

    @pytest.mark.proves(Promise.LIMITS, Fault.FROZEN, Step.BEFORE_ADMISSION)
    @in_virtual_time
    async def test_an_owner_that_resumes_late_adds_no_second_limit(
        self, entries
    ):
        """Guards against twice the limit after a pause of the owner.

        The owner is paused, another replaces it, and it resumes with the
        old list; both get many calls.  It must not continue with its old
        state.
        """
        owner = entries.owner_of(CUSTOMER)
        rest = others(entries)
        await call_repeatedly(rest[0], entries.contract, BURST)
        owner.awake.clear()
        entries.publish([e.name for e in rest], to=[e.name for e in rest])
        await asyncio.sleep(30)
        await call_repeatedly(rest[0], entries.contract, 2 * BURST)
        owner.awake.set()
        admitted = 0
        for _ in range(20):
            await asyncio.sleep(0.1)
            for entry in entries.all.values():
                admitted += await call(entry, entries.contract) is None
        assert admitted <= 2 * RATE_PER_S + BURST / COUNT + 1


class TestMemory:
    @in_virtual_time
    async def test_idle_customers_leave_nothing_behind(self, entries):
        for number in range(50):
            contract = entries.contracts.add(f'customer-{number}')
            for entry in entries.all.values():
                assert await call(entry, contract) is None
        await asyncio.sleep(60)
        for entry in entries.all.values():
            assert len(entry.limits) == 0
            assert len(entry.owner) == 0
            assert not entry.limits._owners
