"""Crowds of clients that don't keep to the limits, one crowd at a time.

They play against the programs of the deploy file on a machine with little
memory and few descriptors.  What is checked depends on no speed.
"""

import asyncio
import contextlib
import resource

import aiohttp
import pytest

from tests import client_crowd
from tests import platform_processes
from tests import platform_standin as standin
from tests import processes

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(240)]
CLIENT_COUNT = 60
MEMORY_MB = 128
MAX_DESCRIPTORS = 256
# Left for servers, peers and the store.
SPARE_DESCRIPTORS = MAX_DESCRIPTORS // 4
BODY_BYTES = 4 << 20
ANSWER_BYTES = 1 << 20
ORDINARY_TIMEOUT_S = 45.0
# No silent connection is closed for being idle within a test.
IDLE_TIMEOUT_MS = 300_000
MB = 1 << 20
ONE_AT_A_TIME = asyncio.Lock()
BODY = b'x' * BODY_BYTES
LOOKUP = '/lookup/1'
SIZED = f'Content-Length: {BODY_BYTES}'
CHUNKED = 'Transfer-Encoding: chunked'


def post(*fields):
    return client_crowd.head(LOOKUP, *fields) + b'\r\n'


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


async def unfinished_body(_reader, writer):
    await client_crowd.write(writer, post(SIZED) + BODY[:-1])


async def body_in_pieces(_reader, writer):
    await client_crowd.write(writer, post(SIZED) + BODY[:-1], 1 << 15, 0.05)


async def expected_body(reader, writer):
    writer.write(post(SIZED, 'Expect: 100-continue'))
    await client_crowd.write(writer, BODY[:-1])


async def whole_body(_reader, writer):
    await client_crowd.write(writer, post(SIZED) + BODY)


async def answered_body(reader, writer):
    async with ONE_AT_A_TIME:
        await client_crowd.write(writer, post(SIZED) + BODY)
        head = await reader.readuntil(b'\r\n\r\n')
        found = head.partition(b'Content-Length: ')[2].partition(b'\r')[0]
        await reader.readexactly(int(found))


async def unfinished_chunks(_reader, writer):
    piece = chunk(BODY[: 1 << 16])
    data = piece * (BODY_BYTES >> 16)
    await client_crowd.write(writer, post(CHUNKED) + data)


async def unfinished_chunk(_reader, writer):
    await client_crowd.write(writer, post(CHUNKED) + chunk(BODY)[:-3])


async def small_chunks(_reader, writer):
    await client_crowd.write(writer, post(CHUNKED) + chunk(b'x') * MB)


async def chunk_extension(_reader, writer):
    writer.write(post(CHUNKED) + b'1;')
    await client_crowd.write_without_end(writer, BODY[: 1 << 16])


async def trailers(_reader, writer):
    writer.write(post(CHUNKED) + chunk(b'x') + b'0\r\n')
    await client_crowd.write_without_end(writer, b'X: y\r\n' * 10_000)


async def body_behind_a_request(_reader, writer):
    writer.write(client_crowd.head(LOOKUP, method='GET') + b'\r\n')
    await client_crowd.write(writer, post(SIZED) + BODY[:-1])


async def heads_behind_a_request(_reader, writer):
    first = client_crowd.head(LOOKUP, method='GET') + b'\r\n'
    field = b'X: ' + BODY[: 8 << 10] + b'\r\n'
    later = client_crowd.head(LOOKUP, method='GET') + field + b'\r\n'
    writer.write(first)
    await client_crowd.write(writer, later * 400)


async def endless_field(_reader, writer):
    writer.write(client_crowd.head(LOOKUP) + b'X: ')
    await client_crowd.write_without_end(writer, BODY[: 1 << 16])


async def endless_request_line(_reader, writer):
    writer.write(b'GET /lookup/')
    await client_crowd.write_without_end(writer, BODY[: 1 << 16])


async def endless_fields(_reader, writer):
    writer.write(client_crowd.head(LOOKUP))
    field = b'X: ' + BODY[: 8 << 10] + b'\r\n'
    await client_crowd.write_without_end(writer, field)


async def large_fields(_reader, writer):
    field = b'X: ' + BODY[: (16 << 10) - 16] + b'\r\n'
    await client_crowd.write(writer, client_crowd.head(LOOKUP) + field * 120)


async def second_large_head(reader, writer):
    writer.write(client_crowd.head(LOOKUP, method='GET') + b'\r\n')
    await reader.readuntil(b'\r\n\r\n')
    await large_fields(reader, writer)


