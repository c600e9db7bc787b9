"""Loading and evicting adapters in the slots of one engine."""

import asyncio
import contextlib

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from benchmarks import virtual_time
from lacewingpitch import contract
from lacewingpitch import engine as engine_module
from lacewingpitch import errors
from lacewingpitch import fence as fence_module
from lacewingpitch import slots as slots_module
from tests import fault_matrix
from tests import processes

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
LOAD_S = 0.5
DEADLINE_S = 30.0


class FakeEngine:
    """Holds adapters and records evictions under a running request."""

    def __init__(self, slot_count=2):
        self.slot_count = slot_count
        self.held = set()
        self.running = {}
        self.loads = []
        self.evictions = []
        self.violations = []
        self.failing = set()
        self.refuses_evictions = False
        self.loading = 0
        self.max_loading = 0

    def restart(self):
        self.held.clear()
        self.running.clear()

    async def load_adapter(self, name, _fencing):
        self.loading += 1
        self.max_loading = max(self.max_loading, self.loading)
        try:
            await asyncio.sleep(LOAD_S)
        finally:
            self.loading -= 1
        if name in self.failing:
            raise errors.PlatformError('the load failed')
        if name not in self.held and len(self.held) >= self.slot_count:
            raise errors.PlatformError('no free slot')
        self.held.add(name)
        self.loads.append(name)

    async def evict_adapter(self, name, _fencing):
        await asyncio.sleep(0.01)
        if self.refuses_evictions:
            raise errors.PlatformError('not evicted')
        if self.running.get(name):
            self.violations.append(f'evicted under a run: {name}')
        self.held.discard(name)
        self.evictions.append(name)

    @contextlib.contextmanager
    def run(self, name):
        if name not in self.held:
            raise engine_module.AdapterMissingError(name)
        running = self.running
        running[name] = running.get(name, 0) + 1
        try:
            yield
        finally:
            if running is self.running and running.get(name):
                running[name] -= 1


class SingleLoadPacer:
    """A pacer that allows one load at a time."""

    def __init__(self):
        self._lock = asyncio.Lock()

    def permit(self, _weight):
        return self._lock


def make_slots(engine, **options):
    clock = virtual_time.LoopClock()
    return slots_module.AdapterSlots(
        engine, engine.slot_count, fence_module.Fence(clock), clock, **options
    )


async def use(slots, engine, name, for_s=1.0, deadline_s=DEADLINE_S):
    """Hold an adapter and run on it; return the stall in seconds."""
    async with slots.hold(name, deadline_s) as stall_s:
        with engine.run(name):
            await asyncio.sleep(for_s)
    return stall_s


def apply_report(slots, names, busy=()):
    """Apply an engine report that was requested now."""
    slots.adopt(names)
    now_s = asyncio.get_running_loop().time()
    slots.release_adopted(now_s, lambda name: name not in busy)


def run_with(scenario, slot_count=2, **options):
    async def main():
        engine = FakeEngine(slot_count)
        slots = make_slots(engine, **options)
        found = await scenario(slots, engine)
        await slots.close()
        assert not engine.violations
        return found

    return virtual_time.run(main())


class TestWaiting:
    def test_requests_of_one_adapter_share_its_load(self):
        async def scenario(slots, engine):
            stalls_s = await asyncio.gather(
                *(use(slots, engine, 'a') for _ in range(5))
            )
            return stalls_s, engine.loads

        stalls_s, loads = run_with(scenario)
        assert loads == ['a']
        assert stalls_s == pytest.approx([LOAD_S] * 5)

    def test_held_adapter_waits_for_no_load(self):
        """A request for a held adapter stalls while another one loads.

        This happens if one lock guards every load.
        """

        async def scenario(slots, engine):
            await use(slots, engine, 'a')
            other = asyncio.create_task(use(slots, engine, 'b'))
            await asyncio.sleep(0.1)
            stall_s = await use(slots, engine, 'a')
            await other
            return stall_s

        assert run_with(scenario) == 0.0

    def test_most_wanted_adapter_loads_first(self):
        async def scenario(slots, engine):
            names = ['x', 'y', 'rare', 'often', 'often', 'often']
            await asyncio.gather(*(use(slots, engine, n) for n in names))
            return engine.loads

        loads = run_with(scenario, slot_count=2)
        assert loads.index('often') < loads.index('rare')

    def test_several_loads_at_once(self):
        async def scenario(slots, engine):
            await asyncio.gather(*(use(slots, engine, n) for n in 'abcd'))
            return engine.max_loading

        assert run_with(scenario, slot_count=4) == 2

    def test_busy_slot_is_freed_for_a_waiting_adapter(self):
        """A rarely requested adapter is never loaded.

        Both slots serve requests that overlap without a gap, so neither
        is ever idle, and the load waits for an idle slot.
        """

        async def scenario(slots, engine):
            async def keep_busy(name):
                async with asyncio.TaskGroup() as group:
                    for _ in range(60):
                        group.create_task(use(slots, engine, name, 1.5))
                        await asyncio.sleep(1.0)

            busy = [asyncio.create_task(keep_busy(n)) for n in 'ab']
            await asyncio.sleep(5.0)
            stall_s = await use(slots, engine, 'rare')
            await asyncio.gather(*busy)
            return stall_s

        assert run_with(scenario, stall_weight=0.5) < 10.0


