"""Connections to backend servers that are asked for their health once."""

import asyncio
from collections.abc import Callable

import structlog

from lacewingpitch import backend_list
from lacewingpitch.platform import names
from lacewingpitch import server_state
from lacewingpitch import start_witness

_CONNECT_TIMEOUT_S = 0.4
# A health check waits for a slot, as any request does, and a sound server may
# be silent for a moment.
_ANSWER_TIMEOUT_S = 2.5
_MAX_LINE_BYTES = 1 << 12
_MAX_HEADERS = 64
_STATUS_OTHER_INCARNATION = b'421'
_STATUS_PREFIX = b'HTTP/1.'
log = structlog.get_logger(__name__)


class HealthConnection:
    """An open connection to a server, for one health check."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: bytes,
        name: str,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._request = request
        self._name = name

    async def state(self) -> server_state.ServerState:
        """Return whether the process that accepted it still runs.

        Any answer shows that, also one that the server is full, unless it
        names another incarnation: a process that was silent may have opened
        the connection too late.  A connection that has ended shows nothing:
        a server may end it for having too many.
        """
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                self._writer.write(self._request)
                await self._writer.drain()
                line = await self._reader.readline()
                name = await self._read_incarnation()
        except (OSError, ValueError, TimeoutError) as error:
            log.info('no answer to a witness', error=repr(error))
            return server_state.ServerState.UNKNOWN
        words = line.split()
        if not line.startswith(_STATUS_PREFIX) or len(words) < 2:
            return server_state.ServerState.UNKNOWN
        if words[1] == _STATUS_OTHER_INCARNATION:
            return server_state.ServerState.ENDED
        if name not in ('', self._name):
            return server_state.ServerState.ENDED
        return server_state.ServerState.RUNNING

    async def _read_incarnation(self) -> str:
        """Return the name in the headers; empty without one."""
        for _ in range(_MAX_HEADERS):
            line = await self._reader.readline()
            header, _, value = line.decode('latin-1').partition(':')
            if header.lower() == names.INCARNATION.lower():
                return value.strip()
            if not line.strip():
                break
        return ''

    def close(self) -> None:
        """Close it."""
        self._writer.close()


class HealthConnections:
    """Opens connections for health checks.

    Parameters
    ----------
    health_path
        Returns the path of the health checks of a service.
    """

    def __init__(self, health_path: Callable[[str], str]) -> None:
        self._health_path = health_path

    async def open(
        self, server: backend_list.BackendServer
    ) -> start_witness.WitnessConnection | None:
        """Return an open connection; ``None`` if there can be none."""
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    server.ip, server.port, limit=_MAX_LINE_BYTES
                )
        except (OSError, TimeoutError) as error:
            log.info(
                'no connection for a witness',
                backend_server=server.name,
                error=repr(error),
            )
            return None
        path = self._health_path(server.service)
        request = (
            f'GET {path} HTTP/1.1\r\nHost: {server.ip}:{server.port}\r\n'
            f'{names.EXPECT_INCARNATION}: {server.name}\r\n'
            'Connection: close\r\n\r\n'
        )
        return HealthConnection(reader, writer, request.encode(), server.name)
