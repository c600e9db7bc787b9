"""Reuse of connections to backend servers, over the loopback interface."""

import asyncio
import contextlib
import dataclasses
import itertools
import time

import pytest

from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import clock
from lacewingpitch import errors
from lacewingpitch.platform import backend_client
from lacewingpitch import routing
from lacewingpitch import run_memory
from lacewingpitch import server_notice
from tests import standin_crashes

BODY = b'whole'


def answer(request_id, body=BODY, extra=b''):
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'Request-Id: {request_id}\r\n'
        f'Content-Length: {len(BODY)}\r\n\r\n'
    )
    return head.encode() + body + extra


class Observer:
    """Records what servers say about themselves."""

    def __init__(self):
        self.notices = []

    def record_answer(self, server, notice, asked_at_s):
        self.notices.append(notice)


class Gate:
    """Admits requests until it is closed."""

    def __init__(self):
        self.is_closed = False

    def admit(self, call):
        if self.is_closed:
            raise backend_call.WithheldError('closed')


class EndCheck:
    """Confirms that answers have ended by themselves, unless it is told."""

    def __init__(self):
        self.checked = []
        self.has_server_ended = False

    @contextlib.asynccontextmanager
    async def watch(self, server, _waited_s):
        self._server = server
        yield self

    async def confirm(self, request_id):
        self.checked.append((self._server.name, request_id))
        if self.has_server_ended:
            raise backend_call.AnswerLostError('the server has ended')


class Server:
    """Answers each request with a scripted response; counts connections."""

    def __init__(self):
        self.connection_count = 0
        self.scripts = []
        self.seen = []
        self.arrived = []
        self.writers = []
        # What the client took for answers.
        self.answers = []

    def close(self):
        """Close all connections."""
        for writer in self.writers:
            writer.close()

    async def reset_last(self):
        """Reset the last connection, and wait until its client knows."""
        transport = self.writers[-1].transport
        standin_crashes.reset_on_close(transport)
        transport.close()
        await asyncio.sleep(0.1)

    async def serve(self, reader, writer):
        self.connection_count += 1
        self.writers.append(writer)
        with (
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
            contextlib.closing(writer),
        ):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                request_id = head.partition('X-Id: ')[2].partition('\r')[0]
                self.arrived.append(request_id)
                script = self.scripts.pop(0) if self.scripts else answer
                found = script(request_id)
                if found is None:
                    writer.transport.abort()
                    return
                writer.write(found)
                await writer.drain()


def make_call(
    request_id,
    port,
    kind=routing.RequestKind.IDEMPOTENT,
    method='POST',
    is_retry=False,
):
    route = routing.Route(
        'r',
        'h',
        '/',
        (routing.WeightedService('s', 1.0),),
        kind,
        10.0,
        1.0,
    )
    now_s = time.monotonic()
    request = backend_call.CallerRequest(
        request_id=request_id,
        method=method,
        target='/x',
        headers=(('X-Id', request_id),),
        body=b'',
        route=route,
        arrived_at_s=now_s,
        deadline_at_s=now_s + 5.0,
    )
    server = backend_list.BackendServer('i-1', 's', '127.0.0.1', port, 'z')
    return backend_call.BackendCall(
        request, server, 0, 0, now_s + 5.0, is_retry=is_retry
    )


def play(scenario):
    async def main():
        server = Server()
        listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]

        async with contextlib.AsyncExitStack() as exits:
            exits.callback(server.close)
            exits.callback(listening.close)
            server.observer = Observer()
            server.gate = Gate()
            server.end_check = EndCheck()
            server.listening = listening
            client = backend_client.new_client(
                exits,
                server.observer,
                server.gate,
                server.end_check,
                clock.SystemClock(),
            )

            async def send(request_id, before_reading=None, **fields):
                call = make_call(request_id, port, **fields)
                async with client.send(call) as found:
                    server.answers.append(found)
                    if before_reading is not None:
                        await before_reading()
                    return b''.join([chunk async for chunk in found.chunks])

            await scenario(server, send)

    asyncio.run(asyncio.wait_for(main(), 20.0))


