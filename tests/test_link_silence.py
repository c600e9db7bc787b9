"""Tests of control links whose connection or peer goes silent."""

import asyncio
import collections
import contextlib
import pathlib
import time

import pytest
import structlog.testing

from lacewingpitch import errors
from lacewingpitch import link
from tests import relay as relay_module
from tests import silencing_relay

IP = '127.0.0.1'
ASK_S = 0.5
LONG_ASK_S = 8.0
POLL_S = 0.02
# Time within which a link must work again, if it is asked all the time: an
# exchange that gets no reply, the dial, and a busy machine.
REGAINED_S = 2.5
# A sound peer may be silent for that long.
PAUSE_S = 1.5
# An exchange with a slow handler is given up after it.
LATE_S = 1.0
# Ample time for a handshake on a busy machine.
ACCEPT_S = 0.5
# The link dials anew no sooner after its first dial.
DIAL_INTERVAL_S = 1.1
ROUNDS = 4
MANY = 20
# As the kernel writes them to its table of connections.
ESTABLISHED = '01'
KEEPALIVE_TIMER = '02'


class Ping(link.Message, frozen=True):
    number: int
    after_s: float = 0.0


class Pong(link.Message, frozen=True):
    number: int


def make_signer():
    return link.MessageSigner('test', 'a secret of sixteen', 'a')


class Scene:
    """A control server, a relay before it, and a link through the relay."""

    def __init__(self, new_relay):
        self._new_relay = new_relay
        self._exits = contextlib.AsyncExitStack()
        self.arrived = collections.Counter()

    async def __aenter__(self):
        control = link.ControlServer(make_signer())
        control.handle(Ping, self._answer)
        await control.start(IP, 0)
        self._exits.push_async_callback(control.close)
        self.relay = await self._exits.enter_async_context(
            self._new_relay(control.port)
        )
        self.peers = link.PeerPool(make_signer())
        self._exits.callback(self.peers.close)
        return self

    async def __aexit__(self, *exception):
        await self._exits.aclose()

    async def _answer(self, ping):
        self.arrived[ping.number] += 1
        await asyncio.sleep(ping.after_s)
        return Pong(number=ping.number)

    async def ask(self, number, timeout_s=ASK_S, after_s=0.0):
        peer = self.peers.peer(IP, self.relay.port)
        ping = Ping(number=number, after_s=after_s)
        return await peer.ask(ping, Pong, timeout_s)

    async def is_answered(self, number):
        try:
            await self.ask(number)
        except errors.NoReplyError:
            return False
        return True

    async def regain(self):
        """Ask until a reply comes; return after how long one came."""
        began_s = time.monotonic()
        while not await self.is_answered(0):
            assert time.monotonic() < began_s + 10 * REGAINED_S
            await asyncio.sleep(POLL_S)
        return time.monotonic() - began_s

    async def relay_accepts(self, count):
        """Wait for new connections, and for the peer to accept them."""
        await wait_until(lambda: self.relay.connection_count >= count)
        await asyncio.sleep(ACCEPT_S)

    async def use_for(self, seconds):
        """Use the link until it may dial anew."""
        await self.ask(0, LONG_ASK_S)
        await asyncio.sleep(seconds)


@pytest.fixture
async def silenced():
    async with Scene(silencing_relay.SilencingRelay) as scene:
        yield scene


@pytest.fixture
async def paused():
    async with Scene(relay_module.Relay) as scene:
        yield scene


class TestSilentConnection:
    async def test_is_replaced(self, silenced):
        """Guards against a link that is lost for good.

        Its connection went silent without a reset: both ends see it open.
        """
        await silenced.use_for(DIAL_INTERVAL_S)
        with structlog.testing.capture_logs() as logs:
            silenced.relay.silence()
            assert not await silenced.is_answered(1)
            assert await silenced.regain() < REGAINED_S
        events = [entry['event'] for entry in logs]
        assert events.count('control link dialled anew') == 1
        assert silenced.peers.redial_count == 1
        assert silenced.relay.connection_count == 2

    async def test_exchanges_on_it_keep_their_time(self, silenced):
        """Guards against a dial that ends exchanges in progress."""
        await silenced.use_for(DIAL_INTERVAL_S)
        silenced.relay.silence()
        asking = asyncio.create_task(silenced.ask(1, LONG_ASK_S / 2))
        await silenced.regain()
        await asyncio.sleep(ASK_S)
        assert not asking.done()
        with pytest.raises(errors.NoReplyError):
            await asking
        # It was not sent a second time either.
        assert not silenced.arrived[1]

    async def test_one_dial_serves_all_exchanges_on_it(self, silenced):
        """Guards against a dial while a new connection waits to be used."""
        await silenced.use_for(DIAL_INTERVAL_S)
        silenced.relay.silence()
        asked = [
            silenced.ask(number, timeout_s)
            for number, timeout_s in enumerate(
                (ASK_S, ASK_S, LATE_S + PAUSE_S)
            )
        ]
        results = await asyncio.gather(*asked, return_exceptions=True)
        assert {type(result) for result in results} == {errors.NoReplyError}
        assert silenced.peers.redial_count == 1

    async def test_a_second_one_costs_one_exchange_too(self, silenced):
        """Guards against a new connection that is not watched at once."""
        await silenced.use_for(DIAL_INTERVAL_S)
        silenced.relay.silence()
        assert not await silenced.is_answered(1)
        await silenced.relay_accepts(2)
        await asyncio.sleep(DIAL_INTERVAL_S)
        silenced.relay.silence()
        assert not await silenced.is_answered(2)
        await silenced.relay_accepts(3)
        await silenced.ask(3, LONG_ASK_S / 2)

    async def test_sockets_of_the_replaced_are_closed(self, silenced):
        """Guards against a process that runs out of sockets."""
        for _ in range(ROUNDS):
            await silenced.use_for(DIAL_INTERVAL_S)
            silenced.relay.silence()
            await silenced.regain()
        await wait_until(lambda: silenced.relay.open_count == 1)
        assert silenced.relay.connection_count == 1 + ROUNDS
        assert silenced.peers.redial_count == ROUNDS

    async def test_closing_the_link_closes_all_sockets(self, silenced):
        """Guards against sockets that outlive their link."""
        await silenced.use_for(DIAL_INTERVAL_S)
        silenced.relay.silence()
        asking = asyncio.create_task(silenced.ask(1, LONG_ASK_S))
        await silenced.regain()
        assert silenced.relay.open_count == 2
        silenced.peers.close()
        with pytest.raises(errors.LinkError):
            await asking
        await wait_until(lambda: silenced.relay.open_count == 0)
        assert silenced.peers.redial_count == 1


