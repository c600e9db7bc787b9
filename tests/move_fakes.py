"""Engines that copy the memory of runs, in virtual time."""

import asyncio
import collections
import contextlib
import dataclasses
import random

from benchmarks import virtual_time
from lacewingpitch import adapter_versions
from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import request_forwarder
from lacewingpitch import routing
from lacewingpitch import run_memory
from lacewingpitch import run_mover
from lacewingpitch import server_gate
from lacewingpitch import service_balancer
from lacewingpitch import suspects
from lacewingpitch import turn_spec
from tests import earned_budgets
from tests import limit_fakes

NAMES = ('a', 'b', 'c')
HANDLE_S = 2.0
EVENT_S = 0.05
SERVING_S = 1.0
LINK = run_memory.MemoryLink(1000.0, 1e9, HANDLE_S)
Outcome = run_memory.CopyOutcome


def event(number):
    return b'id: %d\ndata: x\n\n' % number


def route(**fields):
    return routing.Route(
        'r',
        'h',
        '/',
        (routing.WeightedService('s', 1.0),),
        routing.RequestKind.STREAM,
        30.0,
        1.0,
        target_gap_s=0.5,
        **fields,
    )


@dataclasses.dataclass(eq=False)
class Run:
    """One run of a request at one engine."""

    request_id: str
    made: int
    is_framed: bool
    is_stopped: bool = False


@dataclasses.dataclass(eq=False)
class Copy:
    """Copied memory, known at its source and at its target."""

    run: Run
    source: str
    target: str
    expires_at_s: float
    is_used: bool = False


class Engine:
    """Runs requests and keeps copies of memory."""

    def __init__(self, name):
        self.name = name
        self.started_at_ms = 1
        self.is_up = True
        self.silent_until_s = 0.0
        self.runs = {}

    def server(self, **fields):
        ip = f'10.0.0.{NAMES.index(self.name) + 1}'
        return backend_list.BackendServer(
            self.name,
            's',
            ip,
            80,
            'z',
            started_at_ms=self.started_at_ms,
            **fields,
        )