class TestReuse:
    def test_idempotent_requests_share_a_connection(self):
        async def scenario(server, send):
            for number in range(5):
                assert await send(f'r{number}') == BODY
            assert server.connection_count == 1

        play(scenario)

    @pytest.mark.parametrize(
        'kind', [routing.RequestKind.AT_MOST_ONCE, routing.RequestKind.STREAM]
    )
    def test_other_requests_use_a_connection_of_their_own(self, kind):
        """Guards against a lost request that must not run twice.

        Its server closes a persistent connection while the request is in
        transit; it is unknown whether it ran, so that it cannot be sent
        again.
        """

        async def scenario(server, send):
            await send('first')
            for number in range(3):
                await send(f'r{number}', kind=kind)
            assert server.connection_count == 4

        play(scenario)

    def test_a_retry_is_sent_on_a_new_connection(self):
        """Guards against a second answer that costs the last attempt."""

        async def scenario(server, send):
            server.scripts = [answer, lambda name: answer('one')]
            await send('one')
            with pytest.raises(backend_call.AnswerLostError):
                await send('two')
            await send('three')
            count = server.connection_count
            assert await send('two', is_retry=True) == BODY
            assert server.connection_count == count + 1

        play(scenario)

    def test_a_connection_with_extra_bytes_is_not_reused(self):
        """Guards against a caller receiving the answer to another request.

        A server sends a response twice; the duplicate would be read as the
        response to the next request.
        """

        async def scenario(server, send):
            server.scripts = [
                lambda name: answer(name, extra=answer('stranger'))
            ]
            assert await send('one') == BODY
            with contextlib.suppress(backend_call.AnswerLostError):
                assert await send('two') == BODY
            assert await send('three') == BODY

        play(scenario)

    def test_a_late_duplicate_response_is_not_accepted(self):
        async def scenario(server, send):
            assert await send('one') == BODY
            server.writers[0].write(answer('one', body=b'other'))
            await asyncio.sleep(0.05)
            with contextlib.suppress(
                backend_call.AnswerLostError,
                backend_call.StaleConnectionError,
            ):
                assert await send('two') == BODY
            assert await send('three') == BODY

        play(scenario)

    def test_the_error_names_the_request_of_a_foreign_response(self):
        async def scenario(server, send):
            server.scripts = [lambda name: answer('stranger')]
            with pytest.raises(
                backend_call.AnswerLostError, match="'stranger'"
            ):
                await send('one')

        play(scenario)

    def test_a_connection_with_an_incomplete_response_is_not_reused(self):
        async def scenario(server, send):
            server.scripts = [lambda name: answer(name, body=b'wh')]

            async def broken():
                async with asyncio.timeout(0.1):
                    await send('one')

            with pytest.raises(TimeoutError):
                await broken()
            assert await send('two') == BODY
            assert server.connection_count == 2

        play(scenario)

    def test_a_response_without_a_length_closes_its_connection(self):
        async def scenario(server, send):
            head = b'HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\n'
            server.scripts = [lambda name: head + BODY]
            sending = asyncio.create_task(send('one'))
            while not server.arrived:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            server.writers[0].close()
            assert await sending == BODY
            assert await send('two') == BODY
            assert server.connection_count == 2

        play(scenario)

    def test_a_connection_that_the_server_will_close_is_not_reused(self):
        """Guards against a request sent on a connection that ends."""

        async def scenario(server, send):
            closing = b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
            server.scripts = [
                lambda name: answer(name).replace(
                    b'HTTP/1.1 200 OK\r\n', closing
                )
            ]
            assert await send('one') == BODY
            assert await send('two') == BODY
            assert server.connection_count == 2

        play(scenario)

    def test_a_compressed_answer_counts_as_lost(self):
        """Guards against a body that is not the server's."""

        async def scenario(server, send):
            encoded = b'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n'
            server.scripts = [
                lambda name: answer(name).replace(
                    b'HTTP/1.1 200 OK\r\n', encoded
                )
            ]
            with pytest.raises(backend_call.AnswerLostError):
                await send('one')

        play(scenario)


class TestStatuses:
    @pytest.mark.parametrize('is_reused', [False, True])
    @pytest.mark.parametrize('extra', [b'', b'Not-Executed: 1\r\n'])
    @pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
    def test_a_status_that_is_none_is_a_lost_answer(
        self, status, extra, is_reused
    ):
        """Guards against telling a caller less than is known."""

        def script(request_id):
            line, _, rest = answer(request_id).partition(b'\r\n')
            return line.replace(b'200', status) + b'\r\n' + extra + rest

        async def scenario(server, send):
            if is_reused:
                await send('r-0')
            server.scripts = [script]
            with pytest.raises(backend_call.AnswerLostError):
                await send('r-1')
            assert server.arrived[-1] == 'r-1'

        play(scenario)


