"""Control links: signed request-reply messages between processes, by pynng.

A message is a msgpack envelope followed by its HMAC.  A message that is
malformed, wrongly signed, of another deployment or of a protocol that is too
old is refused and counted; it never reaches a handler.

Messages have two encodings.  The long form names fields, kind, deployment
and sender; protocol 1 reads only this form.  The short form omits what the
receiver knows: it identifies fields by position, and the kind and the
deployment by a hash.  Every process reads both forms and replies in the form
of the request.  It sends requests in the short form once a reply has shown
that the peer reads it.
"""

import asyncio
import collections
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import dataclasses
import functools
import hashlib
import hmac
import socket
from typing import Any, TypeVar

import msgspec
import pynng
import structlog
import xxhash

from lacewingpitch import errors
from lacewingpitch import link_sockets
from lacewingpitch import request_end

PROTOCOL_VERSION = 2
OLDEST_PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20
_SHORT_FORM_SINCE = 2
# msgpack never uses this byte.  It separates the two forms: no message is
# valid in both, and the HMAC of one form is never valid in the other.
_SHORT_PREFIX = b'\xc1'
_TAG_BYTES = 32
_SHORT_TAG_BYTES = 16
_CODE_MASK = 0xFFFF
_DEPLOYMENT_MASK = 0xFFFFFFFF
_SERVER_CONTEXT_COUNT = 16

