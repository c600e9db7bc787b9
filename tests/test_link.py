"""Tests of control links: valid, invalid and cancelled messages."""

import asyncio
import contextlib
import hmac
import time

from hypothesis import given
from hypothesis import strategies
import msgspec
import pynng
import pytest

from lacewingpitch import errors
from lacewingpitch import link
from lacewingpitch import work

IP = '127.0.0.1'
SECRET = 'a secret of sixteen'
TIMEOUT_S = 10.0
# More messages than the server has tasks, so that each task gets one.
MANY = 40


class Ping(link.Message, frozen=True):
    number: int
    note: str = ''


class Pong(link.Message, frozen=True):
    number: int
    size: int = 0


def make_signer(deployment='test', secret=SECRET, sender='a'):
    return link.MessageSigner(deployment, secret, sender)


class Protocol1Signer(link.MessageSigner):
    """Signs and verifies as processes of protocol 1 do."""

    def sign(self, message):
        content = [1, 'test', 'a', type(message).__name__]
        data = msgspec.msgpack.encode([*content, message])
        return data + self._tag(data)

    sign_short = sign

    def verify(self, data):
        if not hmac.compare_digest(data[-32:], self._tag(data[:-32])):
            raise errors.LinkError('wrong signature')
        return super().verify(data)


class Server:
    """A control server that answers pings, and a pool of links to it."""

    async def __aenter__(self):
        self.control = link.ControlServer(make_signer())
        self.control.handle(Ping, self.answer)
        await self.control.start(IP, 0)
        self.peers = link.PeerPool(make_signer(sender='b'))
        return self

    async def __aexit__(self, *exception):
        self.peers.close()
        await self.control.close()

    async def answer(self, ping):
        if ping.note == 'hold':
            await asyncio.Event().wait()
        if ping.note == 'fail':
            raise ValueError(ping.note)
        if ping.note == 'cancel':
            shared = asyncio.get_running_loop().create_future()
            shared.cancel()
            await shared
        # A number beyond 64 bits cannot be encoded.
        factor = 1 << 70 if ping.note == 'huge' else 1
        return Pong(number=ping.number * factor)

    async def ask(self, message, kind=Pong, signer=None):
        peers = link.PeerPool(signer) if signer else self.peers
        peer = peers.peer(IP, self.control.port)
        return await peer.ask(message, kind, TIMEOUT_S)

    async def send_raw(self, data):
        with pynng.Req0() as req:
            req.dial(f'tcp://{IP}:{self.control.port}')
            async with asyncio.timeout(TIMEOUT_S):
                await req.asend(data)
                return await req.arecv()

    def record_forms(self):
        """Return a list that records of each message whether it is short."""
        sent = []
        answer = self.control._answer

        async def recording(data):
            sent.append(link.is_short_form(data))
            return await answer(data)

        self.control._answer = recording
        return sent

    def switch_to_protocol_1(self):
        """Read and reply from now on as a process of protocol 1."""
        self.control._signer = Protocol1Signer('test', SECRET, 'a')

    async def still_serves(self):
        replies = await asyncio.gather(
            *(self.ask(Ping(number=n)) for n in range(MANY))
        )
        return [reply.number for reply in replies] == list(range(MANY))


@pytest.fixture
async def server():
    async with Server() as found:
        yield found


def envelope(**fields):
    """Return a signed envelope with some fields replaced."""
    content = {
        'protocol': link.PROTOCOL_VERSION,
        'deployment': 'test',
        'sender': 'a',
        'kind': 'Ping',
        'body': {'number': 1},
    } | fields
    return sign(msgspec.msgpack.encode(list(content.values())))


def short(**fields):
    """Return a signed short envelope with some fields replaced."""
    content = {
        'protocol': link.PROTOCOL_VERSION,
        'deployment': make_signer()._deployment_code,
        'kind': link.kind_code('Ping'),
        'body': [1],
    } | fields
    return sign_short(msgspec.msgpack.encode(list(content.values())))


def sign(data):
    signer = make_signer()
    return data + signer._tag(data)


def sign_short(data):
    data = b'\xc1' + data
    return data + make_signer()._tag(data)[:16]