class TestClose:
    def test_leaves_no_load_behind(self):
        async def scenario(slots, engine):
            waiting = [
                asyncio.create_task(use(slots, engine, n)) for n in 'abcd'
            ]
            await asyncio.sleep(LOAD_S / 2)
            await slots.close()
            for task in waiting:
                task.cancel()
            await asyncio.gather(*waiting, return_exceptions=True)
            await asyncio.sleep(0)
            return len(asyncio.all_tasks()), engine.loading

        assert run_with(scenario) == (1, 0)


class TestEviction:
    @pytest.mark.proves(Promise.NO_EVICTION, Fault.NONE, Step.SENT)
    def test_never_under_a_hold(self):
        async def scenario(slots, engine):
            long = asyncio.create_task(use(slots, engine, 'a', 60.0))
            await asyncio.sleep(1.0)
            for name in 'bcdef':
                await use(slots, engine, name, 0.1)
            assert 'a' not in engine.evictions
            await long

        run_with(scenario)

    def test_evicts_the_adapter_least_in_demand(self):
        async def scenario(slots, engine):
            for _ in range(5):
                await use(slots, engine, 'often', 0.1)
            await use(slots, engine, 'once', 0.1)
            await asyncio.sleep(6.0)
            await use(slots, engine, 'new', 0.1)
            return engine.evictions

        assert run_with(scenario) == ['once']

    def test_keeps_a_recently_used_adapter(self):
        async def scenario(slots, engine):
            for _ in range(9):
                await use(slots, engine, 'often', 0.1)
            await asyncio.sleep(6.0)
            await use(slots, engine, 'recent', 0.1)
            await use(slots, engine, 'new', 0.1)
            return engine.evictions

        assert run_with(scenario) == ['often']

    @pytest.mark.proves(Promise.RIGHT_ADAPTER, Fault.TWO_FAULTS, Step.LOADING)
    def test_refused_eviction_keeps_the_slot_usable(self):
        async def scenario(slots, engine):
            await use(slots, engine, 'a', 0.1)
            await use(slots, engine, 'b', 0.1)
            engine.refuses_evictions = True
            with pytest.raises(errors.RefusalError):
                await use(slots, engine, 'c')
            assert await use(slots, engine, 'a') == 0.0
            engine.refuses_evictions = False
            await asyncio.sleep(2.0)
            await use(slots, engine, 'c')

        run_with(scenario)