Reply = TypeVar('Reply', bound=msgspec.Struct)
Handler = Callable[[Any], Awaitable[msgspec.Struct]]
log = structlog.get_logger(__name__)


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of control messages.

    The class name and the order of the fields are part of the protocol.
    Two versions exchange messages during a rolling upgrade, so receivers
    ignore unknown fields, and new fields need defaults and come last.
    """


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    protocol: int
    deployment: str
    sender: str
    kind: str
    body: msgspec.Raw


class _ShortEnvelope(msgspec.Struct, frozen=True, array_like=True):
    protocol: int
    deployment: int
    kind: int
    body: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class VerifiedMessage:
    """A message with a valid signature, its body not yet decoded.

    Parameters
    ----------
    protocol
        Protocol version of the sender.
    kind
        Name of the message type; its code in the short form.
    body
        Encoded message.
    is_short
        Whether it came in the short form.
    """

    protocol: int
    kind: str | int
    body: msgspec.Raw
    is_short: bool

    def has_kind(self, kind: type[msgspec.Struct]) -> bool:
        """Return whether the envelope names that message type."""
        return self.kind in (kind.__name__, kind_code(kind.__name__))

    def decode(self, kind: type[Reply]) -> Reply:
        """Return the decoded message.

        Raises
        ------
        DecodeError
            The body is not a message of that type.
        """
        if not self.is_short or kind.__struct_config__.array_like:
            return msgspec.msgpack.decode(self.body, type=kind)
        positional = msgspec.msgpack.decode(
            self.body, type=_positional_type(kind)
        )
        return kind(*msgspec.structs.astuple(positional))


class MessageSigner:
    """Signs and verifies messages with the secret of one deployment.

    Parameters
    ----------
    deployment
        Name of the deployment; messages of another one are refused.
    secret
        Key of the HMAC.
    sender
        Name of this instance, in messages of the long form.
    """

    def __init__(self, deployment: str, secret: str, sender: str) -> None:
        self._deployment = deployment
        self._deployment_code = (
            xxhash.xxh3_64_intdigest(deployment.encode()) & _DEPLOYMENT_MASK
        )
        self._secret = secret.encode()
        self._sender = sender

    def sign(self, message: msgspec.Struct) -> bytes:
        """Return `message` signed, in the long form that all versions read."""
        body = msgspec.Raw(msgspec.msgpack.encode(message))
        kind = type(message).__name__
        data = msgspec.msgpack.encode(
            _Envelope(
                PROTOCOL_VERSION, self._deployment, self._sender, kind, body
            )
        )
        return data + self._tag(data)

    def sign_short(self, message: msgspec.Struct) -> bytes:
        """Return `message` signed, in the short form."""
        values = _without_defaults(message)
        data = _SHORT_PREFIX + msgspec.msgpack.encode(
            _ShortEnvelope(
                PROTOCOL_VERSION,
                self._deployment_code,
                kind_code(type(message).__name__),
                msgspec.Raw(msgspec.msgpack.encode(values)),
            )
        )
        return data + self._tag(data)[:_SHORT_TAG_BYTES]

    def verify(self, data: bytes) -> VerifiedMessage:
        """Return a message of either form if its signature is valid.

        Raises
        ------
        LinkError
            It is malformed, or not a message of this deployment.
        """
        is_short = is_short_form(data)
        tag_bytes = _SHORT_TAG_BYTES if is_short else _TAG_BYTES
        content, tag = data[:-tag_bytes], data[-tag_bytes:]
        if not hmac.compare_digest(tag, self._tag(content)[:tag_bytes]):
            raise errors.LinkError('wrong signature')
        try:
            return self._decode_envelope(content, is_short)
        except (msgspec.DecodeError, RecursionError) as error:
            raise errors.LinkError('malformed envelope') from error

    def _decode_envelope(
        self, content: bytes, is_short: bool
    ) -> VerifiedMessage:
        envelope: _Envelope | _ShortEnvelope
        if is_short:
            content = content.removeprefix(_SHORT_PREFIX)
            envelope = msgspec.msgpack.decode(content, type=_ShortEnvelope)
        else:
            envelope = msgspec.msgpack.decode(content, type=_Envelope)
        if envelope.protocol < OLDEST_PROTOCOL_VERSION:
            raise errors.LinkError('protocol version too old')
        if envelope.deployment not in (
            self._deployment,
            self._deployment_code,
        ):
            raise errors.LinkError('another deployment')
        return VerifiedMessage(
            envelope.protocol, envelope.kind, envelope.body, is_short
        )

    def _tag(self, data: bytes) -> bytes:
        return hmac.digest(self._secret, data, hashlib.sha256)


def is_short_form(data: bytes) -> bool:
    """Return whether `data` has the prefix of the short form."""
    return data[:1] == _SHORT_PREFIX


@functools.cache
def kind_code(name: str) -> int:
    """Return the code of a message type in the short form."""
    return xxhash.xxh3_64_intdigest(name.encode()) & _CODE_MASK


@functools.cache
def _defaults(kind: type[msgspec.Struct]) -> tuple[Any, ...]:
    return tuple(
        field.default_factory()
        if field.default_factory is not msgspec.NODEFAULT
        else field.default
        for field in msgspec.structs.fields(kind)
    )


def _without_defaults(message: msgspec.Struct) -> tuple[Any, ...]:
    """Return the field values, without trailing ones that are defaults."""
    values = msgspec.structs.astuple(message)
    defaults = _defaults(type(message))
    count = len(values)
    while count and values[count - 1] == defaults[count - 1]:
        count -= 1
    return values[:count]


@functools.cache
def _positional_type(kind: type[msgspec.Struct]) -> type[msgspec.Struct]:
    """Return the same type, encoded with fields by position."""
    fields: list[tuple[str, Any, Any]] = []
    for field in msgspec.structs.fields(kind):
        new_field = msgspec.field()
        if field.default_factory is not msgspec.NODEFAULT:
            new_field = msgspec.field(default_factory=field.default_factory)
        elif field.default is not msgspec.NODEFAULT:
            new_field = msgspec.field(default=field.default)
        fields.append((field.name, field.type, new_field))
    return msgspec.defstruct(kind.__name__, fields, array_like=True)


class _Refused(Message, frozen=True):
    reason: str


class ControlServer:
    """Answers control messages, each with the handler of its type.

    Parameters
    ----------
    signer
        Verifies requests and signs replies.
    context_count
        Messages handled concurrently; further ones wait in the transport.
    """

    def __init__(
        self, signer: MessageSigner, context_count: int = _SERVER_CONTEXT_COUNT
    ) -> None:
        self._signer = signer
        self._context_count = context_count
        self._handlers: dict[
            str | int, tuple[type[msgspec.Struct], Handler]
        ] = {}
        self._exits = contextlib.AsyncExitStack()
        self.refused_count: collections.Counter[str] = collections.Counter()
        self.port = 0

    def handle(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        """Register the handler of one message type.

        Raises
        ------
        ValueError
            Another type has the same code in the short form.
        """
        code = kind_code(kind.__name__)
        other = self._handlers.get(code)
        if other is not None and other[0] is not kind:
            raise ValueError(f'{kind} and {other[0]} have the same code')
        self._handlers[kind.__name__] = (kind, handler)
        self._handlers[code] = (kind, handler)

    async def start(self, ip: str, port: int) -> None:
        """Listen on `ip` and `port`; port 0 selects a free port."""
        rep = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._exits.callback(rep.close)
        # A peer whose connection went silent dials anew.  What is left of
        # the former one here would stay open for good.
        rep.tcp_keepalive = True
        listener = rep.listen(f'tcp://{ip}:{port}')
        # pynng returns the port in network byte order.
        self.port = port or socket.ntohs(listener.local_address.port)
        for _ in range(self._context_count):
            task = asyncio.create_task(self._serve(rep.new_context()))
            self._exits.push_async_callback(_cancel_and_wait, task)

    async def close(self) -> None:
        """Stop listening."""
        await self._exits.aclose()

    async def _serve(self, context: pynng.Context) -> None:
        with contextlib.closing(context):
            while True:
                data = await link_sockets.await_cancellable(context.arecv())
                reply = await self._answer(data)
                with contextlib.suppress(pynng.NNGException):
                    await link_sockets.await_cancellable(context.asend(reply))

    async def _answer(self, data: bytes) -> bytes:
        # The requester reads the form that it sent.  A process of protocol 1
        # thus gets its replies, refusals included, in the long form.
        sign = self._signer.sign
        if is_short_form(data):
            sign = self._signer.sign_short
        try:
            verified = self._signer.verify(data)
            kind, handler = self._handlers[verified.kind]
            message = verified.decode(kind)
        except KeyError:
            return sign(self._refuse('unknown kind'))
        except (msgspec.DecodeError, RecursionError):
            return sign(self._refuse('malformed body'))
        except errors.LinkError as error:
            return sign(self._refuse(str(error)))
        try:
            return sign(await handler(message))
        except (Exception, asyncio.CancelledError):
            # An exception must not end the serving task: once all of them
            # had ended, every request would time out.
            if request_end.is_cancelled():
                raise
            log.exception('control handler failed', kind=kind.__name__)
            return sign(self._refuse('handler failed'))

    def _refuse(self, reason: str) -> _Refused:
        # Only fixed texts: otherwise a sender could grow the counter without
        # limit.
        self.refused_count[reason] += 1
        return _Refused(reason=reason)


class Peer:
    """Control link to one other process.

    Parameters
    ----------
    signer
        Signs requests and verifies replies.
    ip, port
        Address of the peer's control server.
    """

    def __init__(self, signer: MessageSigner, ip: str, port: int) -> None:
        self._signer = signer
        self.address = f'tcp://{ip}:{port}'
        self._sockets = link_sockets.LinkSockets(
            self.address, MAX_MESSAGE_BYTES
        )
        self._reads_short_form = False

    @property
    def redial_count(self) -> int:
        """Return how often the link was dialled anew after a silence."""
        return self._sockets.redial_count

    def close(self) -> None:
        """Close the link."""
        self._sockets.close()

    async def ask(
        self, message: msgspec.Struct, kind: type[Reply], timeout_s: float
    ) -> Reply:
        """Send `message` and return the reply, of type `kind`.

        The message may arrive more than once, so handlers must be
        idempotent.

        Raises
        ------
        LinkError
            No valid reply within `timeout_s`; `NoReplyError` if there was
            no reply at all.
        """
        asked_at_s = self._sockets.begin()
        try:
            async with _reply_timeout(self.address, timeout_s):
                verified = await self._exchange(message)
        except errors.NoReplyError:
            self._sockets.record_no_reply(asked_at_s)
            raise
        if verified.has_kind(_Refused):
            raise errors.LinkError(f'{self.address} replied _Refused')
        if not verified.has_kind(kind):
            raise errors.LinkError(f'{self.address} replied {verified.kind}')
        try:
            return verified.decode(kind)
        except msgspec.DecodeError as error:
            raise errors.LinkError(f'malformed reply: {error}') from error

    async def _exchange(self, message: msgspec.Struct) -> VerifiedMessage:
        if self._reads_short_form:
            verified = await self._send(self._signer.sign_short(message))
            if verified.is_short:
                return verified
            # A process of an older version runs at this address now.  It
            # cannot read the short form and refused in the long one, so the
            # request is sent again in the long form.
        verified = await self._send(self._signer.sign(message))
        self._reads_short_form = verified.protocol >= _SHORT_FORM_SINCE
        return verified

    async def _send(self, data: bytes) -> VerifiedMessage:
        return self._signer.verify(await self._sockets.exchange(data))


class PeerPool:
    """Pool of open control links; closes the least recently used.

    Parameters
    ----------
    signer
        Signs requests and verifies replies.
    capacity_peers
        Maximum number of open links.
    """

    def __init__(
        self, signer: MessageSigner, capacity_peers: int = 256
    ) -> None:
        self._signer = signer
        self._capacity_peers = capacity_peers
        self._peers: collections.OrderedDict[tuple[str, int], Peer] = (
            collections.OrderedDict()
        )
        self._dropped_redial_count = 0

    def peer(self, ip: str, port: int) -> Peer:
        """Return the link to the process at `ip` and `port`."""
        address = (ip, port)
        found = self._peers.get(address)
        if found is None:
            found = Peer(self._signer, ip, port)
            self._peers[address] = found
        self._peers.move_to_end(address)
        while len(self._peers) > self._capacity_peers:
            self._drop(self._peers.popitem(last=False)[1])
        return found

    @property
    def redial_count(self) -> int:
        """Return how often links were dialled anew after a silence."""
        open_links = self._peers.values()
        return self._dropped_redial_count + sum(
            peer.redial_count for peer in open_links
        )

    def close(self) -> None:
        """Close every link."""
        while self._peers:
            self._drop(self._peers.popitem()[1])

    def _drop(self, peer: Peer) -> None:
        self._dropped_redial_count += peer.redial_count
        peer.close()


@contextlib.asynccontextmanager
async def _reply_timeout(
    address: str, timeout_s: float
) -> AsyncIterator[None]:
    try:
        async with asyncio.timeout(timeout_s):
            yield
    except (TimeoutError, pynng.NNGException) as error:
        raise errors.NoReplyError(
            f'no reply from {address}: {error!r}'
        ) from error


async def _cancel_and_wait(task: asyncio.Task[None]) -> None:
    task.cancel()
    # Awaiting the task itself would not distinguish its cancellation from
    # that of the current task.
    await asyncio.wait({task})
    if not task.cancelled() and task.exception() is not None:
        log.warning('serving task failed', error=repr(task.exception()))
