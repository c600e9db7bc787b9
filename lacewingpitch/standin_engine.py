"""Stand-in for a model engine that records what it ran.

A stand-in is a small test double of an outside system: it listens on a
real port, injects faults on command and records its own state, which
tests and the demo compare with what callers received.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools

from aiohttp import web
import msgspec

from lacewingpitch import http_server
from lacewingpitch import response_format

_MAX_RESUMABLE_RUNS = 10_000


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """Faults that the stand-in injects.

    Parameters
    ----------
    failing_loads
        Number of the next adapter loads that fail.
    cut_after_events
        Number of events after which the next stream that reaches it is
        aborted; ``None`` for no abort.
    wrong_adapter
        Whether calls run on an adapter other than the requested one.
    refusing
        Whether every call is refused with status 503.
    report_delay_s
        Delay before the state for a report is read.
    runs_on
        Whether a run continues when its connection is lost.
    refusing_resumes
        Whether requests to resume a stream are refused.
    cutting_whole
        Number of the next non-streamed answers whose connection is
        aborted after the run has finished.
    status
        HTTP status with which every call is refused; 0 for no refusal.
    late_s
        Delay of every second answer, of any endpoint, after the state in
        it was read.  Answers overtake each other and arrive outdated.
    """

    failing_loads: int = 0
    cut_after_events: int | None = None
    wrong_adapter: bool = False
    refusing: bool = False
    report_delay_s: float = 0.0
    runs_on: bool = False
    refusing_resumes: bool = False
    cutting_whole: int = 0
    status: int = 0
    late_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Run:
    """The record of one run of one request.

    Parameters
    ----------
    run_id
        Id that the sidecar gave the run.
    adapter
        Adapter on which the request ran, also if it is the wrong one.
    body
        Body of the request.
    """

    run_id: str
    adapter: str
    body: bytes
    finished: bool = False
    cancelled: bool = False


@dataclasses.dataclass(slots=True)
class EngineRecord:
    """The recorded state of an engine, to compare with its answers.

    Parameters
    ----------
    evictions_under_run
        Adapters that were evicted while requests ran on them.
    fenced_orders
        Number of commands and calls refused for an outdated fencing
        token.
    loading
        Number of loads in progress.
    """

    runs: list[Run] = dataclasses.field(default_factory=list)
    loads: list[str] = dataclasses.field(default_factory=list)
    evictions: list[str] = dataclasses.field(default_factory=list)
    evictions_under_run: list[str] = dataclasses.field(default_factory=list)
    fenced_orders: int = 0
    loading: int = 0


class StandinEngine:
    """Serves generated completions on adapters that it must hold."""

    def __init__(
        self,
        base_model: str,
        *,
        adapter_slots: int = 4,
        checks_fencing: bool = True,
        load_s: float = 0.05,
        token_s: float = 0.005,
        answer_tokens: int = 8,
    ) -> None:
        self.base_model = base_model
        self.adapter_slots = adapter_slots
        self.checks_fencing = checks_fencing
        self.load_s = load_s
        self.token_s = token_s
        self.answer_tokens = answer_tokens
        self.faults = EngineFaults()
        self.recorded = EngineRecord()
        self._incarnations = itertools.count(1)
        self._transports: set[asyncio.Transport] = set()
        self._answer_indexes = itertools.count()
        self._server = http_server.HttpServer(8 << 20)
        self.restart()

    @property
    def port(self) -> int:
        """Return the port on which it listens."""
        return self._server.port

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen on `ip`."""
        server = self._server
        server.route('GET', '/v1/report', self._report)
        server.route('POST', '/v1/load_lora_adapter', self._load)
        server.route('POST', '/v1/unload_lora_adapter', self._unload)
        server.route('POST', '/v1/cancel', self._cancel)
        server.route('POST', '/v1/resume', self._resume)
        server.route('POST', '/v1/chat/completions', self._complete)
        server.route('POST', '/v1/completions', self._complete)
        server.route('GET', '/truth', self._get_record)
        server.route('POST', '/faults', self._set_faults)
        server.route('POST', '/restart', self._restart)
        await server.start(ip, port)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    def restart(self) -> None:
        """Discard all adapters and runs, as an engine that restarts."""
        self.incarnation = f'incarnation-{next(self._incarnations)}'
        self.last_fencing = 0
        for transport in self._transports:
            transport.abort()
        self.adapters: set[str] = set()
        self.running: collections.Counter[str] = collections.Counter()
        self._resumable_runs: collections.OrderedDict[str, Run] = (
            collections.OrderedDict()
        )

    async def _report(self, _request: web.Request) -> web.Response:
        await asyncio.sleep(self.faults.report_delay_s)
        report = {
            'incarnation': self.incarnation,
            'base_model': self.base_model,
            'last_fencing': self.last_fencing,
            'adapter_slots': self.adapter_slots,
            'adapters': sorted(self.adapters),
            'running': self.running.total(),
            'running_by_adapter': dict(self.running),
        }
        await self._delay_answer()
        return web.json_response(report)

    async def _delay_answer(self) -> None:
        if next(self._answer_indexes) % 2:
            await asyncio.sleep(self.faults.late_s)

    async def _load(self, request: web.Request) -> web.Response:
        command = await request.json()
        if not self._accept_token(command['fencing']):
            return web.Response(status=409)
        self.recorded.loading += 1
        try:
            await asyncio.sleep(self.load_s)
        finally:
            self.recorded.loading -= 1
        if self.faults.failing_loads:
            self.faults.failing_loads -= 1
            return web.Response(status=500, text='load failed')
        name = command['lora_name']
        if name not in self.adapters:
            if len(self.adapters) >= self.adapter_slots:
                return web.Response(status=507, text='no free slot')
            self.adapters.add(name)
        self.recorded.loads.append(name)
        await self._delay_answer()
        return web.Response()

    async def _unload(self, request: web.Request) -> web.Response:
        command = await request.json()
        if not self._accept_token(command['fencing']):
            return web.Response(status=409)
        name = command['lora_name']
        if self.running[name]:
            self.recorded.evictions_under_run.append(name)
        self.adapters.discard(name)
        self.recorded.evictions.append(name)
        await self._delay_answer()
        return web.Response()

    def _accept_token(self, token: int) -> bool:
        """Raise the last token; return whether `token` is not outdated."""
        if self.checks_fencing and token < self.last_fencing:
            self.recorded.fenced_orders += 1
            return False
        self.last_fencing = max(self.last_fencing, token)
        return True

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        if self.faults.refusing:
            return web.Response(status=503)
        if self.faults.status:
            return web.Response(status=self.faults.status, text='refused')
        if not self._accept_token(int(request.headers['X-Fencing'])):
            return web.Response(status=409)
        body = await request.read()
        call = msgspec.json.decode(body)
        adapter = call['model']
        if adapter not in self.adapters:
            return web.Response(status=404, headers={'X-Adapter-Missing': '1'})
        if self.faults.wrong_adapter:
            adapter = f'not-{adapter}'
        run = Run(request.headers['X-Request-Id'], adapter, body)
        self.recorded.runs.append(run)
        self._retain(run)
        answer_task = asyncio.create_task(self._answer(request, run, 0))
        try:
            return await asyncio.shield(answer_task)
        except asyncio.CancelledError:
            if not self.faults.runs_on:
                answer_task.cancel()
            raise

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        parameters = await request.json()
        run = self._resumable_runs.get(parameters['run_id'])
        if run is None or run.cancelled or self.faults.refusing_resumes:
            return web.Response(status=404)
        return await self._answer(request, run, parameters['after_events'])

    def _retain(self, run: Run) -> None:
        self._resumable_runs[run.run_id] = run
        while len(self._resumable_runs) > _MAX_RESUMABLE_RUNS:
            self._resumable_runs.popitem(last=False)

    async def _answer(
        self, request: web.Request, run: Run, after_events: int
    ) -> web.StreamResponse:
        call = msgspec.json.decode(run.body)
        tokens = min(call.get('max_tokens') or self.answer_tokens, 100_000)
        # A restart replaces the counter; this run is counted in the old one.
        running = self.running
        running[run.adapter] += 1
        transport = request.transport
        assert transport is not None
        self._transports.add(transport)
        try:
            await self._delay_answer()
            if call.get('stream'):
                return await self._stream(request, run, tokens, after_events)
            await asyncio.sleep(self.token_s * tokens)
            run.finished = True
            if self.faults.cutting_whole:
                self.faults.cutting_whole -= 1
                assert request.transport is not None
                request.transport.abort()
            return web.json_response(
                {
                    'id': run.run_id,
                    'model': run.adapter,
                    'choices': [{'message': {'content': _text(run, tokens)}}],
                    'usage': {'completion_tokens': tokens},
                },
                headers={'X-Adapter': run.adapter},
            )
        finally:
            self._transports.discard(transport)
            running[run.adapter] -= 1

    async def _stream(
        self, request: web.Request, run: Run, tokens: int, after_events: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={'X-Adapter': run.adapter})
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        for number in range(after_events, tokens):
            if number == self.faults.cut_after_events:
                self.faults.cut_after_events = None
                assert request.transport is not None
                request.transport.abort()
                return response
            await asyncio.sleep(self.token_s)
            if run.cancelled:
                return response
            await self._write(response, _event(run, number))
        run.finished = True
        await self._write(response, response_format.STREAM_END)
        with contextlib.suppress(OSError):
            await response.write_eof()
        return response

    async def _write(self, response: web.StreamResponse, data: bytes) -> None:
        try:
            await response.write(data)
        except OSError:
            if not self.faults.runs_on:
                raise

    async def _cancel(self, request: web.Request) -> web.Response:
        parameters = await request.json()
        run = self._resumable_runs.get(parameters['run_id'])
        if run is not None:
            run.cancelled = True
        return web.Response()

    async def _get_record(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.recorded),
            content_type='application/json',
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(
            await request.read(), type=EngineFaults
        )
        return web.Response()

    async def _restart(self, _request: web.Request) -> web.Response:
        self.restart()
        return web.Response()


def _text(run: Run, tokens: int) -> str:
    return ' '.join(f'{run.run_id}:{n}' for n in range(tokens))


def _event(run: Run, number: int) -> bytes:
    data = {
        'id': run.run_id,
        'model': run.adapter,
        'choices': [{'delta': {'content': f'{run.run_id}:{number} '}}],
    }
    return b'data: ' + msgspec.json.encode(data) + response_format.EVENT_END
