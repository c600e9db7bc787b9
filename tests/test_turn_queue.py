import asyncio
import contextlib

import hypothesis
from hypothesis import strategies
import pytest

from benchmarks import virtual_time
from lacewingpitch import contract
from lacewingpitch import errors
from lacewingpitch import fair_queue
from lacewingpitch import settings
from lacewingpitch import turn_queue
from tests import fault_matrix
from tests import processes
from tests import samples

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
ErrorKind = errors.ErrorKind
_MAX_SCENARIO_S = 200.0


def make_queue(
    turn_count=1, *, lookahead_count=0, max_queued=100, prepare_s=None
):
    clock = virtual_time.LoopClock()
    order = fair_queue.FairQueue(turn_count, lambda _order: True, clock)
    return turn_queue.TurnQueue(
        turn_count,
        lookahead_count,
        max_queued,
        order,
        clock,
        lambda order: (prepare_s or {}).get(order.path, 0.0),
    )


def make_order(**fields):
    return samples.order(**({'deadline_s': 60.0} | fields))


class Scenario:
    """Requests at one queue in virtual time, and their outcomes."""

    def __init__(self, queue):
        self.queue = queue
        self.started = {}
        self.refused = {}
        self.max_running = 0

    def send(self, name, work_s=1.0, prepare_s=0.0, **fields):
        return asyncio.create_task(
            self._serve(name, work_s, prepare_s, make_order(**fields))
        )

    async def _serve(self, name, work_s, prepare_s, order):
        try:
            async with self.queue.reserve(order) as reservation:
                if prepare_s:
                    await asyncio.sleep(prepare_s)
                async with reservation.turn():
                    self.started[name] = now()
                    self.max_running = max(
                        self.max_running, self.queue.running
                    )
                    await asyncio.sleep(work_s)
        except errors.RefusalError as error:
            self.refused[name] = (now(), error)

    def refusal_kinds(self):
        return {name: error.kind for name, (_, error) in self.refused.items()}


def now():
    return asyncio.get_running_loop().time()


async def run_ready_tasks():
    """Run every task that is ready."""
    for _ in range(10):
        await asyncio.sleep(0)


async def record_turn(scenario, work_s=1.0, **fields):
    """Let the queue record the duration of a turn."""
    await scenario.send('first', work_s, **fields)


def run_in_virtual_time(main):
    """Run a scenario in virtual time; one that hangs fails at once."""

    async def limited():
        async with asyncio.timeout(_MAX_SCENARIO_S):
            await main

    virtual_time.run(limited())


def in_virtual_time(function):
    """Turn a scenario in virtual time into a plain test."""

    def test(self):
        run_in_virtual_time(function(self))

    test.__name__ = function.__name__
    test.__doc__ = function.__doc__
    test.pytestmark = getattr(function, 'pytestmark', [])
    return test


class TestTurns:
    @in_virtual_time
    async def test_concurrent_turns_are_limited(self):
        scenario = Scenario(make_queue(3))
        await asyncio.gather(*(scenario.send(n) for n in range(10)))
        assert scenario.max_running == 3
        assert max(scenario.started.values()) == pytest.approx(3.0)

    @in_virtual_time
    async def test_preparing_requests_are_limited(self):
        scenario = Scenario(make_queue(1, lookahead_count=1))
        tasks = [scenario.send(n, prepare_s=1.0) for n in range(3)]
        await asyncio.gather(*tasks)
        # The second prepared while the first ran; the third had to wait.
        assert list(scenario.started.values()) == pytest.approx([1, 2, 3])
        assert scenario.max_running == 1

    @in_virtual_time
    async def test_reports_its_load(self):
        queue = make_queue(2)
        scenario = Scenario(queue)
        await record_turn(scenario)
        tasks = [scenario.send(n) for n in range(6)]
        await run_ready_tasks()
        load = queue.load()
        assert (load.queued_count, load.running_count) == (4, 2)
        assert load.estimated_wait_s == pytest.approx(3.0)
        await asyncio.gather(*tasks)
        assert queue.load() == turn_queue.QueueLoad(0, 0, 0.0)


