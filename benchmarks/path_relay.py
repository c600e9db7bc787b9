"""Relays that do nothing else, for comparison with the entry.

``http`` is the HTTP library's own server and client with no product code
between them.  ``bytes`` moves bytes between two connections, which is
the minimum for one process with this event loop: its system calls.
`benchmarks.path` starts them.
"""

import asyncio
import functools
import socket
import sys

import aiohttp
from aiohttp import web
import click
import msgspec
import uvloop

IP = '127.0.0.1'
KINDS = ('http', 'bytes')


class HttpRelay:
    """Forwards requests to one port with the HTTP library."""

    def __init__(self, session, port):
        self._session = session
        self._url = f'http://{IP}:{port}'

    async def handle(self, request):
        body = await request.read()
        headers = {
            name: request.headers[name]
            for name in ('Content-Type', 'X-Fencing', 'X-Request-Id')
        }
        async with self._session.post(
            self._url + request.path, data=body, headers=headers
        ) as found:
            response = web.StreamResponse(status=found.status)
            response.content_type = found.content_type
            await response.prepare(request)
            while chunk := await found.content.readany():
                await response.write(chunk)
        return response


class PairedConnection(asyncio.Protocol):
    """One of a pair of connections, which writes what the other one reads."""

    def __init__(self, port=None):
        self._port = port
        self._buffered = []
        self.transport = None
        self.other = None

    def connection_made(self, transport):
        self.transport = transport
        if self._port:
            asyncio.create_task(self._connect())

    async def _connect(self):
        loop = asyncio.get_running_loop()
        _, other = await loop.create_connection(
            PairedConnection, IP, self._port
        )
        other.other = self
        self.other = other
        for data in self._buffered:
            other.transport.write(data)

    def data_received(self, data):
        if self.other:
            self.other.transport.write(data)
        else:
            self._buffered.append(data)

    def connection_lost(self, _error):
        if self.other:
            self.other.transport.close()


async def listen_http(ports):
    """Relay with the HTTP library; return the ports it listens on."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
    )
    found = []
    for port in ports:
        app = web.Application()
        relay = HttpRelay(session, port)
        app.router.add_post('/{path:.*}', relay.handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, IP, 0).start()
        found.append(runner.addresses[0][1])
    return found


async def listen_bytes(ports):
    """Relay bytes; return the ports it listens on."""
    loop = asyncio.get_running_loop()
    found = []
    for port in ports:
        server = await loop.create_server(
            functools.partial(PairedConnection, port),
            IP,
            0,
            family=socket.AF_INET,
        )
        found.append(server.sockets[0].getsockname()[1])
    return found


async def serve(kind, ports):
    """Relay until the process is killed."""
    listen = {'http': listen_http, 'bytes': listen_bytes}[kind]
    found = await listen(ports)
    sys.stdout.write(msgspec.json.encode(found).decode() + '\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


@click.command()
@click.argument('kind', type=click.Choice(KINDS))
@click.argument('ports', nargs=-1, type=int)
def main(kind, ports):
    """Relay to each of some ports, and print the ports it listens on."""
    uvloop.run(serve(kind, ports))
