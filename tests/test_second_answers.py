"""Servers that answer twice, beside callers that leave and held-up loops."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import time

from aiohttp import client_proto
import pytest

from lacewingpitch import backend_call
from lacewingpitch import clock
from lacewingpitch import errors
from lacewingpitch import event_loop
from lacewingpitch.platform import backend_client
from lacewingpitch import reusable_connection
from lacewingpitch import routing
from tests import duplicating_server
from tests import test_platform_backend_client as client_tests

# Errors that promise that the request has not run.
PROMISES = client_tests.NOT_RUN_ERRORS
SERVER_COUNT = 2


@dataclasses.dataclass
class Outcome:
    """What became of the requests of a play, by request."""

    answers: dict = dataclasses.field(default_factory=dict)
    promised: dict = dataclasses.field(default_factory=dict)
    counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class Callers:
    """Send requests at the same time, and check what they get."""

    def __init__(self, seed, client, ports, leave_ratio, kind):
        self._source = random.Random(seed)
        self._client = client
        self._ports = ports
        self._leave_ratio = leave_ratio
        self._kind = kind
        self._number = 0
        self.outcome = Outcome()

    async def run(self, until_s):
        """Send requests one by one until a monotonic time."""
        while time.monotonic() < until_s:
            self._number += 1
            await self._send(f'r{self._number}')

    async def _send(self, request_id):
        source = self._source
        method = source.choice(('POST', 'POST', 'GET', 'HEAD'))
        call = client_tests.make_call(
            request_id, source.choice(self._ports), self._kind, method
        )
        body = b''
        if method == 'POST' and source.random() < 0.2:
            size = source.choice((1, 70_000, 300_000, 1_000_000))
            body = duplicating_server.BODY_BYTE * size
        request = dataclasses.replace(call.request, body=body)
        call = dataclasses.replace(call, request=request)
        limit_s = 0.5
        if source.random() < self._leave_ratio:
            limit_s = source.uniform(0.0, 0.008)
        try:
            async with (
                asyncio.timeout(limit_s),
                self._client.send(call) as found,
            ):
                if source.random() < 0.1:
                    # More arrives than is read.
                    await asyncio.sleep(source.uniform(0.0, 0.02))
                chunks = [chunk async for chunk in found.chunks]
        except PROMISES as error:
            self.outcome.promised[request_id] = str(error)
            self._count(error)
        except (errors.PlatformError, TimeoutError) as error:
            self._count(error)
        else:
            self.outcome.counts['answered'] += 1
            ids = [v for n, v in found.headers if n.lower() == 'request-id']
            self.outcome.answers[request_id] = (
                ids,
                found.status,
                b''.join(chunks),
            )

    def _count(self, error):
        text = f'{type(error).__name__}: {error}'[:60]
        self.outcome.counts[text] += 1


async def hold_up(source, until_s, longest_s):
    """Hold up the loop time and again, so that answers come together."""
    while time.monotonic() < until_s:
        await asyncio.sleep(source.uniform(0.0, 0.05))
        time.sleep(source.uniform(0.0, longest_s))


def play(
    seed,
    duration_s,
    callers=12,
    leave_ratio=0.1,
    longest_hold_s=0.0,
    kind=routing.RequestKind.IDEMPOTENT,
    **server_options,
):
    """Return the answers of others, wrong promises, and the counts."""
    journal = duplicating_server.Journal()
    servers = [
        duplicating_server.DuplicatingServer(
            f'{seed} {number}', journal, **server_options
        )
        for number in range(SERVER_COUNT)
    ]

    async def main(ports):
        until_s = time.monotonic() + duration_s
        async with contextlib.AsyncExitStack() as exits:
            client = backend_client.new_client(
                exits,
                client_tests.Observer(),
                client_tests.Gate(),
                client_tests.EndCheck(),
                clock.SystemClock(),
            )
            sending = Callers(seed, client, ports, leave_ratio, kind)
            tasks = [sending.run(until_s) for _ in range(callers)]
            if longest_hold_s:
                source = random.Random(seed)
                tasks.append(hold_up(source, until_s, longest_hold_s))
            await asyncio.gather(*tasks)
        return sending.outcome

    with duplicating_server.serving(servers) as ports:
        outcome = event_loop.run(main(ports))
    mixed = {
        request_id: answer
        for request_id, answer in outcome.answers.items()
        if answer[0] != [request_id]
        or answer[1:] not in journal.answers.get(request_id, [])
    }
    broken = {
        request_id: reason
        for request_id, reason in outcome.promised.items()
        if request_id in journal.ran
    }
    return mixed, broken, outcome.counts, journal


class TestPlays:
    """Guards against an answer that is another request's, or not whole."""

    @pytest.mark.parametrize('seed', range(2))
    def test_each_answer_is_that_of_its_request(self, seed):
        """Guards against second answers that reach the next caller."""
        mixed, broken, counts, journal = play(seed, duration_s=0.9)
        assert mixed == {}
        assert broken == {}
        assert journal.changed == set()
        # It shows nothing if few requests are answered, or answered twice.
        assert counts['answered'] > 50
        assert journal.second_count > 25

    def test_answers_that_are_read_together_are_told_apart(self):
        """Guards against a busy entry that reads several answers at once."""
        mixed, broken, counts, journal = play(
            2, duration_s=1.2, longest_hold_s=0.1
        )
        assert mixed == {}
        assert broken == {}
        assert journal.changed == set()
        assert counts['answered'] > 25
        assert journal.second_count > 10