class Fleet:
    """Engines, their connections, and turns at them.

    Attributes
    ----------
    faults
        Faults of the next copies, by their order; see `copy`.
    refusals
        How many continued runs are refused.
    """

    def __init__(self, clock):
        self.clock = clock
        self.engines = {name: Engine(name) for name in NAMES}
        self.copies = {}
        self.faults = []
        self.refusals = 0
        self.lengths = {}
        self.copy_calls = []
        self.sent = []
        self.freed = []
        self.used = collections.Counter()
        self.broken_rules = []
        self.turns_open = collections.Counter()
        self.turn_version = 3
        self.has_turns = True
        self.is_framed = True
        self.specs = []
        self.copy_s = 0.005
        self.silent_s = 0.0
        self.gate = None

    # Requests.

    @contextlib.asynccontextmanager
    async def send(self, call):
        self.gate.admit(call.server)
        self.sent.append(call)
        engine = self.engines[call.server.name]
        await asyncio.sleep(0.002)
        if not engine.is_up:
            raise backend_call.NotSentError('down')
        if call.server.started_at_ms != engine.started_at_ms:
            raise backend_call.NotRunError('another', is_other_server=True)
        run = self._begin(call, engine)
        try:
            yield backend_call.BackendAnswer(
                200,
                (('Signed-By', engine.name),),
                self._chunks(engine, run),
                run.is_framed,
            )
        finally:
            if engine.runs.get(run.request_id) is run:
                del engine.runs[run.request_id]

    def _begin(self, call, engine):
        request_id = call.request.request_id
        if call.memory is not None:
            copy = self.copies.get(call.memory.text)
            is_here = copy is not None and engine.name in (
                copy.target,
                copy.source,
            )
            if self.refusals or not is_here or copy.is_used:
                self.refusals = max(0, self.refusals - 1)
                raise backend_call.NotRunError(
                    'no copy', is_other_server=False
                )
            copy.is_used = True
            self.used[call.memory.text] += 1
            del self.copies[call.memory.text]
            if copy.run.request_id != request_id:
                self.broken_rules.append('memory of another request')
            if not copy.run.is_stopped:
                self.broken_rules.append('two engines run one request')
        elif any(request_id in e.runs for e in self.engines.values()):
            self.broken_rules.append('a request runs twice')
        run = Run(request_id, call.last_event_id, self.is_framed)
        engine.runs[request_id] = run
        return run

    async def _chunks(self, engine, run):
        while run.made < self.lengths[run.request_id]:
            await asyncio.sleep(EVENT_S)
            while engine.silent_until_s > self.clock.monotonic_s():
                await asyncio.sleep(EVENT_S)
            if engine.runs.get(run.request_id) is not run:
                if run.is_framed or not run.is_stopped:
                    raise backend_call.AnswerLostError('closed')
                return
            run.made += 1
            yield event(run.made)
        engine.runs.pop(run.request_id, None)

    # Memory.

    async def copy(self, source, target, run_id, is_last, timeout_s):
        """Copy memory; a fault is the outcome, and whether it acted.

        A silent engine acts, and answers later.
        """
        self.copy_calls.append((source.name, target.name, is_last))
        fault = self.faults.pop(0) if self.faults else None
        engine = self.engines[source.name]
        if fault == 'silent':
            engine.silent_until_s = self.clock.monotonic_s() + self.silent_s
        answer = await self._copy(
            source, target, run_id, is_last, timeout_s, fault
        )
        left_s = engine.silent_until_s - self.clock.monotonic_s()
        if left_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return run_memory.CopyAnswer(Outcome.LOST)
        await asyncio.sleep(max(0.0, left_s))
        return answer

    async def _copy(self, source, target, run_id, is_last, timeout_s, fault):
        await asyncio.sleep(self.copy_s)
        engine = self.engines[source.name]
        if not engine.is_up or engine.started_at_ms != source.started_at_ms:
            return run_memory.CopyAnswer(Outcome.REFUSED)
        if fault in (Outcome.REFUSED, Outcome.BUSY):
            return run_memory.CopyAnswer(fault)
        if fault == 'lost before':
            await asyncio.sleep(timeout_s)
            return run_memory.CopyAnswer(Outcome.LOST)
        run = engine.runs.get(run_id)
        handle = f'{run_id}-{source.name}-{target.name}'
        if run is None and handle in self.copies and is_last:
            run = self.copies[handle].run
        if run is None:
            return run_memory.CopyAnswer(Outcome.ENDED)
        if is_last:
            run.is_stopped = True
            engine.runs.pop(run_id, None)
        self.copies[handle] = Copy(
            run,
            source.name,
            target.name,
            self.clock.monotonic_s() + HANDLE_S,
        )
        if fault == Outcome.NO_ROOM or not self.engines[target.name].is_up:
            return run_memory.CopyAnswer(
                Outcome.NO_ROOM, handle if is_last else ''
            )
        if fault == 'lost after':
            await asyncio.sleep(timeout_s)
            return run_memory.CopyAnswer(Outcome.LOST)
        return run_memory.CopyAnswer(Outcome.COPIED, handle, run.made)

    async def free(self, server, handle):
        self.freed.append((server.name, handle))
        await asyncio.sleep(0.005)
        engine = self.engines[server.name]
        if not engine.is_up:
            return False
        self.copies.pop(handle, None)
        return True

    def expire(self):
        """Free copies that were not used in time."""
        now_s = self.clock.monotonic_s()
        self.copies = {
            handle: copy
            for handle, copy in self.copies.items()
            if copy.expires_at_s > now_s
        }

    # Turns.

    @contextlib.asynccontextmanager
    async def acquire(self, spec, excluded):
        self.specs.append(spec)
        await asyncio.sleep(0.001)
        is_move = spec.attempt >= 1000
        found = [
            engine
            for engine in self.engines.values()
            if engine.name not in excluded
            and engine.is_up
            and self.gate.is_open(engine.server())
        ]
        if not found or (is_move and not self.has_turns):
            raise errors.RefusalError(errors.ErrorKind.QUEUE_FULL, 'full')
        engine = min(found, key=lambda e: len(e.runs))
        self.turns_open[spec.turn_id] += 1
        if self.turns_open[spec.turn_id] > 1:
            self.broken_rules.append('a turn id is used twice')
        try:
            version = self.turn_version if is_move else 3
            yield turn_spec.Turn(engine.server(), version)
        finally:
            self.turns_open[spec.turn_id] -= 1

    # Faults.

    def crash(self, name):
        engine = self.engines[name]
        engine.is_up = False
        engine.runs.clear()
        self.copies = {
            handle: copy
            for handle, copy in self.copies.items()
            if name not in (copy.source, copy.target)
        }


