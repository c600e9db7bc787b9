"""Answers of plain services that end with their connection."""

import asyncio
import contextlib

import aiohttp
from aiohttp import test_utils
import pytest

from lacewingpitch import errors
from lacewingpitch import node
from lacewingpitch import plain_service
from lacewingpitch import reusable_connection
from lacewingpitch import runs
from lacewingpitch import service_runner
from tests import samples
from tests import standin_crashes

CALL = plain_service.ServiceCall('r-1', 'POST', '/x', '', b'')
HEAD = b'HTTP/1.1 200 OK\r\n'


async def answer(body, is_reset=False, has_crashed=False, coding=b''):
    """Return the body of an answer without a length."""
    listening = None

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        header = coding and b'Transfer-Encoding: %s\r\n' % coding
        writer.write(HEAD + header + b'\r\n' + body)
        await writer.drain()
        if is_reset:
            await asyncio.sleep(0.05)
            standin_crashes.reset_on_close(writer.transport)
        if has_crashed:
            listening.close()
        writer.close()

    listening = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    connector = reusable_connection.new_connector()
    async with (
        listening,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        service = plain_service.HttpPlainService(
            session, f'http://127.0.0.1:{port}'
        )
        async with service.run(CALL) as found:
            return b''.join([chunk async for chunk in found.chunks])


class TestUnframedAnswers:
    async def test_the_end_is_believed_while_the_service_runs(self):
        assert await answer(b'whole') == b'whole'

    @pytest.mark.parametrize('fault', ['is_reset', 'has_crashed'])
    async def test_a_part_is_not_taken_for_the_whole(self, fault):
        """Guards against the end of a crash that passes for an answer's."""
        with pytest.raises(errors.PlatformError):
            await answer(b'wh', **{fault: True})

    async def test_no_coding_hides_that_the_end_is_not_marked(self):
        """Guards against the end of a crash that passes for an answer's."""
        assert await answer(b'whole', coding=b'identity') == b'whole'
        with pytest.raises(errors.PlatformError):
            await answer(b'wh', has_crashed=True, coding=b'identity')

    @pytest.mark.parametrize('coding', [b'gzip', b'gzip, chunked'])
    async def test_a_body_in_an_unknown_coding_is_lost(self, coding):
        """Guards against bytes that pass for the body they encode."""
        with pytest.raises(errors.PlatformError):
            await answer(b'4\r\nbody\r\n0\r\n\r\n', coding=coding)


class TestStatuses:
    @pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
    async def test_a_status_that_is_none_does_not_reach_a_caller(self, status):
        """Guards against an answer whose status says nothing."""

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                b'HTTP/1.1 %s \r\nContent-Length: 1\r\n\r\nx' % status
            )

        listening = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]
        order = samples.order(adapter=None, service='plain')
        request = test_utils.make_mocked_request('POST', '/x')
        async with listening, node.new_backend_session() as session:
            service = plain_service.HttpPlainService(
                session, f'http://127.0.0.1:{port}'
            )
            runner = service_runner.ServiceRunner(service)
            with pytest.raises(errors.RefusalError) as found:
                await runner.run(order, b'', runs.Delivery(request, {}))
        assert found.value.kind is errors.ErrorKind.OUTCOME_UNKNOWN
        assert found.value.outcome is errors.Outcome.UNKNOWN


class TestSecondAnswers:
    async def test_they_reach_nobody(self):
        """Guards against the answer to another request."""
        number = 0

        async def serve(reader, writer):
            nonlocal number
            late = b''
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    await reader.readuntil(b'\r\n\r\n')
                    answer = (
                        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d'
                        % number
                    )
                    number += 1
                    writer.write(late + answer)
                    late = answer
            writer.close()

        listening = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]
        got = []
        async with listening, node.new_backend_session() as session:
            service = plain_service.HttpPlainService(
                session, f'http://127.0.0.1:{port}'
            )
            for _ in range(3):
                async with service.run(CALL) as found:
                    got.append(b''.join([c async for c in found.chunks]))
        assert got == [b'0', b'1', b'2']