async def empty_lines(_reader, writer):
    await client_crowd.write_without_end(writer, b'\r\n' * (1 << 15))


async def unread_answer(_reader, writer):
    writer.transport.pause_reading()
    await client_crowd.write(
        writer, client_crowd.head('/lookup/large', method='GET') + b'\r\n'
    )


async def silence(_reader, _writer):
    pass


async def slow_head(_reader, writer):
    writer.write(client_crowd.head(LOOKUP))
    for _ in range(8):
        writer.write(b'X: y\r\n')
        await asyncio.sleep(0.3)


ENDLESS = (
    endless_field,
    endless_request_line,
    endless_fields,
    empty_lines,
    chunk_extension,
    trailers,
)


@pytest.fixture
async def platform(tmp_path):
    """One entry on a small machine, and callers with bodies of 4 MiB."""
    limits = {'memoryMb': MEMORY_MB, 'maxFds': MAX_DESCRIPTORS}
    async with platform_processes.Platform(
        tmp_path, machine_limits=limits
    ) as platform:
        configuration = standin.configuration(6)
        configuration['limits'] = {
            'maxBodyBytes': BODY_BYTES,
            'maxHeaderBytes': 16 << 10,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': IDLE_TIMEOUT_MS,
        }
        await platform.store.put('op/config', configuration)
        yield platform


@pytest.fixture
async def deployment(tmp_path):
    """An entry and an engine of the own interface on small machines."""
    limits = {'memory_mb': MEMORY_MB, 'max_descriptors': MAX_DESCRIPTORS}
    async with processes.Deployment(tmp_path) as deployment:
        deployment.sidecar_process = await deployment.add_engine(**limits)
        deployment.entry_process = await deployment.add_entry(**limits)
        deployment.add_customer('haneul', 'ficus')
        await deployment.publish()
        yield deployment


async def check_ordinary_request(platform, body=b'ordinary'):
    """Send an ordinary request until it is answered, as callers do."""
    async with asyncio.timeout(ORDINARY_TIMEOUT_S):
        while not await _is_answered(platform, body):
            await asyncio.sleep(0.5)


