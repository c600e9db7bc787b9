"""The HTTP server of an entry: start, drain, API keys and usage limits."""

import asyncio
import contextlib
import dataclasses
import random
import socket
import time

import aiohttp
import pytest
import structlog
import uvloop

from lacewingpitch import authentication
from lacewingpitch import backend_call
from lacewingpitch import caller_limits
from lacewingpitch import clock
from lacewingpitch import configuration_age
from lacewingpitch import errors
from lacewingpitch import memory_budget
from lacewingpitch import metrics
from lacewingpitch import organisation
from lacewingpitch.platform import frontend as frontend_module
from lacewingpitch import routing
from lacewingpitch import startup_grace
from tests import usage_fakes

IP = '127.0.0.1'
ROUTE = routing.Route(
    name='lookup',
    host='h.example',
    path_prefix='/lookup/',
    services=(routing.WeightedService('portal', 1.0),),
    kind=routing.RequestKind.IDEMPOTENT,
    timeout_s=2.0,
    target_latency_s=0.1,
)
PUBLIC_ROUTE = dataclasses.replace(
    ROUTE, name='public', path_prefix='/public/', is_public=True
)
MEMORY_BYTES = 256 << 20
BALCONY = organisation.Organisation('balcony', ('key-1', 'key-2'), rank=3)
GARDEN = organisation.Organisation('garden', ('key-3',))


class Scene:
    """A running frontend and a caller."""

    def __init__(self):
        system_clock = clock.SystemClock()
        self.table = routing.RoutingTable(random.Random(1))
        self.age = configuration_age.ConfigurationAge(system_clock)
        self.link = usage_fakes.Link(system_clock)
        self.received = []
        self.frontend = frontend_module.Frontend(
            self.table,
            self._serve,
            metrics.Metrics('edge-1', 'zone-a').duration_histogram(
                's', 'Times.'
            ),
            startup_grace.StartupGrace(system_clock),
            system_clock,
            authentication.Authenticator(
                self.table, self.age, 5.0, random.Random(1)
            ),
            usage_fakes.limits(self.link, system_clock),
            memory_budget.MemoryBudget(MEMORY_BYTES, system_clock),
            descriptor_count=1024,
        )

    async def __aenter__(self):
        self._exits = contextlib.AsyncExitStack()
        with socket.socket() as found:
            found.bind((IP, 0))
            self._endpoint = f'{IP}:{found.getsockname()[1]}'
        await self.frontend.listen(self._endpoint, self._exits)
        closing = asyncio.create_task(self.frontend.close_silent())
        self._exits.callback(closing.cancel)
        self._session = await self._exits.enter_async_context(
            aiohttp.ClientSession()
        )
        return self

    async def __aexit__(self, *exception):
        await self._exits.aclose()

    async def _serve(self, request, delivery):
        self.received.append(request)
        answer = backend_call.BackendAnswer(200, (), None)
        await delivery.send_whole(answer, b'whole')

    async def call(self, *more, path='/lookup/1'):
        headers = [('Host', 'h.example'), ('Request-Id', 'r-1'), *more]
        async with self._session.get(
            f'http://{self._endpoint}{path}', headers=headers
        ) as response:
            return response.status

    async def call_for_refusal(self):
        headers = {'Host': 'h.example', 'Request-Id': 'r-1'}
        async with self._session.get(
            f'http://{self._endpoint}/lookup/1', headers=headers
        ) as response:
            answer = await response.json(content_type=None)
            return response.status, answer['error']['kind']

    def configure(self, limits=None, organisations=None, version=7):
        limits = limits or caller_limits.CallerLimits()
        routes = (ROUTE, PUBLIC_ROUTE)
        self.table.apply(
            routing.Configuration(
                version, routes, {}, limits, organisations=organisations
            )
        )

    async def connect(self):
        ip, port = self._endpoint.split(':')
        return await asyncio.open_connection(ip, int(port))


async def first_bytes(reader, end):
    """Return what is read up to `end`, or to the end of the connection."""
    async with asyncio.timeout(2.0):
        try:
            return await reader.readuntil(end)
        except asyncio.IncompleteReadError as error:
            return error.partial


@pytest.fixture
async def scene():
    async with Scene() as found:
        yield found


