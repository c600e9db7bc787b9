"""Paths and queries on their way from a caller to a backend server."""

import asyncio
import contextlib
import dataclasses

import pytest

from lacewingpitch import clock
from lacewingpitch.platform import backend_client
from tests import test_platform_backend_client as backend_scene
from tests import test_platform_frontend as frontend_scene

TARGETS = [
    '/lookup/x',
    '/lookup/x?',
    '/lookup/x??',
    '/lookup/x?a=1&',
    '/lookup/x?a=%zz&b=%2F+c',
    '/lookup/x?a#b',
    '/lookup/x#b',
    '/lookup/%2f%E4/./a/../b;c?d=[1]',
    '/lookup//x?',
]


@contextlib.asynccontextmanager
async def recording():
    """Serve; yield the port and the targets of all requests."""
    targets = []

    async def serve(reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        targets.append(head.split(' ')[1])
        answer = backend_scene.answer('r-1').decode()
        writer.write(
            answer.replace('\r\n', '\r\nConnection: close\r\n', 1).encode()
        )
        writer.close()

    async with await asyncio.start_server(serve, '127.0.0.1', 0) as listening:
        yield listening.sockets[0].getsockname()[1], targets


async def receive(target):
    """Return the target that the frontend reads from a caller."""
    async with frontend_scene.Scene() as scene:
        scene.configure()
        reader, writer = await scene.connect()
        with contextlib.closing(writer):
            head = f'GET {target} HTTP/1.1\r\nHost: h.example\r\n'
            writer.write(f'{head}Request-Id: r-1\r\n\r\n'.encode())
            await reader.readuntil(b'whole')
        return scene.received[0].target


async def send_to_backend(target):
    async with recording() as (port, targets):
        async with contextlib.AsyncExitStack() as exits:
            client = backend_client.new_client(
                exits,
                backend_scene.Observer(),
                backend_scene.Gate(),
                backend_scene.EndCheck(),
                clock.SystemClock(),
            )
            call = backend_scene.make_call('r-1', port)
            request = dataclasses.replace(call.request, target=target)
            call = dataclasses.replace(call, request=request)
            async with client.send(call) as found:
                assert [chunk async for chunk in found.chunks]
    return targets


@pytest.mark.parametrize('target', TARGETS)
class TestTarget:
    """Guards against requests that arrive otherwise than they were sent."""

    async def test_reaches_the_entry_as_sent(self, target):
        assert await receive(target) == target

    async def test_reaches_a_backend_server_as_sent(self, target):
        assert await send_to_backend(target) == [target]
