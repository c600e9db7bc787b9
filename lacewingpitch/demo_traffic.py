"""Sends sample traffic to a demo deployment and prints its report."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import rich.console
import uuid_utils

from lacewingpitch import demo
from lacewingpitch import report_text
from lacewingpitch import response_format
from lacewingpitch import single_sending
from lacewingpitch import work

_SERVED = 'served'
_LOAD_STALL_TEXT = (
    'Every adapter was called for the first time here, so the load stalls'
    ' are first loads, the only cause of alerts for the first token.'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of the sample traffic.

    Parameters
    ----------
    target
        Adapter, or path below the plain service.
    key
        Idempotency key; empty for none.
    is_service
        Whether the request is for the plain service.
    """

    customer: str
    target: str
    stream: bool = False
    key: str = ''
    is_service: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of one request, as the caller received it.

    Parameters
    ----------
    kind
        Error kind, ``served`` for a complete answer, or ``cut`` for a
        stream without its end event.
    body
        Body of the answer.
    """

    call: Call
    status: int
    kind: str
    outcome: str
    detail: str
    body: bytes


# The last call is refused: the adapter is not in the caller's contract.
CALLS = (
    Call('haneul', 'ficus-care'),
    Call('haneul', 'ficus-care', stream=True),
    Call('haneul', 'balcony-summary', stream=True),
    Call('haneul', 'week-summary'),
    Call('haneul', 'readings/7', is_service=True),
    Call('caravan', 'trade-in', stream=True),
    Call('caravan', 'warranty'),
    Call('caravan', 'finance-terms', stream=True),
    Call('caravan', 'ficus-care'),
)
AT_MOST_ONCE_CALL = Call('caravan', 'quote')


class Caller:
    """Sends the sample traffic, as the programs of customers do."""

    def __init__(
        self, deployment: demo.Deployment, session: aiohttp.ClientSession
    ) -> None:
        self._deployment = deployment
        self._session = session

    async def send(self, call: Call) -> Result:
        """Send one request and read its answer."""
        async with self._request(call) as response:
            body = await response.read()
        kind = response.headers.get(work.KIND_HEADER, _SERVED)
        detail = ''
        if call.stream and kind == _SERVED:
            kind = (
                _SERVED if body.endswith(response_format.STREAM_END) else 'cut'
            )
        if kind != _SERVED:
            detail = _detail(body)
        return Result(
            call,
            response.status,
            kind,
            response.headers.get(work.OUTCOME_HEADER, _SERVED),
            detail,
            body,
        )

    def _request(
        self, call: Call
    ) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]:
        api_key = self._deployment.keys[call.customer]
        headers = {'Authorization': f'Bearer {api_key}'}
        if call.key:
            headers['Idempotency-Key'] = call.key
        url = self._deployment.url
        if call.is_service:
            return self._session.get(
                f'{url}/services/{demo.SERVICE}/{call.target}',
                headers=headers,
                allow_redirects=False,
            )
        body = {'model': call.target, 'messages': [], 'stream': call.stream}
        return self._session.post(
            f'{url}/v1/chat/completions',
            json=body,
            headers=headers,
            allow_redirects=False,
        )


async def run_demo(console: rich.console.Console | None = None) -> int:
    """Serve sample traffic and print a report; return the exit code.

    The exit code is 0 if the engines recorded exactly one run of the
    request that was sent twice.
    """
    console = console or rich.console.Console()
    async with (
        demo.Deployment() as deployment,
        single_sending.new_session() as session,
    ):
        caller = Caller(deployment, session)
        results = await asyncio.gather(*(caller.send(call) for call in CALLS))
        # Sidecars that have just started vote only for keys created later.
        await asyncio.sleep(demo.LIST_LAG_S + demo.CLOCK_SKEW_S)
        call = dataclasses.replace(
            AT_MOST_ONCE_CALL, key=str(uuid_utils.uuid7())
        )
        repeated = [await caller.send(call), await caller.send(call)]
        run_count = deployment.run_count(call.target)
        report_text.print_table(await deployment.report(), console)
    console.print(_LOAD_STALL_TEXT)
    for result in results:
        if result.kind != _SERVED:
            console.print(_refusal_text(result))
    console.print(_repeated_text(repeated, run_count))
    return 0 if run_count == 1 else 1


def _refusal_text(result: Result) -> str:
    return (
        f'Refused: {result.call.customer} requested {result.call.target!r}:'
        f' {result.kind} ({result.outcome}), {result.detail}.'
    )


def _repeated_text(results: list[Result], run_count: int) -> str:
    answers = ', then '.join(
        f'{r.status} {r.kind} ({r.outcome})' for r in results
    )
    call = results[0].call
    equality = (
        'the same answer' if _are_equal(results) else 'DIFFERENT ANSWERS'
    )
    verdict = 'exactly once' if run_count == 1 else 'NOT EXACTLY ONCE'
    return (
        f'Sent twice with one key: {call.customer} requested'
        f' {call.target!r}, which must not be repeated: {answers};'
        f' {equality}.\n'
        f'By their own records the engines ran it {run_count} time(s):'
        f' {verdict}.'
    )


def _are_equal(results: list[Result]) -> bool:
    return len({result.body for result in results}) == 1


def _detail(body: bytes) -> str:
    decoded = work.decode_error(body)
    return decoded.error.detail if decoded else 'the answer is incomplete'
