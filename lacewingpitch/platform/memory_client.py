"""HTTP client for copies of runs' memory between engines."""

import contextlib
import re
from typing import Any

import aiohttp
import msgspec
import structlog
import yarl

from lacewingpitch import backend_list
from lacewingpitch import guarded_connection
from lacewingpitch.platform import names
from lacewingpitch import run_memory
from lacewingpitch import single_sending

_CONNECT_TIMEOUT_S = 0.4
_FREE_TIMEOUT_S = 1.0
_MAX_ANSWER_BYTES = 4096
_OK_STATUSES = (200, 202, 204)
_STATUS_NOT_FOUND = 404
# A handle becomes a part of a path and of a header.
_HANDLE = re.compile(r'[A-Za-z0-9._~@:-]{1,128}')
_Outcome = run_memory.CopyOutcome
_OUTCOMES = {
    200: _Outcome.COPIED,
    404: _Outcome.ENDED,
    409: _Outcome.BUSY,
    503: _Outcome.NO_ROOM,
}
log = structlog.get_logger(__name__)


class _Answer(msgspec.Struct, frozen=True):
    handle: str | int = ''
    event_count: int = msgspec.field(name='createdAt', default=0)


class HttpMemoryClient:
    """Asks engines to copy the memory of runs, and to free copies.

    Each call has a connection of its own, so that an answer never belongs to
    an earlier call.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def copy(
        self,
        source: backend_list.BackendServer,
        target: backend_list.BackendServer,
        run_id: str,
        is_last: bool,
        timeout_s: float,
    ) -> run_memory.CopyAnswer:
        """Copy the memory of a run; see `run_memory.RunMemory`."""
        body: dict[str, Any] = {
            'id': run_id,
            'to': f'{target.ip}:{target.port}',
        }
        if is_last:
            body['last'] = True
        try:
            status, content = await self._call(
                'POST', source, names.MEMORY_COPY_PATH, timeout_s, body
            )
        except aiohttp.ClientConnectorError as error:
            log.info(
                'copy not sent', backend_server=source.name, error=str(error)
            )
            return run_memory.CopyAnswer(_Outcome.REFUSED)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.info(
                'answer to a copy lost',
                backend_server=source.name,
                request_id=run_id,
                error=type(error).__name__,
            )
            return run_memory.CopyAnswer(_Outcome.LOST)
        return _decode(status, content)

    async def free(
        self, server: backend_list.BackendServer, handle: str
    ) -> bool:
        """Free a copy; see `run_memory.RunMemory`."""
        path = f'{names.MEMORY_HANDLE_PATH}{handle}'
        try:
            status, _ = await self._call(
                'DELETE', server, path, _FREE_TIMEOUT_S, None
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.info(
                'copy not freed',
                backend_server=server.name,
                handle=handle,
                error=type(error).__name__,
            )
            return False
        return status in _OK_STATUSES or status == _STATUS_NOT_FOUND

    async def _call(
        self,
        method: str,
        server: backend_list.BackendServer,
        path: str,
        timeout_s: float,
        body: dict[str, Any] | None,
    ) -> tuple[int, bytes]:
        url = yarl.URL(f'http://{server.ip}:{server.port}{path}', encoded=True)
        async with self._session.request(
            method,
            url,
            json=body,
            headers={names.EXPECT_INCARNATION: server.name},
            timeout=aiohttp.ClientTimeout(
                total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
            ),
            allow_redirects=False,
        ) as response:
            content = await response.content.read(_MAX_ANSWER_BYTES)
            return response.status, content


async def new_client(exits: contextlib.AsyncExitStack) -> HttpMemoryClient:
    """Return a client whose connections are closed by `exits`."""
    session = await exits.enter_async_context(
        single_sending.new_session(
            connector=guarded_connection.new_connector(
                limit=0, force_close=True
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
    )
    return HttpMemoryClient(session)


def _decode(status: int, content: bytes) -> run_memory.CopyAnswer:
    outcome = _OUTCOMES.get(status, _Outcome.REFUSED)
    try:
        answer = msgspec.json.decode(content, type=_Answer)
    except (msgspec.DecodeError, RecursionError):
        answer = _Answer()
    handle = str(answer.handle)
    if not _HANDLE.fullmatch(handle):
        handle = ''
    if outcome is _Outcome.COPIED and not handle:
        # The engine may have acted on it, but the run cannot continue.
        log.warning('answer to a copy is malformed', status=status)
        outcome = _Outcome.LOST
    return run_memory.CopyAnswer(outcome, handle, max(0, answer.event_count))