FORMS = [link.MessageSigner.sign, link.MessageSigner.sign_short]
PREFIXES = [b'', b'\xc1']
NESTED = b'\x91' * 100_000
REFUSED = [
    (b'', 'wrong signature'),
    (b'x' * 100, 'wrong signature'),
    (
        make_signer(secret='another secret of 16').sign(Ping(number=1)),
        'wrong signature',
    ),
    (make_signer('other').sign(Ping(number=1)), 'another deployment'),
    (envelope(protocol=0), 'protocol version too old'),
    (envelope(kind='Pung'), 'unknown kind'),
    (envelope(body={'number': 'one'}), 'malformed body'),
    (envelope(body=[]), 'malformed body'),
    (envelope(protocol='1'), 'malformed envelope'),
    (sign(b''), 'malformed envelope'),
    (sign(b'\x93\x01'), 'malformed envelope'),
    (envelope(body=msgspec.Raw(NESTED)), 'malformed envelope'),
    (sign(envelope()[:-40]), 'malformed envelope'),
    (b'\xc1', 'wrong signature'),
    (b'\xc1' * 100, 'wrong signature'),
    (short()[:-1], 'wrong signature'),
    # The HMAC of one form is not valid in the other.
    (short()[:-16] + make_signer()._tag(short()[:-16]), 'wrong signature'),
    (envelope()[:-16], 'wrong signature'),
    (
        make_signer(secret='another secret of 16').sign_short(Ping(number=1)),
        'wrong signature',
    ),
    (make_signer('other').sign_short(Ping(number=1)), 'another deployment'),
    (short(protocol=0), 'protocol version too old'),
    (short(kind=link.kind_code('Pung')), 'unknown kind'),
    (short(kind='Ping'), 'malformed envelope'),
    (short(body=['one']), 'malformed body'),
    (short(body=[]), 'malformed body'),
    (short(body={'number': 1}), 'malformed body'),
    (short(body=msgspec.Raw(NESTED)), 'malformed envelope'),
    (sign_short(b''), 'malformed envelope'),
    (sign_short(b'\x93\x01'), 'malformed envelope'),
]


class TestRefusals:
    @pytest.mark.parametrize(('data', 'reason'), REFUSED)
    async def test_are_counted_and_do_not_end_serving(
        self, server, data, reason
    ):
        """Guards against invalid messages that end the serving tasks.

        Such a message raises an exception.  If that ended its task, every
        request would time out after one such message for each task.
        """
        for _ in range(MANY):
            reply = make_signer().verify(await server.send_raw(data))
            assert reply.has_kind(link._Refused)
            # A sender that reads only one form gets its refusal in it.
            assert reply.is_short == link.is_short_form(data)
        assert server.control.refused_count == {reason: MANY}
        assert await server.still_serves()

    @pytest.mark.parametrize('note', ['fail', 'huge', 'cancel'])
    async def test_of_a_failing_handler_do_not_end_serving(self, server, note):
        for _ in range(MANY):
            with pytest.raises(errors.LinkError, match='Refused'):
                await server.ask(Ping(number=1, note=note))
        assert server.control.refused_count == {'handler failed': MANY}
        assert await server.still_serves()

    async def test_of_a_message_above_the_limit(self, server):
        size = 2 * link.MAX_MESSAGE_BYTES
        peer = server.peers.peer(IP, server.control.port)
        with pytest.raises(errors.LinkError):
            await peer.ask(Ping(number=1, note='x' * size), Pong, 0.5)
        assert await server.still_serves()

    async def test_a_foreign_deployment_cannot_read_a_reply(self, server):
        foreign = make_signer(secret='another secret of 16')
        with pytest.raises(errors.LinkError, match='signature'):
            await server.ask(Ping(number=1), signer=foreign)

    async def test_a_reply_of_another_kind_is_rejected(self, server):
        with pytest.raises(errors.LinkError, match='replied Pong'):
            await server.ask(Ping(number=1), kind=Ping)


class TestCancelling:
    async def test_a_server_closes_while_messages_arrive(self):
        """Guards against an instance that does not exit when it is stopped.

        A control message arrives at the same time as the cancellation of a
        serving task; the library swallows the cancellation.
        """
        async with contextlib.AsyncExitStack() as held:
            server = Server()
            await server.__aenter__()
            await asyncio.sleep(0.1)
            for _ in range(MANY):
                req = held.enter_context(pynng.Req0())
                req.dial(f'tcp://{IP}:{server.control.port}', block=True)
                req.send(make_signer().sign(Ping(number=1)))
            # Meanwhile the library's threads receive the messages.  The loop
            # is blocked, so no task sees its message yet.
            time.sleep(0.5)
            closing = asyncio.create_task(server.__aexit__())
            await asyncio.wait({closing}, timeout=TIMEOUT_S)
            assert closing.done()

    async def test_a_cancelled_request_ends(self, server):
        """Guards against a request that waits forever after its timeout.

        The timeout fires as the message has just been sent, the library
        swallows it, and it does not fire again while the reply is awaited.
        """
        asking = asyncio.create_task(server.ask(Ping(number=1, note='hold')))
        await asyncio.sleep(0)
        # The message is sent while the loop is blocked.
        time.sleep(0.5)
        asking.cancel()
        await asyncio.wait({asking}, timeout=TIMEOUT_S / 2)
        assert asking.cancelled()


