"""Sample traffic through a deployment in one process, and its report."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import rich.console
import uuid_utils

from lacewingpitch import demo
from lacewingpitch import report_text
from lacewingpitch import response_format
from lacewingpitch import work

_SERVED = 'served'
_LOAD_STALL_TEXT = (
    'Every adapter was called for the first time here, so the load stalls'
    ' are first loads; an alert for the first token has no other cause.'
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
    """

    customer: str
    target: str
    stream: bool = False
    key: str = ''
    is_service: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a caller got.

    Parameters
    ----------
    kind
        Error kind, or ``served`` for a whole answer.
    body
        The bytes of the answer.
    """

    call: Call
    status: int
    kind: str
    outcome: str
    detail: str
    body: bytes


# Caravan asks for an adapter of Haneul's: that one is refused.
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
ONCE = Call('caravan', 'quote')


class Caller:
    """Sends the sample traffic, as customers' programs would."""

    def __init__(
        self, deployment: demo.Deployment, session: aiohttp.ClientSession
    ) -> None:
        self._deployment = deployment
        self._session = session

    async def send(self, call: Call) -> Result:
        """Send one request and take its answer."""
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
                f'{url}/services/{demo.SERVICE}/{call.target}', headers=headers
            )
        body = {'model': call.target, 'messages': [], 'stream': call.stream}
        return self._session.post(
            f'{url}/v1/chat/completions', json=body, headers=headers
        )


async def run_demo(console: rich.console.Console | None = None) -> int:
    """Serve sample traffic and print a report; return the exit code.

    The code is 0 if what was sent twice ran once, by the engines' truth.
    """
    console = console or rich.console.Console()
    async with (
        demo.Deployment() as deployment,
        aiohttp.ClientSession() as session,
    ):
        caller = Caller(deployment, session)
        results = await asyncio.gather(*(caller.send(call) for call in CALLS))
        # Sidecars that have just started back no key made until now.
        await asyncio.sleep(demo.LIST_LAG_S + demo.CLOCK_SKEW_S)
        once = dataclasses.replace(ONCE, key=str(uuid_utils.uuid7()))
        twice = [await caller.send(once), await caller.send(once)]
        run_count = deployment.run_count(once.target)
        report_text.print_table(await deployment.report(), console)
    console.print(_LOAD_STALL_TEXT)
    for result in results:
        if result.kind != _SERVED:
            console.print(_refusal_text(result))
    console.print(_twice_text(twice, run_count))
    return 0 if run_count == 1 else 1


def _refusal_text(result: Result) -> str:
    return (
        f'Refused: {result.call.customer} asked for {result.call.target!r}:'
        f' {result.kind} ({result.outcome}), {result.detail}.'
    )


def _twice_text(results: list[Result], run_count: int) -> str:
    answers = ', then '.join(
        f'{r.status} {r.kind} ({r.outcome})' for r in results
    )
    call = results[0].call
    same = 'the same answer' if _are_equal(results) else 'DIFFERENT ANSWERS'
    verdict = 'exactly once' if run_count == 1 else 'NOT ONCE'
    return (
        f'Sent twice with one key: {call.customer} asked for'
        f' {call.target!r}, which may not be repeated: {answers}; {same}.\n'
        f'By their own count the engines ran it {run_count} time(s):'
        f' {verdict}.'
    )


def _are_equal(results: list[Result]) -> bool:
    return len({result.body for result in results}) == 1


def _detail(body: bytes) -> str:
    found = work.decode_error(body)
    return found.error.detail if found else 'the answer broke off'
