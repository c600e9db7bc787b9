"""Entry: the process that serves callers and enforces their contracts."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import random
import re
from typing import Annotated

from aiohttp import web
import msgspec
import structlog
import uuid_utils

from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import account_metrics
from lacewingpitch import account_query
from lacewingpitch import answer_delivery
from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import customer_limits
from lacewingpitch import directory
from lacewingpitch import dispatch
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import http_guard
from lacewingpitch import http_server
from lacewingpitch import idempotency
from lacewingpitch import machine_limits
from lacewingpitch import metrics as metrics_module
from lacewingpitch import node
from lacewingpitch import placement
from lacewingpitch import report as report_module
from lacewingpitch import report_server
from lacewingpitch import response_format
from lacewingpitch import settings as settings_module
from lacewingpitch import sidecar_link
from lacewingpitch import work

_BEARER = 'Bearer '
_MAX_MODEL_LENGTH = 256
_MAX_TOKENS = 1 << 31
_READY_POLL_INTERVAL_S = 0.02
_FINAL_COPY_TIMEOUT_S = 5.0
_TALLY = web.RequestKey('tally', account_module.Tally)
_ORIGIN = re.compile('^[A-Za-z][A-Za-z0-9+.-]*://[^/]*')
_FIRST_TWO_SEGMENTS = re.compile('/[^/?#]*/[^/?#]*')
log = structlog.get_logger(__name__)


Handler = Callable[
    [web.Request, contract_module.Contract, str],
    Awaitable[web.StreamResponse],
]


class CompletionCall(msgspec.Struct, frozen=True):
    """The fields of a completion's JSON that the entry uses."""

    model: Annotated[str, msgspec.Meta(max_length=_MAX_MODEL_LENGTH)]
    stream: bool | None = None
    max_tokens: Annotated[int, msgspec.Meta(ge=0, le=_MAX_TOKENS)] | None = (
        None
    )


