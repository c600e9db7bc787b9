"""Control messages between the system's own processes, over pynng.

A message is a msgpack envelope followed by an HMAC of it.  A message
that is malformed, of another protocol version, of another deployment or
wrongly signed is counted and refused; it never reaches a handler.

There are two forms.  The long one names fields, kind, deployment and
sender, and is what protocol 1 reads.  The short one leaves out what the
receiver knows.  A process reads both, answers in the form it was asked
in, and asks in the short form only where a reply showed that it is read.
"""

import asyncio
import collections
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
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

PROTOCOL_VERSION = 2
OLDEST_PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20
_SHORT_SINCE = 2
# No msgpack begins with this byte, so no message can be read in both
# forms, and neither form's HMAC is one of the other.
_SHORT_MARK = b'\xc1'
_TAG_BYTES = 32
_SHORT_TAG_BYTES = 16
_CODE_MASK = 0xFFFF
_DEPLOYMENT_MASK = 0xFFFFFFFF
_SERVER_CONTEXTS = 16

Reply = TypeVar('Reply', bound=msgspec.Struct)
Finished = TypeVar('Finished')
Handler = Callable[[Any], Awaitable[msgspec.Struct]]
log = structlog.get_logger(__name__)


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base of control messages.

    Unknown fields are ignored and new ones carry defaults, so that two
    versions can talk during a rolling upgrade.  New ones come last, as
    the short form goes by their order.
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
    """A message whose signature is right.

    Parameters
    ----------
    kind
        Name of its type, or the code of that in the short form.
    """

    protocol: int
    kind: str | int
    body: msgspec.Raw
    is_short: bool

    def has_kind(self, kind: type[msgspec.Struct]) -> bool:
        """Whether it says to be of that type."""
        return self.kind in (kind.__name__, kind_code(kind.__name__))

    def decode(self, kind: type[Reply]) -> Reply:
        """Return the message.

        Raises
        ------
        DecodeError
            It is none of that type.
        """
        if not self.is_short or kind.__struct_config__.array_like:
            return msgspec.msgpack.decode(self.body, type=kind)
        unnamed = msgspec.msgpack.decode(self.body, type=_unnamed(kind))
        return kind(*msgspec.structs.astuple(unnamed))