class Break:
    """Ways in which a server ends a connection that a request arrived on."""

    @staticmethod
    def reset(_server, _name):
        return None

    @staticmethod
    def in_the_head(server, _name):
        server.writers[-1].write(b'HTTP/1.1 200 OK\r\nRequest-')
        server.writers[-1].close()
        return b''

    @staticmethod
    def in_the_body(server, name):
        server.writers[-1].write(answer(name, body=b'w'))
        server.writers[-1].close()
        return b''

    @staticmethod
    def and_leaves(server, _name):
        server.listening.close()
        return None

    @staticmethod
    def and_its_gate_closes(server, _name):
        server.gate.is_closed = True
        return None


BREAKS = [b for n, b in vars(Break).items() if isinstance(b, staticmethod)]
METHODS = ['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE', 'POST', 'LOCK']
# Errors that promise that the request has not run.
NOT_RUN_ERRORS = (
    backend_call.NotSentError,
    backend_call.NotRunError,
    backend_call.WithheldError,
)


class TestSendings:
    def send_once(self, method, kind, break_off, is_reused):
        """Return how often a request arrived, and if that was denied."""
        found = []

        async def scenario(server, send):
            if is_reused:
                await send('before')
            server.scripts = [lambda name: break_off(server, name)]
            is_denied = False
            try:
                await send('one', kind=kind, method=method)
            except NOT_RUN_ERRORS:
                is_denied = True
            except errors.PlatformError:
                pass
            found.append((server.arrived.count('one'), is_denied))

        play(scenario)
        return found[0]

    def test_a_request_whose_connection_breaks_is_sent_once(self):
        """Guards against an HTTP client that repeats requests by itself."""
        cases = itertools.product(
            METHODS, routing.RequestKind, BREAKS, (False, True)
        )
        found = {
            (method, kind.name, break_off.__name__, is_reused): self.send_once(
                method, kind, break_off, is_reused
            )
            for method, kind, break_off, is_reused in cases
        }
        assert {c: f for c, f in found.items() if f != (1, False)} == {}


class TestStale:
    def test_a_reset_of_a_reused_connection_is_a_stale_connection(self):
        """Guards against avoiding a healthy server.

        The server drops an idle connection without closing it, and resets
        it when the next request arrives.
        """

        async def scenario(server, send):
            await send('one')
            server.scripts = [lambda name: None]
            with pytest.raises(backend_call.StaleConnectionError):
                await send('two')
            assert await send('three') == BODY

        play(scenario)

    def test_a_reset_of_a_new_connection_is_a_failure_of_the_server(self):
        async def scenario(server, send):
            server.scripts = [lambda name: None]
            with pytest.raises(backend_call.AnswerLostError):
                await send('one')

        play(scenario)

    def test_a_connection_closed_while_idle_is_not_reused(self):
        async def scenario(server, send):
            await send('one')
            server.writers[0].close()
            await asyncio.sleep(0.05)
            assert await send('two') == BODY
            assert server.connection_count == 2

        play(scenario)


