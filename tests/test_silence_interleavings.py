"""Attempts at silent servers, under interleavings drawn at random."""

import asyncio
import contextlib
import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest
import structlog

from benchmarks import virtual_time
from lacewingpitch import errors
from lacewingpitch import routing
from lacewingpitch import turn_spec
from tests import test_request_forwarder as forwarding

event = forwarding.event
SERVICES = ('s', 't')
NAMES = ('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h')
EVENT_COUNT = 4
# Most are sums of the product's own times, so that events coincide.
TIMES_S = (0.0, 0.0, 0.01, 0.125, 0.25, 0.5, 1.0, 1.5, 1.75, 2.0, 2.5, 4.0)
ENDS = ('whole', 'lost', 'cut', 'status')
REFUSED = ('not sent', 'not run')


def route(max_attempts, is_stream):
    return routing.Route(
        'r',
        'h',
        '/',
        (routing.WeightedService('s', 1.0),),
        routing.RequestKind.STREAM
        if is_stream
        else routing.RequestKind.IDEMPOTENT,
        6.0,
        0.125,
        max_attempts=max_attempts,
        is_resumable=is_stream,
        target_gap_s=0.25 if is_stream else 0.0,
    )


@dataclasses.dataclass(frozen=True)
class Grant:
    """What one search for a turn brings, after a time."""

    delay_s: float
    service: str


@dataclasses.dataclass(frozen=True)
class Step:
    """What one attempt brings, and the pauses before it."""

    end: str
    pauses_s: tuple[float, ...]


class Turns:
    """Grants or refuses turns as planned, and then at once."""

    def __init__(self, grants):
        self.grants = list(grants)
        self.open_count = 0
        self.number = 0

    @contextlib.asynccontextmanager
    async def acquire(self, wanted, excluded):
        grant = self.grants.pop(0) if self.grants else Grant(0.0, 's')
        await asyncio.sleep(grant.delay_s)
        if grant.service == 'full':
            raise errors.RefusalError(errors.ErrorKind.QUEUE_FULL, 'full')
        name = next(n for n in NAMES if n not in excluded)
        found = dataclasses.replace(
            forwarding.server('a'), name=name, service=grant.service
        )
        self.open_count += 1
        try:
            yield turn_spec.Turn(found, 3)
        finally:
            self.open_count -= 1


class Client:
    """Servers that make all events from the last one on, or less."""

    def __init__(self, steps, turns):
        self.steps = list(steps)
        self.turns = turns
        self.open_count = 0
        self.arrived = []

    @contextlib.asynccontextmanager
    async def send(self, call):
        assert self.open_count == 0, 'two servers work on one request'
        assert self.turns.open_count == 1
        step = self.steps.pop(0) if self.steps else Step('whole', ())
        pauses = iter(step.pauses_s)
        if step.end == 'not sent':
            # Connecting has a short time limit of its own.
            await asyncio.sleep(min(next(pauses, 0.0), 0.2))
            raise forwarding.NOT_SENT
        self.arrived.append(call.server)
        self.open_count += 1
        try:
            await asyncio.sleep(next(pauses, 0.0))
            await asyncio.sleep(next(pauses, 0.0))
            if step.end == 'not run':
                raise forwarding.NOT_RUN
            status = 500 if step.end == 'status' else 200
            yield forwarding.backend_call.BackendAnswer(
                status, (), self._chunks(call, step.end, pauses)
            )
        finally:
            self.open_count -= 1

    async def _chunks(self, call, end, pauses):
        for number in range(call.last_event_id + 1, EVENT_COUNT + 1):
            await asyncio.sleep(next(pauses, 0.0))
            is_cut = number == EVENT_COUNT
            # Only events show that a body is not whole.
            if is_cut and (
                end == 'lost'
                or (end == 'cut' and not call.request.route.is_stream)
            ):
                raise forwarding.LOST
            if end == 'cut' and is_cut:
                yield event(number)[:5]
                return
            yield event(number)
        await asyncio.sleep(next(pauses, 0.0))


