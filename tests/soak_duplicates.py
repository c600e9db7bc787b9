"""Servers of the soak test that write some of their answers twice.

A relay in front of a server remembers the bytes of each answer, and writes
those of some once more on the same connection.
"""

import asyncio
import dataclasses
import random
import re

_SERVER_RATIO = 0.75
_SHARES = (0.05, 0.5)
_LATE_S = (0.001, 0.12)
_WITHOUT_ID_RATIO = 0.25
# When an answer comes again: with its last bytes, some time later, or as the
# next request arrives, before the answer to that one.
AT_ONCE = 'at once'
LATE = 'late'
NEXT = 'next'
_TIMES = (AT_ONCE, LATE, LATE, NEXT, NEXT)
_HEAD_END = b'\r\n\r\n'
_ID_LINE = re.compile(rb'(?im)^Request-Id:.*\r\n')
_LENGTH = re.compile(rb'(?im)^Content-Length: *(\d+)\r$')
_CHUNKED = re.compile(rb'(?im)^Transfer-Encoding: *chunked\r$')
_LAST_CHUNK = b'\r\n0\r\n\r\n'


@dataclasses.dataclass(frozen=True)
class PlannedDuplicates:
    """The share of its answers that a server writes twice."""

    server: int
    share: float


def plan(seed, server_count):
    """Return which servers answer twice, on a schedule of their own."""
    rng = random.Random(f'stutter/{seed}')
    found = []
    for server in range(server_count):
        share = rng.uniform(*_SHARES)
        if rng.random() < _SERVER_RATIO:
            found.append(PlannedDuplicates(server, share))
    return found


async def play(relays, planned, seed, length_s):
    """Have servers answer twice for some time; return what they wrote."""
    found = []
    for number, duplicates in enumerate(planned):
        found.append(Duplicates(duplicates.share, f'{seed}/{number}'))
        relays[duplicates.server].new_echo = found[-1].new_echo
    await asyncio.sleep(length_s)
    for duplicates in found:
        duplicates.share = 0.0
    return found


class Duplicates:
    """Writes a share of the answers of one server twice.

    Attributes
    ----------
    count
        How many answers came again.
    """

    def __init__(self, share, seed):
        self.share = share
        self.count = 0
        self._random = random.Random(seed)

    def new_echo(self, writer):
        """Return the echo of a connection to callers."""
        return _Echo(self, writer)

    def draw(self, answer):
        """Return when an answer comes again, and its bytes, if any."""
        if self._random.random() >= self.share:
            return None, b''
        if self._random.random() < _WITHOUT_ID_RATIO:
            answer = _ID_LINE.sub(b'', answer, count=1)
        time = self._random.choice(_TIMES)
        self.count += 1
        return time, answer

    def delay_s(self):
        """Return how late a late answer is."""
        return self._random.uniform(*_LATE_S)


class _Echo:
    """Finds the answers of one connection, and writes some again."""

    def __init__(self, duplicates, writer):
        self._duplicates = duplicates
        self._writer = writer
        self._answer = b''
        self._is_awaited = False
        self._is_callers = False
        self._held = b''

    def record_request(self, data):
        """Record bytes of a request, before they reach the server."""
        if self._is_awaited:
            return
        self._is_awaited = True
        # Not the questions of entries about the state of a server.
        self._is_callers = _ID_LINE.search(data) is not None
        self._write_held()

    def answer_bytes(self, data):
        """Return what to write for bytes of an answer."""
        self._answer += data
        if not self._is_whole:
            return data
        answer, self._answer = self._answer, b''
        self._is_awaited = False
        return data + self._take_held() + self._repeat(answer)

    def last_bytes(self):
        """Return what to write before an orderly end of the connection."""
        if self._answer and not self._is_framed:
            _, answer = self._duplicates.draw(self._answer)
            return answer
        return b''

    def _repeat(self, answer):
        if not self._is_callers:
            return b''
        time, again = self._duplicates.draw(answer)
        if time == LATE:
            asyncio.get_running_loop().call_later(
                self._duplicates.delay_s(), self._write_late, again
            )
        elif time == NEXT:
            self._held += again
        return again if time == AT_ONCE else b''

    def _write_late(self, again):
        self._held += again
        # Not within another answer, but after it.
        if not self._answer:
            self._write_held()

    def _write_held(self):
        held = self._take_held()
        if held and not self._writer.is_closing():
            self._writer.write(held)

    def _take_held(self):
        held, self._held = self._held, b''
        return held

    @property
    def _is_framed(self):
        head = self._answer.partition(_HEAD_END)[0] + b'\r\n'
        return bool(_LENGTH.search(head) or _CHUNKED.search(head))

    @property
    def _is_whole(self):
        head, found, body = self._answer.partition(_HEAD_END)
        length = _LENGTH.search(head + b'\r\n')
        if not found:
            return False
        if length:
            return len(body) >= int(length[1])
        is_chunked = _CHUNKED.search(head + b'\r\n')
        return bool(is_chunked) and (b'\r\n' + body).endswith(_LAST_CHUNK)
