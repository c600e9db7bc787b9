"""HTTP endpoints of the report, for operators and for single customers."""

import asyncio
import base64
import binascii
import collections
import hmac

from aiohttp import web
import msgspec

from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import contract_registry
from lacewingpitch import errors
from lacewingpitch import http_server
from lacewingpitch import report as report_module
from lacewingpitch import report_page

CACHE_TTL_S = 2.0
_MAX_CONCURRENT_REPORTS = 2
_MAX_CACHED_REPORTS = 64
_BEARER = 'Bearer '
_BASIC = 'Basic '
_CHALLENGE = {'WWW-Authenticate': 'Basic realm="account of service"'}
_PAGE_HEADERS = {
    'Cache-Control': 'no-store',
    'Content-Security-Policy': (
        "default-src 'none'; style-src 'unsafe-inline'"
    ),
    'X-Content-Type-Options': 'nosniff',
}


class ReportServer:
    """Serves ``/report`` and ``/report/customers/NAME``.

    The operator token gives access to all reports, an API key only to
    its customer's.

    Parameters
    ----------
    reporter
        Assembles the reports.
    registry
        Maps API keys to customers.
    operator_token_digest
        SHA-256 of the operator token; ``None`` disables the access for
        operators.
    clock
        Source of time.
    """

    def __init__(
        self,
        reporter: report_module.Reporter,
        registry: contract_registry.ContractRegistry,
        operator_token_digest: str | None,
        clock: clock_module.Clock,
    ) -> None:
        self._reporter = reporter
        self._registry = registry
        self._operator_token_digest = operator_token_digest
        self._clock = clock
        self._assembly_semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REPORTS)
        self._cache: collections.OrderedDict[
            tuple[str | None, int | None], tuple[float, report_module.Report]
        ] = collections.OrderedDict()

    def add_routes(self, server: http_server.HttpServer) -> None:
        """Register the paths of the report at `server`."""
        server.route('GET', '/report', self._all_customers)
        server.route('GET', '/report/customers/{name}', self._one_customer)

    async def _all_customers(self, request: web.Request) -> web.Response:
        if not self._is_operator(_request_token(request)):
            return _unauthorized_response()
        return await self._answer(request, None)

    async def _one_customer(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        token = _request_token(request)
        if (
            not self._is_operator(token)
            and self._authenticate_customer(token) != name
        ):
            return _unauthorized_response()
        if self._registry.contract(name) is None:
            return web.Response(status=404, text='no such customer\n')
        return await self._answer(request, name)

    async def _answer(
        self, request: web.Request, customer: str | None
    ) -> web.Response:
        is_json = request.query.get('format') == 'json'
        limit = None if is_json else report_page.MAX_CUSTOMERS
        report = await self._get_report(customer, limit)
        if is_json:
            return web.Response(
                body=msgspec.json.encode(report),
                content_type='application/json',
                headers={'Cache-Control': 'no-store'},
            )
        # Rendering takes tens of milliseconds.  On the event loop, it
        # would delay the tokens of streams that pass through this process.
        page = await asyncio.to_thread(report_page.render, report)
        return web.Response(
            text=page, content_type='text/html', headers=_PAGE_HEADERS
        )

    async def _get_report(
        self, customer: str | None, limit: int | None
    ) -> report_module.Report:
        # Each report reads the accounts of every entry.  To keep a client
        # that reloads the page from loading the whole fleet, reports are
        # cached briefly and few are assembled at a time.
        async with self._assembly_semaphore:
            key = (customer, limit)
            cached = self._cache.get(key)
            now_s = self._clock.monotonic_s()
            if cached is not None and now_s - cached[0] < CACHE_TTL_S:
                return cached[1]
            report = await self._reporter.assemble(customer, limit)
            self._cache[key] = (self._clock.monotonic_s(), report)
            self._cache.move_to_end(key)
            while len(self._cache) > _MAX_CACHED_REPORTS:
                self._cache.popitem(last=False)
            return report

    def _is_operator(self, token: str) -> bool:
        if self._operator_token_digest is None:
            return False
        return hmac.compare_digest(
            contract_module.digest_key(token), self._operator_token_digest
        )

    def _authenticate_customer(self, token: str) -> str | None:
        try:
            return self._registry.authenticate(token).customer
        except errors.RefusalError:
            return None


def _request_token(request: web.Request) -> str:
    header = request.headers.get('Authorization', '')
    if header.startswith(_BEARER):
        return header.removeprefix(_BEARER)
    if not header.startswith(_BASIC):
        return ''
    # Browsers prompt for a user name and a password: the password is the
    # token.
    try:
        data = base64.b64decode(header.removeprefix(_BASIC), validate=True)
        return data.decode().partition(':')[2]
    except (binascii.Error, UnicodeDecodeError):
        return ''


def _unauthorized_response() -> web.Response:
    # The same response for an invalid token and for another customer's
    # report, so that it does not reveal which customers exist.
    return web.Response(status=401, text='not allowed\n', headers=_CHALLENGE)