class TestCancel:
    @in_virtual_time
    async def test_waiting_request_frees_its_place_at_once(self):
        scenario = Scenario(make_queue(1, max_queued=1))
        running = scenario.send('running')
        waiting = scenario.send('waiting')
        await run_ready_tasks()
        waiting.cancel()
        await run_ready_tasks()
        assert scenario.queue.queued == 0
        last = scenario.send('last')
        await asyncio.gather(running, last)
        assert scenario.started == {'running': 0.0, 'last': 1.0}

    @pytest.mark.parametrize('prepare_s', [0.0, 0.5])
    def test_cancel_while_the_turn_is_granted_releases_it(self, prepare_s):
        """Guards against a turn lost with each caller that disconnects.

        A turn ends and is granted to the next request, which is cancelled
        before its task resumes, so that no task would release the turn.
        """

        async def main():
            queue = make_queue(1, lookahead_count=1 if prepare_s else 0)
            scenario = Scenario(queue)
            ended = asyncio.get_running_loop().create_future()

            async def hold():
                async with queue.reserve(make_order()) as reservation:
                    async with reservation.turn():
                        await ended
                disconnected.cancel()

            holder = asyncio.create_task(hold())
            await run_ready_tasks()
            disconnected = scenario.send('disconnected', prepare_s=prepare_s)
            await asyncio.sleep(1.0)
            last = scenario.send('last')
            await run_ready_tasks()
            ended.set_result(None)
            await asyncio.gather(holder, last)
            await asyncio.gather(disconnected, return_exceptions=True)
            assert 'disconnected' not in scenario.started
            assert 'last' in scenario.started
            assert (queue.queued, queue.running) == (0, 0)

        run_in_virtual_time(main())

    @in_virtual_time
    async def test_reservation_granted_to_a_cancelled_request(self):
        """Guards against a sidecar that stops after one disconnect.

        A waiting request is cancelled and, before its task resumes, the
        previous turn ends.  Granting the reservation to the cancelled
        request would raise in the task of the request that ended.
        """
        queue = make_queue(1)
        scenario = Scenario(queue)
        async with contextlib.AsyncExitStack() as held:
            reservation = await held.enter_async_context(
                queue.reserve(make_order())
            )
            await held.enter_async_context(reservation.turn())
            gone = scenario.send('gone')
            last = scenario.send('last')
            await run_ready_tasks()
            gone.cancel()
        await asyncio.gather(last, gone, return_exceptions=True)
        assert list(scenario.started) == ['last']
        assert (queue.queued, queue.running) == (0, 0)

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['a', 'b', 'c']),
                strategies.floats(0.0, 2.0),
                strategies.floats(0.0, 1.0),
                strategies.none() | strategies.floats(0.0, 3.0),
            ),
            max_size=25,
        ),
        lookahead_count=strategies.integers(0, 3),
    )
    def test_no_turn_is_ever_lost(self, steps, lookahead_count):
        async def main():
            queue = make_queue(2, lookahead_count=lookahead_count)
            scenario = Scenario(queue)
            loop = asyncio.get_running_loop()
            tasks = []
            staying = set()
            for number, step in enumerate(steps):
                customer, work_s, prepare_s, disconnect_s = step
                task = scenario.send(
                    number,
                    work_s,
                    prepare_s,
                    customer=customer,
                    deadline_s=1e6,
                )
                tasks.append(task)
                if disconnect_s is None:
                    staying.add(number)
                else:
                    loop.call_later(disconnect_s, task.cancel)
            await asyncio.gather(*tasks, return_exceptions=True)
            assert staying <= set(scenario.started)
            assert scenario.max_running <= 2
            assert (queue.queued, queue.running) == (0, 0)

        run_in_virtual_time(main())


