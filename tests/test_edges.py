"""Bad input at the edges that callers and the platform reach."""

import asyncio
import contextlib

import aiohttp
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import msgspec
import pytest

from lacewingpitch import demo
from lacewingpitch import errors
from lacewingpitch import work
from tests import processes

IP = demo.IP
KINDS = {kind.value for kind in errors.ErrorKind}
MAX_HEAD_BYTES = 1 << 16
EXAMPLES = 40
ODD_JSON = [
    b'',
    b'null',
    b'[]',
    b'"ficus-care"',
    b'{}',
    b'{"model": null}',
    b'{"model": 1}',
    b'{"model": "\xff"}',
    b'{"model": "\\ud800"}',
    b'{"model": "' + b'x' * 100_000 + b'"}',
    b'{"model": "ficus-care", "stream": "yes"}',
    b'{"model": "ficus-care", "max_tokens": -1}',
    b'{"model": "ficus-care", "max_tokens": 1e400}',
    b'{"model": "ficus-care", "max_tokens": ' + b'9' * 40 + b'}',
    b'{"model": "ficus-care", "messages": ' + b'[' * 100_000,
    b'{"messages": ' + b'[' * 400 + b']' * 400 + b'}',
]
ODD_HEADS = [
    b'\r\n\r\n',
    b'GET\r\n\r\n',
    b'GET / HTTP/9.9\r\n\r\n',
    b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
    b'GET /healthz HTTP/1.1\r\nHost: a\r\nA b: c\r\n\r\n',
    b'GET /healthz HTTP/1.1\r\nHost: a\r\nA: ' + b'x' * 20_000 + b'\r\n\r\n',
    b'GET /' + b'x' * 20_000 + b' HTTP/1.1\r\nHost: a\r\n\r\n',
    b'POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n',
    b'POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    b'GET /healthz HTTP/1.1\r\nHost: a\r\n' + b'A: b\r\n' * 1000 + b'\r\n',
]


@pytest.fixture
async def deployment():
    async with demo.Deployment() as found:
        yield found


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as found:
        yield found


def url_of(deployment, path='/v1/chat/completions'):
    return f'http://{IP}:{deployment.entry.work_port}{path}'


def headers_of(deployment, **fields):
    key = deployment.keys['haneul']
    return {'Authorization': f'Bearer {key}'} | fields


async def send_raw(port, data, *, half_close=False):
    """Send bytes as they are; return what comes back until the end."""
    async with asyncio.timeout(processes.WAIT_S):
        reader, writer = await asyncio.open_connection(IP, port)
        with contextlib.closing(writer):
            writer.write(data)
            await writer.drain()
            if half_close:
                writer.write_eof()
            with contextlib.suppress(ConnectionError):
                return await reader.read(MAX_HEAD_BYTES)
    return b''


async def serves(deployment, session):
    """Whether a good request is still served."""
    async with session.post(
        url_of(deployment),
        json={'model': 'ficus-care'},
        headers=headers_of(deployment),
    ) as response:
        body = await response.json()
        return response.status == 200 and body['model'] == 'ficus-care@1'


async def check_refusal(response):
    """Hold an answer against the closed list, and return its kind."""
    body = msgspec.json.decode(await response.read(), type=work.ErrorBody)
    rule = errors.ANSWER_RULES[body.error.kind]
    assert response.status == rule.status
    assert response.headers[work.KIND_HEADER] == body.error.kind
    assert response.headers[work.OUTCOME_HEADER] == body.error.outcome
    assert response.headers[work.REQUEST_ID_HEADER]
    return body.error.kind