class TestFailedLoad:
    @pytest.mark.proves(Promise.NOT_RUN, Fault.LOAD_FAILS, Step.LOADING)
    def test_refuses_only_its_own_waiters_at_once(self):
        """A failing adapter delays or fails requests for other adapters.

        Requests wait for a failing and for a sound adapter.  This
        happens if all adapters share a queue or a backoff.
        """

        async def scenario(slots, engine):
            engine.failing.add('broken')
            found = await asyncio.gather(
                *(use(slots, engine, 'broken') for _ in range(3)),
                use(slots, engine, 'sound'),
                return_exceptions=True,
            )
            return found

        *refused, sound = run_with(scenario)
        assert sound == pytest.approx(LOAD_S)
        for error in refused:
            assert error.kind is errors.ErrorKind.ADAPTER_UNAVAILABLE
            assert error.outcome is errors.Outcome.NOT_RUN
            assert error.retry_after_s == pytest.approx(1.0)

    @pytest.mark.proves(Promise.NOT_RUN, Fault.SAME_TWICE, Step.LOADING)
    def test_backs_off_longer_each_time_and_recovers(self):
        async def scenario(slots, engine):
            engine.failing.add('a')
            after_s = []
            for _ in range(3):
                with pytest.raises(errors.RefusalError) as first:
                    await use(slots, engine, 'a')
                asked_s = virtual_time.LoopClock().monotonic_s()
                with pytest.raises(errors.RefusalError):
                    await use(slots, engine, 'a')
                assert virtual_time.LoopClock().monotonic_s() == asked_s
                after_s.append(first.value.retry_after_s)
                await asyncio.sleep(first.value.retry_after_s)
            engine.failing.clear()
            await use(slots, engine, 'a')
            return after_s

        assert run_with(scenario) == pytest.approx([1.0, 2.0, 4.0])


class TestDeadline:
    def test_refuses_as_soon_as_the_deadline_is_unreachable(self):
        """A caller waits until its deadline and is refused only then.

        On arrival its adapter could be loaded in time.  Then two
        requests for each of twenty other adapters arrive, whose loads go
        first.
        """

        async def scenario(slots, engine):
            first = [
                asyncio.create_task(use(slots, engine, f'first-{n}', 9.0))
                for n in range(2)
            ]
            await asyncio.sleep(0.01)
            late = asyncio.create_task(
                use(slots, engine, 'late', deadline_s=4.0)
            )
            await asyncio.sleep(0.01)
            others = [
                asyncio.create_task(use(slots, engine, f'a-{n // 2}', 9.0))
                for n in range(40)
            ]
            with pytest.raises(errors.RefusalError) as refused:
                await late
            for task in (*first, *others):
                task.cancel()
            return refused.value, virtual_time.LoopClock().monotonic_s()

        pacer = SingleLoadPacer()
        error, now_s = run_with(scenario, slot_count=40, pacer=pacer)
        assert error.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
        assert error.retry_after_s > 0
        assert now_s < 2.0

    def test_refuses_an_unreachable_deadline_on_arrival(self):
        async def scenario(slots, engine):
            waiting = [
                asyncio.create_task(use(slots, engine, f'a-{n}', 5.0))
                for n in range(20)
            ]
            await asyncio.sleep(0.01)
            with pytest.raises(errors.RefusalError) as refused:
                await use(slots, engine, 'late', deadline_s=0.6)
            for task in waiting:
                task.cancel()
            return refused.value, virtual_time.LoopClock().monotonic_s()

        error, now_s = run_with(scenario)
        assert error.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
        assert error.retry_after_s > 0
        assert now_s == pytest.approx(0.01)

    def test_waiter_past_its_deadline_is_removed(self):
        async def scenario(slots, engine):
            long = [
                asyncio.create_task(use(slots, engine, n, 20.0)) for n in 'ab'
            ]
            await asyncio.sleep(1.0)
            with pytest.raises(errors.RefusalError) as refused:
                await use(slots, engine, 'c', deadline_s=1.0)
            assert slots.waiting_count == 0
            await asyncio.gather(*long)
            return refused.value.kind, engine.loads

        kind, loads = run_with(scenario)
        assert kind is errors.ErrorKind.DEADLINE_UNREACHABLE
        assert 'c' not in loads

    @pytest.mark.parametrize('iterations', range(6))
    def test_cancelled_as_its_slot_is_given_frees_the_slot(self, iterations):
        """An unused slot is never evicted again.

        The caller is cancelled in the same iteration of the event loop
        in which its adapter is loaded, so that its hold is never
        released.
        """

        async def scenario(slots, engine):
            task = asyncio.create_task(use(slots, engine, 'a', 99.0))
            await asyncio.sleep(LOAD_S)
            for _ in range(iterations):
                await asyncio.sleep(0)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            for name in 'bcd':
                await use(slots, engine, name, 0.1)
            return engine.held

        assert 'a' not in run_with(scenario)