class TestStart:
    async def test_a_request_waits_until_the_configuration_is_known(
        self, scene
    ):
        """Guards against refusals in the first moment after a restart."""
        call = asyncio.create_task(scene.call())
        await asyncio.sleep(0.5)
        assert not call.done()
        scene.configure()
        assert await call == 200

    async def test_a_request_is_refused_if_that_takes_too_long(self, scene):
        started_s = time.monotonic()
        assert await scene.call() == 503
        assert time.monotonic() - started_s < 3.0
        # The grace period is over, so that later requests do not wait.
        started_s = time.monotonic()
        assert await scene.call() == 503
        assert time.monotonic() - started_s < 0.5


class TestSilentConnections:
    async def test_an_incomplete_request_is_closed(self, scene):
        """Guards against connections held by requests that never end."""
        scene.configure(caller_limits.CallerLimits(idle_timeout_s=0.5))
        reader, writer = await scene.connect()
        with contextlib.closing(writer):
            writer.write(b'GET /lookup/1 HTTP/1.1\r\nHost: h.ex')
            async with asyncio.timeout(5.0):
                assert await reader.read() == b''

    async def test_a_connection_that_was_used_stays_open(self, scene):
        scene.configure(caller_limits.CallerLimits(idle_timeout_s=0.5))
        assert await scene.call() == 200
        reader, writer = await scene.connect()
        with contextlib.closing(writer):
            head = b'GET /lookup/1 HTTP/1.1\r\nHost: h.example\r\n'
            writer.write(head + b'Request-Id: r-2\r\n\r\n')
            await reader.readuntil(b'whole')
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(2.5):
                    await reader.read()


class TestRequestThatHasJustBeenRead:
    """Its handler hasn't started as its connection is to be closed."""

    REQUEST = (
        b'GET /lookup/x HTTP/1.1\r\nHost: h.example\r\n'
        b'Request-Id: one\r\nDeadline-Ms: 1000\r\n\r\n'
    )

    def play(self, step_count, close):
        """Return what the caller got, and how often it was served.

        Parameters
        ----------
        close
            Called with the scene `step_count` steps of the event loop after
            the request was read.
        """

        async def main():
            async with Scene() as scene:
                scene.configure(
                    caller_limits.CallerLimits(idle_timeout_s=0.01)
                )
                reader, writer = await scene.connect()
                await asyncio.sleep(0.05)
                await scene.frontend._close_overdue()
                await asyncio.sleep(0.05)
                (handler,) = scene.frontend._server.connections
                handler.data_received(self.REQUEST)
                for _ in range(step_count):
                    await asyncio.sleep(0)
                await close(scene)
                got = await first_bytes(reader, b'whole')
                writer.close()
                return got, len(scene.received)

        # uvloop, which the daemons use, reports a closed connection later
        # than the loop of asyncio.
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(main())

    @pytest.mark.parametrize('step_count', range(4))
    def test_is_answered_as_idle_connections_are_closed(self, step_count):
        """Guards against an answer lost as its idle connection closes."""

        async def close(scene):
            scene.frontend.is_draining = True
            await scene.frontend.close_idle()

        got, served_count = self.play(step_count, close)
        assert got.startswith(b'HTTP/1.1 200 ')
        assert served_count == 1

    @pytest.mark.parametrize('step_count', range(4))
    def test_is_answered_as_silent_connections_are_closed(self, step_count):
        """Guards against a request lost as the idle timeout is shortened."""

        async def close(scene):
            await scene.frontend._close_overdue()

        got, served_count = self.play(step_count, close)
        assert got.startswith(b'HTTP/1.1 200 ')
        assert served_count == 1

    @pytest.mark.parametrize('step_count', [0, 1])
    def test_is_not_served_on_a_closing_connection(self, step_count):
        """Guards against requests that run without a caller."""

        async def close(scene):
            (transport,) = scene.frontend._transports()
            transport.close()

        assert self.play(step_count, close) == (b'', 0)


class TestClosing:
    async def test_an_idle_connection_is_closed(self, scene):
        scene.configure()
        reader, writer = await scene.connect()
        with contextlib.closing(writer):
            writer.write(TestRequestThatHasJustBeenRead.REQUEST)
            await reader.readuntil(b'whole')
            await scene.frontend.close_idle()
            async with asyncio.timeout(2.0):
                assert await reader.read() == b''

    async def test_a_body_that_is_being_read_is_read_on(self, scene):
        """Guards against a connection whose reading stays paused."""
        scene.configure()
        reader, writer = await scene.connect()
        with contextlib.closing(writer):
            await asyncio.sleep(0.05)
            (handler,) = scene.frontend._server.connections
            head = TestRequestThatHasJustBeenRead.REQUEST
            handler.data_received(head[:-2] + b'Content-Length: 4\r\n\r\nbo')
            await scene.frontend.close_idle()
            writer.write(b'dy')
            async with asyncio.timeout(2.0):
                await reader.readuntil(b'whole')
        assert scene.received[0].body == b'body'