class TestCallers:
    @pytest.mark.parametrize('body', ODD_JSON)
    async def test_odd_json_is_refused_as_not_run(
        self, deployment, session, body
    ):
        async with session.post(
            url_of(deployment), data=body, headers=headers_of(deployment)
        ) as response:
            assert await check_refusal(response) == 'bad-request'
            assert len(await response.read()) < 1000
        assert not any(engine.truth.runs for engine in deployment.engines)
        assert await serves(deployment, session)

    @pytest.mark.parametrize(
        'fields', [{'stream': None}, {'max_tokens': None}]
    )
    async def test_null_means_that_a_field_is_not_given(
        self, deployment, session, fields
    ):
        async with session.post(
            url_of(deployment),
            json={'model': 'ficus-care'} | fields,
            headers=headers_of(deployment),
        ) as response:
            assert response.status == 200

    @pytest.mark.parametrize('data', ODD_HEADS)
    async def test_odd_heads_end_the_connection_only(
        self, deployment, session, data
    ):
        answer = await send_raw(
            deployment.entry.work_port, data, half_close=True
        )
        assert answer == b'' or answer.startswith(b'HTTP/1.')
        assert b' 200 ' not in answer.split(b'\r\n')[0]
        assert await serves(deployment, session)

    @pytest.mark.parametrize(
        'name', ['Authorization', 'Idempotency-Key', 'Content-Type', 'X-Any']
    )
    async def test_a_header_that_is_no_text_is_refused(
        self, deployment, session, name
    ):
        """A caller gets a broken connection for one odd byte.

        A header that is not UTF-8 reaches the handler as lone surrogates
        and fails at the first codec, as an error nobody expects.
        """
        head = (
            b'POST /v1/completions HTTP/1.1\r\nHost: a\r\n'
            b'Connection: close\r\nContent-Length: 0\r\n'
        )
        value = b'Bearer \xff\xfe'
        answer = await send_raw(
            deployment.entry.work_port,
            head + name.encode() + b': ' + value + b'\r\n\r\n',
        )
        assert answer.startswith(b'HTTP/1.1 400')
        assert b'Lacewingpitch-Error-Kind: bad-request' in answer
        assert await serves(deployment, session)

    @pytest.mark.parametrize('key', ['', 'x' * 7000, 'a,b', '\u00e9'])
    async def test_a_wrong_api_key_is_refused(self, deployment, session, key):
        async with session.post(
            url_of(deployment),
            json={'model': 'ficus-care'},
            headers={'Authorization': f'Bearer {key}'},
        ) as response:
            assert await check_refusal(response) == 'unauthenticated'

    async def test_an_overlong_idempotency_key_is_refused(
        self, deployment, session
    ):
        async with session.post(
            url_of(deployment),
            json={'model': 'ficus-care'},
            headers=headers_of(deployment, **{'Idempotency-Key': 'x' * 999}),
        ) as response:
            assert await check_refusal(response) == 'bad-idempotency-key'

    async def test_a_body_above_the_limit_is_refused(
        self, deployment, session
    ):
        async with session.post(
            url_of(deployment),
            data=b'x' * (deployment.entry.settings.max_body_bytes + 1),
            headers=headers_of(deployment),
        ) as response:
            assert await check_refusal(response) == 'body-too-large'

    async def test_a_gzip_bomb_is_refused(self, deployment, session):
        size = 50 * deployment.entry.settings.max_body_bytes
        async with session.post(
            url_of(deployment),
            data=_gzip_zeros(size),
            headers=headers_of(deployment, **{'Content-Encoding': 'gzip'}),
        ) as response:
            kind = await check_refusal(response)
        assert kind in ('body-too-large', 'bad-request')
        assert await serves(deployment, session)

    @pytest.mark.parametrize(
        ('method', 'path'),
        [
            ('GET', '/'),
            ('GET', '/v1/chat/completions'),
            ('POST', '/v1/models'),
            ('GET', '/v1/../metrics/../..'),
            ('POST', '/run'),
        ],
    )
    async def test_other_paths_are_refused_from_the_closed_list(
        self, deployment, session, method, path
    ):
        async with session.request(
            method, url_of(deployment, path)
        ) as response:
            assert await check_refusal(response) == 'not-found'

    async def test_every_answer_says_its_request_id(self, deployment, session):
        async with session.get(url_of(deployment, '/v1/models')) as response:
            assert await check_refusal(response) == 'unauthenticated'

    @hypothesis_settings(max_examples=EXAMPLES)
    @given(data=strategies.binary(max_size=200))
    def test_any_bytes_leave_the_entry_at_work(self, data):
        async def check():
            async with (
                demo.Deployment() as deployment,
                aiohttp.ClientSession() as session,
            ):
                port = deployment.entry.work_port
                await send_raw(port, data, half_close=True)
                line = b'POST /v1/completions HTTP/1.1\r\n'
                await send_raw(port, line + data, half_close=True)
                assert await serves(deployment, session)

        asyncio.run(check())


def _gzip_zeros(size):
    import zlib

    packer = zlib.compressobj(wbits=31)
    return packer.compress(b'\0' * size) + packer.flush()
