"""Control messages between the system's own processes, over pynng.

A message is a msgpack envelope followed by an HMAC of it.  A message
that is malformed, of another protocol version, of another deployment or
wrongly signed is counted and refused; it never reaches a handler.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Iterator
import contextlib
import hashlib
import hmac
import socket
from typing import Any, TypeVar

import msgspec
import pynng
import structlog

from lacewingpitch import errors

PROTOCOL_VERSION = 1
OLDEST_PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20
_TAG_BYTES = 32
_SERVER_CONTEXTS = 16

Reply = TypeVar('Reply', bound=msgspec.Struct)
Finished = TypeVar('Finished')
Handler = Callable[[Any], Awaitable[msgspec.Struct]]
log = structlog.get_logger(__name__)


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base of control messages.

    Unknown fields are ignored and new ones carry defaults, so that two
    versions can talk during a rolling upgrade.
    """


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    protocol: int
    deployment: str
    sender: str
    kind: str
    body: msgspec.Raw


class Sealer:
    """Signs and checks the messages of one deployment."""

    def __init__(self, deployment: str, secret: str, sender: str) -> None:
        self._deployment = deployment
        self._secret = secret.encode()
        self._sender = sender

    def seal(self, message: msgspec.Struct) -> bytes:
        """Return the signed bytes of `message`."""
        body = msgspec.Raw(msgspec.msgpack.encode(message))
        kind = type(message).__name__
        data = msgspec.msgpack.encode(
            _Envelope(
                PROTOCOL_VERSION, self._deployment, self._sender, kind, body
            )
        )
        return data + self._tag(data)

    def open(self, data: bytes) -> tuple[str, msgspec.Raw]:
        """Return kind and body of a signed message.

        Raises
        ------
        LinkError
            The message is not one of this deployment's.
        """
        content, tag = data[:-_TAG_BYTES], data[-_TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(content)):
            raise errors.LinkError('wrong signature')
        try:
            envelope = msgspec.msgpack.decode(content, type=_Envelope)
        except (msgspec.DecodeError, RecursionError) as error:
            raise errors.LinkError('malformed envelope') from error
        if envelope.protocol < OLDEST_PROTOCOL_VERSION:
            raise errors.LinkError('protocol version too old')
        if envelope.deployment != self._deployment:
            raise errors.LinkError('another deployment')
        return envelope.kind, envelope.body

    def _tag(self, data: bytes) -> bytes:
        return hmac.digest(self._secret, data, hashlib.sha256)


class _Refused(Message, frozen=True):
    reason: str


class ControlServer:
    """Answers control messages, each by the handler of its type."""

    def __init__(self, sealer: Sealer) -> None:
        self._sealer = sealer
        self._handlers: dict[str, tuple[type[msgspec.Struct], Handler]] = {}
        self._exits = contextlib.AsyncExitStack()
        self.refused_count: collections.Counter[str] = collections.Counter()
        self.port = 0

    def handle(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        """Register the handler of one message type."""
        self._handlers[kind.__name__] = (kind, handler)

    async def start(self, ip: str, port: int) -> None:
        """Listen on `ip` and `port`; port 0 takes a free one."""
        rep = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._exits.callback(rep.close)
        listener = rep.listen(f'tcp://{ip}:{port}')
        # pynng gives the port in network byte order.
        self.port = port or socket.ntohs(listener.local_address.port)
        for _ in range(_SERVER_CONTEXTS):
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
        try:
            name, body = self._sealer.open(data)
            kind, handler = self._handlers[name]
            message = msgspec.msgpack.decode(body, type=kind)
        except KeyError:
            return self._refuse('unknown kind')
        except (msgspec.DecodeError, RecursionError):
            return self._refuse('malformed body')
        except errors.LinkError as error:
            return self._refuse(str(error))
        try:
            return self._sealer.seal(await handler(message))
        except Exception:
            # A failing handler must not end the serving task: the peer
            # would see nothing but timeouts from then on.
            log.exception('control handler failed', kind=name)
            return self._refuse('handler failed')

    def _refuse(self, reason: str) -> bytes:
        # Reasons are fixed texts, so that nobody can make the table grow.
        self.refused_count[reason] += 1
        return self._sealer.seal(_Refused(reason=reason))


class Peer:
    """The control link to one other process."""

    def __init__(self, sealer: Sealer, ip: str, port: int) -> None:
        self._sealer = sealer
        self.address = f'tcp://{ip}:{port}'
        self._socket = pynng.Req0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.dial(self.address, block=False)

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
        with self._context() as context:
            try:
                async with asyncio.timeout(timeout_s):
                    await _finish(context.asend(self._sealer.seal(message)))
                    data = await _finish(context.arecv())
            except (TimeoutError, pynng.NNGException) as error:
                raise errors.NoReplyError(
                    f'no reply from {self.address}: {error!r}'
                ) from error
        name, body = self._sealer.open(data)
        if name != kind.__name__:
            raise errors.LinkError(f'{self.address} replied {name}')
        try:
            return msgspec.msgpack.decode(body, type=kind)
        except msgspec.DecodeError as error:
            raise errors.LinkError(f'malformed reply: {error}') from error


class PeerPool:
    """The links that this process keeps open, least recently used out."""

    def __init__(self, sealer: Sealer, capacity_peers: int = 256) -> None:
        self._sealer = sealer
        self._capacity_peers = capacity_peers
        self._peers: collections.OrderedDict[tuple[str, int], Peer] = (
            collections.OrderedDict()
        )

    def peer(self, ip: str, port: int) -> Peer:
        """Return the link to the process at `ip` and `port`."""
        address = (ip, port)
        found = self._peers.get(address)
        if found is None:
            found = Peer(self._sealer, ip, port)
            self._peers[address] = found
        self._peers.move_to_end(address)
        while len(self._peers) > self._capacity_peers:
            self._peers.popitem(last=False)[1].close()
        return found

    def close(self) -> None:
        """Close every link."""
        while self._peers:
            self._peers.popitem()[1].close()


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