class Entry:
    """Accepts callers' requests, has sidecars run them and sends the answers.

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
            settings.max_body_bytes,
            stall_s=settings.stall_timeout_s,
            machine_limits=machine_limits.machine_limits(
                settings.memory_mb, settings.max_descriptors
            ),
        )
        self._exits = contextlib.AsyncExitStack()
        self._draining = False
        self._dispatcher: dispatch.Dispatcher
        self._account = account_module.Account(
            account_module.new_account_id(settings, self._node.started_at_s),
            self._node.clock,
        )
        self._metrics = metrics_module.Metrics(
            settings.instance, settings.availability_zone
        )
        self._limits: customer_limits.CustomerLimits

    @property
    def work_port(self) -> int:
        """Return the port for callers."""
        return self._server.port

    def ports(self) -> dict[str, int]:
        """Return the ports that it listens on, by name."""
        return {
            'work_port': self.work_port,
            'control_port': self._node.control.port,
        }

    async def start(self) -> None:
        """Follow the instance list and contracts, then accept requests."""
        await self._exits.enter_async_context(self._node)
        instance_selector = placement.Placement(
            self._node.clock,
            self.settings.objective,
            directory.ControlDirectoryLink(self._node.peers),
        )
        self._node.membership.changes.subscribe(
            lambda published: instance_selector.retain(published.instances)
        )
        ejector = ejection.Ejector(self._node.clock, random.Random())
        link = sidecar_link.SidecarLink(
            self._node.session,
            self._node.signer,
            self._node.peers,
            self._node.membership,
            instance_selector,
            ejector,
            self._node.contract_gossip.catch_up,
        )
        self._dispatcher = dispatch.Dispatcher(
            link, self._node.membership, instance_selector, ejector
        )
        self._start_account()
        self._limits = await self._exits.enter_async_context(
            customer_limits.node_limits(self._node)
        )
        self._node.follow_platform()
        self._add_routes()
        await self._server.start(self.settings.ip, self.settings.work_port)
        self._exits.push_async_callback(self._server.close)

    @property
    def is_ready(self) -> bool:
        """Whether contracts and backend servers are known."""
        known = (
            len(self._node.contract_registry)
            and self._node.membership.has_sidecars
        )
        is_settled = self._node.contract_gossip.is_settled
        return bool(known) and is_settled and not self._draining

    async def ready(self) -> None:
        """Wait until contracts and backend servers are known."""
        while not self.is_ready:
            await asyncio.sleep(_READY_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Drain, then release everything."""
        self._draining = True
        await self._server.drain(self.settings.drain_s)
        await self._exits.aclose()

    def _start_account(self) -> None:
        holder = account_copy.CopyHolder()
        copier = account_copy.AccountCopier(self._node, self._account, holder)
        reader = account_query.AccountReader(self._account, holder, copier)
        control = self._node.control
        control.handle(account_copy.AccountCopy, holder.merge)
        control.handle(account_query.AccountRequest, reader.answer)
        copier.start()
        self._exits.push_async_callback(copier.close, _FINAL_COPY_TIMEOUT_S)
        reports = report_server.ReportServer(
            report_module.Reporter(self._node, reader),
            self._node.contract_registry,
            self.settings.operator_token_digest,
            self._node.clock,
        )
        reports.add_routes(self._server)
        account_metrics.add_account(
            self._metrics, self._account, holder, copier
        )
        self._node.add_metrics(self._metrics)
        self._server.route('GET', '/metrics', self._metrics.answer)

    def _add_routes(self) -> None:
        server = self._server
        server.route_tracked('POST', '/v1/chat/completions', self._completion)
        server.route_tracked('POST', '/v1/completions', self._completion)
        server.route('GET', '/v1/models', self._models)
        server.route_tracked('*', '/services/{name}', self._service)
        server.route_tracked('*', '/services/{name}/{path:.*}', self._service)
        server.route('GET', '/healthz', self._health)
        server.route('GET', '/readyz', self._ready)

    async def _completion(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, self._complete)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, self._call_service)

    async def _handle(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        request_id = str(uuid_utils.uuid7())
        http_guard.bind_request_id(request_id)
        with self._account.track_request(request_id) as tally:
            request[_TALLY] = tally
            try:
                self._check_accepting()
                response = await self._authenticate_and_handle(
                    request, handler, request_id
                )
            except errors.RefusalError as error:
                tally.record_error(error)
                response = response_format.refusal_response(error, request_id)
            await http_guard.finish_response(request, response)
            tally.record_delivery()
        return response

    async def _authenticate_and_handle(
        self, request: web.Request, handler: Handler, request_id: str
    ) -> web.StreamResponse:
        contract = self._authenticate(request)
        self._account.identify(request[_TALLY], contract)
        try:
            return await handler(request, contract, request_id)
        except errors.RefusalError as error:
            if error.kind is not errors.ErrorKind.CONTRACT_OUTDATED:
                raise
        # A sidecar refused the request before it ran, since the sidecar knows
        # a newer contract, which has arrived here meanwhile.  The request is
        # handled again from the start, as the new contract may forbid it.
        contract = self._authenticate(request)
        return await handler(request, contract, str(uuid_utils.uuid7()))

    def _check_accepting(self) -> None:
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
        return self._node.contract_registry.authenticate(
            header.removeprefix(_BEARER)
        )

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
        return await self._deliver(request, contract, order, body)

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
        return await self._deliver(request, contract, order, body)

    async def _read_body(self, request: web.Request) -> bytes:
        return await http_guard.read_body(
            request, self.settings.body_timeout_s
        )

    async def _deliver(
        self,
        request: web.Request,
        contract: contract_module.Contract,
        order: work.WorkOrder,
        body: bytes,
    ) -> web.StreamResponse:
        async with contextlib.AsyncExitStack() as exits:
            admitted = await exits.enter_async_context(
                self._limits.admit(contract, order.max_tokens)
            )
            if order.adapter is None:
                admitted.used_tokens = 0.0
            return await self._dispatch(request, order, body, admitted)

    async def _dispatch(
        self,
        request: web.Request,
        order: work.WorkOrder,
        body: bytes,
        admitted: customer_limits.AdmittedRequest,
    ) -> web.StreamResponse:
        if order.idempotency_key:
            idempotency.check_window(
                order.idempotency_key,
                self._node.clock.wall_s(),
                self.settings.key_window_s,
                self.settings.clock_skew_s,
            )
        content_type = request.headers.get('Content-Type', '')
        tally = request[_TALLY]
        if order.adapter is not None:
            tally.adapter = order.adapter.engine_name
        try:
            async with self._dispatcher.send(
                order, body, content_type
            ) as reply:
                return await answer_delivery.AnswerDelivery(
                    request, order, reply, tally, admitted
                ).deliver()
        except errors.RefusalError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                admitted.used_tokens = 0.0
            raise

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
        return web.Response(
            status=200 if self.is_ready else 503,
            body=msgspec.json.encode(self._node.contract_gossip.status),
            content_type='application/json',
        )


def _service_path(raw_path: str) -> str:
    """Return what follows ``/services/NAME`` in a path, still escaped."""
    # The first two segments may contain escapes, and the target may be a
    # whole URL, so they are removed by position and not by text.
    path = _ORIGIN.sub('', raw_path)
    match = _FIRST_TWO_SEGMENTS.match(path)
    rest = path[match.end() :] if match else ''
    return rest if rest.startswith('/') else f'/{rest}'


def _read_idempotency_key(request: web.Request) -> str:
    keys = request.headers.getall('Idempotency-Key', [])
    if not keys:
        return ''
    if len(keys) > 1:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_IDEMPOTENCY_KEY, 'more than one key'
        )
    return idempotency.canonical(keys[0])


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
    key = _read_idempotency_key(request)
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
        region=contract.region,
        max_tokens=max_tokens,
        queued_requests=contract.limits.queued_requests,
    )