class TestDeadline:
    @in_virtual_time
    async def test_adapter_that_loads_too_late_is_refused(self):
        scenario = Scenario(make_queue(prepare_s={'/cold': 5.0}))
        await record_turn(scenario)
        tasks = [scenario.send('running')]
        await run_ready_tasks()
        tasks.append(scenario.send('late', deadline_s=4.0, path='/cold'))
        tasks.append(scenario.send('warm', deadline_s=4.0, path='/warm'))
        await run_ready_tasks()
        assert list(scenario.refused) == ['late']
        _, error = scenario.refused['late']
        assert error.retry_after_s == pytest.approx(1.0)
        await asyncio.gather(*tasks)
        assert 'warm' in scenario.started

    @in_virtual_time
    async def test_adapter_that_becomes_too_late_is_refused(self):
        prepare_s = {'/cold': 1.0}
        scenario = Scenario(make_queue(prepare_s=prepare_s))
        await record_turn(scenario, 3.0)
        tasks = [scenario.send('running', 3.0)]
        await run_ready_tasks()
        tasks.append(scenario.send('late', deadline_s=4.0, path='/cold'))
        await asyncio.sleep(0.5)
        prepare_s['/cold'] = 9.0
        await asyncio.gather(*tasks)
        refused_s, error = scenario.refused['late']
        assert error.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert refused_s - 3.0 <= 0.5 + 2 * turn_queue.RECHECK_INTERVAL_S

    @in_virtual_time
    async def test_refuses_at_once_with_a_correct_retry_time(self):
        scenario = Scenario(make_queue(2))
        await record_turn(scenario)
        tasks = [scenario.send(n, deadline_s=10.0) for n in range(40)]
        await run_ready_tasks()
        refused_at_s, error = scenario.refused[39]
        assert refused_at_s == now()
        assert error.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert error.outcome is errors.Outcome.NOT_RUN
        assert error.retry_after_s >= 0.0
        await asyncio.sleep(error.retry_after_s + 0.01)
        tasks.append(scenario.send('again', deadline_s=10.0))
        await asyncio.gather(*tasks)
        assert 'again' in scenario.started
        # All accepted requests started in time.
        assert max(scenario.started.values()) <= 21.1
        assert len(scenario.started) + len(scenario.refused) == 42

    @in_virtual_time
    async def test_accepts_what_it_can_start_in_time(self):
        scenario = Scenario(make_queue(2))
        await record_turn(scenario)
        tasks = [scenario.send(n, deadline_s=10.0) for n in range(20)]
        await asyncio.gather(*tasks)
        assert not scenario.refused

    @in_virtual_time
    async def test_max_tokens_predict_a_long_turn(self):
        scenario = Scenario(make_queue(1))
        await record_turn(scenario, 1.0, max_tokens=100)
        tasks = [scenario.send('long', 9.0, max_tokens=900)]
        await run_ready_tasks()
        tasks.append(scenario.send('late', deadline_s=5.0, max_tokens=100))
        tasks.append(scenario.send('patient', deadline_s=12.0, max_tokens=100))
        await run_ready_tasks()
        assert list(scenario.refused) == ['late']
        _, error = scenario.refused['late']
        assert error.retry_after_s == pytest.approx(4.0)
        await asyncio.gather(*tasks)
        assert 'patient' in scenario.started

    @pytest.mark.proves(Promise.NOT_RUN, Fault.ENGINE_LATE, Step.QUEUED)
    @in_virtual_time
    async def test_stalled_engine_refuses_before_the_deadline(self):
        """Guards against callers that wait in vain until their deadline.

        A turn takes one second; then the engine stalls while requests wait
        for reservations and turns.  It happens if the wait is estimated
        only on arrival.
        """
        queue = make_queue(1, lookahead_count=1)
        scenario = Scenario(queue)
        await record_turn(scenario)
        begun_s = now()
        tasks = [scenario.send('stalled', 100.0)]
        await run_ready_tasks()
        tasks += [scenario.send(n, deadline_s=40.0) for n in range(3)]
        await asyncio.sleep(39.0)
        assert scenario.refusal_kinds() == dict.fromkeys(
            range(3), ErrorKind.DEADLINE_UNREACHABLE
        )
        for refused_at_s, _ in scenario.refused.values():
            assert refused_at_s - begun_s < 25.0
        await asyncio.gather(*tasks)
        assert set(scenario.started) == {'first', 'stalled'}

    @in_virtual_time
    async def test_refuses_when_other_requests_go_ahead(self):
        """Guards against a refusal at the deadline that was due earlier.

        The estimate is correct until requests of another customer arrive
        and go ahead.  It happens if the wait is estimated only on arrival.
        """
        scenario = Scenario(make_queue(1))
        await record_turn(scenario)
        begun_s = now()
        tasks = [scenario.send('running', 1.0)]
        tasks += [
            scenario.send(n, customer='batch', deadline_s=12.0)
            for n in range(10)
        ]
        await run_ready_tasks()
        assert not scenario.refused
        tasks += [
            scenario.send(f'urgent {n}', customer='urgent', deadline_s=60.0)
            for n in range(10)
        ]
        await asyncio.gather(*tasks)
        refused_at_s = [
            at_s - begun_s for at_s, _ in scenario.refused.values()
        ]
        assert len(refused_at_s) >= 4
        assert max(refused_at_s) < 11.0
        assert min(refused_at_s) < 1.0

    @in_virtual_time
    async def test_customer_over_its_share_is_refused_early(self):
        """Guards against refusing a flood only at its deadlines.

        It sends four times its half of the turns; another customer uses
        the other half and always goes ahead.  It happens if the estimate
        considers only the requests that are queued now.
        """
        scenario = Scenario(make_queue(1))
        tasks = []
        for number in range(600):
            await asyncio.sleep(0.1)
            customer = 'flood' if number % 2 else 'other'
            tasks += [
                scenario.send(
                    (customer, number, copy),
                    0.1,
                    customer=customer,
                    deadline_s=10.0,
                    queued_requests=1000,
                )
                for copy in range(4 if customer == 'flood' else 1)
            ]
        await asyncio.gather(*tasks)
        assert {name[0] for name in scenario.refused} == {'flood'}
        waited_s = [
            at_s - 0.1 * (number + 1)
            for (_, number, _), (at_s, _) in scenario.refused.items()
            if number > 300
        ]
        assert len(waited_s) > 300
        assert sum(waited_s) / len(waited_s) < 1.5


