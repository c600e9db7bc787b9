"""Exchange of the configuration with a process that the store refuses."""

import asyncio
import random

from benchmarks import virtual_time
from lacewingpitch import configuration_exchange
from lacewingpitch import errors
from lacewingpitch import routing
from lacewingpitch import turn_messages


def decode(content):
    if not content.isdigit():
        raise errors.PlatformError('not a configuration')
    return routing.Configuration(int(content), (), {}, None, content)


class FakeLink:
    """One sidecar with a version; unreachable if `content` is ``None``."""

    def __init__(self, content):
        self.content = content
        self.offered = []
        self.request_count = 0

    async def request_configuration(self, ip, message, timeout_s):
        self.request_count += 1
        if self.content is None:
            raise errors.NoReplyError(ip)
        return turn_messages.ConfigurationReply(content=self.content)

    async def offer_configuration(self, ip, message, timeout_s):
        self.offered.append(message.content)


def play(own, peer, *, calls=1, interval_s=0.5):
    async def main():
        link = FakeLink(peer)
        table = routing.RoutingTable(random.Random(1))
        exchange = configuration_exchange.ConfigurationExchange(
            link, table, decode, virtual_time.LoopClock()
        )
        if own:
            exchange.apply(own, 'store')
        for _ in range(calls):
            exchange.reconcile('10.0.0.1', int(peer or 9))
            await asyncio.sleep(interval_s)
        return link, table

    return virtual_time.run(main())


class TestReconcile:
    def test_a_newer_version_is_fetched(self):
        """Guards against an entry that refuses routes in force elsewhere.

        The store refuses this entry and serves the other instances.
        """
        _, table = play(b'3', b'5')
        assert table.version == 5

    def test_an_equal_version_needs_no_message(self):
        link, _ = play(b'5', b'5', calls=20)
        assert link.request_count == 0
        assert link.offered == []

    def test_an_older_peer_is_offered_our_version_after_a_delay(self):
        link, _ = play(b'5', b'3')
        assert link.offered == []
        link, _ = play(b'5', b'3', calls=4)
        assert link.offered == [b'5']

    def test_an_unreachable_peer_changes_nothing(self):
        _, table = play(b'3', None)
        assert table.version == 3


class TestAnswer:
    def test_returns_only_a_newer_configuration(self):
        async def main():
            table = routing.RoutingTable(random.Random(1))
            exchange = configuration_exchange.ConfigurationExchange(
                None, table, decode, virtual_time.LoopClock()
            )
            ask = turn_messages.ConfigurationRequest
            assert (await exchange.answer(ask(above_version=0))).content == b''
            offer = turn_messages.ConfigurationOffer(content=b'4')
            await exchange.accept(offer)
            assert table.version == 4
            reply = await exchange.answer(ask(above_version=3))
            assert reply.content == b'4'
            assert (await exchange.answer(ask(above_version=4))).content == b''

        virtual_time.run(main())
