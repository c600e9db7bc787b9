"""Connections that are asked for a server's health once."""

import asyncio
import contextlib
import random

import pytest

from lacewingpitch import answer_end
from lacewingpitch import backend_call

from lacewingpitch import backend_list
from lacewingpitch import clock
from lacewingpitch import crash_detector
from lacewingpitch import crash_record
from lacewingpitch.platform import backend_client
from lacewingpitch.platform import witness
from lacewingpitch import routing
from lacewingpitch import server_state
from tests import test_platform_backend_client as client_scene

State = server_state.ServerState
HEALTHY = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class Server:
    """Answers a health check with given bytes; ``None`` for no answer."""

    def __init__(self, answer):
        self._answer = answer
        self.silent_s = 0.0
        self.heads = []
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            self.heads.append(await reader.readuntil(b'\r\n\r\n'))
        except (OSError, asyncio.IncompleteReadError):
            return
        await asyncio.sleep(self.silent_s)
        if self._answer is not None:
            writer.write(self._answer)
            writer.close()


async def ask(server, disturb=None):
    """Return the state that an open connection shows."""
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    found = backend_list.BackendServer('p-1', 's', '127.0.0.1', port, 'z')
    source = witness.HealthConnections(lambda _service: '/healthz')
    connection = None
    while connection is None:
        connection = await source.open(found)
    await asyncio.sleep(0.05)
    if disturb is not None:
        disturb()
    state = await connection.state()
    connection.close()
    listener.close()
    for writer in server.writers:
        writer.close()
    return state


class TestHealthConnection:
    @pytest.mark.parametrize('status', ['200 OK', '503 Full'])
    async def test_any_answer_shows_that_it_runs(self, status):
        server = Server(HEALTHY.replace(b'200 OK', status.encode()))
        assert await ask(server) is State.RUNNING
        assert server.heads[0].startswith(b'GET /healthz HTTP/1.1\r\n')
        assert b'Expect-Instance: p-1\r\n' in server.heads[0]

    async def test_a_connection_that_has_ended_shows_nothing(self):
        """Guards against a start after a crash that passes for the first."""
        server = Server(HEALTHY)

        def crash():
            for writer in server.writers:
                writer.transport.abort()

        assert await ask(server, crash) is State.UNKNOWN

    async def test_a_silent_server_is_waited_for(self):
        """Guards against whole answers lost for one silence."""
        server = Server(HEALTHY)
        server.silent_s = 2.0
        assert await ask(server) is State.RUNNING

    async def test_another_incarnation_shows_an_end(self):
        answer = HEALTHY.replace(b'200 OK', b'421 Other')
        assert await ask(Server(answer)) is State.ENDED

    @pytest.mark.parametrize('name', ['p-1', 'p-2'])
    async def test_the_name_in_the_answer_tells_starts_apart(self, name):
        """Guards against a witness that was opened after a restart."""
        header = f'200 OK\r\nDate: x\r\nInstance-Id: {name}'
        answer = HEALTHY.replace(b'200 OK', header.encode())
        expected = State.RUNNING if name == 'p-1' else State.ENDED
        assert await ask(Server(answer)) is expected

    @pytest.mark.parametrize('answer', [None, b'x' * 9000, b'no\r\n'])
    async def test_no_answer_shows_nothing(self, answer):
        assert await ask(Server(answer)) is State.UNKNOWN

    async def test_a_server_that_refuses_has_no_connection(self):
        listener = await asyncio.start_server(print, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        listener.close()
        await listener.wait_closed()
        found = backend_list.BackendServer('p-1', 's', '127.0.0.1', port, 'z')
        source = witness.HealthConnections(lambda _service: '/')
        assert await source.open(found) is None


class PlainServer:
    """Answers without a length; may end in the middle and start again."""

    HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nConnection: close\r\n\r\n'

    def __init__(self, restarts):
        self._restarts = restarts
        self._others = []
        self._listener = None
        self.port = 0

    async def start(self):
        self._listener = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, reuse_address=True
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop(self):
        self._listener.close()

    async def _serve(self, reader, writer):
        self._others.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            if head.startswith(b'GET /healthz'):
                writer.write(HEALTHY)
            else:
                await self._answer(writer)
        writer.close()

    async def _answer(self, writer):
        writer.write(self.HEAD + b'first half ')
        await asyncio.sleep(0.2)
        if not self._restarts:
            writer.write(b'second half')
            return
        self.stop()
        for other in self._others:
            if other is not writer:
                other.close()
        await self.start()


async def read(restarts):
    """Return the body that a client gets of the server's answer."""
    server = PlainServer(restarts)
    await server.start()
    system_clock = clock.SystemClock()
    detector = crash_detector.CrashDetector(
        crash_record.CrashRecord(system_clock, random.Random(1)), system_clock
    )
    end_check = answer_end.AnswerEnd(
        None,
        lambda _service: False,
        server_state.probe,
        detector,
        witness.HealthConnections(lambda _service: '/healthz'),
    )
    async with contextlib.AsyncExitStack() as exits:
        exits.callback(server.stop)
        client = backend_client.new_client(
            exits,
            client_scene.Observer(),
            client_scene.Gate(),
            end_check,
            system_clock,
        )
        call = client_scene.make_call(
            'r-1', server.port, routing.RequestKind.AT_MOST_ONCE
        )
        async with client.send(call) as answer:
            return b''.join([chunk async for chunk in answer.chunks])


class TestAnswersWithoutLength:
    async def test_of_a_server_that_runs_on_are_whole(self):
        """Guards against answers that are never believed."""
        assert await read(restarts=False) == b'first half second half'

    async def test_of_a_server_that_started_again_are_broken_off(self):
        """Guards against half an answer that passes for the whole."""
        with pytest.raises(backend_call.AnswerLostError):
            await read(restarts=True)