class TestControlServer:
    async def test_probes_connections_that_bring_nothing(self):
        """Guards against sockets of peers that have dialled anew.

        No close arrives on a connection that went silent.
        """
        control = link.ControlServer(make_signer())
        await control.start(IP, 0)
        with contextlib.closing(link.PeerPool(make_signer())) as peers:
            peers.peer(IP, control.port)
            await wait_until(
                lambda: kernel_timers(control.port) == [KEEPALIVE_TIMER]
            )
        await control.close()


class TestSilentPeer:
    async def test_gets_all_that_was_in_flight_once(self, paused):
        """Guards against requests lost or doubled by a dial made too soon.

        The peer is sound, and reads and writes nothing for a moment.
        """
        await paused.use_for(DIAL_INTERVAL_S)
        slow = [
            asyncio.create_task(paused.ask(n, LONG_ASK_S, after_s=0.1))
            for n in range(1, MANY)
        ]
        await asyncio.sleep(0.05)
        paused.relay.half_open()
        began_s = time.monotonic()
        during = []
        while time.monotonic() < began_s + PAUSE_S:
            number = MANY + len(during)
            during.append(asyncio.create_task(paused.ask(number, LONG_ASK_S)))
            assert not await paused.is_answered(0)
        paused.relay.heal()
        replies = await asyncio.gather(*slow, *during)
        numbers = [reply.number for reply in replies]
        assert numbers == list(range(1, MANY + len(during)))
        assert {paused.arrived[n] for n in numbers} == {1}
        await paused.ask(0, LONG_ASK_S)

    async def test_that_accepts_connections_loses_nothing_either(self, paused):
        """Guards against a replaced connection that ends its exchanges.

        The peer is too busy to answer, but its connections are accepted.
        """
        await paused.use_for(DIAL_INTERVAL_S)
        slow = [
            asyncio.create_task(paused.ask(n, LONG_ASK_S, after_s=PAUSE_S))
            for n in range(1, 1 + MANY)
        ]
        await asyncio.sleep(0.1)
        await paused.regain()
        assert paused.peers.redial_count == 1
        replies = await asyncio.gather(*slow)
        assert [reply.number for reply in replies] == list(range(1, 1 + MANY))
        assert {paused.arrived[n] for n in range(1, 1 + MANY)} == {1}

    async def test_is_dialled_seldom(self, paused):
        """Guards against dials for each exchange with a peer that is gone."""
        await paused.use_for(DIAL_INTERVAL_S)
        before = paused.relay.connection_count
        paused.relay.half_open()
        began_s = time.monotonic()
        while time.monotonic() < began_s + 2 * PAUSE_S:
            await asyncio.gather(*map(paused.is_answered, range(MANY)))
        passed_s = time.monotonic() - began_s
        dials = paused.relay.connection_count - before
        assert 1 <= dials <= 1 + passed_s
        assert dials == paused.peers.redial_count
        paused.relay.heal()
        assert await paused.regain() < REGAINED_S

    async def test_a_reply_in_time_needs_no_dial(self, paused):
        """Guards against dials that exchanges that were cancelled cause."""
        await paused.use_for(DIAL_INTERVAL_S)
        for number in range(ROUNDS):
            asking = asyncio.create_task(paused.ask(1, LONG_ASK_S, PAUSE_S))
            await asyncio.sleep(ASK_S)
            asking.cancel()
            await paused.ask(number, LONG_ASK_S)
        assert paused.relay.connection_count == 1

    async def test_a_late_reply_beside_others_needs_no_dial(self, paused):
        """Guards against a slow handler that passes for a silent link."""
        await paused.use_for(DIAL_INTERVAL_S)
        for _ in range(ROUNDS):
            late = asyncio.create_task(paused.ask(1, LATE_S, PAUSE_S))
            await asyncio.sleep(LATE_S / 5)
            await paused.ask(2, LATE_S / 2)
            with pytest.raises(errors.NoReplyError):
                await late
        assert paused.relay.connection_count == 1


def kernel_timers(port):
    """Return the timers of the connections that a port has accepted."""
    found = []
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        _, local, _, state, _, timer, *_ = line.split()
        if int(local.partition(':')[2], 16) == port and state == ESTABLISHED:
            found.append(timer.partition(':')[0])
    return found


async def wait_until(is_met):
    deadline_s = time.monotonic() + 10 * REGAINED_S
    while not is_met():
        assert time.monotonic() < deadline_s
        await asyncio.sleep(POLL_S)
