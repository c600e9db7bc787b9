"""Relaying of server-sent events without parsing them."""

from lacewingpitch import errors
from lacewingpitch import response_format

MAX_EVENT_BYTES = 1 << 20
_ERROR_EVENT = b'event: error\n'


class EventRelay:
    """Splits a stream at the ends of its events.

    Passes on complete events only, so that a stream that breaks off can be
    resumed after the last of them, without repeated or incomplete events.
    """

    def __init__(self) -> None:
        self._rest = b''
        self._last = b''
        self.event_count = 0
        self.is_complete = False

    @property
    def is_failed(self) -> bool:
        """Whether the last event reports an error, which ends the stream."""
        start = self._last.rfind(
            response_format.EVENT_END, 0, -len(response_format.EVENT_END)
        )
        if start >= 0:
            start += len(response_format.EVENT_END)
        return self._last.startswith(_ERROR_EVENT, max(start, 0))

    def feed(self, chunk: bytes) -> bytes:
        """Accept a chunk of the stream; return the events it completes.

        Raises
        ------
        PlatformError
            An event is larger than `MAX_EVENT_BYTES`.
        """
        if self.is_complete:
            return b''
        if not self._rest and chunk.endswith(response_format.EVENT_END):
            # Most chunks are complete events; only the end mark is searched.
            if response_format.STREAM_END not in chunk:
                return self._pass_on(chunk)
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
            raise errors.PlatformError('an event is too large')
        return self._pass_on(events) if events else events

    def drop_partial_event(self) -> None:
        """Drop the incomplete last event of a stream that broke off."""
        self._rest = b''

    def _pass_on(self, events: bytes) -> bytes:
        self.event_count += events.count(response_format.EVENT_END)
        self._last = events
        return events

    def _end_of_stream(self, data: bytes) -> int:
        # `data` begins with the start of an event, so the mark is an event of
        # its own at the start or after the end of another event.
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
