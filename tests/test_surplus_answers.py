"""Servers that write more on a connection than was asked for."""

import asyncio
import contextlib

import aiohttp
import pytest

from lacewingpitch import guarded_connection
from lacewingpitch import single_sending

HEAD = b'HTTP/1.1 200 OK\r\n'


def head(body):
    return HEAD + f'Content-Length: {len(body)}\r\n\r\n'.encode()


def answer(body):
    return head(body) + body


def chunked(body):
    framing = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    return framing + b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)


SURPLUS = answer(b'surplus')


class Server:
    """Answers each request by its number, the first one by a script."""

    def __init__(self, script):
        self._script = script
        self._writers = []
        self.connection_count = 0

    async def serve(self, reader, writer):
        self.connection_count += 1
        self._writers.append(writer)
        with (
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
            contextlib.closing(writer),
        ):
            while True:
                request = await reader.readuntil(b'\r\n\r\n')
                number = request.split(b' ')[1].strip(b'/')
                if number == b'0':
                    await self._script(writer)
                else:
                    writer.write(answer(number))

    def write(self, data):
        """Write on the first connection, unasked."""
        self._writers[0].write(data)

    def close(self):
        """Close all connections."""
        for writer in self._writers:
            writer.close()


@contextlib.asynccontextmanager
async def serving(script, **options):
    """Yield a server, and a function that sends requests by number."""
    server = Server(script)
    async with contextlib.AsyncExitStack() as exits:
        listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        exits.callback(listening.close)
        exits.callback(server.close)
        port = listening.sockets[0].getsockname()[1]
        session = await exits.enter_async_context(
            single_sending.new_session(
                connector=guarded_connection.new_connector(**options)
            )
        )

        async def get(number):
            async with session.get(f'http://127.0.0.1:{port}/{number}') as got:
                return await got.read()

        yield server, get


async def with_the_answer(writer):
    writer.write(answer(b'0') + SURPLUS)


async def with_a_chunked_answer(writer):
    writer.write(chunked(b'0') + SURPLUS)


async def with_the_end_of_the_body(writer):
    writer.write(head(b'0'))
    await asyncio.sleep(0.05)
    writer.write(b'0' + SURPLUS)


async def without_surplus(writer):
    writer.write(answer(b'0'))


async def interim_answers(writer):
    for _ in range(3):
        writer.write(b'HTTP/1.1 103 Early Hints\r\n\r\n')
        await asyncio.sleep(0.02)
    writer.write(answer(b'0'))


class TestSurplus:
    """Guards against answers that are taken for those of later requests."""

    @pytest.mark.parametrize(
        'script',
        [with_the_answer, with_a_chunked_answer, with_the_end_of_the_body],
    )
    async def test_written_with_an_answer_it_reaches_nobody(self, script):
        async with serving(script) as (server, get):
            got = [await get(number) for number in range(4)]
        assert got == [b'0', b'1', b'2', b'3']
        assert server.connection_count == 2

    @pytest.mark.parametrize('size', [1, 20, len(SURPLUS)])
    async def test_written_between_requests_it_reaches_nobody(self, size):
        async with serving(without_surplus) as (server, get):
            got = [await get(0)]
            server.write(SURPLUS[:size])
            await asyncio.sleep(0.05)
            got += [await get(number) for number in range(1, 4)]
        assert got == [b'0', b'1', b'2', b'3']
        assert server.connection_count == 2

    @pytest.mark.parametrize('size', [1, 20, len(SURPLUS)])
    async def test_unread_as_a_request_starts_it_reaches_nobody(self, size):
        async with serving(without_surplus) as (server, get):
            got = [await get(0)]
            server.write(SURPLUS[:size])
            got += [await get(number) for number in range(1, 4)]
        assert got == [b'0', b'1', b'2', b'3']
        assert server.connection_count == 2

    @pytest.mark.parametrize('script', [without_surplus, interim_answers])
    async def test_connections_without_it_are_reused(self, script):
        async with serving(script) as (server, get):
            got = [await get(number) for number in range(4)]
        assert got == [b'0', b'1', b'2', b'3']
        assert server.connection_count == 1


async def between_chunks(writer):
    whole = chunked(b'0')
    end = whole.index(b'0\r\n\r\n')
    await write_later(writer, whole[:end], SURPLUS + whole[end:])


async def with_a_chunk_too_long(writer):
    whole = chunked(b'0')
    end = whole.index(b'1\r\n0')
    await write_later(writer, whole[:end], b'1\r\n00\r\n0\r\n\r\n')


async def write_later(writer, first, rest):
    writer.write(first)
    await asyncio.sleep(0.05)
    writer.write(rest)


BODY = b'0' * 100


async def second_after_a_part(writer):
    await write_later(writer, head(BODY) + BODY[:40], answer(BODY))


async def second_after_a_part_of_chunks(writer):
    whole = chunked(BODY)
    await write_later(writer, whole[:-60], whole)


async def second_after_the_head(writer):
    await write_later(writer, head(BODY), answer(BODY))


class TestBodiesThatRunTogether:
    """A server breaks off in a body, and then answers once more."""

    @pytest.mark.parametrize(
        'script',
        [
            second_after_a_part,
            second_after_a_part_of_chunks,
            second_after_the_head,
        ],
    )
    @pytest.mark.parametrize('is_single_use', [False, True])
    async def test_are_no_answer(self, script, is_single_use):
        """Guards against half a body that is filled up with a head."""
        options = {'force_close': is_single_use}
        async with serving(script, **options) as (server, get):
            with pytest.raises(aiohttp.ClientError):
                async with asyncio.timeout(2.0):
                    await get(0)
            got = [await get(number) for number in range(1, 4)]
        assert got == [b'1', b'2', b'3']
        assert server.connection_count == (4 if is_single_use else 2)


class TestBrokenFraming:
    @pytest.mark.parametrize('script', [between_chunks, with_a_chunk_too_long])
    async def test_an_answer_with_it_ends_at_once(self, script):
        """Guards against a request that waits for a closed connection."""
        async with serving(script) as (server, get):
            with pytest.raises(aiohttp.ClientError):
                async with asyncio.timeout(2.0):
                    await get(0)
            got = [await get(number) for number in range(1, 4)]
        assert got == [b'1', b'2', b'3']
        assert server.connection_count == 2