class TestNotices:
    """What answers say about their server."""

    def observe(self, status='200 OK', request_id='one', **headers):
        lines = ''.join(
            f'{name.replace("_", "-")}: {value}\r\n'
            for name, value in headers.items()
        )
        found = []

        async def scenario(server, send):
            head = f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n{lines}'
            if request_id:
                head += f'Request-Id: {request_id}\r\n'
            server.scripts = [lambda _: f'{head}\r\n'.encode()]
            with contextlib.suppress(errors.PlatformError):
                await send('one')
            found.extend(server.observer.notices)

        play(scenario)
        return found

    def test_are_decoded_together(self):
        (notice,) = self.observe(
            '503 Busy',
            Not_Executed='1',
            Server_Leaving='1',
            Server_Limit='1.5',
            Retry_After='2.5',
        )
        assert notice == server_notice.ServerNotice(1.5, True, 2.5)

    @pytest.mark.parametrize(
        ('text', 'backoff_s'),
        [
            ('3', 3.0),
            ('0.25', 0.25),
            ('0', 0.0),
            ('1e9', 1e9),
            ('inf', float('inf')),
            ('-3', 0.0),
            ('nan', 0.0),
            ('soon', 0.0),
            ('Wed, 21 Oct 2026 07:28:00 GMT', 0.0),
        ],
    )
    def test_a_backoff_may_have_any_text(self, text, backoff_s):
        """Guards against an answer that is lost by an odd Retry-After."""
        (notice,) = self.observe('503 Busy', Retry_After=text)
        assert notice.backoff_s == backoff_s

    @pytest.mark.parametrize(
        ('status', 'backoff_s'),
        [('200 OK', 0.0), ('500 Error', 0.0), ('429 Too Many', 3.0)],
    )
    def test_only_who_turns_away_asks_for_backoff(self, status, backoff_s):
        (notice,) = self.observe(status, Retry_After='3')
        assert notice.backoff_s == backoff_s

    @pytest.mark.parametrize('text', ['0', 'no', ''])
    def test_only_one_value_means_leaving(self, text):
        (notice,) = self.observe(Server_Leaving=text)
        assert not notice.is_leaving

    @pytest.mark.parametrize(
        'fields',
        [
            {'status': '421 Misdirected'},
            {'request_id': ''},
            {'request_id': 'another'},
        ],
        ids=['other incarnation', 'without id', 'to another request'],
    )
    def test_other_answers_say_nothing(self, fields):
        """Guards against a proxy or a late answer that closes a server."""
        notices = self.observe(
            **{'status': '503 Busy', **fields},
            Server_Leaving='1',
            Retry_After='3',
        )
        assert notices == []

    def test_connection_close_is_no_announcement_of_leaving(self):
        (notice,) = self.observe(Connection='close')
        assert not notice.is_leaving


class TestGate:
    @pytest.mark.parametrize('kind', list(routing.RequestKind))
    def test_no_byte_of_a_withheld_request_reaches_the_server(self, kind):
        """Guards against requests whose server closed as they connected."""

        async def scenario(server, send):
            await send('one', kind=kind)
            server.gate.is_closed = True
            server.scripts = [lambda name: server.seen.append(name)]
            with pytest.raises(backend_call.WithheldError):
                await send('two', kind=kind)
            await asyncio.sleep(0.05)
            assert server.seen == []
            server.gate.is_closed = False
            server.scripts.clear()
            assert await send('three', kind=kind) == BODY

        play(scenario)


class TestContinuedRun:
    """Guards against a run that continues from the memory of another."""

    def test_only_its_memory_is_named_in_addition(self):
        call = make_call('r-1', 80)
        before = backend_client._request_headers(call)
        source = backend_list.BackendServer('i-2', 's', '127.0.0.2', 81, 'z')
        memory = run_memory.MemoryHandle(source, 'h-1')
        continued = dataclasses.replace(call, memory=memory)
        added = backend_client._request_headers(continued)
        assert [name for name, _ in before] == [
            name for name, _ in added if name != 'Kv-From'
        ]
        assert dict(added)['Kv-From'] == '127.0.0.2:81/h-1'
        assert 'Kv-From' not in dict(before)


def unframed(request_id, status='200 OK', body=BODY, headers=()):
    """Return an answer with neither a length nor chunks."""
    lines = [f'HTTP/1.1 {status}', f'Request-Id: {request_id}', *headers]
    return '\r\n'.join([*lines, '', '']).encode() + body


