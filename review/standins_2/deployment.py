"""A small deployment of the project's programs, and a record of a run.

The programs are started with the commands of the deploy file, as separate
processes on loopback addresses.  Store, engines and plain servers are the
project's own stand-ins, or subclasses of them.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time
from typing import Any, Protocol, Self

import aiohttp

from tests import platform_processes
from tests import platform_standin

# Whether the case plays its disruption.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'h.example'
# Bounds of the small deployments of the users' pages.
BOUNDS: dict[str, Any] = {
    'graceS': 8,
    'configApplyMs': 2000,
    'drainMs': 2000,
    'contactMs': 3000,
    'strictRevocation': False,
    'retryBudgetRatio': 0.2,
    'retryBudgetExtra': 52,
    'budgetWindowS': 10,
}
MACHINE_LIMITS = {'memoryMb': 300, 'maxFds': 4100}
_RUN_LIMIT_S = 110.0
_HELD = 0
_BROKEN = 1
_NOT_RUN = 2


class Record:
    """Lines about what was sent, answered and run, with their times."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Return the time since the beginning of the run."""
        return time.monotonic() - self._began_s

    def add(self, text: str) -> None:
        """Add a line."""
        self._file.write(f'{self.now_s:8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


class Answer:
    """What a client got for one attempt.

    Attributes
    ----------
    status
        Status of the answer; 0 if there was no whole answer.
    """

    def __init__(
        self,
        status: int,
        took_s: float,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self.status = status
        self.took_s = took_s
        self.headers = headers
        self.body = body

    @property
    def is_success(self) -> bool:
        """Whether it is a whole answer of a server that ran the request."""
        return self.status == 200 and 'Response-Signature' in self.headers

    @property
    def retry_after_s(self) -> float:
        """Return the stated time until a retry; 0 without any."""
        return float(self.headers.get('Retry-After', 0))


class Deployment(platform_processes.Platform):
    """Entries, sidecars and their stand-ins.

    Parameters
    ----------
    engines, services
        Stand-ins of the model engines and of the plain servers.
    tenants
        Tenants of the configuration; callers need no key without any.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        entry_count: int,
        engines: list[Any] | None = None,
        services: list[Any] | None = None,
        tenants: list[dict[str, Any]] | None = None,
    ) -> None:
        super().__init__(
            folder,
            entry_count,
            tenants=tenants,
            bounds=BOUNDS,
            machine_limits=MACHINE_LIMITS,
        )
        self.record = record
        if engines is not None:
            self.engines = engines
            for engine in engines:
                engine.copies = engines[0].copies
            self.copies = engines[0].copies
        if services is not None:
            self.services = services
        platform_processes.SIDECAR_IPS = tuple(
            f'{platform_processes.NETWORK}.{11 + number}'
            for number in range(len(self.engines))
        )

    async def send(
        self,
        entry: int,
        path: str,
        request_id: str,
        method: str = 'POST',
        body: bytes = b'body',
        deadline_ms: int = 5000,
        **headers: str,
    ) -> Answer:
        """Send one client attempt on a new connection; record its end."""
        sent = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Ms': str(deadline_ms),
        }
        sent |= {k.replace('_', '-'): v for k, v in headers.items()}
        began_s = time.monotonic()
        self.record.add(f'sent {request_id} to entry {entry}: {path} {sent}')
        try:
            async with (
                asyncio.timeout(deadline_ms / 1000 + 2.0),
                aiohttp.ClientSession() as session,
                session.request(
                    method,
                    f'{self.caller_urls[entry]}{path}',
                    data=body,
                    headers=sent,
                ) as response,
            ):
                content = await response.read()
                found = Answer(
                    response.status,
                    time.monotonic() - began_s,
                    dict(response.headers),
                    content,
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            took_s = time.monotonic() - began_s
            self.record.add(f'no answer to {request_id}: {error!r}')
            return Answer(0, took_s, {}, b'')
        self.record.add(
            f'answer to {request_id}: {found.status} after '
            f'{found.took_s:.3f} s, signature '
            f'{found.headers.get("Response-Signature")}, Retry-After '
            f'{found.headers.get("Retry-After")}, {found.body[:160]!r}'
        )
        return found


class Case(Protocol):
    """Plays a case; returns why the rule was broken, or nothing."""

    async def __call__(self, folder: pathlib.Path, record: Record) -> str:
        """Play the case in a temporary folder."""
        ...


class _Limit:
    """Ends a run that takes too long."""

    async def __aenter__(self) -> Self:
        self._timeout = asyncio.timeout(_RUN_LIMIT_S)
        await self._timeout.__aenter__()
        return self

    async def __aexit__(self, *exception: Any) -> None:
        await self._timeout.__aexit__(*exception)


def run(case: Case, script: str) -> None:
    """Play a case, write its record beside its script, and exit."""
    record = Record(pathlib.Path(script).parent / 'record.txt')
    record.add(f'TROUBLE={int(HAS_TROUBLE)}')
    try:
        broken = asyncio.run(_play(case, record))
    except Exception as error:
        record.add(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(_NOT_RUN)
    text = f'broken: {broken}' if broken else 'the rule held'
    record.add(text)
    record.close()
    print(text)
    sys.exit(_BROKEN if broken else _HELD)


async def _play(case: Case, record: Record) -> str:
    with tempfile.TemporaryDirectory() as folder:
        async with _Limit():
            return await case(pathlib.Path(folder), record)


def new_engines(count: int, kind: Any = None) -> list[Any]:
    """Return stand-ins of model engines."""
    kind = kind or platform_standin.Engine
    return [kind(f'i-{number + 1}') for number in range(count)]