class TestPipelinedRequests:
    @staticmethod
    def request(request_id):
        head = TestRequestThatHasJustBeenRead.REQUEST
        return head.replace(b'one', request_id)

    async def served(self, scene, during):
        """Return what is answered to two requests, and which were served.

        Parameters
        ----------
        during
            Called while the first is served, with the second behind it.
        """
        is_released = asyncio.Event()
        serve = scene._serve

        async def serve_later(request, delivery):
            if request.request_id == 'first':
                await is_released.wait()
            await serve(request, delivery)

        scene.frontend._serve = serve_later
        reader, writer = await scene.connect()
        with contextlib.closing(writer):
            writer.write(self.request(b'first') + self.request(b'second'))
            await asyncio.sleep(0.05)
            await during()
            is_released.set()
            answers = [
                await first_bytes(reader, b'whole'),
                await first_bytes(reader, b'whole'),
            ]
        return answers, [request.request_id for request in scene.received]

    async def test_are_answered_around_a_change_of_the_configuration(
        self, scene
    ):
        """Guards against a request that ends with a new configuration."""
        scene.configure()

        async def change():
            limits = caller_limits.CallerLimits(idle_timeout_s=0.01)
            scene.configure(limits, version=8)
            for _ in range(2):
                await scene.frontend._close_overdue()
                await asyncio.sleep(0.05)

        answers, served = await self.served(scene, change)
        assert all(answer.endswith(b'whole') for answer in answers)
        assert served == ['first', 'second']

    async def test_behind_a_last_answer_are_not_served(self, scene):
        """Guards against requests that run without a caller."""
        scene.configure()

        async def drain():
            scene.frontend.is_draining = True
            await scene.frontend.close_idle()

        answers, served = await self.served(scene, drain)
        assert b'Connection: close' in answers[0]
        assert answers[1] == b''
        assert served == ['first']


class TestLogOfEnds:
    REQUEST = (
        b'GET /lookup/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n\r\n'
    )

    async def ended(self, scene, serve, leaves=False):
        """Return who ended a request and at which step, by the log."""
        line, _ = await self.logged(scene, serve, leaves)
        return line['closed_by'], line['step']

    async def logged(self, scene, serve, leaves=False):
        """Return the log line of a request's end, and its caller's address."""
        scene.configure()
        scene.frontend._serve = serve
        with structlog.testing.capture_logs() as lines:
            reader, writer = await scene.connect()
            address = writer.get_extra_info('sockname')
            with contextlib.closing(writer):
                writer.write(self.REQUEST)
                if leaves:
                    await asyncio.sleep(0.1)
                    writer.close()
                else:
                    await reader.read(1)
            async with asyncio.timeout(5.0):
                while not any(x['event'] == 'request ended' for x in lines):
                    await asyncio.sleep(0.01)
        (line,) = [x for x in lines if x['event'] == 'request ended']
        return line, address

    async def test_it_names_the_connection_of_the_caller(self, scene):
        line, (ip, port, *_) = await self.logged(scene, scene._serve)
        assert line['peer'] == f'{ip}:{port}'

    async def test_a_whole_answer_is_closed_by_nobody(self, scene):
        assert await self.ended(scene, scene._serve) == ('', 'answering')

    async def test_a_refusal_is_closed_by_nobody(self, scene):
        async def serve(_request, _delivery):
            raise errors.RefusalError(errors.ErrorKind.QUEUE_FULL, 'full')

        assert await self.ended(scene, serve) == ('', 'body read')

    async def test_a_caller_that_leaves_is_told_from_the_entry(self, scene):
        async def serve(_request, delivery):
            delivery.record_sent()
            await asyncio.sleep(10.0)

        ended = await self.ended(scene, serve, leaves=True)
        assert ended == ('caller', 'sent')

    async def test_an_answer_that_is_cut_is_closed_by_the_entry(self, scene):
        async def serve(_request, delivery):
            delivery.record_sent()
            await delivery.begin(backend_call.BackendAnswer(200, (), None))
            raise errors.RefusalError(errors.ErrorKind.ANSWER_CUT, 'lost')

        assert await self.ended(scene, serve) == ('entry', 'answering')
        assert scene.frontend.cut_by_step == {'answering': 1}


