"""Each connection of an entry keeps its descriptor until it closes it."""

import asyncio
import collections
import contextlib
import os
import random

import pytest

from lacewingpitch import backend_list
from lacewingpitch import clock
from lacewingpitch import errors
from lacewingpitch import event_loop
from lacewingpitch.platform import backend_client
from lacewingpitch.platform import witness
from tests import descriptor_owners
from tests import standin_crashes
from tests import test_platform_backend_client as client_fakes
from tests import test_platform_frontend as frontend_fakes

PRESSING_COUNT = 16
CALL_COUNT = 60
# Steps of the event loop from the start of a request to its connection, and
# some more.
MAX_STEPS = 14
KEPT_ERROR_COUNT = 12
# The machine may be busy.
ANSWER_S = 20.0
PLAY_S = 60.0
PATHS = ('/lookup/1', '/public/1')


class Server:
    """Answers, also twice and late, and closes or resets connections."""

    def __init__(self, source):
        self._random = source

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer):
                pass
            writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        request_id = head.partition('X-Id: ')[2].partition('\r')[0]
        whole = answer(request_id)
        way = self._random.random()
        if way < 0.1:
            standin_crashes.reset_on_close(writer.transport)
            writer.write(whole[: self._random.randrange(len(whole))])
            return False
        await asyncio.sleep(self._random.uniform(0, 0.004))
        _write(writer, whole)
        if way < 0.4:
            await asyncio.sleep(self._random.choice((0, 0.002)))
            _write(writer, whole)
        return way < 0.7


def _write(writer, data):
    if writer.transport.is_closing():
        raise ConnectionResetError('the entry has left')
    writer.write(data)


def answer(request_id):
    head = f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
    body = request_id.encode() * 50
    return f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body


class Entry(frontend_fakes.Scene):
    """A frontend, and the client by which it forwards requests."""

    def __init__(self, client, port):
        super().__init__()
        self._client = client
        self._port = port
        # Errors refer to what failed; the log or a cycle may keep them.
        self._errors = collections.deque(maxlen=KEPT_ERROR_COUNT)
        self.outcomes = collections.Counter()

    async def _serve(self, request, delivery):
        self.outcomes['received'] += 1
        call = client_fakes.make_call(
            request.request_id, self._port, request.route.kind
        )
        try:
            async with self._client.send(call) as got:
                body = b''.join([chunk async for chunk in got.chunks])
        except (errors.PlatformError, asyncio.CancelledError) as error:
            self.outcomes[type(error).__name__] += 1
            self._errors.append(error)
            if isinstance(error, asyncio.CancelledError):
                raise
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN, 'no answer'
            ) from None
        await delivery.send_whole(got, body)


class Callers:
    """Callers, some of which leave at any step.

    Attributes
    ----------
    whole_count
        How many answers were whole and to their own requests.
    faults
        Answers that were not.
    """

    def __init__(self, entry, server, seed):
        self._entry = entry
        self._server = server
        self._random = random.Random(seed)
        self._witnesses = witness.HealthConnections(lambda _service: '/')
        self.whole_count = 0
        self.faults = []

    async def press_all(self):
        """Send requests at all callers."""
        async with asyncio.TaskGroup() as group:
            for number in range(PRESSING_COUNT):
                group.create_task(self._press(f'r-{number}'))

    async def _press(self, name):
        for number in range(CALL_COUNT):
            await self._call(f'{name}-{number}')
            if self._random.random() < 0.1:
                await self._give_up_witness()

    async def _call(self, request_id):
        reader, writer = await self._entry.connect()
        path = self._random.choice(PATHS)
        writer.write(
            f'GET {path} HTTP/1.1\r\nHost: h.example\r\n'
            f'Request-Id: {request_id}\r\nX-Id: {request_id}\r\n\r\n'.encode()
        )
        if self._random.random() < 0.6:
            await self._some_steps()
            writer.transport.abort()
            return
        with contextlib.closing(writer):
            try:
                async with asyncio.timeout(ANSWER_S):
                    await self._read(reader, request_id)
            except (TimeoutError, ValueError, OSError, EOFError) as error:
                self.faults.append(f'{request_id}: {error!r}')

    async def _read(self, reader, request_id):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        length = int(head.partition('Content-Length: ')[2].split()[0])
        body = await reader.readexactly(length)
        if f'Request-Id: {request_id}\r' not in head:
            self.faults.append(f'{request_id}: {head}')
        elif ' 200 ' in head:
            self.whole_count += 1
            if body != request_id.encode() * 50:
                self.faults.append(f'{request_id}: {body}')

    async def _give_up_witness(self):
        opening = asyncio.create_task(self._witnesses.open(self._server))
        await self._some_steps()
        opening.cancel()
        await asyncio.wait([opening])
        if not opening.cancelled() and (found := opening.result()):
            found.close()

    async def _some_steps(self):
        for _ in range(self._random.randrange(MAX_STEPS)):
            await asyncio.sleep(0)


async def play(owners, seed):
    """Return the entry and its callers after some seconds of requests."""
    async with contextlib.AsyncExitStack() as exits:
        listening = await asyncio.start_server(
            Server(random.Random(seed)).serve, '127.0.0.1', 0
        )
        exits.callback(listening.close)
        port = listening.sockets[0].getsockname()[1]
        client = backend_client.new_client(
            exits,
            client_fakes.Observer(),
            client_fakes.Gate(),
            client_fakes.EndCheck(),
            clock.SystemClock(),
        )
        entry = await exits.enter_async_context(Entry(client, port))
        entry.configure()
        server = backend_list.BackendServer('i-1', 's', '127.0.0.1', port, 'z')
        callers = Callers(entry, server, seed)
        # The first fault ends the play: whatever goes on would only harm
        # other connections of this process.
        async with asyncio.timeout(PLAY_S), asyncio.TaskGroup() as group:
            checking = group.create_task(owners.check_each_step())
            await callers.press_all()
            checking.cancel()
        return entry, callers


@pytest.fixture
def owners(monkeypatch):
    found = descriptor_owners.Owners()
    found.watch_all(monkeypatch)
    return found


class TestGivenUpRequests:
    @pytest.mark.parametrize('connect_timeout_s', [0.4, 0.004])
    def test_each_connection_keeps_its_descriptor(
        self, owners, monkeypatch, connect_timeout_s
    ):
        """Guards against a descriptor that one closes and another has."""
        for module in (backend_client, witness):
            monkeypatch.setattr(
                module, '_CONNECT_TIMEOUT_S', connect_timeout_s
            )
        entry, callers = event_loop.run(play(owners, 1))
        assert callers.faults == []
        assert callers.whole_count
        given_up = ('CancelledError', 'NotSentError')
        assert any(entry.outcomes[name] for name in given_up)


class TestCheck:
    def test_it_finds_a_descriptor_that_another_closed(self, owners):
        """Guards against a check that finds nothing."""

        async def main():
            listening = await asyncio.start_server(
                lambda _reader, _writer: None, '127.0.0.1', 0
            )
            ip, port = listening.sockets[0].getsockname()
            _, writer = await asyncio.open_connection(ip, port)
            _, other = await asyncio.open_connection(ip, port)
            owners.check()
            number, of_other = (
                found.get_extra_info('socket').fileno()
                for found in (writer, other)
            )
            # Closes the number, and gives it out again.
            os.dup2(of_other, number)
            with pytest.raises(descriptor_owners.LostDescriptorError):
                owners.check()
            for found in (writer, other, listening):
                found.close()

        event_loop.run(main())
