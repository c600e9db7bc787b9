"""What is sent again, and how often, with the real dispatcher."""

import asyncio
import contextlib
import random

import aiohttp
from aiohttp import web
import pytest
import uuid_utils

from lacewingpitch import answer
from lacewingpitch import clock as clock_module
from lacewingpitch import dispatch
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import http_server
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import membership
from lacewingpitch import placement
from lacewingpitch import voiding
from lacewingpitch import work
from tests import samples

IP = '127.0.0.1'
ErrorKind = errors.ErrorKind


class FakeSidecar:
    """Answers every request as told, and counts them."""

    def __init__(self, sealer):
        self._sealer = sealer
        self._server = http_server.HttpServer(1 << 20)
        self.kind = None
        self.orders = []

    async def start(self):
        self._server.route('POST', '/run', self._run)
        await self._server.start(IP, 0)
        self.port = self._server.port

    async def close(self):
        await self._server.close()

    async def _run(self, request):
        order = work.decode_order(
            request.headers[work.ORDER_HEADER], self._sealer
        )
        self.orders.append(order)
        if self.kind is not None:
            error = errors.RefusalError(self.kind, 'told to')
            return answer.refusal_response(error, order.request_id)
        name = voiding.attempt_id(order.request_id, order.attempt)
        return web.Response(text='done', headers={work.ATTEMPT_HEADER: name})


class Bench:
    """A dispatcher before three fake sidecars."""

    def __init__(self, sidecars, dispatcher):
        self.sidecars = sidecars
        self.dispatcher = dispatcher

    @property
    def calls(self):
        return sum(len(sidecar.orders) for sidecar in self.sidecars)

    def fail_with(self, kind):
        for sidecar in self.sidecars:
            sidecar.kind = kind

    async def send(self, repeatable=True, deadline_s=5.0):
        order = samples.order(
            request_id=str(uuid_utils.uuid7()),
            attempt=0,
            deadline_s=deadline_s,
            repeatable=repeatable,
            service='plain',
        )
        async with self.dispatcher.send(order, b'', '') as reply:
            return b''.join([chunk async for chunk in reply.chunks()])


@pytest.fixture
async def bench():
    sealer = link.Sealer('test', 'secret' * 4, 'entry')
    clock = clock_module.SystemClock()
    async with contextlib.AsyncExitStack() as exits:
        session = await exits.enter_async_context(aiohttp.ClientSession())
        sidecars = [FakeSidecar(sealer) for _ in range(3)]
        for sidecar in sidecars:
            await sidecar.start()
            exits.push_async_callback(sidecar.close)
        members = membership.Membership(clock)
        members.update(
            live_list.InstanceList(
                1,
                tuple(
                    samples.sidecar(
                        f'sidecar-{number}',
                        ip=IP,
                        work_port=sidecar.port,
                        serves='plain',
                    )
                    for number, sidecar in enumerate(sidecars)
                ),
            )
        )
        peers = link.PeerPool(sealer)
        exits.callback(peers.close)
        dispatcher = dispatch.Dispatcher(
            session,
            sealer,
            peers,
            members,
            placement.Placement(clock),
            ejection.Ejector(clock, random.Random(1)),
        )
        yield Bench(sidecars, dispatcher)


class TestSendingAgain:
    async def test_what_did_not_run_goes_elsewhere(self, bench):
        bench.fail_with(ErrorKind.QUEUE_FULL)
        bench.sidecars[2].kind = None
        for _ in range(3):
            assert await bench.send(repeatable=False) == b'done'

    @pytest.mark.parametrize(
        'kind', [ErrorKind.OUTCOME_UNKNOWN, ErrorKind.WRONG_ADAPTER]
    )
    async def test_what_may_have_run_goes_again_if_repeatable(
        self, bench, kind
    ):
        bench.fail_with(kind)
        with pytest.raises(errors.RefusalError):
            await bench.send(repeatable=False)
        assert bench.calls == 1
        with pytest.raises(errors.RefusalError):
            await bench.send(repeatable=True)
        assert bench.calls > 2

    async def test_what_no_other_can_do_better_stays(self, bench):
        bench.fail_with(ErrorKind.BAD_REQUEST)
        with pytest.raises(errors.RefusalError):
            await bench.send()
        assert bench.calls == 1

    async def test_attempts_share_one_deadline(self, bench):
        bench.fail_with(ErrorKind.QUEUE_FULL)
        with pytest.raises(errors.RefusalError):
            await bench.send()
        orders = [o for sidecar in bench.sidecars for o in sidecar.orders]
        orders.sort(key=lambda order: order.attempt)
        left = [order.deadline_s for order in orders]
        assert left == sorted(left, reverse=True)
        assert left[-1] < left[0]


class TestOutage:
    async def test_calls_per_request_stay_under_the_goal(self, bench):
        """An outage becomes worse because everybody tries three times.

        Every sidecar refuses; the requests may be sent again.
        """
        bench.fail_with(ErrorKind.QUEUE_FULL)

        async def send():
            with contextlib.suppress(errors.RefusalError):
                await bench.send()

        for _ in range(20):
            await asyncio.gather(*(send() for _ in range(20)))
        assert bench.calls / 400 < 1.2
