"""Callers that read byte by byte what an entry writes on their connections."""

import asyncio
import collections
import contextlib
import dataclasses
import hashlib
import random
import socket

import pytest
import uvloop

from lacewingpitch import authentication
from lacewingpitch import backend_call
from lacewingpitch import caller_limits
from lacewingpitch import clock
from lacewingpitch import configuration_age
from lacewingpitch import errors
from lacewingpitch import memory_budget
from lacewingpitch import metrics
from lacewingpitch.platform import frontend as frontend_module
from lacewingpitch import routing
from lacewingpitch import startup_grace
from tests import usage_fakes

IP = '127.0.0.1'
MEMORY_BYTES = 256 << 20
BODY_LIMIT = 64 << 10
HEAD_END = b'\r\n\r\n'
# The library's own answer to what it can't read is of the older version.
VERSIONS = ('HTTP/1.1 ', 'HTTP/1.0 ')
_LOGGED_BYTES = 200
SIZES = (0, 5, 3000, 64 << 10, 300 << 10, 2 << 20)
ROUTES = tuple(
    routing.Route(
        name=kind.value,
        host='h.example',
        path_prefix=f'/{kind.value}/',
        services=(routing.WeightedService('portal', 1.0),),
        kind=kind,
        timeout_s=5.0,
        target_latency_s=0.1,
    )
    for kind in (routing.RequestKind.IDEMPOTENT, routing.RequestKind.STREAM)
)