class TestErrorsFromWithin:
    """Errors of the entry itself, while the caller waits for an answer."""

    async def refusal(self, scene, serve):
        """Return the status and the error kind of the answer."""
        scene.configure()
        scene.frontend._serve = serve
        return await scene.call_for_refusal()

    @pytest.mark.parametrize(
        'error',
        [
            ConnectionResetError('of another connection'),
            BrokenPipeError('of another connection'),
            TimeoutError('of another wait'),
            ValueError('of a message'),
        ],
        ids=lambda error: type(error).__name__,
    )
    async def test_an_error_is_not_taken_for_a_caller_that_left(
        self, scene, error
    ):
        """Guards against closed connections without answer or refusal."""

        async def serve(_request, _delivery):
            raise error

        with structlog.testing.capture_logs() as lines:
            status, kind = await self.refusal(scene, serve)
        assert (status, kind) == (500, 'internal')
        assert 'handler failed' in [line['event'] for line in lines]
        assert scene.frontend.ended_by_outcome == {'internal': 1}

    async def test_a_cancelled_wait_is_not_taken_for_a_caller_that_left(
        self, scene
    ):
        """Guards against closed connections without answer or refusal."""
        shared = asyncio.get_running_loop().create_future()

        async def serve(_request, _delivery):
            asyncio.get_running_loop().call_later(0.1, shared.cancel)
            await shared

        with structlog.testing.capture_logs() as lines:
            status, kind = await self.refusal(scene, serve)
        assert (status, kind) == (500, 'internal')
        assert 'handler failed' in [line['event'] for line in lines]
        assert scene.frontend.ended_by_outcome == {'internal': 1}

    async def test_a_caller_that_leaves_gets_no_refusal(self, scene):
        """Guards against departures that are counted as faults."""
        scene.configure()
        scene.frontend._serve = lambda *_: asyncio.sleep(10.0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await scene.call()
        async with asyncio.timeout(5.0):
            while not scene.frontend.ended_by_outcome:
                await asyncio.sleep(0.01)
        assert scene.frontend.ended_by_outcome == {'left': 1}

    @pytest.mark.parametrize('is_stream', [False, True])
    async def test_an_answer_whose_head_cannot_be_sent_is_refused(
        self, scene, is_stream
    ):
        """Guards against closed connections, and malformed refusals."""
        # The client of the library accepts it and its server doesn't.
        headers = (('X-Trace', 'a\x01b'),)
        answer = backend_call.BackendAnswer(200, headers, None)

        async def serve(_request, delivery):
            if is_stream:
                await delivery.begin(answer)
            else:
                await delivery.send_whole(answer, b'whole')

        assert await self.refusal(scene, serve) == (500, 'internal')
        # The connection is kept, and is in step.
        scene.frontend._serve = scene._serve
        assert await scene.call() == 200

    async def test_an_answer_that_has_begun_is_cut(self, scene):
        """Guards against a refusal in the middle of an answer."""

        async def serve(_request, delivery):
            await delivery.begin(backend_call.BackendAnswer(200, (), None))
            await delivery.write(b'part')
            raise ConnectionResetError('of another connection')

        with pytest.raises(aiohttp.ClientPayloadError):
            await self.refusal(scene, serve)


def authorization(value):
    return ('Authorization', value)


class TestApiKeys:
    @pytest.fixture(autouse=True)
    def configured(self, scene):
        scene.configure(organisations=(BALCONY, GARDEN))
        scene.age.confirm(clock.SystemClock().boot_s())

    async def test_a_known_key_identifies_the_organisation(self, scene):
        assert await scene.call(authorization('Token key-1')) == 200
        assert scene.received[0].organisation is BALCONY
        assert scene.received[0].rank == BALCONY.rank

    @pytest.mark.parametrize(
        'sent',
        [
            (),
            (authorization(''),),
            (authorization('key-1'),),
            (authorization('Bearer key-1'),),
            (authorization('Token'),),
            (authorization('Token key-9'),),
            (authorization('Token key-1 key-2'),),
            (authorization('Token key-1'), authorization('Token key-9')),
            (authorization('Token key-9'), authorization('Token key-1')),
            (('X-Authorization', 'Token key-1'),),
        ],
    )
    async def test_any_other_key_is_refused_and_not_forwarded(
        self, scene, sent
    ):
        assert await scene.call(*sent) == 401
        assert not scene.received

    async def test_keys_and_organisation_headers_are_not_forwarded(
        self, scene
    ):
        """Guards against leaked keys and forged organisations at servers."""
        await scene.call(
            authorization('Token key-1'),
            ('Tenant', 'garden'),
            ('tenant', 'garden'),
            ('X-Kept', '1'),
        )
        names = [name.lower() for name, _ in scene.received[0].headers]
        assert 'authorization' not in names
        assert 'tenant' not in names
        assert 'x-kept' in names

    async def test_a_public_route_ignores_organisation_headers(self, scene):
        status = await scene.call(('Tenant', 'garden'), path='/public/1')
        assert status == 200
        assert scene.received[0].organisation is None
        assert not [n for n, _ in scene.received[0].headers if n == 'Tenant']

    async def test_a_key_is_forwarded_if_no_organisations_are_listed(
        self, scene
    ):
        scene.configure(version=8)
        claimed = ('Tenant', 'garden')
        assert await scene.call(authorization('Basic x'), claimed) == 200
        assert authorization('Basic x') in scene.received[0].headers
        assert claimed not in scene.received[0].headers

    async def test_a_revoked_key_is_refused(self, scene):
        scene.configure(organisations=(GARDEN,), version=8)
        assert await scene.call(authorization('Token key-1')) == 401

    async def test_a_key_is_refused_while_it_cannot_be_checked(self, scene):
        """Guards against revoked keys at an instance without the store."""
        scene.age._confirmed_at_s -= 60.0
        assert await scene.call(authorization('Token key-1')) == 503
        assert not scene.received

    async def test_no_key_is_logged(self, scene):
        with structlog.testing.capture_logs() as lines:
            await scene.call(authorization('Token key-1'))
            await scene.call(authorization('Token key-9'))
        text = str(lines)
        assert 'key-1' not in text
        assert 'key-9' not in text
        assert "'organisation': 'balcony'" in text


class TestUsage:
    async def test_a_request_above_the_limit_is_answered_429(self, scene):
        limit = organisation.UsageLimit(1.0, 1000.0)
        scene.configure(
            organisations=(dataclasses.replace(BALCONY, limit=limit),)
        )
        scene.age.confirm(clock.SystemClock().boot_s())
        key = authorization('Token key-1')
        tokens = ('Token-Usage', '400,80')
        assert await scene.call(key, tokens) == 200
        assert await scene.call(key, tokens) == 429
        assert len(scene.received) == 1


class TestLeftOver:
    """Requests that are in progress as the drain ends."""

    async def end(self, scene, step):
        """Return what the caller of a request that is served gets."""
        scene.configure()

        async def serve(_request, delivery):
            if step != 'waiting':
                delivery.record_sent()
            if step == 'answering':
                answer = backend_call.BackendAnswer(200, (), None)
                await delivery.begin(answer)
            await asyncio.sleep(10.0)

        scene.frontend._serve = serve
        reader, writer = await scene.connect()
        with contextlib.closing(writer), structlog.testing.capture_logs() as x:
            writer.write(TestRequestThatHasJustBeenRead.REQUEST)
            await asyncio.sleep(0.1)
            await scene.frontend.end_requests(1.0)
            got = await first_bytes(reader, b'}')
        (line,) = [line for line in x if line['event'] == 'request ended']
        assert scene.frontend.in_progress == 0
        return got, line['closed_by']

    @pytest.mark.parametrize(
        ('step', 'status'), [('waiting', b'503'), ('sent', b'504')]
    )
    async def test_without_an_answer_are_refused(self, scene, step, status):
        """Guards against a request that gets neither answer nor refusal."""
        got, closed_by = await self.end(scene, step)
        assert got.startswith(b'HTTP/1.1 ' + status)
        assert closed_by == ''

    async def test_in_the_middle_of_an_answer_are_cut_by_the_entry(
        self, scene
    ):
        got, closed_by = await self.end(scene, 'answering')
        assert b'0\r\n\r\n' not in got
        assert closed_by == 'entry'