class Caller:
    """A caller that records what reaches it."""

    def __init__(self):
        self.head = None
        self.body = b''
        self.is_complete = False
        self.refusal = None
        self.task = None
        self.history = None

    @property
    def has_begun(self):
        return self.head is not None

    def record_sent(self):
        pass

    async def make_room(self, byte_count):
        pass

    async def send_whole(self, answer, body):
        raise AssertionError('not a stream')

    async def begin(self, answer):
        assert self.head is None
        self.head = answer

    async def write(self, events):
        self.body += events

    async def finish(self):
        self.is_complete = True

    @property
    def event_count(self):
        return self.body.count(b'id: ')


class Scene:
    """An entry's forwarder and mover with a fleet."""

    def __init__(self, link=LINK, has_mover=True):
        self.clock = virtual_time.LoopClock()
        source = random.Random(3)
        self.servers = backend_list.BackendList(self.clock)
        self.fleet = Fleet(self.clock)
        self.servers.replace_all(
            engine.server() for engine in self.fleet.engines.values()
        )
        self.gate = server_gate.ServerGate(self.servers, self.clock, source)
        self.fleet.gate = self.gate
        self.ejector = ejection.Ejector(self.clock, source)
        budgets = earned_budgets.new(self.clock, source)
        self.mover = None
        if has_mover:
            self.mover = run_mover.RunMover(
                self.fleet,
                self.fleet,
                self.fleet,
                budgets,
                self.ejector,
                self.servers,
                lambda _service: link,
                self.clock,
                SERVING_S,
                0.0,
            )
        self.forwarder = request_forwarder.RequestForwarder(
            self.fleet,
            self.fleet,
            service_balancer.ServiceBalancer(
                self.servers, self.ejector, 'z', source
            ),
            self.ejector,
            budgets,
            adapter_versions.AdapterVersions(),
            self.clock,
            source,
            suspects.Suspects(self.clock, source),
            limit_fakes.make_limits(self.clock, has_sidecar=False),
            self.gate,
            streams=self.mover,
        )
        self.callers = {}

    def start(self, length=60, found_route=None, **fields):
        """Start a request; return its caller."""
        request_id = f'id-{len(self.callers)}'
        caller = self.callers[request_id] = Caller()
        self.fleet.lengths[request_id] = length
        now_s = self.clock.monotonic_s()
        request = backend_call.CallerRequest(
            request_id=request_id,
            method='POST',
            target='/x',
            headers=(),
            body=b'',
            route=found_route or route(),
            arrived_at_s=now_s,
            deadline_at_s=now_s + 25.0,
            model='m',
            adapter='a1',
            prompt_tokens=500,
            max_tokens=10 * length,
            expected_tokens=8 * length,
            **fields,
        )
        caller.task = asyncio.create_task(self._forward(request, caller))
        return caller

    async def warm_up(self):
        """Have the mover learn how long runs last."""
        for length in (10, 60, 110) * 10:
            self.start(length)
        await asyncio.sleep(130 * EVENT_S)

    async def _forward(self, request, caller):
        try:
            caller.history = await self.forwarder.forward(request, caller)
        except errors.RefusalError as error:
            caller.refusal = error

    def source_of(self, request_id):
        """Return the name of the engine that runs a request, if any."""
        for engine in self.fleet.engines.values():
            if request_id in engine.runs:
                return engine.name
        return None

    def leave(self, name, **fields):
        server = self.fleet.engines[name].server(is_leaving=True, **fields)
        self.servers.put(server)

    def outcomes(self):
        return dict(self.mover.move_counts)
