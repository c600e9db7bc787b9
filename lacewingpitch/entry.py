"""The process that callers reach: it applies contracts and answers."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import random
import re
import time
from typing import Annotated

import aiohttp
from aiohttp import web
import msgspec
import structlog
import uuid_utils

from lacewingpitch import answer
from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import dispatch
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import event_stream
from lacewingpitch import http_guard
from lacewingpitch import http_server
from lacewingpitch import node
from lacewingpitch import placement
from lacewingpitch import runner
from lacewingpitch import settings as settings_module
from lacewingpitch import work

_BEARER = 'Bearer '
_EVENT_STREAM = 'text/event-stream'
MAX_KEY_LENGTH = 128
_MAX_RESUMES = 3
# What a broken or silent link to a sidecar raises while it is read.
_BROKEN = (
    aiohttp.ClientError,
    OSError,
    errors.LinkError,
    errors.PlatformError,
)
_MAX_MODEL_LENGTH = 256
_MAX_TOKENS = 1 << 31
_READY_POLL_S = 0.02
_ORIGIN = re.compile('^[A-Za-z][A-Za-z0-9+.-]*://[^/]*')
_FIRST_TWO = re.compile('/[^/?#]*/[^/?#]*')
log = structlog.get_logger(__name__)


Handler = Callable[
    [web.Request, contract_module.Contract, str],
    Awaitable[web.StreamResponse],
]


class CompletionCall(msgspec.Struct, frozen=True):
    """What the entry must know of a completion's JSON."""

    model: Annotated[str, msgspec.Meta(max_length=_MAX_MODEL_LENGTH)]
    stream: bool | None = None
    max_tokens: Annotated[int, msgspec.Meta(ge=0, le=_MAX_TOKENS)] | None = (
        None
    )