class Case:
    """One request and what it meets."""

    def __init__(self, is_stream, max_attempts, steps, grants, leaves_s):
        self.is_stream = is_stream
        self.max_attempts = max_attempts
        self.steps = steps
        self.grants = grants
        self.leaves_s = leaves_s

    async def play(self, retry_count):
        scene = forwarding.Scene(retry_count=retry_count)
        budgets = scene.forwarder._budgets
        for _ in range(1010):
            budgets.deposit('t')
        for _ in range(20):
            assert budgets.try_withdraw('t')
        scene.turns = scene.forwarder._turns.model_turns = Turns(self.grants)
        scene.client = scene.forwarder._client = Client(
            self.steps, scene.turns
        )
        before = [budgets.tokens(service) for service in SERVICES]
        task = asyncio.create_task(
            scene.forward(
                route(self.max_attempts, self.is_stream),
                model='m',
                limit_s=6.0,
            )
        )
        await asyncio.wait([task], timeout=self.leaves_s)
        task.cancel()
        await asyncio.wait([task])
        others = asyncio.all_tasks() - {asyncio.current_task()}
        spent = [
            round(tokens - budgets.tokens(service), 6)
            for service, tokens in zip(SERVICES, before, strict=True)
        ]
        return scene, task, spent, others


def check(case, retry_count):
    with structlog.testing.capture_logs():
        scene, task, spent, others = virtual_time.run(case.play(retry_count))
    client = scene.client
    assert not others, 'a task goes on after its request'
    assert scene.turns.open_count == client.open_count == 0
    assert len(client.arrived) <= case.max_attempts
    earned = {'s': 0.16, 't': 0.0}
    # Earned where the first turn was granted.
    paid = {'s': 0.0, 't': 0.0}
    for found in client.arrived[1:]:
        paid[found.service] += 1.0
    for service, tokens in zip(SERVICES, spent, strict=True):
        rest = tokens - (paid[service] - earned[service])
        # A first turn of the other service earns there as well.
        allowed = (0.0, -0.16) if service == 't' else (0.0,)
        assert any(abs(rest - a) < 1e-4 for a in allowed), (spent, paid)
    body = scene.delivered.body
    whole = b''.join(event(n) for n in range(1, EVENT_COUNT + 1))
    if case.is_stream:
        assert whole.startswith(body) or scene.delivered.head.status == 500
    if task.cancelled() or task.exception() is not None:
        if not task.cancelled():
            assert isinstance(task.exception(), errors.RefusalError)
        assert not scene.delivered.is_complete
    elif scene.delivered.head.status == 200:
        assert body == whole


times = st.sampled_from(TIMES_S)
steps = st.lists(
    st.builds(
        Step,
        st.sampled_from((*ENDS, *REFUSED)),
        st.lists(times, max_size=EVENT_COUNT + 3).map(tuple),
    ),
    max_size=4,
)
grants = st.lists(
    st.builds(Grant, times, st.sampled_from((*SERVICES, 'full', 's'))),
    max_size=8,
).map(lambda found: [Grant(0.0, 's'), *found])


class TestInterleavings:
    @pytest.mark.parametrize('is_stream', [True, False])
    @pytest.mark.parametrize('retry_count', [0, 1, 20])
    @hypothesis.given(
        max_attempts=st.integers(1, 3),
        steps=steps,
        grants=grants,
        leaves_s=st.sampled_from((*TIMES_S, 2.26, 7.0, 7.0, 7.0)),
    )
    @hypothesis.settings(
        max_examples=60,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    def test_nothing_leaks_and_nothing_runs_twice(
        self, is_stream, retry_count, max_attempts, steps, grants, leaves_s
    ):
        """Guards against turns, tokens and attempts that are miscounted."""
        case = Case(is_stream, max_attempts, steps, grants, leaves_s)
        check(case, retry_count)


class LeavingTurns(Turns):
    """Has the caller leave as the second turn is granted."""

    task = None

    @contextlib.asynccontextmanager
    async def acquire(self, wanted, excluded):
        async with super().acquire(wanted, excluded) as turn:
            if excluded:
                asyncio.get_running_loop().call_soon(self.task.cancel)
            yield turn


class TestHeldTurns:
    def test_a_caller_that_leaves_as_a_turn_is_granted_releases_it(self):
        """Guards against a turn held for a caller that has left."""

        async def main():
            scene = forwarding.Scene()
            turns = scene.turns = scene.forwarder._turns.model_turns = (
                LeavingTurns(())
            )
            scene.client = scene.forwarder._client = Client(
                [Step('whole', (0.0, 0.0, 60.0))], turns
            )
            tokens = scene.forwarder._budgets.tokens('s')
            turns.task = asyncio.create_task(
                scene.forward(route(2, is_stream=True), model='m')
            )
            await asyncio.wait([turns.task])
            assert turns.task.cancelled()
            assert len(scene.client.arrived) == 1
            spent = tokens - scene.forwarder._budgets.tokens('s')
            return turns.open_count, spent

        open_count, spent = virtual_time.run(main())
        assert open_count == 0
        assert spent <= 0.0