class TestEngineRestart:
    @pytest.mark.proves(Promise.RIGHT_ADAPTER, Fault.ENGINE_EMPTY, Step.SENT)
    def test_earlier_holds_do_not_change_the_new_table(self):
        """Adapters are evicted under requests after an engine restart.

        A request holds an adapter while the engine restarts empty, and
        the adapter is loaded again for a second request.  When the first
        one ends, it must not decrement the second one's count.
        """

        async def scenario(slots, engine):
            old = asyncio.create_task(use(slots, engine, 'a', 2.0))
            await asyncio.sleep(1.0)
            engine.restart()
            slots.clear_and_reload()
            new = asyncio.create_task(use(slots, engine, 'a', 60.0))
            await old
            for name in 'bcd':
                await use(slots, engine, name, 0.1)
            assert 'a' not in engine.evictions
            await new

        run_with(scenario)

    @pytest.mark.proves(
        Promise.RIGHT_ADAPTER, Fault.ENGINE_EMPTY, Step.LOADING
    )
    def test_result_of_an_earlier_load_is_ignored(self):
        async def scenario(slots, engine):
            first = asyncio.create_task(use(slots, engine, 'a'))
            await asyncio.sleep(LOAD_S / 2)
            engine.restart()
            slots.clear_and_reload()
            assert slots.adapters == ()
            await first
            return engine.loads

        assert run_with(scenario)[-1] == 'a'

    @pytest.mark.proves(Promise.RIGHT_ADAPTER, Fault.SAME_TWICE, Step.LOADING)
    def test_twice_while_it_loads(self):
        async def scenario(slots, engine):
            first = asyncio.create_task(use(slots, engine, 'a'))
            for _ in range(2):
                await asyncio.sleep(LOAD_S / 2)
                engine.restart()
                slots.clear_and_reload()
            return await first

        assert run_with(scenario) < 4 * LOAD_S

    @pytest.mark.proves(Promise.NOT_RUN, Fault.TWO_FAULTS, Step.LOADING)
    def test_load_broken_by_the_restart_causes_no_backoff(self):
        async def scenario(slots, engine):
            waiting = asyncio.create_task(use(slots, engine, 'a'))
            await asyncio.sleep(LOAD_S / 2)
            engine.restart()
            engine.failing.add('a')
            slots.clear_and_reload()
            await asyncio.sleep(LOAD_S * 0.75)
            engine.failing.clear()
            stall_s = await waiting
            await asyncio.sleep(2 * LOAD_S)
            return stall_s, engine.loads

        stall_s, loads = run_with(scenario)
        assert stall_s == pytest.approx(1.5 * LOAD_S)
        assert loads == ['a']

    def test_missing_adapter_is_loaded_again(self):
        async def scenario(slots, engine):
            await use(slots, engine, 'a')
            engine.restart()
            with pytest.raises(engine_module.AdapterMissingError):
                await use(slots, engine, 'a')
            slots.remove('a')
            return await use(slots, engine, 'a')

        assert run_with(scenario) == pytest.approx(LOAD_S)


