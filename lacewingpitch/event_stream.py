"""Passing on a stream of server-sent events without parsing them."""

from lacewingpitch import errors
from lacewingpitch import response_format

MAX_EVENT_BYTES = 1 << 20
_ERROR_EVENT = b'event: error\n'


class EventRelay:
    """Cuts a stream at the ends of its events.

    Only whole events are passed on, so that a stream which breaks can
    be taken up after the last of them with nothing twice or torn.
    """

    def __init__(self) -> None:
        self._rest = b''
        self._last = b''
        self.event_count = 0
        self.is_complete = False

    @property
    def is_failed(self) -> bool:
        """Whether the last event tells of an error; it is the end."""
        start = self._last.rfind(
            response_format.EVENT_END, 0, -len(response_format.EVENT_END)
        )
        if start >= 0:
            start += len(response_format.EVENT_END)
        return self._last.startswith(_ERROR_EVENT, max(start, 0))

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes as they came; return the whole events so far.

        Raises
        ------
        PlatformError
            An event is larger than `MAX_EVENT_BYTES`.
        """
        if self.is_complete:
            return b''
        if not self._rest and chunk.endswith(response_format.EVENT_END):
            # Most chunks are whole events; only the mark needs a search.
            if response_format.STREAM_END not in chunk:
                return self._pass(chunk)
        data = self._rest + chunk
        end = self._end_of_stream(data)
        if end < 0:
            end = data.rfind(response_format.EVENT_END) + len(
                response_format.EVENT_END
            )
        if end < len(response_format.EVENT_END):
            end = 0
        events, self._rest = data[:end], data[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise errors.PlatformError('event too large')
        return self._pass(events) if events else events

    def drop_partial_event(self) -> None:
        """Forget the start of an event whose rest was lost."""
        self._rest = b''

    def _pass(self, events: bytes) -> bytes:
        self.event_count += events.count(response_format.EVENT_END)
        self._last = events
        return events

    def _end_of_stream(self, data: bytes) -> int:
        # `data` begins at the start of an event, so the mark is an event
        # of its own there or after the end of another one.
        if data.startswith(response_format.STREAM_END):
            end = len(response_format.STREAM_END)
        else:
            found = data.find(
                response_format.EVENT_END + response_format.STREAM_END
            )
            if found < 0:
                return -1
            end = found + len(
                response_format.EVENT_END + response_format.STREAM_END
            )
        self.is_complete = True
        return end