class Entry:
    """Takes callers' requests, and delivers each answer whole.

    Parameters
    ----------
    settings
        Checked settings.
    clock
        Source of time.
    """

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        clock: clock_module.Clock | None = None,
    ) -> None:
        self.settings = settings
        self._node = node.Node(settings, clock or clock_module.SystemClock())
        self._server = http_server.HttpServer(
            settings.max_body_bytes, stall_s=settings.stall_timeout_s
        )
        self._exits = contextlib.AsyncExitStack()
        self._draining = False
        self._dispatcher: dispatch.Dispatcher

    @property
    def work_port(self) -> int:
        """Return the port that callers reach."""
        return self._server.port

    def ports(self) -> dict[str, int]:
        """Return the ports it listens on, by name."""
        return {
            'work_port': self.work_port,
            'control_port': self._node.control.port,
        }

    async def start(self) -> None:
        """Follow the platform, then take requests."""
        await self._exits.enter_async_context(self._node)
        self._dispatcher = dispatch.Dispatcher(
            self._node.session,
            self._node.sealer,
            self._node.peers,
            self._node.membership,
            placement.Placement(),
            ejection.Ejector(self._node.clock, random.Random()),
        )
        self._node.follow_platform()
        self._add_routes()
        await self._server.start(self.settings.ip, self.settings.work_port)
        self._exits.push_async_callback(self._server.close)

    @property
    def is_ready(self) -> bool:
        """Whether contracts and backend servers are known."""
        known = len(self._node.book) and self._node.membership.instances
        return bool(known) and not self._draining

    async def ready(self) -> None:
        """Wait until contracts and backend servers are known."""
        while not self.is_ready:
            await asyncio.sleep(_READY_POLL_S)

    async def close(self) -> None:
        """Drain, then release everything."""
        self._draining = True
        await self._server.drain(self.settings.drain_s)
        await self._exits.aclose()

    def _add_routes(self) -> None:
        server = self._server
        server.route_work('POST', '/v1/chat/completions', self._completion)
        server.route_work('POST', '/v1/completions', self._completion)
        server.route('GET', '/v1/models', self._models)
        server.route_work('*', '/services/{name}', self._service)
        server.route_work('*', '/services/{name}/{path:.*}', self._service)
        server.route('GET', '/healthz', self._health)
        server.route('GET', '/readyz', self._ready)

    async def _completion(self, request: web.Request) -> web.StreamResponse:
        return await self._answered(request, self._complete)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        return await self._answered(request, self._call_service)

    async def _answered(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        request_id = str(uuid_utils.uuid7())
        http_guard.name_request(request_id)
        started_s = time.monotonic()
        try:
            self._check_open()
            contract = self._authenticate(request)
            response = await handler(request, contract, request_id)
        except errors.RefusalError as error:
            response = answer.refusal_response(error, request_id)
        log.info(
            'answered',
            request_id=request_id,
            status=response.status,
            duration_s=round(time.monotonic() - started_s, 6),
        )
        return response

    def _check_open(self) -> None:
        if self._draining:
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING, 'this entry instance is leaving'
            )
        if self._server.in_progress > self.settings.max_requests:
            raise errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL, 'too many requests in progress'
            )

    def _authenticate(self, request: web.Request) -> contract_module.Contract:
        header = request.headers.get('Authorization', '')
        if not header.startswith(_BEARER):
            raise errors.RefusalError(
                errors.ErrorKind.UNAUTHENTICATED, 'no API key'
            )
        return self._node.book.authenticate(header.removeprefix(_BEARER))

    async def _complete(
        self,
        request: web.Request,
        contract: contract_module.Contract,
        request_id: str,
    ) -> web.StreamResponse:
        body = await self._read_body(request)
        try:
            call = msgspec.json.decode(body, type=CompletionCall)
        except (msgspec.DecodeError, RecursionError) as error:
            raise errors.RefusalError(
                errors.ErrorKind.BAD_REQUEST, str(error)
            ) from error
        adapter = contract.adapter(call.model)
        if adapter is None:
            raise errors.RefusalError(
                errors.ErrorKind.NOT_IN_CONTRACT,
                f'the contract names no adapter {call.model!r}',
            )
        order = _make_order(
            request,
            contract,
            request_id,
            path=request.path,
            repeatable=adapter.repeatable,
            adapter=adapter,
            stream=call.stream or False,
            max_tokens=call.max_tokens or 0,
        )
        return await self._deliver(request, order, body)

    async def _call_service(
        self,
        request: web.Request,
        contract: contract_module.Contract,
        request_id: str,
    ) -> web.StreamResponse:
        name = request.match_info['name']
        grant = contract.service(name)
        if grant is None:
            raise errors.RefusalError(
                errors.ErrorKind.NOT_IN_CONTRACT,
                f'the contract names no service {name!r}',
            )
        path = _service_path(request.raw_path)
        order = _make_order(
            request,
            contract,
            request_id,
            path=path,
            repeatable=request.method in grant.repeatable_methods,
            service=name,
        )
        body = await self._read_body(request)
        return await self._deliver(request, order, body)

    async def _read_body(self, request: web.Request) -> bytes:
        return await http_guard.read_body(
            request, self.settings.body_timeout_s
        )

    async def _deliver(
        self, request: web.Request, order: work.WorkOrder, body: bytes
    ) -> web.StreamResponse:
        content_type = request.headers.get('Content-Type', '')
        async with self._dispatcher.send(order, body, content_type) as reply:
            if order.adapter is None:
                return await _pass_body(request, order, reply)
            if reply.content_type == _EVENT_STREAM:
                return await _stream(request, order, reply)
            return await _pass_whole(order, reply)

    async def _models(self, request: web.Request) -> web.Response:
        contract = self._authenticate(request)
        models = [
            {'id': grant.name, 'object': 'model', 'version': grant.version}
            for grant in contract.adapters
        ]
        return web.json_response({'object': 'list', 'data': models})

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def _ready(self, _request: web.Request) -> web.Response:
        if not self.is_ready:
            return web.Response(status=503, text='not ready\n')
        return web.Response(text='ready\n')


def _service_path(raw_path: str) -> str:
    """Return what follows ``/services/NAME`` of a path, as it came."""
    # Both words may be written with escapes, and the target may be a
    # whole URL, so they are found by their place and not by their text.
    path = _ORIGIN.sub('', raw_path)
    found = _FIRST_TWO.match(path)
    rest = path[found.end() :] if found else ''
    return rest if rest.startswith('/') else f'/{rest}'


