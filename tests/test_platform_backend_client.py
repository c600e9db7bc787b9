"""Which connections to backend servers are used again, over loopback."""

import asyncio
import contextlib
import time

import pytest

from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch.platform import backend_client
from lacewingpitch import routing

BODY = b'whole'


def answer(request_id, body=BODY, extra=b''):
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'Request-Id: {request_id}\r\n'
        f'Content-Length: {len(BODY)}\r\n\r\n'
    )
    return head.encode() + body + extra


class Server:
    """Answers each request by a script, and counts connections."""

    def __init__(self):
        self.connection_count = 0
        self.scripts = []
        self.writers = []

    async def serve(self, reader, writer):
        self.connection_count += 1
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                request_id = head.partition('X-Id: ')[2].partition('\r')[0]
                script = self.scripts.pop(0) if self.scripts else answer
                found = script(request_id)
                if found is None:
                    writer.transport.abort()
                    return
                writer.write(found)
                await writer.drain()


def make_call(request_id, port, kind=routing.RequestKind.IDEMPOTENT):
    route = routing.Route(
        'r',
        'h',
        '/',
        (routing.WeightedService('s', 1.0),),
        kind,
        10.0,
        1.0,
    )
    now_s = time.monotonic()
    request = backend_call.CallerRequest(
        request_id=request_id,
        method='POST',
        target='/x',
        headers=(('X-Id', request_id),),
        body=b'',
        route=route,
        arrived_at_s=now_s,
        deadline_at_s=now_s + 5.0,
    )
    server = backend_list.BackendServer('i-1', 's', '127.0.0.1', port, 'z')
    return backend_call.BackendCall(request, server, 0, 0, now_s + 5.0)


def play(story):
    async def main():
        server = Server()
        listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]

        async with contextlib.AsyncExitStack() as exits:
            client = backend_client.new_client(exits)

            async def send(request_id, **fields):
                call = make_call(request_id, port, **fields)
                async with client.send(call) as found:
                    return b''.join([chunk async for chunk in found.chunks])

            await story(server, send)
        listening.close()
        for writer in server.writers:
            writer.close()

    asyncio.run(asyncio.wait_for(main(), 20.0))


class TestReuse:
    def test_requests_that_may_run_twice_share_a_connection(self):
        async def story(server, send):
            for number in range(5):
                assert await send(f'r{number}') == BODY
            assert server.connection_count == 1

        play(story)

    @pytest.mark.parametrize(
        'kind', [routing.RequestKind.AT_MOST_ONCE, routing.RequestKind.STREAM]
    )
    def test_what_may_run_once_has_its_own(self, kind):
        """A request that may run once is sent on a connection that dies.

        Its server closes a kept connection as the request is on its way;
        whether it ran is not known, and it can't be sent again.
        """

        async def story(server, send):
            await send('first')
            for number in range(3):
                await send(f'r{number}', kind=kind)
            assert server.connection_count == 4

        play(story)

    def test_not_after_bytes_behind_an_answer(self):
        """A caller gets the answer of another request.

        A server sends an answer twice; the second lies on the connection
        where the next request's answer is due.
        """

        async def story(server, send):
            server.scripts = [
                lambda name: answer(name, extra=answer('stranger'))
            ]
            assert await send('one') == BODY
            with contextlib.suppress(backend_call.AnswerLostError):
                assert await send('two') == BODY
            assert await send('three') == BODY

        play(story)

    def test_a_late_second_answer_is_not_believed(self):
        async def story(server, send):
            assert await send('one') == BODY
            server.writers[0].write(answer('one', body=b'other'))
            await asyncio.sleep(0.05)
            with contextlib.suppress(
                backend_call.AnswerLostError,
                backend_call.StaleConnectionError,
            ):
                assert await send('two') == BODY
            assert await send('three') == BODY

        play(story)

    def test_not_after_an_answer_that_broke_off(self):
        async def story(server, send):
            server.scripts = [lambda name: answer(name, body=b'wh')]

            async def broken():
                async with asyncio.timeout(0.1):
                    await send('one')

            with pytest.raises(TimeoutError):
                await broken()
            assert await send('two') == BODY
            assert server.connection_count == 2

        play(story)

    def test_an_answer_without_a_length_ends_its_connection(self):
        async def story(server, send):
            head = b'HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\n'
            server.scripts = [lambda name: head + BODY]
            sending = asyncio.create_task(send('one'))
            await asyncio.sleep(0.05)
            server.writers[0].close()
            assert await sending == BODY
            assert await send('two') == BODY
            assert server.connection_count == 2

        play(story)


class TestStale:
    def test_a_reset_on_a_kept_connection_is_told_apart(self):
        """A healthy server is passed over after idle connections closed.

        It drops a kept connection without a word, and resets what is sent
        next on it.
        """

        async def story(server, send):
            await send('one')
            server.scripts = [lambda name: None]
            with pytest.raises(backend_call.StaleConnectionError):
                await send('two')
            assert await send('three') == BODY

        play(story)

    def test_on_a_new_connection_it_is_the_servers_failure(self):
        async def story(server, send):
            server.scripts = [lambda name: None]
            with pytest.raises(backend_call.AnswerLostError):
                await send('one')

        play(story)

    def test_one_that_was_closed_meanwhile_is_not_used(self):
        async def story(server, send):
            await send('one')
            server.writers[0].close()
            await asyncio.sleep(0.05)
            assert await send('two') == BODY
            assert server.connection_count == 2

        play(story)
