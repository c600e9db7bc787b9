"""A real dispatcher with fake sidecars whose answers tests set."""

import asyncio
import contextlib
import random

import aiohttp
from aiohttp import web
import pytest
import uuid_utils

from lacewingpitch import clock as clock_module
from lacewingpitch import dispatch
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import http_server
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import membership
from lacewingpitch import placement
from lacewingpitch import response_format
from lacewingpitch import sidecar_link
from lacewingpitch import voiding
from lacewingpitch import work
from tests import samples

IP = '127.0.0.1'
ErrorKind = errors.ErrorKind


class FakeSidecar:
    """Answers every request as the test sets it, and keeps its order.

    `kinds` are the errors of the next answers, one each; then `kind`
    applies, where ``None`` is a success.
    """

    def __init__(self, signer):
        self._signer = signer
        self._server = http_server.HttpServer(1 << 20)
        self.kind = None
        self.kinds = []
        self.held = None
        self.orders = []

    async def start(self):
        self._server.route('POST', '/run', self._run)
        await self._server.start(IP, 0)
        self.port = self._server.port

    async def close(self):
        await self._server.close()

    async def _run(self, request):
        order = work.decode_order(
            request.headers[work.ORDER_HEADER], self._signer
        )
        self.orders.append(order)
        if self.held is not None:
            await self.held.wait()
        kind = self.kinds.pop(0) if self.kinds else self.kind
        if kind is not None:
            error = errors.RefusalError(kind, 'set by the test')
            return response_format.refusal_response(error, order.request_id)
        name = voiding.attempt_id(order.request_id, order.attempt)
        return web.Response(text='done', headers={work.ATTEMPT_HEADER: name})


class FakePeers:
    """Control links with given replies; they do not reply by default.

    `replies` are run states, or ``None`` for no reply, one for each
    message; the last one applies to all later messages.
    """

    def __init__(self):
        self.replies = [None]
        self.asked = []

    def peer(self, _ip, _port):
        return self

    async def ask(self, message, kind, _timeout_s):
        await asyncio.sleep(0)
        self.asked.append(message)
        state = self.replies[0]
        if len(self.replies) > 1:
            self.replies.pop(0)
        if state is None:
            raise errors.NoReplyError('set by the test')
        if kind is voiding.VoidReply:
            return kind(state=state)
        return kind(cancelled=False)


class DispatchBench:
    """A dispatcher with three fake sidecars."""

    def __init__(self, sidecars, dispatcher, peers):
        self.sidecars = sidecars
        self.dispatcher = dispatcher
        self.peers = peers

    def hold(self, sidecar):
        """Keep a sidecar from answering until the returned event is set."""
        sidecar.held = asyncio.Event()
        return sidecar.held

    def first_called_sidecar(self):
        """Return the first sidecar that got a request."""
        return next(s for s in self.sidecars if s.orders)

    @property
    def calls(self):
        return sum(len(sidecar.orders) for sidecar in self.sidecars)

    def fail_with(self, kind):
        """Have all sidecars answer with an error."""
        for sidecar in self.sidecars:
            sidecar.kind = kind

    def fail_once_then(self, first, later):
        """Have the first answer of any sidecar be an error, then another."""
        self.fail_with(later)
        kinds = [first]
        for sidecar in self.sidecars:
            sidecar.kinds = kinds

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
    signer = link.MessageSigner('test', 'secret' * 4, 'entry')
    clock = clock_module.SystemClock()
    async with contextlib.AsyncExitStack() as exits:
        session = await exits.enter_async_context(aiohttp.ClientSession())
        sidecars = [FakeSidecar(signer) for _ in range(3)]
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
        peers = FakePeers()
        places = placement.Placement(clock)
        ejector = ejection.Ejector(clock, random.Random(1))
        dispatcher = dispatch.Dispatcher(
            sidecar_link.SidecarLink(
                session, signer, peers, members, places, ejector
            ),
            members,
            places,
            ejector,
        )
        yield DispatchBench(sidecars, dispatcher, peers)