class TestAdoption:
    @pytest.mark.proves(Promise.NO_EVICTION, Fault.KILLED, Step.SENT)
    def test_adopts_adapters_of_an_earlier_sidecar(self):
        """Each load fails after a sidecar was replaced.

        The engine is full of the earlier sidecar's adapters.  A new
        sidecar that counts only its own loads sees free slots and never
        evicts.
        """

        async def scenario(slots, engine):
            engine.held = {'a', 'b'}
            apply_report(slots, ['a', 'b'])
            assert await use(slots, engine, 'a') == 0.0
            waiting = asyncio.create_task(use(slots, engine, 'c'))
            await asyncio.sleep(1.0)
            apply_report(slots, ['a', 'b'])
            await asyncio.sleep(0.5)
            assert not engine.evictions
            await asyncio.sleep(1.5)
            apply_report(slots, ['a', 'b'])
            assert await waiting > 3.0
            return engine.evictions

        assert run_with(scenario) == ['b']

    @pytest.mark.proves(Promise.NO_EVICTION, Fault.KILLED, Step.MID_STREAM)
    def test_waits_for_runs_of_an_earlier_sidecar(self):
        async def scenario(slots, engine):
            engine.held = {'a', 'b'}
            apply_report(slots, ['a', 'b'], busy=['a', 'b'])
            waiting = asyncio.create_task(use(slots, engine, 'c', 0.1, 60.0))
            for _ in range(20):
                await asyncio.sleep(1.0)
                apply_report(slots, ['a', 'b'], busy=['a', 'b'])
            assert not engine.evictions
            apply_report(slots, ['a', 'b'], busy=['a'])
            stall_s = await waiting
            assert engine.evictions == ['b']
            return stall_s

        assert run_with(scenario) > 20.0

    def test_uses_no_more_slots_than_the_engine_has(self):
        """An adapter is refused for minutes although slots are idle.

        The settings name more slots than the engine has, so the sidecar
        evicts nothing and every further load fails.
        """

        async def scenario(slots, engine):
            engine.slot_count = 1
            slots.limit_slot_count(0)
            slots.limit_slot_count(1)
            for name in 'abc':
                await use(slots, engine, name, 0.1)
            return engine.evictions

        assert run_with(scenario, slot_count=3) == ['a', 'b']

    def test_late_report_does_not_restore_an_evicted_adapter(self):
        async def scenario(slots, engine):
            for name in 'abc':
                await use(slots, engine, name, 0.1)
            apply_report(slots, ['a', 'b', 'c'])
            return sorted(slots.adapters)

        assert len(run_with(scenario)) == 2


class TestVersions:
    @pytest.mark.proves(
        Promise.RIGHT_ADAPTER, Fault.OPERATOR_RACE, Step.QUEUED
    )
    def test_each_request_runs_on_its_own_version(self):
        """An old request is answered by the new version, or the reverse.

        Requests for version 1 wait when the contract changes to version
        2, and requests for version 2 queue behind them.  This happens if
        requests are grouped by adapter name without the version.
        """

        async def scenario(slots, engine):
            grants = [
                contract.AdapterGrant(name='a', version=v, base_model='m')
                for v in ('1', '2', '1', '2', '1')
            ]
            ran = []

            async def request(grant):
                async with slots.hold(grant.engine_name, DEADLINE_S):
                    with engine.run(grant.engine_name):
                        ran.append(grant.engine_name)
                        await asyncio.sleep(1.0)

            await asyncio.gather(*map(request, grants))
            return sorted(ran), sorted(engine.loads)

        ran, loads = run_with(scenario, slot_count=1)
        assert ran == ['a@1'] * 3 + ['a@2'] * 2
        assert loads == ['a@1', 'a@2']


