"""Tests of the relay that cuts links between processes."""

import asyncio
import socket

import pytest

from tests import relay


async def echo(reader, writer):
    writer.write(await reader.read(1))
    writer.close()


async def ask(port):
    reader, writer = await asyncio.open_connection(relay.IP, port)
    writer.write(b'x')
    found = await reader.read()
    writer.close()
    return found


class TestCut:
    async def test_port_is_kept_while_the_link_is_cut(self):
        """A link that is cut cannot be reopened: its address is in use.

        No socket listens while it is cut, so the system could give the
        port to another process or to any outgoing connection.
        """
        server = await asyncio.start_server(echo, relay.IP, 0)
        target = server.sockets[0].getsockname()[1]
        async with server, relay.Relay(target) as link:
            assert await ask(link.port) == b'x'
            await link.cut()
            with pytest.raises(ConnectionRefusedError):
                await ask(link.port)
            with socket.socket() as other:
                other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                with pytest.raises(OSError, match='in use'):
                    other.bind((relay.IP, link.port))
            await link.reopen()
            assert await ask(link.port) == b'x'


class TestReset:
    async def test_a_reset_does_not_look_like_an_end(self):
        """Guards against cut links that end streams as if they were whole."""

        async def serve(reader, writer):
            writer.write(await reader.read(1))
            await writer.drain()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, relay.IP, 0)
        target = server.sockets[0].getsockname()[1]
        async with server, relay.Relay(target) as link:
            reader, writer = await asyncio.open_connection(relay.IP, link.port)
            writer.write(b'x')
            assert await reader.read(1) == b'x'
            link.reset()
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()
