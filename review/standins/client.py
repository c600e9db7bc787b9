"""A client that sends one request on a connection of its own."""

import asyncio
import dataclasses
import socket

_CHUNK_BYTES = 1 << 14


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer as far as it has come.

    Parameters
    ----------
    is_whole
        Whether its end has come.
    error
        What ended the connection before; empty if nothing did.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False
    error: str = ''


def head(method: str, path: str, headers: dict[str, str]) -> bytes:
    """Return the head of a request."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode()


async def call(
    address: tuple[str, int],
    request: bytes,
    timeout_s: float,
    bytes_per_s: float = 0.0,
    mss_bytes: int = 0,
    window_bytes: int = 0,
) -> Answer:
    """Send a request and read its answer, which has a length.

    Parameters
    ----------
    bytes_per_s
        Rate at which the answer is read; 0 for no limit.
    mss_bytes, window_bytes
        Segment size and receive buffer of the connection; 0 for the usual.
    """
    answer = Answer()
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        if mss_bytes:
            connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss_bytes
            )
        if window_bytes:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes
            )
        try:
            async with asyncio.timeout(timeout_s):
                await loop.sock_connect(connection, address)
                await loop.sock_sendall(connection, request)
                await _read(connection, answer, bytes_per_s)
        except TimeoutError:
            answer.error = 'client deadline'
        except OSError as error:
            answer.error = f'{type(error).__name__}: {error}'
    return answer


async def _read(
    connection: socket.socket, answer: Answer, bytes_per_s: float
) -> None:
    loop = asyncio.get_running_loop()
    data = b''
    began_s = loop.time()
    total = 0
    while not answer.is_whole:
        chunk = await loop.sock_recv(connection, _CHUNK_BYTES)
        if not chunk:
            answer.error = 'connection closed'
            return
        total += len(chunk)
        data += chunk
        _parse(data, answer)
        if bytes_per_s and not answer.is_whole:
            due_s = began_s + total / bytes_per_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))


def _parse(data: bytes, answer: Answer) -> None:
    top, separator, rest = data.partition(b'\r\n\r\n')
    if not separator:
        return
    first, *lines = top.decode('latin-1').split('\r\n')
    answer.status = int(first.split()[1])
    answer.headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines)
    }
    answer.body = rest
    length = int(answer.headers.get('content-length', '0'))
    answer.is_whole = len(rest) >= length