class MessageSigner:
    """Signs and checks the messages of one deployment."""

    def __init__(self, deployment: str, secret: str, sender: str) -> None:
        self._deployment = deployment
        self._deployment_code = (
            xxhash.xxh3_64_intdigest(deployment.encode()) & _DEPLOYMENT_MASK
        )
        self._secret = secret.encode()
        self._sender = sender

    def sign(self, message: msgspec.Struct) -> bytes:
        """Return the signed bytes of `message`, as all versions read it."""
        body = msgspec.Raw(msgspec.msgpack.encode(message))
        kind = type(message).__name__
        data = msgspec.msgpack.encode(
            _Envelope(
                PROTOCOL_VERSION, self._deployment, self._sender, kind, body
            )
        )
        return data + self._tag(data)

    def sign_short(self, message: msgspec.Struct) -> bytes:
        """Return the signed bytes of `message`, in the short form."""
        values = _without_defaults(message)
        data = _SHORT_MARK + msgspec.msgpack.encode(
            _ShortEnvelope(
                PROTOCOL_VERSION,
                self._deployment_code,
                kind_code(type(message).__name__),
                msgspec.Raw(msgspec.msgpack.encode(values)),
            )
        )
        return data + self._tag(data)[:_SHORT_TAG_BYTES]

    def verify(self, data: bytes) -> VerifiedMessage:
        """Return a signed message, of either form.

        Raises
        ------
        LinkError
            The message is not one of this deployment's.
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
            content = content.removeprefix(_SHORT_MARK)
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
    """Whether bytes can only be meant as a message in the short form."""
    return data[:1] == _SHORT_MARK


@functools.cache
def kind_code(name: str) -> int:
    """Return what stands for the name of a type in the short form."""
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
    """Return the values of the fields, without defaults at the end."""
    values = msgspec.structs.astuple(message)
    defaults = _defaults(type(message))
    count = len(values)
    while count and values[count - 1] == defaults[count - 1]:
        count -= 1
    return values[:count]


@functools.cache
def _unnamed(kind: type[msgspec.Struct]) -> type[msgspec.Struct]:
    """Return the same type, but with fields known by their order."""
    fields: list[tuple[str, Any, Any]] = []
    for field in msgspec.structs.fields(kind):
        given = msgspec.field()
        if field.default_factory is not msgspec.NODEFAULT:
            given = msgspec.field(default_factory=field.default_factory)
        elif field.default is not msgspec.NODEFAULT:
            given = msgspec.field(default=field.default)
        fields.append((field.name, field.type, given))
    return msgspec.defstruct(kind.__name__, fields, array_like=True)


class _Refused(Message, frozen=True):
    reason: str


class ControlServer:
    """Answers control messages, each by the handler of its type.

    Parameters
    ----------
    context_count
        Messages that are handled at once; more wait in the transport.
    """

    def __init__(
        self, signer: MessageSigner, context_count: int = _SERVER_CONTEXTS
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
            raise ValueError(f'{kind} and {other[0]} have one code')
        self._handlers[kind.__name__] = (kind, handler)
        self._handlers[code] = (kind, handler)

    async def start(self, ip: str, port: int) -> None:
        """Listen on `ip` and `port`; port 0 takes a free one."""
        rep = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._exits.callback(rep.close)
        listener = rep.listen(f'tcp://{ip}:{port}')
        # pynng gives the port in network byte order.
        self.port = port or socket.ntohs(listener.local_address.port)
        for _ in range(self._context_count):
            task = asyncio.create_task(self._serve(rep.new_context()))
            self._exits.push_async_callback(_cancel, task)

    async def close(self) -> None:
        """Stop listening."""
        await self._exits.aclose()

    async def _serve(self, context: pynng.Context) -> None:
        with contextlib.closing(context):
            while True:
                data = await _finish(context.arecv())
                reply = await self._answer(data)
                with contextlib.suppress(pynng.NNGException):
                    await _finish(context.asend(reply))

    async def _answer(self, data: bytes) -> bytes:
        # Whoever asks in one form reads that form; a process of before
        # the short form gets no reply that it cannot read.
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
        except Exception:
            # A failing handler must not end the serving task: the peer
            # would see nothing but timeouts from then on.
            log.exception('control handler failed', kind=kind.__name__)
            return sign(self._refuse('handler failed'))

    def _refuse(self, reason: str) -> _Refused:
        # Reasons are fixed texts, so that nobody can make the table grow.
        self.refused_count[reason] += 1
        return _Refused(reason=reason)


class Peer:
    """The control link to one other process."""

    def __init__(self, signer: MessageSigner, ip: str, port: int) -> None:
        self._signer = signer
        self.address = f'tcp://{ip}:{port}'
        self._socket = pynng.Req0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.dial(self.address, block=False)
        self._reads_short = False

    def close(self) -> None:
        """Close the link."""
        self._socket.close()

    @contextlib.contextmanager
    def _context(self) -> Iterator[pynng.Context]:
        # A link that is closed while somebody asks fails here as well.
        try:
            context = self._socket.new_context()
        except pynng.NNGException as error:
            raise errors.LinkError(f'{self.address} is closed') from error
        try:
            yield context
        finally:
            with contextlib.suppress(pynng.NNGException):
                context.close()

    async def ask(
        self, message: msgspec.Struct, kind: type[Reply], timeout_s: float
    ) -> Reply:
        """Send `message` and return the reply.

        The message may arrive more than once, so handlers are
        idempotent.

        Raises
        ------
        LinkError
            No usable reply within `timeout_s`; a `NoReplyError` if none.
        """
        async with _limit(self.address, timeout_s):
            verified = await self._exchange(message)
        if verified.has_kind(_Refused):
            raise errors.LinkError(f'{self.address} replied _Refused')
        if not verified.has_kind(kind):
            raise errors.LinkError(f'{self.address} replied {verified.kind}')
        try:
            return verified.decode(kind)
        except msgspec.DecodeError as error:
            raise errors.LinkError(f'malformed reply: {error}') from error

    async def _exchange(self, message: msgspec.Struct) -> VerifiedMessage:
        if self._reads_short:
            verified = await self._send(self._signer.sign_short(message))
            if verified.is_short:
                return verified
            # A process of an older version has taken the place of the one
            # that was there, and refused what it cannot read.
        verified = await self._send(self._signer.sign(message))
        self._reads_short = verified.protocol >= _SHORT_SINCE
        return verified

    async def _send(self, data: bytes) -> VerifiedMessage:
        with self._context() as context:
            await _finish(context.asend(data))
            return self._signer.verify(await _finish(context.arecv()))


class PeerPool:
    """The links that this process keeps open, least recently used out."""

    def __init__(
        self, signer: MessageSigner, capacity_peers: int = 256
    ) -> None:
        self._signer = signer
        self._capacity_peers = capacity_peers
        self._peers: collections.OrderedDict[tuple[str, int], Peer] = (
            collections.OrderedDict()
        )

    def peer(self, ip: str, port: int) -> Peer:
        """Return the link to the process at `ip` and `port`."""
        address = (ip, port)
        found = self._peers.get(address)
        if found is None:
            found = Peer(self._signer, ip, port)
            self._peers[address] = found
        self._peers.move_to_end(address)
        while len(self._peers) > self._capacity_peers:
            self._peers.popitem(last=False)[1].close()
        return found

    def close(self) -> None:
        """Close every link."""
        while self._peers:
            self._peers.popitem()[1].close()


@contextlib.asynccontextmanager
async def _limit(address: str, timeout_s: float) -> AsyncIterator[None]:
    try:
        async with asyncio.timeout(timeout_s):
            yield
    except (TimeoutError, pynng.NNGException) as error:
        raise errors.NoReplyError(
            f'no reply from {address}: {error!r}'
        ) from error


async def _finish(operation: Awaitable[Finished]) -> Finished:
    """Await an operation of pynng, and stay open to cancelling."""
    # pynng drops a cancellation that meets an operation just done.  A
    # closing server then waits for ever for a task that serves on, and a
    # timeout that has fired once leaves the next operation without end.
    task = asyncio.current_task()
    assert task is not None
    before = task.cancelling()
    result = await operation
    if task.cancelling() > before:
        raise asyncio.CancelledError
    return result


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    # Unlike awaiting the task, this tells its cancellation from ours.
    await asyncio.wait({task})
    if not task.cancelled() and task.exception() is not None:
        log.warning('serving task failed', error=repr(task.exception()))
