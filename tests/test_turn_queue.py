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
_LONGEST_STORY_S = 200.0


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


class Story:
    """Requests at one queue in virtual time, and what became of them."""

    def __init__(self, queue):
        self.queue = queue
        self.started = {}
        self.refused = {}
        self.most_running = 0

    def send(self, name, work_s=1.0, prepare_s=0.0, **fields):
        return asyncio.create_task(
            self._serve(name, work_s, prepare_s, make_order(**fields))
        )

    async def _serve(self, name, work_s, prepare_s, order):
        try:
            async with self.queue.reserve(order) as place:
                if prepare_s:
                    await asyncio.sleep(prepare_s)
                async with place.turn():
                    self.started[name] = now()
                    self.most_running = max(
                        self.most_running, self.queue.running
                    )
                    await asyncio.sleep(work_s)
        except errors.RefusalError as error:
            self.refused[name] = (now(), error)

    def kinds(self):
        return {name: error.kind for name, (_, error) in self.refused.items()}


def now():
    return asyncio.get_running_loop().time()


async def soon():
    """Let every task that can go on do so."""
    for _ in range(10):
        await asyncio.sleep(0)


async def learn(story, work_s=1.0, **fields):
    """Let the queue see how long a turn takes."""
    await story.send('first', work_s, **fields)


def play(main):
    """Run a story in virtual time; one that hangs fails at once."""

    async def limited():
        async with asyncio.timeout(_LONGEST_STORY_S):
            await main

    virtual_time.run(limited())


def told(function):
    """Run a story in virtual time as a plain test."""

    def test(self):
        play(function(self))

    test.__name__ = function.__name__
    test.__doc__ = function.__doc__
    test.pytestmark = getattr(function, 'pytestmark', [])
    return test


class TestTurns:
    @told
    async def test_runs_no_more_than_its_turns(self):
        story = Story(make_queue(3))
        await asyncio.gather(*(story.send(n) for n in range(10)))
        assert story.most_running == 3
        assert max(story.started.values()) == pytest.approx(3.0)

    @told
    async def test_prepares_a_few_ahead_and_no_more(self):
        story = Story(make_queue(1, lookahead_count=1))
        tasks = [story.send(n, prepare_s=1.0) for n in range(3)]
        await asyncio.gather(*tasks)
        # The second prepared beside the first, the third had to wait.
        assert list(story.started.values()) == pytest.approx([1, 2, 3])
        assert story.most_running == 1

    @told
    async def test_tells_its_load(self):
        queue = make_queue(2)
        story = Story(queue)
        await learn(story)
        tasks = [story.send(n) for n in range(6)]
        await soon()
        load = queue.load()
        assert (load.queued_count, load.running_count) == (4, 2)
        assert load.estimated_wait_s == pytest.approx(3.0)
        await asyncio.gather(*tasks)
        assert queue.load() == turn_queue.QueueLoad(0, 0, 0.0)


class TestCancel:
    @told
    async def test_one_that_waits_frees_its_place_at_once(self):
        story = Story(make_queue(1, max_queued=1))
        running = story.send('running')
        waiting = story.send('waiting')
        await soon()
        waiting.cancel()
        await soon()
        assert story.queue.queued == 0
        last = story.send('last')
        await asyncio.gather(running, last)
        assert story.started == {'running': 0.0, 'last': 1.0}

    @pytest.mark.parametrize('prepare_s', [0.0, 0.5])
    def test_in_the_moment_of_its_turn_loses_it_for_nobody(self, prepare_s):
        """A backend server gets slower with each caller that hangs up.

        A turn ends and is given to the next; that one is cancelled
        before it wakes up.  The cause would be a turn that belongs to
        nobody who will ever give it back.
        """

        async def main():
            queue = make_queue(1, lookahead_count=1 if prepare_s else 0)
            story = Story(queue)
            ended = asyncio.get_running_loop().create_future()

            async def hold():
                async with queue.reserve(make_order()) as place:
                    async with place.turn():
                        await ended
                unlucky.cancel()

            holder = asyncio.create_task(hold())
            await soon()
            unlucky = story.send('unlucky', prepare_s=prepare_s)
            await asyncio.sleep(1.0)
            last = story.send('last')
            await soon()
            ended.set_result(None)
            await asyncio.gather(holder, last)
            await asyncio.gather(unlucky, return_exceptions=True)
            assert 'unlucky' not in story.started
            assert 'last' in story.started
            assert (queue.queued, queue.running) == (0, 0)

        play(main())

    @told
    async def test_one_that_is_given_a_place_after_it_hung_up(self):
        """A whole sidecar stops serving after one caller hung up.

        A waiting request is cancelled and, before its task wakes up,
        the turn before it ends.  The cause would be an error in giving
        a place to it, raised in the task of the request that ended.
        """
        queue = make_queue(1)
        story = Story(queue)
        async with contextlib.AsyncExitStack() as held:
            place = await held.enter_async_context(queue.reserve(make_order()))
            await held.enter_async_context(place.turn())
            gone = story.send('gone')
            last = story.send('last')
            await soon()
            gone.cancel()
        await asyncio.gather(last, gone, return_exceptions=True)
        assert list(story.started) == ['last']
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
    def test_never_loses_a_turn_for_others(self, steps, lookahead_count):
        async def main():
            queue = make_queue(2, lookahead_count=lookahead_count)
            story = Story(queue)
            loop = asyncio.get_running_loop()
            tasks = []
            staying = set()
            for number, step in enumerate(steps):
                customer, work_s, prepare_s, hang_up_s = step
                task = story.send(
                    number,
                    work_s,
                    prepare_s,
                    customer=customer,
                    deadline_s=1e6,
                )
                tasks.append(task)
                if hang_up_s is None:
                    staying.add(number)
                else:
                    loop.call_later(hang_up_s, task.cancel)
            await asyncio.gather(*tasks, return_exceptions=True)
            assert staying <= set(story.started)
            assert story.most_running <= 2
            assert (queue.queued, queue.running) == (0, 0)

        play(main())