class TestUnframedAnswers:
    """Answers that end with their connection."""

    async def send_unframed(self, server, send, is_reset=False, **fields):
        server.scripts = [lambda name: unframed(name, **fields)]
        sending = asyncio.create_task(send('one'))
        while not server.writers:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        transport = server.writers[-1].transport
        if is_reset:
            standin_crashes.reset_on_close(transport)
        transport.close()
        return await sending

    @pytest.mark.parametrize('part', [BODY, BODY[:2], b''])
    @pytest.mark.parametrize('name', ['one', 'another'])
    @pytest.mark.parametrize('kind', ['framed', 'unframed'])
    def test_a_second_answer_is_no_part_of_the_body(self, part, name, kind):
        """Guards against a body that goes on with another answer."""
        second = {'framed': answer, 'unframed': unframed}[kind](name)

        async def scenario(server, send):
            with pytest.raises(backend_call.AnswerLostError):
                await self.send_unframed(server, send, body=part + second)

        play(scenario)

    def test_the_end_is_confirmed(self):
        async def scenario(server, send):
            assert await self.send_unframed(server, send) == BODY
            assert server.end_check.checked == [('i-1', 'one')]

        play(scenario)

    def test_an_answer_whose_server_has_ended_is_lost(self):
        """Guards against a part of an answer that passes for the whole."""

        async def scenario(server, send):
            server.end_check.has_server_ended = True
            with pytest.raises(backend_call.AnswerLostError):
                await self.send_unframed(server, send)

        play(scenario)

    @pytest.mark.parametrize('coding', ['identity', 'IDENTITY ', '', ','])
    def test_the_end_is_confirmed_if_a_coding_does_not_mark_it(self, coding):
        """Guards against a part of an answer that passes for the whole."""
        header = f'Transfer-Encoding: {coding}'

        async def scenario(server, send):
            found = await self.send_unframed(server, send, headers=[header])
            assert found == BODY
            assert server.end_check.checked == [('i-1', 'one')]

        play(scenario)

    @pytest.mark.parametrize(
        'coding', ['gzip', 'gzip, chunked', 'chunked, identity', 'x-chunked']
    )
    def test_a_body_in_an_unknown_coding_is_lost(self, coding):
        """Guards against bytes that pass for the body they encode."""
        header = f'Transfer-Encoding: {coding}'
        body = b'4\r\nbody\r\n0\r\n\r\n'

        async def scenario(server, send):
            with pytest.raises(backend_call.AnswerLostError):
                await self.send_unframed(
                    server, send, headers=[header], body=body
                )

        play(scenario)

    def test_a_connection_that_is_reset_needs_no_check(self):
        async def scenario(server, send):
            with pytest.raises(backend_call.AnswerLostError):
                await self.send_unframed(server, send, is_reset=True)
            assert server.end_check.checked == []

        play(scenario)

    def test_a_reset_that_comes_before_the_answer_is_read_breaks_it_off(self):
        """Guards against a part of an answer that passes for the whole."""

        async def scenario(server, send):
            server.scripts = [unframed]
            with pytest.raises(backend_call.AnswerLostError):
                await send('one', before_reading=server.reset_last)
            assert server.end_check.checked == []

        play(scenario)

    def test_an_answer_that_marks_its_end_is_not_checked(self):
        """Guards against a wait at each answer."""

        async def scenario(server, send):
            assert await send('one') == BODY
            server.scripts = [
                lambda name: unframed(name, body=b''),
                lambda name: unframed(name, '204 No Content', b''),
            ]
            assert await send('two', method='HEAD') == b''
            assert await send('three') == b''
            assert server.end_check.checked == []

        play(scenario)


def signed(request_id, fields, status='200 OK'):
    """Return an answer, and its fields in the given order."""
    found = {
        'Request-Id': request_id,
        'Response-Signature': f'by-{request_id}',
        'Content-Length': str(len(BODY)),
    }
    lines = [f'HTTP/1.1 {status}', *(f'{n}: {found[n]}' for n in fields)]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + BODY, found


class TestHeadsThatRunTogether:
    ORDERS = list(
        itertools.permutations(
            ('Request-Id', 'Response-Signature', 'Content-Length')
        )
    )

    @pytest.mark.parametrize('fields', ORDERS, ids='/'.join)
    def test_are_no_answer_to_the_second_request(self, fields):
        """Guards against fields of two answers in one.

        A server answers twice, and its second answer, which is late, breaks
        off in its head; it goes on with the answer to the next request.
        """
        surplus, _ = signed('first', fields)
        own, found = signed('next', fields, '500 Internal Server Error')

        async def scenario(server, send):
            for cut in range(surplus.index(b'\r\n\r\n') + 4):
                server.scripts = [
                    lambda _: signed('first', fields)[0],
                    lambda _, cut=cut: surplus[:cut] + own,
                ]
                await send('first')
                server.answers.clear()
                with contextlib.suppress(errors.PlatformError):
                    await send('next')
                for taken in server.answers:
                    assert taken.status == 500, surplus[:cut]
                    kept = [x for x in taken.headers if x[0] in found]
                    assert dict(kept).items() <= found.items(), surplus[:cut]
                    assert len(dict(kept)) == len(kept), surplus[:cut]

        play(scenario)