class SlotMachine(stateful.RuleBasedStateMachine):
    """Random requests, ends, failures and restarts on real slots."""

    names = strategies.sampled_from('abcdef')

    def __init__(self):
        super().__init__()
        self.loop = virtual_time.VirtualLoop()
        self.engine = FakeEngine(slot_count=3)
        self.slots = self.wait(self._make())
        self.tasks = []
        self.holding = []

    async def _make(self):
        return make_slots(self.engine)

    def wait(self, work):
        return self.loop.run_until_complete(work)

    async def _request(self, name, done):
        generation = self.engine.running
        async with self.slots.hold(name, DEADLINE_S):
            if name not in self.engine.held:
                # Only an undetected restart explains this.
                assert self.engine.unnoticed
                self.slots.remove(name)
                return
            with self.engine.run(name):
                self.holding.append((name, generation))
                try:
                    await done.wait()
                finally:
                    self.holding.remove((name, generation))

    @stateful.initialize()
    def begin(self):
        self.engine.unnoticed = False

    @stateful.rule(name=names)
    def request(self, name):
        async def start():
            done = asyncio.Event()
            self.tasks.append(
                (asyncio.create_task(self._request(name, done)), done)
            )
            await asyncio.sleep(0)

        self.wait(start())

    @stateful.rule(number=strategies.integers(0, 20))
    def end(self, number):
        async def finish():
            if self.tasks:
                self.tasks[number % len(self.tasks)][1].set()
            await asyncio.sleep(0)

        self.wait(finish())

    @stateful.rule(number=strategies.integers(0, 20))
    def caller_goes(self, number):
        async def cancel():
            if self.tasks:
                self.tasks[number % len(self.tasks)][0].cancel()
            await asyncio.sleep(0)

        self.wait(cancel())

    @stateful.rule(
        for_s=strategies.sampled_from([0.0, 0.01, 0.25, 0.5, 1.0, 8.0])
    )
    def pass_time(self, for_s):
        self.wait(asyncio.sleep(for_s))

    @stateful.rule(name=names)
    def break_or_mend(self, name):
        self.engine.failing ^= {name}

    @stateful.rule()
    def restart_engine(self):
        # New objects, so that earlier runs are not counted as current.
        self.engine.held = set()
        self.engine.running = {}
        self.engine.unnoticed = True

    @stateful.rule()
    def notice_restart(self):
        async def notice():
            if self.engine.unnoticed:
                self.slots.clear_and_reload()
                self.engine.unnoticed = False

        self.wait(notice())

    def apply_report(self):
        running = self.engine.running
        busy = [name for name in running if running[name]]
        apply_report(self.slots, sorted(self.engine.held), busy)

    @stateful.rule()
    def report(self):
        async def adopt():
            if not self.engine.unnoticed:
                self.apply_report()

        self.wait(adopt())

    @stateful.invariant()
    def no_eviction_under_a_run(self):
        assert not self.engine.violations

    @stateful.invariant()
    def requests_fail_only_by_refusal(self):
        for task, _ in self.tasks:
            if task.done() and not task.cancelled() and task.exception():
                assert isinstance(task.exception(), errors.RefusalError)

    def teardown(self):
        async def finish():
            self.engine.failing.clear()
            self.engine.restart()
            self.engine.running = {}
            self.slots.clear_and_reload()
            for _, done in self.tasks:
                done.set()
            await asyncio.gather(
                *(task for task, _ in self.tasks), return_exceptions=True
            )
            await asyncio.sleep(DEADLINE_S)
            self.apply_report()
            await asyncio.sleep(DEADLINE_S)
            self.apply_report()
            # Every hold was released: three new adapters get a slot.
            names = ['x', 'y', 'z']
            async with asyncio.TaskGroup() as group:
                for name in names:
                    group.create_task(
                        use(self.slots, self.engine, name, 0.1, 5.0)
                    )

        try:
            self.wait(finish())
            assert not self.engine.violations
        finally:
            self.wait(self.slots.close())
            self.loop.close()


TestSlotMachine = SlotMachine.TestCase
TestSlotMachine.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)


class TestRealProcesses:
    @pytest.mark.proves(
        Promise.RIGHT_ADAPTER, Fault.OPERATOR_RACE, Step.LOADING
    )
    async def test_version_changes_while_requests_wait(self, tmp_path):
        """An old request is answered by the new version, or the reverse.

        Requests for version 1 run and wait at one engine with one slot
        when the contract changes to version 2; more requests follow.
        This happens if the version is looked up when the request runs,
        not when it is accepted.
        """
        async with processes.Deployment(tmp_path) as deployment:
            await deployment.add_engine('--load-s', '0.3')
            entry = await deployment.add_entry()
            deployment.add_customer('haneul', 'ficus')
            await deployment.publish()

            async def model():
                async with deployment.call(
                    entry, 'haneul', 'ficus', max_tokens=40
                ) as response:
                    assert response.status == 200
                    return (await response.json())['model']

            old = [asyncio.create_task(model()) for _ in range(4)]
            engine = deployment.engines[0]
            await processes.wait_until(lambda: loading(deployment, engine))
            old_contract = deployment.contracts['haneul']
            deployment.contracts['haneul'] = contract.Contract(
                customer='haneul',
                revision=2,
                key_digests=old_contract.key_digests,
                adapters=(
                    contract.AdapterGrant(
                        name='ficus', version='2', base_model='base'
                    ),
                ),
            )
            await deployment.publish_contracts()

            async def changed():
                return await model() == 'ficus@2'

            await processes.wait_until(changed)
            assert set(await asyncio.gather(*old)) <= {'ficus@1', 'ficus@2'}
            new = await asyncio.gather(*(model() for _ in range(4)))
            assert set(new) == {'ficus@2'}
            truth = await deployment.engine_record(engine)
            assert truth.evictions_under_run == []
            assert {run.adapter for run in truth.runs} == {
                'ficus@1',
                'ficus@2',
            }


async def loading(deployment, engine):
    truth = await deployment.engine_record(engine)
    return bool(truth.loads)