class TestDeadline:
    @told
    async def test_tells_of_an_adapter_that_comes_too_late(self):
        story = Story(make_queue(prepare_s={'/cold': 5.0}))
        await learn(story)
        tasks = [story.send('running')]
        await soon()
        tasks.append(story.send('late', deadline_s=4.0, path='/cold'))
        tasks.append(story.send('warm', deadline_s=4.0, path='/warm'))
        await soon()
        assert list(story.refused) == ['late']
        _, error = story.refused['late']
        assert error.retry_after_s == pytest.approx(1.0)
        await asyncio.gather(*tasks)
        assert 'warm' in story.started

    @told
    async def test_tells_when_an_adapter_gets_too_late(self):
        prepare_s = {'/cold': 1.0}
        story = Story(make_queue(prepare_s=prepare_s))
        await learn(story, 3.0)
        tasks = [story.send('running', 3.0)]
        await soon()
        tasks.append(story.send('late', deadline_s=4.0, path='/cold'))
        await asyncio.sleep(0.5)
        prepare_s['/cold'] = 9.0
        await asyncio.gather(*tasks)
        refused_s, error = story.refused['late']
        assert error.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert refused_s - 3.0 <= 0.5 + 2 * turn_queue.RECHECK_INTERVAL_S

    @told
    async def test_refuses_at_once_and_says_truly_when_to_come_back(self):
        story = Story(make_queue(2))
        await learn(story)
        tasks = [story.send(n, deadline_s=10.0) for n in range(40)]
        await soon()
        refused_at_s, error = story.refused[39]
        assert refused_at_s == now()
        assert error.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert error.outcome is errors.Outcome.NOT_RUN
        assert error.retry_after_s >= 0.0
        await asyncio.sleep(error.retry_after_s + 0.01)
        tasks.append(story.send('again', deadline_s=10.0))
        await asyncio.gather(*tasks)
        assert 'again' in story.started
        # All that were accepted started in time.
        assert max(story.started.values()) <= 21.1
        assert len(story.started) + len(story.refused) == 42

    @told
    async def test_accepts_what_it_can_start_in_time(self):
        story = Story(make_queue(2))
        await learn(story)
        tasks = [story.send(n, deadline_s=10.0) for n in range(20)]
        await asyncio.gather(*tasks)
        assert not story.refused

    @told
    async def test_tells_of_a_long_turn_from_its_max_tokens(self):
        story = Story(make_queue(1))
        await learn(story, 1.0, max_tokens=100)
        tasks = [story.send('long', 9.0, max_tokens=900)]
        await soon()
        tasks.append(story.send('late', deadline_s=5.0, max_tokens=100))
        tasks.append(story.send('patient', deadline_s=12.0, max_tokens=100))
        await soon()
        assert list(story.refused) == ['late']
        _, error = story.refused['late']
        assert error.retry_after_s == pytest.approx(4.0)
        await asyncio.gather(*tasks)
        assert 'patient' in story.started

    @pytest.mark.proves(Promise.NOT_RUN, Fault.ENGINE_LATE, Step.QUEUED)
    @told
    async def test_a_stalled_engine_holds_nobody_to_the_deadline(self):
        """Callers wait out their whole deadline for nothing.

        A turn takes one second; then the engine stalls, with requests
        waiting for places and for turns.  The cause would be an
        estimate that is made on arrival alone.
        """
        queue = make_queue(1, lookahead_count=1)
        story = Story(queue)
        await learn(story)
        begun_s = now()
        tasks = [story.send('stalled', 100.0)]
        await soon()
        tasks += [story.send(n, deadline_s=40.0) for n in range(3)]
        await asyncio.sleep(39.0)
        assert story.kinds() == dict.fromkeys(
            range(3), ErrorKind.DEADLINE_UNREACHABLE
        )
        for refused_at_s, _ in story.refused.values():
            assert refused_at_s - begun_s < 25.0
        await asyncio.gather(*tasks)
        assert set(story.started) == {'first', 'stalled'}

    @told
    async def test_refuses_when_others_go_ahead(self):
        """A patient caller is told at its deadline what was known before.

        Its estimate is good until urgent requests of another customer
        come in.  The cause would be an estimate made on arrival alone.
        """
        story = Story(make_queue(1))
        await learn(story)
        begun_s = now()
        tasks = [story.send('running', 1.0)]
        tasks += [
            story.send(n, customer='batch', deadline_s=12.0) for n in range(10)
        ]
        await soon()
        assert not story.refused
        tasks += [
            story.send(f'urgent {n}', customer='urgent', deadline_s=60.0)
            for n in range(10)
        ]
        await asyncio.gather(*tasks)
        refused_at_s = [at_s - begun_s for at_s, _ in story.refused.values()]
        assert len(refused_at_s) >= 4
        assert max(refused_at_s) < 11.0
        assert min(refused_at_s) < 1.0

    @told
    async def test_a_customer_over_its_share_is_told_soon(self):
        """A flood is told at its deadline what was known long before.

        It sends four times its half of the turns; another customer uses
        the other half and always goes ahead.  The cause would be an
        estimate made from those alone who wait just now.
        """
        story = Story(make_queue(1))
        tasks = []
        for number in range(600):
            await asyncio.sleep(0.1)
            customer = 'flood' if number % 2 else 'other'
            tasks += [
                story.send(
                    (customer, number, copy),
                    0.1,
                    customer=customer,
                    deadline_s=10.0,
                    queued_requests=1000,
                )
                for copy in range(4 if customer == 'flood' else 1)
            ]
        await asyncio.gather(*tasks)
        assert {name[0] for name in story.refused} == {'flood'}
        waited_s = [
            at_s - 0.1 * (number + 1)
            for (_, number, _), (at_s, _) in story.refused.items()
            if number > 300
        ]
        assert len(waited_s) > 300
        assert sum(waited_s) / len(waited_s) < 1.5