def _make_order(
    request: web.Request,
    contract: contract_module.Contract,
    request_id: str,
    *,
    path: str,
    repeatable: bool,
    adapter: contract_module.AdapterGrant | None = None,
    service: str = '',
    stream: bool = False,
    max_tokens: int = 0,
) -> work.WorkOrder:
    key = request.headers.get('Idempotency-Key', '')
    if len(key) > MAX_KEY_LENGTH:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_IDEMPOTENCY_KEY, 'the key is too long'
        )
    return work.WorkOrder(
        request_id=request_id,
        attempt=0,
        customer=contract.customer,
        contract_revision=contract.revision,
        urgency=contract.urgency,
        weight=contract.weight,
        deadline_s=contract.deadline_s,
        method=request.method,
        path=path,
        repeatable=repeatable and not key,
        adapter=adapter,
        service=service,
        stream=stream,
        idempotency_key=key,
        max_tokens=max_tokens,
        queued_requests=contract.limits.queued_requests,
    )


async def _stream(
    request: web.Request, order: work.WorkOrder, reply: dispatch.Reply
) -> web.StreamResponse:
    response = web.StreamResponse(status=reply.status)
    response.content_type = reply.content_type
    response.headers[work.REQUEST_ID_HEADER] = order.request_id
    await response.prepare(request)
    relay = event_stream.EventRelay()
    try:
        await _relay(response, relay, reply, order)
        for _ in range(_MAX_RESUMES):
            if relay.is_complete or relay.is_failed:
                break
            relay.drop_partial_event()
            await reply.resume(relay.event_count)
            await _relay(response, relay, reply, order)
    except errors.RefusalError as error:
        log.warning(
            'not resumed', request_id=order.request_id, detail=error.detail
        )
    if not relay.is_complete and not relay.is_failed:
        cut = errors.RefusalError(
            errors.ErrorKind.ANSWER_CUT, 'the answer broke off'
        )
        await response.write(answer.error_event(cut))
    await response.write_eof()
    return response


async def _relay(
    response: web.StreamResponse,
    relay: event_stream.EventRelay,
    reply: dispatch.Reply,
    order: work.WorkOrder,
) -> None:
    async with contextlib.aclosing(reply.chunks()) as chunks:
        while True:
            try:
                events = relay.feed(await anext(chunks))
            except StopAsyncIteration:
                return
            except _BROKEN as error:
                log.warning(
                    'stream cut',
                    request_id=order.request_id,
                    error=repr(error),
                )
                return
            if events:
                await response.write(events)


async def _pass_whole(
    order: work.WorkOrder, reply: dispatch.Reply
) -> web.Response:
    # The answer is sent only once it is whole here: the caller gets all
    # of it or an error with a status, never a torn body.  The sidecar
    # keeps it for a while, and is asked again when the link breaks.
    for number in range(_MAX_RESUMES + 1):
        if number:
            await reply.resume(0)
        try:
            body = b''.join([chunk async for chunk in reply.chunks()])
        except _BROKEN as error:
            log.warning(
                'answer cut', request_id=order.request_id, error=repr(error)
            )
            continue
        return web.Response(
            status=reply.status, body=body, headers=_headers(order, reply)
        )
    raise errors.RefusalError(
        errors.ErrorKind.OUTCOME_UNKNOWN, 'the answer broke off'
    )


async def _pass_body(
    request: web.Request, order: work.WorkOrder, reply: dispatch.Reply
) -> web.StreamResponse:
    # The body of a plain service has no end mark of its own.  The sidecar
    # had a small one whole before it sent its length, and keeps it.
    length = reply.headers.get('Content-Length')
    if length is not None and int(length) <= runner.MAX_BUFFERED_BYTES:
        return await _pass_whole(order, reply)
    response = web.StreamResponse(
        status=reply.status, headers=_headers(order, reply)
    )
    if length is not None:
        response.content_length = int(length)
    await response.prepare(request)
    async with contextlib.aclosing(reply.chunks()) as chunks:
        while True:
            try:
                chunk = await anext(chunks)
            except StopAsyncIteration:
                break
            except _BROKEN as error:
                log.warning(
                    'body cut', request_id=order.request_id, error=repr(error)
                )
                # Only a connection that is torn down tells the caller
                # that the body is not whole.
                if request.transport is not None:
                    request.transport.abort()
                return response
            await response.write(chunk)
    await response.write_eof()
    return response


def _headers(order: work.WorkOrder, reply: dispatch.Reply) -> dict[str, str]:
    headers = {work.REQUEST_ID_HEADER: order.request_id}
    if 'Content-Type' in reply.headers:
        headers['Content-Type'] = reply.headers['Content-Type']
    return headers
