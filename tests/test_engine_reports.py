"""Reports of an engine, whatever it answers."""

import asyncio
import contextlib
import json

import aiohttp
from aiohttp import web
import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from lacewingpitch import engine_gate
from lacewingpitch import errors
from lacewingpitch.platform import engine_client
from tests import any_json
from tests import clocks

_FIELDS = (
    *('state', 'models', 'pending', 'busy', 'sequence', 'queued', 'active'),
    *('runs', 'born', 'remainingMs', 'next', 'unknown'),
)
_REPORTS = st.dictionaries(
    st.sampled_from(_FIELDS), any_json.VALUES, max_size=4
).map(lambda fields: json.dumps(fields).encode())
_DEEP = [b'[' * 100_000, b'{"models":' * 50_000, b'{"x":' + b'[' * 100_000]
_HEADERS = st.dictionaries(
    st.sampled_from(['Server-Limit', 'Server-Leaving', 'Retry-After']),
    st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20)
    | st.sampled_from(['inf', 'nan', '-1', '1e999', '9' * 400]),
)


async def read_report(body, headers):
    """Return what the sidecar reads if its engine answers so."""

    async def answer(_request):
        return web.Response(body=body, headers=headers)

    app = web.Application()
    app.add_routes([web.get('/{path:.*}', answer)])
    runner = web.AppRunner(app)
    async with contextlib.AsyncExitStack() as exits:
        await runner.setup()
        exits.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        session = await exits.enter_async_context(aiohttp.ClientSession())
        client = engine_client.EngineClient(
            session,
            f'http://127.0.0.1:{runner.addresses[0][1]}',
            'side-1',
            lambda: '/healthz',
            engine_gate.EngineGate(clocks.ManualClock(50.0)),
        )
        return await client.report()


def check(body, headers):
    """Check that a report is an error, or fits into messages."""
    try:
        snapshot = asyncio.run(read_report(body, headers))
    except errors.PlatformError:
        return
    msgspec.msgpack.encode(snapshot)
    assert snapshot.queued >= 0
    assert snapshot.running >= 0
    assert snapshot.started_at_ms >= 0


class TestAnyReport:
    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(st.binary(max_size=64) | _REPORTS, _HEADERS)
    def test_is_an_error_or_fits_into_messages(self, body, headers):
        """Guards against a sidecar that one report of its engine stops."""
        check(body, headers)

    @pytest.mark.parametrize('field', ['sequence', 'queued', 'active', 'born'])
    @pytest.mark.parametrize('value', [-1, 10**30, 1.5, '1', None, True])
    def test_with_an_invalid_number_is_an_error(self, field, value):
        """Guards against replies to entries that can't be encoded."""
        body = json.dumps({field: value}).encode()
        with pytest.raises(errors.PlatformError):
            asyncio.run(read_report(body, {}))

    @pytest.mark.parametrize('body', _DEEP, ids=len)
    def test_of_any_depth_is_an_error(self, body):
        """Guards against a sidecar that a nested report stops."""
        with pytest.raises(errors.PlatformError):
            asyncio.run(read_report(body, {}))