class TestBounds:
    @told
    async def test_one_customers_bound_leaves_the_others_alone(self):
        story = Story(make_queue(1))
        tasks = [
            story.send(n, customer='burst', queued_requests=2)
            for n in range(5)
        ]
        tasks.append(story.send('other', customer='other'))
        await asyncio.gather(*tasks)
        assert story.kinds() == {
            3: ErrorKind.QUEUE_FULL,
            4: ErrorKind.QUEUE_FULL,
        }
        assert 'other' in story.started

    @pytest.mark.proves(Promise.LIMITS, Fault.NONE, Step.QUEUED)
    @told
    async def test_a_full_queue_makes_room_for_the_others(self):
        """A customer is refused since another's burst fills the queue.

        The burst stays within its own bound, but that is as large as
        the queue.  The cause would be a total bound that refuses
        whoever comes last.
        """
        story = Story(make_queue(1, max_queued=4))
        tasks = [story.send(n, customer='burst') for n in range(5)]
        await soon()
        tasks.append(story.send('other', customer='other'))
        await soon()
        # The newest request of the longest queue gave way.
        assert story.kinds() == {4: ErrorKind.QUEUE_FULL}
        tasks.append(story.send('more', customer='burst'))
        await asyncio.gather(*tasks)
        assert story.kinds() == {
            4: ErrorKind.QUEUE_FULL,
            'more': ErrorKind.QUEUE_FULL,
        }

    @told
    async def test_says_when_a_place_in_the_queue_comes_free(self):
        story = Story(make_queue(1, max_queued=1))
        await learn(story, 4.0)
        tasks = [story.send(n, 4.0) for n in range(3)]
        await soon()
        _, error = story.refused[2]
        assert error.retry_after_s == pytest.approx(4.0)
        await asyncio.sleep(error.retry_after_s + 0.01)
        tasks.append(story.send('again', 4.0))
        await asyncio.gather(*tasks)
        assert 'again' in story.started


class TestBurst:
    @pytest.mark.proves(Promise.LIMITS, Fault.NONE, Step.QUEUED)
    async def test_leaves_the_others_within_their_deadline(self, tmp_path):
        """One customer's burst makes the others' requests late.

        A hundred requests of one customer, half a second each, meet a
        backend server with two turns; then another customer calls, with
        a deadline of four seconds.  The cause would be turns that are
        given first come, first served.
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
