"""Passing on a stream of server-sent events without parsing them."""

from lacewingpitch import answer
from lacewingpitch import errors

MAX_EVENT_BYTES = 1 << 20


class EventRelay:
    """Cuts a stream at the ends of its events.

    Only whole events are passed on, so that a stream which breaks can
    be taken up after the last of them with nothing twice or torn.
    """

    def __init__(self) -> None:
        self._rest = b''
        self._tail = b''
        self.event_count = 0

    @property
    def is_complete(self) -> bool:
        """Whether the stream has come to its explicit end."""
        return self._tail.endswith(answer.STREAM_END)

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes as they came; return the whole events so far.

        Raises
        ------
        PlatformError
            An event is larger than `MAX_EVENT_BYTES`.
        """
        data = self._rest + chunk
        end = data.rfind(answer.EVENT_END) + len(answer.EVENT_END)
        if end < len(answer.EVENT_END):
            end = 0
        events, self._rest = data[:end], data[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise errors.PlatformError('event too large')
        if events:
            self.event_count += events.count(answer.EVENT_END)
            self._tail = events[-len(answer.STREAM_END) :]
        return events

    def drop_partial_event(self) -> None:
        """Forget the start of an event whose rest was lost."""
        self._rest = b''
