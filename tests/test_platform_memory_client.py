"""Copies of runs' memory over the loopback interface."""

import asyncio
import contextlib
import json

from aiohttp import web
import pytest

from lacewingpitch import backend_list
from lacewingpitch.platform import memory_client
from lacewingpitch.platform import wire
from lacewingpitch import run_memory

Outcome = run_memory.CopyOutcome
HANDLE = {'handle': 'h-1', 'createdAt': 7}


class Engine:
    """Answers each call as scripted."""

    def __init__(self):
        self.status = 200
        self.content = json.dumps(HANDLE)
        self.is_aborting = False
        self.delay_s = 0.0
        self.seen = []

    async def handle(self, request):
        body = await request.text()
        headers = dict(request.headers)
        self.seen.append((request.method, request.path, body, headers))
        await asyncio.sleep(self.delay_s)
        if self.is_aborting:
            request.transport.abort()
        return web.Response(status=self.status, text=self.content)


@pytest.fixture
async def scene():
    engine = Engine()
    async with contextlib.AsyncExitStack() as exits:
        runner = web.ServerRunner(web.Server(engine.handle))
        await runner.setup()
        exits.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        port = runner.addresses[0][1]
        server = backend_list.BackendServer('i-1', 's', '127.0.0.1', port, 'z')
        yield engine, server, await memory_client.new_client(exits)


TARGET = backend_list.BackendServer('i-2', 's', '127.0.0.9', 81, 'z')


class TestCopy:
    async def test_names_the_run_and_its_target(self, scene):
        engine, server, client = scene
        answer = await client.copy(server, TARGET, 'r-1', False, 1.0)
        assert answer == run_memory.CopyAnswer(Outcome.COPIED, 'h-1', 7)
        await client.copy(server, TARGET, 'r-1', True, 1.0)
        (method, path, body, headers), last = engine.seen
        assert (method, path) == ('POST', '/lacewingpitch/kv-move')
        assert json.loads(body) == {'id': 'r-1', 'to': '127.0.0.9:81'}
        assert json.loads(last[2])['last'] is True
        assert headers['Expect-Instance'] == 'i-1'

    @pytest.mark.parametrize(
        ('status', 'outcome'),
        [
            (404, Outcome.ENDED),
            (409, Outcome.BUSY),
            (503, Outcome.NO_ROOM),
            (421, Outcome.REFUSED),
            (500, Outcome.REFUSED),
        ],
    )
    async def test_a_status_says_what_came_of_it(self, scene, status, outcome):
        engine, server, client = scene
        engine.status = status
        engine.content = 'no'
        answer = await client.copy(server, TARGET, 'r-1', True, 1.0)
        assert answer == run_memory.CopyAnswer(outcome)

    async def test_a_refusal_may_name_the_handle(self, scene):
        engine, server, client = scene
        engine.status = 503
        answer = await client.copy(server, TARGET, 'r-1', True, 1.0)
        assert answer == run_memory.CopyAnswer(Outcome.NO_ROOM, 'h-1', 7)

    @pytest.mark.parametrize(
        'content',
        [
            '',
            '[]',
            '{}',
            '{"handle": 1.5}',
            '{"handle": "a b"}',
            '{"handle": "a/../b"}',
            '{"handle": "' + 'x' * 200 + '"}',
            '{"handle": "h", "createdAt": "x"}',
        ],
    )
    async def test_a_malformed_answer_is_a_lost_one(self, scene, content):
        """Guards against a handle that changes a path or a header."""
        engine, server, client = scene
        engine.content = content
        answer = await client.copy(server, TARGET, 'r-1', True, 1.0)
        assert answer == run_memory.CopyAnswer(Outcome.LOST)

    @pytest.mark.parametrize('is_aborting', [False, True])
    async def test_no_answer_leaves_the_outcome_open(self, scene, is_aborting):
        engine, server, client = scene
        engine.is_aborting = is_aborting
        engine.delay_s = 0.0 if is_aborting else 1.0
        answer = await client.copy(server, TARGET, 'r-1', True, 0.1)
        assert answer == run_memory.CopyAnswer(Outcome.LOST)

    async def test_an_engine_that_is_gone_has_not_acted(self, scene):
        _, _, client = scene
        gone = backend_list.BackendServer('i-3', 's', '127.0.0.1', 1, 'z')
        answer = await client.copy(gone, TARGET, 'r-1', True, 1.0)
        assert answer == run_memory.CopyAnswer(Outcome.REFUSED)


class TestFree:
    async def test_names_the_handle(self, scene):
        engine, server, client = scene
        assert await client.free(server, 'h-1')
        method, path, *_ = engine.seen[0]
        assert (method, path) == ('DELETE', '/lacewingpitch/kv-handle/h-1')

    @pytest.mark.parametrize(
        ('status', 'is_freed'), [(404, True), (500, False)]
    )
    async def test_says_whether_it_is_certain(self, scene, status, is_freed):
        engine, server, client = scene
        engine.status = status
        assert await client.free(server, 'h-1') is is_freed


class TestPublishedLink:
    def decode(self, **engine):
        content = {
            'version': 1,
            'routes': [],
            'services': [{'name': 's', 'engine': {'slots': 4, **engine}}],
        }
        found = wire.decode_configuration(json.dumps(content).encode())
        return found.engines['s'].memory_link

    def test_is_decoded(self):
        link = self.decode(moves=True, handle_s=3, kvBytes=1000, linkMbps=80)
        assert link == run_memory.MemoryLink(1000.0, 10_000_000.0, 3.0)
        assert link.copy_s(100) == pytest.approx(0.02)

    def test_is_absent_where_engines_copy_nothing(self):
        assert self.decode(kvBytes=1000, linkMbps=80) is None

    @pytest.mark.parametrize('value', ['x', None, [], {}, -1, True])
    def test_a_malformed_value_leaves_the_configuration_valid(self, value):
        """Guards against a whole configuration lost by one field."""
        assert self.decode(moves=value) == (
            run_memory.MemoryLink() if value is True else None
        )
        found = self.decode(
            moves=True, handle_s=value, kvBytes=value, linkMbps=value
        )
        assert found == run_memory.MemoryLink()
        assert found.copy_s(100) == 0.0