async def _is_answered(platform, body):
    async with aiohttp.ClientSession() as session:
        try:
            async with session.post(
                f'{platform.callers}{LOOKUP}',
                data=body,
                headers={'Host': 'h.example', 'Request-Id': 'ordinary'},
                timeout=aiohttp.ClientTimeout(total=10),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


def check_process(platform):
    """Check that the entry lives, and never had more than its machine."""
    process = platform.entry.process
    assert process.returncode is None
    check_resources(process.pid)


def check_resources(process_id):
    peak_bytes = client_crowd.peak_memory_bytes(process_id)
    assert peak_bytes <= MEMORY_MB * MB, f'{peak_bytes / MB:.0f} MB'
    assert client_crowd.descriptor_count(process_id) <= MAX_DESCRIPTORS


def address_of(platform, listener):
    if listener == 'metrics':
        ip = platform_processes.ENTRY_IPS[0]
        return f'{ip}:{platform_processes.METRICS_PORT}'
    url = platform.ready if listener == 'ready' else platform.callers
    return url.removeprefix('http://')


class TestMemory:
    """A crowd made an entry hold more than its machine has."""

    @pytest.mark.parametrize(
        'script',
        [
            unfinished_body,
            body_in_pieces,
            expected_body,
            whole_body,
            answered_body,
            unfinished_chunks,
            unfinished_chunk,
            small_chunks,
            body_behind_a_request,
            heads_behind_a_request,
            large_fields,
            second_large_head,
            unread_answer,
            *ENDLESS,
        ],
    )
    async def test_callers(self, platform, script):
        for service in platform.services:
            service.filler = b'x' * ANSWER_BYTES
            if script in (
                whole_body,
                body_behind_a_request,
                heads_behind_a_request,
            ):
                service.delay_s = 3.0
        await self._check(platform, 'callers', script)

    @pytest.mark.parametrize('listener', ['ready', 'metrics'])
    @pytest.mark.parametrize(
        'script', [unfinished_body, large_fields, *ENDLESS]
    )
    async def test_other_listeners(self, platform, listener, script):
        await self._check(platform, listener, script)

    async def _check(self, platform, listener, script):
        address = address_of(platform, listener)
        async with client_crowd.Crowd(address, script, CLIENT_COUNT) as crowd:
            await crowd.settle()
            if script in ENDLESS:
                assert crowd.closed_count == CLIENT_COUNT
            check_process(platform)
        for service in platform.services:
            service.delay_s = 0.0
        await check_ordinary_request(platform)
        check_process(platform)


class TestOwnInterface:
    """A crowd made a process of the own interface hold too much."""

    @pytest.mark.parametrize('role', ['entry', 'sidecar'])
    @pytest.mark.parametrize('script', [large_fields, *ENDLESS])
    async def test_heads(self, deployment, role, script):
        process = getattr(deployment, f'{role}_process')
        await self._check(deployment, process, script)

    async def test_bodies(self, deployment):
        authorization = f'Authorization: Bearer {deployment.keys["haneul"]}'

        async def script(_reader, writer):
            path = '/v1/chat/completions'
            head = client_crowd.head(path, SIZED, authorization)
            await client_crowd.write(writer, head + b'\r\n' + BODY[:-1])

        await self._check(deployment, deployment.entry_process, script)

    async def _check(self, deployment, process, script):
        address = process.url.removeprefix('http://')
        async with client_crowd.Crowd(address, script, CLIENT_COUNT) as crowd:
            await crowd.settle()
            if script in ENDLESS:
                assert crowd.closed_count == CLIENT_COUNT
            check_resources(process.pid)
        async with asyncio.timeout(ORDINARY_TIMEOUT_S):
            while not await self._is_answered(deployment):
                await asyncio.sleep(0.5)
        check_resources(process.pid)

    async def _is_answered(self, deployment):
        async with deployment.call(
            deployment.entry_process, 'haneul', 'ficus'
        ) as response:
            return response.status == 200


class TestDescriptors:
    """A crowd used up the descriptors that ordinary requests need."""

    @pytest.mark.parametrize('listener', ['callers', 'ready', 'metrics'])
    @pytest.mark.parametrize('script', [silence, slow_head])
    async def test_ordinary_request_beside(self, platform, listener, script):
        await check_ordinary_request(platform)
        _limit_descriptors(platform.entry.process.pid)
        address = address_of(platform, listener)
        async with client_crowd.Crowd(
            address, script, 2 * MAX_DESCRIPTORS
        ) as crowd:
            await crowd.settle()
            check_process(platform)
            await check_ordinary_request(platform)
            count = client_crowd.descriptor_count(platform.entry.process.pid)
            assert count <= MAX_DESCRIPTORS - SPARE_DESCRIPTORS
        check_process(platform)


def _limit_descriptors(process_id):
    limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    resource.prlimit(process_id, resource.RLIMIT_NOFILE, limits)


class TestWork:
    """A crowd kept the event loop busy with next to nothing."""

    @pytest.mark.parametrize('script', [small_chunks, empty_lines])
    async def test_ordinary_request_beside(self, platform, script):
        address = address_of(platform, 'callers')
        async with client_crowd.Crowd(
            address, script, CLIENT_COUNT, is_repeated=True
        ):
            await asyncio.sleep(5.0)
            await check_ordinary_request(platform)
        check_process(platform)


class TestCalm:
    """Limits refused a single request that keeps to them."""

    @pytest.mark.parametrize('is_chunked', [False, True])
    async def test_largest_body_is_served(self, platform, is_chunked):
        async def pieces():
            yield BODY

        await check_ordinary_request(platform)
        async with aiohttp.ClientSession() as session:
            async with session.post(
                f'{platform.callers}{LOOKUP}',
                data=pieces() if is_chunked else BODY,
                headers={'Host': 'h.example', 'Request-Id': 'large'},
            ) as response:
                assert response.status == 200
        check_process(platform)

    async def test_refused_body_gets_its_refusal(self, platform):
        """A refusal was lost behind a body that nobody read."""
        host, _, port = address_of(platform, 'callers').rpartition(':')
        reader, writer = await asyncio.open_connection(host, port)
        size = f'Content-Length: {2 * BODY_BYTES}'
        with contextlib.suppress(ConnectionError):
            await client_crowd.write(writer, post(size) + 2 * BODY)
        status = await reader.readline()
        writer.close()
        assert status.split()[1] == b'413'

    async def test_large_body_beside_unfinished_ones(self, platform):
        """Unfinished bodies kept ordinary large ones out."""
        await check_ordinary_request(platform)
        async with client_crowd.Crowd(
            address_of(platform, 'callers'), unfinished_body, CLIENT_COUNT
        ) as crowd:
            await crowd.settle()
            await check_ordinary_request(platform, BODY)
        check_process(platform)