def content(request_id, size):
    """Return bytes that only the answer to this request has."""
    seed = hashlib.sha256(request_id.encode()).hexdigest().encode() + b'|'
    return (seed * (size // len(seed) + 1))[:size]


def events(request_id, first, count, size):
    return [
        b'id: %d\ndata: %s\n\n' % (number, content(request_id, size))
        for number in range(first, first + count)
    ]


@dataclasses.dataclass
class Plan:
    """What happens to one request at the entry, and what was done of it."""

    request_id: str
    kind: str
    size: int
    delays_s: list[float]
    limit_s: float
    body: bytes = dataclasses.field(default=b'', repr=False)
    first_event: int = 1
    end: str = 'finish'
    got: int = 0
    has_finished: bool = False

    @property
    def whole(self):
        if self.kind == 'stream':
            return b''.join(self.events)
        return content(self.request_id, self.size)

    @property
    def events(self):
        count = len(self.delays_s)
        return events(self.request_id, self.first_event, count, self.size)


class Entry:
    """A frontend whose requests follow their plans."""

    def __init__(self):
        system_clock = clock.SystemClock()
        self.plans = {}
        self.table = routing.RoutingTable(random.Random(1))
        age = configuration_age.ConfigurationAge(system_clock)
        self.frontend = frontend_module.Frontend(
            self.table,
            self._serve,
            metrics.Metrics('edge-1', 'zone-a').duration_histogram(
                's', 'Times.'
            ),
            startup_grace.StartupGrace(system_clock),
            system_clock,
            authentication.Authenticator(
                self.table, age, 5.0, random.Random(1)
            ),
            usage_fakes.limits(usage_fakes.Link(system_clock), system_clock),
            memory_budget.MemoryBudget(MEMORY_BYTES, system_clock),
            descriptor_count=1024,
        )
        limits = caller_limits.CallerLimits(
            idle_timeout_s=0.2, body_bytes=BODY_LIMIT
        )
        self.table.apply(routing.Configuration(1, ROUTES, {}, limits))

    async def listen(self, exits):
        with socket.socket() as found:
            found.bind((IP, 0))
            self.port = found.getsockname()[1]
        await self.frontend.listen(f'{IP}:{self.port}', exits)

    async def _serve(self, request, delivery):
        plan = self.plans[request.request_id]
        plan.got += 1
        assert request.body == plan.body
        try:
            async with asyncio.timeout(plan.limit_s):
                await self._follow(plan, delivery)
        except TimeoutError as error:
            kind = errors.ErrorKind.DEADLINE_UNREACHABLE
            if delivery.has_begun:
                kind = errors.ErrorKind.ANSWER_CUT
            raise errors.RefusalError(kind, 'too late') from error

    async def _follow(self, plan, delivery):
        delivery.record_sent()
        headers = (('Request-Id', plan.request_id), ('X-By', 'engine'))
        if plan.end == 'bad head':
            headers += (('X-Bad', 'a\x01b'),)
        answer = backend_call.BackendAnswer(200, headers, None)
        if plan.kind == 'whole':
            await asyncio.sleep(plan.delays_s[0])
            self._fail(plan)
            await delivery.send_whole(answer, plan.whole)
            plan.has_finished = True
            return
        for event, delay_s in zip(plan.events, plan.delays_s, strict=True):
            await asyncio.sleep(delay_s)
            if not delivery.has_begun:
                await delivery.begin(answer)
            await delivery.write(event)
        self._fail(plan)
        plan.has_finished = True
        await delivery.finish()

    def _fail(self, plan):
        if plan.end == 'refuse':
            raise errors.RefusalError(errors.ErrorKind.ANSWER_CUT, 'cut')
        if plan.end == 'error':
            raise ConnectionResetError('of another connection')
        if plan.end == 'cancel':
            raise asyncio.CancelledError
        if plan.end == 'timeout':
            raise TimeoutError


class MixedError(AssertionError):
    """What a caller got is not the answer to its request."""


class Caller:
    """Sends requests on one connection, and reads strictly."""

    def __init__(self, entry, source, name, buffer_bytes):
        self._entry = entry
        self._random = source
        self._name = name
        self._buffer_bytes = buffer_bytes
        self._rest = b''
        self._count = 0
        self.ends = []
        self._log = collections.deque(maxlen=12)

    async def run(self, request_count):
        loop = asyncio.get_running_loop()
        with socket.socket() as found:
            found.setblocking(False)
            if self._buffer_bytes:
                found.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self._buffer_bytes
                )
            self._socket, self._loop = found, loop
            with contextlib.suppress(ConnectionError, EOFError):
                await loop.sock_connect(found, (IP, self._entry.port))
                while self._count < request_count:
                    if not await self._exchange():
                        return

    def _plan(self):
        self._count += 1
        pick = self._random
        kind = pick.choice(['whole', 'stream'])
        ends = ['finish'] * 6 + ['refuse', 'error', 'cancel', 'timeout']
        ends.append('bad head')
        event_count = pick.randrange(1, 6) if kind == 'stream' else 1
        plan = Plan(
            request_id=f'{self._name}-{self._count}',
            kind=kind,
            size=pick.choice(SIZES)
            if kind == 'whole'
            else pick.choice((5, 3000, 64 << 10, 400 << 10)),
            delays_s=[
                pick.choice((0.0, 0.0, 0.001, 0.01))
                for _ in range(event_count)
            ],
            limit_s=pick.choice((5.0, 5.0, 5.0, 0.0, 0.001, 0.01, 0.03)),
            first_event=pick.choice((1, 1, 7)),
            end=pick.choice(ends),
        )
        if pick.random() < 0.3:
            plan.body = content(plan.request_id, pick.choice((1, 100, 20000)))
        self._entry.plans[plan.request_id] = plan
        return plan

    def _head(self, plan, framing):
        route = ROUTES[plan.kind == 'stream'].path_prefix
        fields = [
            f'POST {route}x HTTP/1.1',
            'Host: h.example',
            f'Request-Id: {plan.request_id}',
            *framing,
        ]
        if plan.first_event > 1 and plan.kind == 'stream':
            fields.append(f'Last-Event-Id: {plan.first_event - 1}')
        return '\r\n'.join(fields).encode() + HEAD_END

    def _bytes(self, plan):
        if not plan.body:
            return self._head(plan, ())
        if self._random.random() < 0.5:
            framing = (f'Content-Length: {len(plan.body)}',)
            return self._head(plan, framing) + plan.body
        framing = ('Transfer-Encoding: chunked',)
        size = self._random.choice((1000, 7, 30000))
        if len(plan.body) > 1000:
            size = 30000
        sent = self._head(plan, framing)
        for start in range(0, len(plan.body), size):
            part = plan.body[start : start + size]
            sent += b'%x\r\n%s\r\n' % (len(part), part)
        return sent + b'0\r\n\r\n'

    async def _send(self, data):
        """Send in pieces, some of which come late."""
        while data:
            size = len(data)
            if self._random.random() < 0.2:
                size = self._random.randrange(1, len(data) + 1)
            self._record('sent', data[:size])
            await self._loop.sock_sendall(self._socket, data[:size])
            data = data[size:]
            if data:
                await asyncio.sleep(self._random.choice((0, 0.001, 0.005)))

    async def _exchange(self):
        """Return whether the connection is still in use."""
        draw = self._random.random()
        if draw < 0.12:
            return await self._send_refused_body()
        if draw < 0.2:
            plans = [self._plan() for _ in range(2)]
            await self._send(b''.join(self._bytes(plan) for plan in plans))
        else:
            plans = [self._plan()]
            data = self._bytes(plans[0])
            if self._random.random() < 0.06:
                await self._send(data)
                await asyncio.sleep(self._random.choice((0, 0.005)))
                await self._send(b'GET\x01 /x HTTP/9.9\r\n\r\n')
                # What is read in one piece with it is rejected with it.
                if await self._read_answer(plans[0], may_be_rejected=True):
                    await self._read_to_end(400)
                return False
            await self._send(data)
        if self._random.random() < 0.08:
            await asyncio.sleep(self._random.choice((0, 0.002, 0.01)))
            return False
        for plan in plans:
            if not await self._read_answer(plan):
                return False
        await self._check_silence()
        return True

    async def _send_refused_body(self):
        """A body that is refused, with the rest of it late."""
        self._count += 1
        request_id = f'{self._name}-{self._count}'
        inner = f'{request_id}-inner'
        plan = Plan(inner, 'whole', 50, [0.0], 5.0)
        self._entry.plans[inner] = plan
        smuggled = self._head(plan, ())
        kind = self._random.choice(['large', 'path', 'id', 'number'])
        body = smuggled * 5
        if kind == 'large':
            body += smuggled * (BODY_LIMIT // len(smuggled) + 1)
        path = '/none/x' if kind == 'path' else f'{ROUTES[0].path_prefix}x'
        fields = [f'POST {path} HTTP/1.1', 'Host: h.example']
        if kind != 'id':
            fields.append(f'Request-Id: {request_id}')
        if kind == 'number':
            fields.append('Deadline-Ms: x')
        if self._random.random() < 0.5:
            fields.append(f'Content-Length: {len(body)}')
        else:
            fields.append('Transfer-Encoding: chunked')
            body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        if self._random.random() < 0.3:
            fields.append('Expect: 100-continue')
        if self._random.random() < 0.3:
            fields += ['Connection: Upgrade', 'Upgrade: h2c']
        head = '\r\n'.join(fields).encode() + HEAD_END
        size = self._random.randrange(len(body))
        await self._send(head + body[:size])
        if self._random.random() < 0.5:
            await asyncio.sleep(self._random.choice((0, 0.001, 0.02)))
        status, found, _, is_last = await self._read_head()
        sending = asyncio.create_task(self._send(body[size:]))
        try:
            body_got = await self._read_n(int(found['content-length']))
        finally:
            with contextlib.suppress(ConnectionError):
                await sending
        self._check(status in (400, 404, 413, 503), 'status', status, body_got)
        own = {request_id} if kind != 'id' else {None}
        self._check(found.get('request-id') in own, 'id', found, body_got)
        self._check(not plan.got, 'smuggled', kind)
        await self._check_silence()
        self._check(not plan.got, 'smuggled', kind)
        return not is_last

    async def _receive(self):
        if self._buffer_bytes and self._random.random() < 0.3:
            await asyncio.sleep(self._random.choice((0, 0.001, 0.01)))
        size = self._random.choice((1 << 16, 4096))
        data = await self._loop.sock_recv(self._socket, size)
        if not data:
            raise EOFError
        self._rest += data
        self._record('got', data)

    async def _read_until(self, end):
        while end not in self._rest:
            await self._receive()
        found, _, self._rest = self._rest.partition(end)
        return found

    async def _read_n(self, size, into=None):
        parts = [] if into is None else into
        while size:
            if not self._rest:
                await self._receive()
            part, self._rest = self._rest[:size], self._rest[size:]
            parts.append(part)
            size -= len(part)
        return b''.join(parts)

    async def _read_head(self):
        try:
            head = await self._read_until(HEAD_END)
        except (EOFError, ConnectionError):
            # Some of a head is no answer that looks like another one.
            self._check(b'HTTP/1.1 '.startswith(self._rest[:9]), self._rest)
            raise
        lines = head.decode().split('\r\n')
        self._check(lines[0][:9] in VERSIONS, 'head', lines[0][:80])
        status = int(lines[0].split(' ')[1])
        pairs = [line.split(': ', 1) for line in lines[1:]]
        found = {name.lower(): value for name, value in pairs}
        self._check(len(found) == len(pairs), 'fields', lines)
        framing = {'content-length', 'transfer-encoding'} & set(found)
        self._check(len(framing) == 1, 'framing', lines)
        is_last = found.get('connection') == 'close'
        return status, found, 'transfer-encoding' in found, is_last

    async def _read_answer(self, plan, may_be_rejected=False):
        """Return whether another request may follow."""
        status, found, is_chunked, is_last = await self._read_head()
        request_id = found.get('request-id')
        if may_be_rejected and status == 400 and request_id is None:
            self._check(not plan.got, 'rejected', plan)
            return False
        self._check(request_id == plan.request_id, 'id', plan, found)
        if 'x-by' not in found:
            self._check(status >= 400, 'status', status)
            body = await self._read_n(int(found['content-length']))
            self._check(body.startswith(b'{"error"'), 'refusal', body)
            self.ends.append('refused')
            return not is_last
        self._check(status == 200, 'status', status)
        parts = []
        try:
            if is_chunked:
                while size := int(await self._read_until(b'\r\n'), 16):
                    await self._read_n(size, parts)
                    self._check(await self._read_n(2) == b'\r\n', 'chunk')
                self._check(await self._read_n(2) == b'\r\n', 'end')
            else:
                await self._read_n(int(found['content-length']), parts)
        except (EOFError, ConnectionError):
            body = b''.join(parts)
            self._check(plan.whole.startswith(body), 'part', plan, body[:99])
            self.ends.append('cut')
            raise
        body = b''.join(parts)
        self._check(body == plan.whole, 'body', plan, len(body), body[:99])
        self._check(plan.got == 1, 'served', plan)
        if plan.kind == 'stream':
            self._check(plan.has_finished, 'end of a cut stream', plan)
        self.ends.append('whole')
        return not is_last

    async def _read_to_end(self, status):
        found = await self._read_head()
        self._check(found[0] == status, 'status', found)
        await self._read_n(int(found[1]['content-length']))
        with contextlib.suppress(EOFError, ConnectionError):
            while True:
                await self._receive()
        self._check(not self._rest, 'rest', self._rest[:200])

    async def _check_silence(self):
        self._check(not self._rest, 'surplus', self._rest[:200])
        if self._random.random() < 0.3:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.003):
                    self._rest += await self._loop.sock_recv(self._socket, 99)
            self._check(not self._rest, 'surplus', self._rest[:200])

    def _check(self, is_sound, *found):
        if not is_sound:
            raise MixedError(self._name, *found, *self._log)

    def _record(self, event, data):
        self._log.append((event, len(data), data[:_LOGGED_BYTES]))


class Play:
    """Callers of one entry, beside drains that come and go."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self.ends = []

    async def run(self, caller_count, request_count=8, at_once=12):
        async with contextlib.AsyncExitStack() as exits:
            self._entry = Entry()
            await self._entry.listen(exits)
            disturbing = asyncio.create_task(self._disturb())
            exits.callback(disturbing.cancel)
            gate = asyncio.Semaphore(at_once)
            async with asyncio.TaskGroup() as group:
                for number in range(caller_count):
                    await gate.acquire()
                    task = group.create_task(
                        self._call(f'c{number}', request_count)
                    )
                    task.add_done_callback(lambda _: gate.release())
            if disturbing.done():
                await disturbing
            return self.ends

    async def _call(self, name, request_count):
        source = random.Random(self._random.random())
        buffer_bytes = source.choice((0, 0, 2048, 16384))
        caller = Caller(self._entry, source, name, buffer_bytes)
        async with asyncio.timeout(20.0):
            await caller.run(request_count)
        self.ends += caller.ends

    async def _disturb(self):
        frontend, pick = self._entry.frontend, self._random
        while True:
            await asyncio.sleep(pick.choice((0, 0.001, 0.01, 0.03)))
            for _ in range(pick.randrange(4)):
                await asyncio.sleep(0)
            what = pick.randrange(12)
            if what == 0:
                frontend.is_draining = True
                await frontend.end_requests(0.0)
                frontend.is_draining = False
            elif what == 1:
                await frontend.end_requests(0.0)
            elif what == 2:
                frontend.is_draining = True
                await frontend.close_idle()
                frontend.is_draining = False
            elif what in (3, 4):
                await frontend._close_overdue()
            elif what == 5:
                frontend.is_refusing = True
                await asyncio.sleep(0.002)
                frontend.is_refusing = False
            elif what == 6:
                self._cancel_one()

    def _cancel_one(self):
        tasks = list(self._entry.frontend._requests._tasks.values())
        if tasks:
            self._random.choice(tasks).cancel()


def play(seed, caller_count):
    """Return how the answers of a play ended."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(Play(seed).run(caller_count))


class TestEachCaller:
    @pytest.mark.parametrize('seed', [1, 2])
    def test_gets_its_own_answer_or_sees_that_it_is_cut(self, seed):
        """Guards against answers that are mixed, doubled or half."""
        ends = play(seed, 40)
        assert {'whole', 'refused', 'cut'} <= set(ends)


def head(request_id, *fields, method='POST', path='/x', version='1.1'):
    lines = (
        f'{method} {path} HTTP/{version}',
        'Host: h.example',
        f'Request-Id: {request_id}',
        *fields,
    )
    return '\r\n'.join(lines).encode() + HEAD_END


class TestWhatFollowsARequest:
    """A second request, with a third one as its body, behind a first one."""

    LOOKUP = f'{ROUTES[0].path_prefix}x'
    EVENTS = f'{ROUTES[1].path_prefix}x'
    UPGRADE = ('Connection: Upgrade', 'Upgrade: h2c')

    def sent_at_once(self, *pieces, plans):
        """Return what is answered, and the ids that were served.

        Parameters
        ----------
        pieces
            Sent one after another, with a pause between them.
        """

        async def main():
            async with contextlib.AsyncExitStack() as exits:
                entry = Entry()
                await entry.listen(exits)
                for plan in plans:
                    entry.plans[plan.request_id] = plan
                reader, writer = await asyncio.open_connection(IP, entry.port)
                exits.callback(writer.close)
                for piece in pieces:
                    writer.write(piece)
                    await asyncio.sleep(0.1)
                writer.write_eof()
                async with asyncio.timeout(5.0):
                    got = await reader.read()
            return got, [p.request_id for p in plans if p.got]

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(main())

    def played(self, *fields, method='POST', body=b''):
        """Return what is answered, and served, behind a kind of request."""
        third = head('third', path=self.LOOKUP)
        body = third if body is None else body
        if body:
            fields += (f'Content-Length: {len(body)}',)
        length = f'Content-Length: {len(third)}'
        first = head('first', *fields, method=method, path=self.LOOKUP)
        plans = [
            Plan('first', 'whole', 20, [0.0], 5.0, body),
            Plan('second', 'whole', 20, [0.0], 5.0, third),
            Plan('third', 'whole', 20, [0.0], 5.0),
        ]
        second = head('second', length, path=self.LOOKUP)
        return self.sent_at_once(first + body + second, third, plans=plans)

    def test_is_served_in_its_turn(self):
        got, served = self.played()
        assert got.count(b'HTTP/1.1 200 OK') == 2
        assert served == ['first', 'second']

    @pytest.mark.parametrize('body', [b'', b'body'])
    def test_is_not_lost_in_part_behind_an_upgrade(self, body):
        """Guards against a body that is run, and answers a step ahead."""
        got, served = self.played(*self.UPGRADE, body=body)
        assert b'third' not in got
        assert served in (['first'], ['first', 'second'])
        if served == ['first']:
            assert b'Connection: close' in got

    def test_is_no_body_of_a_connect(self):
        """Guards against a body that is run as a request of its own."""
        _, served = self.played(method='CONNECT', body=None)
        assert 'third' not in served

    def test_is_no_part_of_an_older_stream(self):
        """Guards against an answer that is read as the end of a stream."""
        fields = ('Connection: keep-alive',)
        plans = [
            Plan(name, 'stream', 20, [0.0], 5.0)
            for name in ('first', 'second')
        ]
        requests = [
            head(p.request_id, *fields, path=self.EVENTS, version='1.0')
            for p in plans
        ]
        got, served = self.sent_at_once(b''.join(requests), plans=plans)
        # The body ends with its connection.
        assert got.endswith(plans[0].whole)
        assert served == ['first']


class TestOlderCallers:
    def test_see_that_a_stream_is_cut(self):
        """Guards against half a stream that looks whole."""

        async def main():
            async with contextlib.AsyncExitStack() as exits:
                entry = Entry()
                await entry.listen(exits)
                plan = Plan('first', 'stream', 20, [0.0], 5.0, end='refuse')
                entry.plans['first'] = plan
                reader, writer = await asyncio.open_connection(IP, entry.port)
                exits.callback(writer.close)
                path = TestWhatFollowsARequest.EVENTS
                writer.write(head('first', path=path, version='1.0'))
                async with asyncio.timeout(5.0):
                    await reader.read()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            with pytest.raises(ConnectionResetError):
                runner.run(main())