class TestMessageSigner:
    @given(strategies.binary(max_size=200), strategies.sampled_from(PREFIXES))
    def test_rejects_unsigned_bytes(self, data, prefix):
        with pytest.raises(errors.LinkError):
            make_signer().verify(prefix + data)

    @pytest.mark.parametrize('form', FORMS)
    @given(strategies.integers(min_value=0), strategies.integers(1, 255))
    def test_rejects_a_changed_message(self, form, position, flip):
        data = bytearray(form(make_signer(), Ping(number=1, note='note')))
        data[position % len(data)] ^= flip
        with pytest.raises(errors.LinkError):
            make_signer().verify(bytes(data))

    @given(
        strategies.binary(max_size=200),
        strategies.sampled_from([sign, sign_short]),
    )
    def test_signed_bytes_give_a_message_or_a_link_error(self, data, signed):
        try:
            make_signer().verify(signed(data))
        except errors.LinkError:
            return

    @pytest.mark.parametrize('form', FORMS)
    @given(strategies.integers(0, 1 << 60), strategies.text(max_size=20))
    def test_verifies_what_it_signed(self, form, number, note):
        ping = Ping(number=number, note=note)
        message = make_signer(sender='b').verify(form(make_signer(), ping))
        assert message.has_kind(Ping) and not message.has_kind(Pong)
        assert message.decode(Ping) == ping

    @given(strategies.binary(max_size=40), strategies.integers(0, 3))
    def test_a_short_body_gives_a_message_or_a_decode_error(self, junk, kept):
        body = msgspec.msgpack.encode([1, 'note', [2]])[:kept] + junk
        message = link.VerifiedMessage(2, 0, msgspec.Raw(body), is_short=True)
        try:
            assert isinstance(message.decode(Ping), Ping)
        except (msgspec.DecodeError, RecursionError):
            return


class TestMixedVersions:
    async def test_a_newer_sender_is_understood(self, server):
        """Guards against a rolling upgrade that stops the old processes.

        The newer processes send a later protocol version, a longer envelope
        and messages with fields that the older ones do not know.
        """
        body = {'number': 3, 'added': {'later': [1, 2]}}
        data = envelope(protocol=link.PROTOCOL_VERSION + 1, body=body, more=1)
        reply = make_signer().verify(await server.send_raw(data))
        assert reply.has_kind(Pong)
        assert reply.decode(Pong).number == 3

    async def test_a_newer_short_sender_is_understood(self, server):
        data = short(protocol=link.PROTOCOL_VERSION + 1, body=[3, '', 4], a=1)
        reply = make_signer().verify(await server.send_raw(data))
        assert reply.is_short
        assert reply.decode(Pong).number == 3

    def test_an_older_message_gets_the_defaults(self):
        old = msgspec.msgpack.encode({'number': 3})
        assert msgspec.msgpack.decode(old, type=Pong).size == 0

    async def test_short_form_is_used_once_a_reply_showed_that_it_is_read(
        self, server
    ):
        sent = server.record_forms()
        for _ in range(3):
            assert (await server.ask(Ping(number=3))).number == 3
        assert sent == [False, True, True]

    async def test_a_process_of_protocol_1_is_understood(self, server):
        """Guards against old processes that new ones cannot reach.

        Processes of protocol 1 read only the long form, refuse the short one
        as wrongly signed, and reply as protocol 1.  A sender must not choose
        the form by its own version, or by an earlier process at the address.
        """
        sent = server.record_forms()
        for _ in range(2):
            await server.ask(Ping(number=1))
        server.switch_to_protocol_1()
        for _ in range(3):
            assert (await server.ask(Ping(number=3))).number == 3
        # The first message to the old process was sent again, in long form.
        assert sent == [False, True, True, False, False, False]
        assert server.control.refused_count == {'wrong signature': 1}


class TestOrders:
    @given(strategies.text(max_size=200) | strategies.binary().map(str))
    def test_any_text_is_refused_as_foreign(self, text):
        with pytest.raises(errors.RefusalError) as caught:
            work.decode_order(text, make_signer())
        assert caught.value.kind is errors.ErrorKind.FOREIGN_PROCESS

    def test_another_message_is_no_order(self):
        text = work.encode_order(Ping(number=1), make_signer())
        with pytest.raises(errors.RefusalError, match='not an order'):
            work.decode_order(text, make_signer())
