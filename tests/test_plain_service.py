"""Answers of plain services that end with their connection."""

import asyncio

import aiohttp
import pytest

from lacewingpitch import errors
from lacewingpitch import plain_service
from lacewingpitch import reusable_connection
from tests import standin_crashes

CALL = plain_service.ServiceCall('r-1', 'POST', '/x', '', b'')
HEAD = b'HTTP/1.1 200 OK\r\n\r\n'


async def answer(body, is_reset=False, has_crashed=False):
    """Return the body of an answer without a length."""
    listening = None

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(HEAD + body)
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