def second_before_own(kind):
    """Return a script: a second answer to 'one', then the own answer."""

    def script(request_id):
        second = duplicating_server.second_answer(
            kind, 'one', client_tests.BODY
        )
        return second + client_tests.answer(request_id)

    return script


class TestPromises:
    """Guards against a request that runs, and is reported as not run."""

    @pytest.mark.parametrize('kind', ['421 without id', '503 without id'])
    def test_a_late_answer_without_an_id_promises_nothing(self, kind):
        """Guards against the promise of the answer to another request."""

        async def scenario(server, send):
            assert await send('one') == client_tests.BODY
            server.scripts = [second_before_own(kind)]
            with pytest.raises(backend_call.AnswerLostError):
                await send('two')
            assert server.arrived == ['one', 'two']
            assert server.connection_count == 1

        client_tests.play(scenario)

    @pytest.mark.parametrize('kind', ['421 without id', '503 without id'])
    def test_a_first_answer_without_an_id_is_believed(self, kind):
        """Guards against a request that is lost, as nothing ran it."""

        async def scenario(server, send):
            server.scripts = [
                lambda _: duplicating_server.second_answer(kind, '', b'')
            ]
            with pytest.raises(backend_call.NotRunError):
                await send('one')

        client_tests.play(scenario)


class TestJoinedHeads:
    """Guards against an answer that is made of two."""

    @pytest.mark.parametrize('second', ['one', 'another'])
    def test_an_answer_with_two_ids_is_nobodys(self, second):
        """Guards against a head that was cut short, and the one after it."""

        async def scenario(server, send):
            head = b'HTTP/1.1 200 OK\r\nRequest-Id: one\r\nX-Cut: '
            server.scripts = [lambda _: head + client_tests.answer(second)]
            with pytest.raises(backend_call.AnswerLostError):
                await send('one')

        client_tests.play(scenario)


class TestWholeAnswers:
    """Guards against a whole answer that is lost by what follows it."""

    @pytest.mark.parametrize('kind', ['garbage', 'same'])
    @pytest.mark.parametrize('closing', ['', 'Connection: close\r\n'])
    def test_bytes_in_the_same_read_do_not_undo_it(self, kind, closing):
        """Guards against a request that ran, and gets no answer."""

        async def scenario(server, send):
            surplus = duplicating_server.second_answer(
                kind, 'one', client_tests.BODY
            )
            own = client_tests.answer('one').replace(
                b'Content-Length', closing.encode() + b'Content-Length'
            )
            server.scripts = [lambda _: own + surplus]
            assert await send('one') == client_tests.BODY

        client_tests.play(scenario)

    @pytest.mark.parametrize('split', [1, 2, 3])
    @pytest.mark.parametrize('pad_bytes', range(4))
    def test_bytes_behind_it_do_not_undo_it_if_its_head_came_in_parts(
        self, split, pad_bytes
    ):
        """Guards against a request that ran, and gets no answer."""

        async def scenario(server, send):
            own = client_tests.answer('one').replace(
                b' OK\r\n', b' OK%s\r\n' % (b'.' * pad_bytes)
            )
            cut = own.index(b'\r\n\r\n') + split
            server.scripts = [lambda _: own[:cut]]
            sending = asyncio.create_task(send('one'))
            while not server.arrived:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            server.writers[0].write(own[cut:] + b'\x00 no answer\r\n\r\n')
            assert await sending == client_tests.BODY

        client_tests.play(scenario)

    async def test_a_part_of_a_head_is_parsed_at_once(self, monkeypatch):
        """Guards against processor time for each few bytes of a head."""
        sizes = []
        connection = reusable_connection.ReusableConnection(
            asyncio.get_running_loop()
        )
        connection.set_response_params()
        monkeypatch.setattr(
            client_proto.ResponseHandler,
            'data_received',
            lambda _, data: sizes.append(len(data)),
        )
        part = b'HTTP/1.1 200 OK\r\nX: ' + bytes(300)
        connection.data_received(part)
        assert sizes == [len(part)]


class TestInvalidBodies:
    """Guards against an answer that is waited for though it is none."""

    def test_an_invalid_chunk_ends_the_answer_at_once(self):
        """Guards against a wait until the deadline, or for ever."""

        async def scenario(server, send):
            head = b'HTTP/1.1 200 OK\r\nRequest-Id: one\r\n'
            chunked = b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n'
            server.scripts = [lambda _: head + chunked]

            async def break_protocol():
                server.writers[0].write(b'no size\r\n')

            async with asyncio.timeout(1.0):
                with pytest.raises(backend_call.AnswerLostError):
                    await send('one', before_reading=break_protocol)

        client_tests.play(scenario)