class TestLimits:
    @in_virtual_time
    async def test_limit_of_one_customer_does_not_affect_others(self):
        scenario = Scenario(make_queue(1))
        tasks = [
            scenario.send(n, customer='burst', queued_requests=2)
            for n in range(5)
        ]
        tasks.append(scenario.send('other', customer='other'))
        await asyncio.gather(*tasks)
        assert scenario.refusal_kinds() == {
            3: ErrorKind.QUEUE_FULL,
            4: ErrorKind.QUEUE_FULL,
        }
        assert 'other' in scenario.started

    @pytest.mark.proves(Promise.LIMITS, Fault.NONE, Step.QUEUED)
    @in_virtual_time
    async def test_full_queue_evicts_from_the_longest(self):
        """Guards against refusing a customer for the burst of another.

        The burst is within the customer's own limit, which is as large as
        the queue.  It happens if the total limit refuses the request that
        arrives last.
        """
        scenario = Scenario(make_queue(1, max_queued=4))
        tasks = [scenario.send(n, customer='burst') for n in range(5)]
        await run_ready_tasks()
        tasks.append(scenario.send('other', customer='other'))
        await run_ready_tasks()
        # The newest request of the longest queue was evicted.
        assert scenario.refusal_kinds() == {4: ErrorKind.QUEUE_FULL}
        tasks.append(scenario.send('more', customer='burst'))
        await asyncio.gather(*tasks)
        assert scenario.refusal_kinds() == {
            4: ErrorKind.QUEUE_FULL,
            'more': ErrorKind.QUEUE_FULL,
        }

    @in_virtual_time
    async def test_retry_time_is_when_the_queue_has_room(self):
        scenario = Scenario(make_queue(1, max_queued=1))
        await record_turn(scenario, 4.0)
        tasks = [scenario.send(n, 4.0) for n in range(3)]
        await run_ready_tasks()
        _, error = scenario.refused[2]
        assert error.retry_after_s == pytest.approx(4.0)
        await asyncio.sleep(error.retry_after_s + 0.01)
        tasks.append(scenario.send('again', 4.0))
        await asyncio.gather(*tasks)
        assert 'again' in scenario.started


class TestBurst:
    @pytest.mark.proves(Promise.LIMITS, Fault.NONE, Step.QUEUED)
    async def test_other_customers_meet_their_deadline(self, tmp_path):
        """Guards against one customer's burst that makes others late.

        A hundred requests of one customer, half a second each, arrive at a
        backend server with two turns; then another customer calls with a
        deadline of four seconds.  It happens if turns are granted in order
        of arrival.
        """
        limits = contract.Limits(
            requests_per_s=1000.0,
            burst_requests=1000,
            concurrent_requests=200,
            queued_requests=200,
        )
        async with processes.Deployment(tmp_path) as deployment:
            engine = await deployment.run('standin', 'engine')
            await deployment.add_sidecar(
                settings.EngineSettings(
                    address=settings.Address(
                        ip=processes.IP, port=engine.ports['work_port']
                    ),
                    base_model='base',
                    adapter_slots=4,
                    max_running=2,
                )
            )
            entry = await deployment.add_entry()
            deployment.add_customer(
                'burst', 'ficus', limits=limits, deadline_s=60.0
            )
            deployment.add_customer('other', 'fern', deadline_s=4.0)
            await deployment.publish()

            async def call(customer, adapter):
                async with deployment.call(
                    entry, customer, adapter, max_tokens=100
                ) as response:
                    await response.read()
                    return response.status

            burst = [
                asyncio.create_task(call('burst', 'ficus')) for _ in range(100)
            ]
            await asyncio.wait(burst, return_when=asyncio.FIRST_COMPLETED)
            statuses = [await call('other', 'fern') for _ in range(4)]
            left_count = sum(not task.done() for task in burst)
            for task in burst:
                task.cancel()
            await asyncio.gather(*burst, return_exceptions=True)
        assert statuses == [200] * 4
        assert left_count > 40
