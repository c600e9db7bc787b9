"""Splitting of a stream into numbered events, resumable on another server."""

import re

MAX_EVENT_BYTES = 1 << 20
# Larger numbers are no numbers of events.
_MAX_ID_DIGITS = 18
_EVENT_END = b'\n\n'
_ID = re.compile(rb'(?m)^id: ?(\d+)\r?$')


class EventGapError(Exception):
    """A stream lacks the event that is due next."""


class EventSplitter:
    """Passes on complete events, each number once and without gaps.

    An engine may stop in the middle of an event, and a stream that another
    engine resumes may begin with events that were already passed on.

    Parameters
    ----------
    last_id
        Number of the last event that the caller has received.

    Attributes
    ----------
    feed_count
        How many chunks have completed events, repeated ones included.
    """

    def __init__(self, last_id: int = 0) -> None:
        self.last_id = last_id
        self.event_count = 0
        self.feed_count = 0
        self._is_numbered = False
        self._rest = b''

    @property
    def is_at_event_end(self) -> bool:
        """Whether the bytes so far end with a complete event."""
        return not self._rest.strip()

    def drop_partial_event(self) -> None:
        """Drop the incomplete last event of a stream that broke off."""
        self._rest = b''

    def feed(self, chunk: bytes) -> bytes:
        """Accept a chunk of the stream; return the events it completes.

        Raises
        ------
        EventGapError
            An event is missing, has no number although others have, has
            one that is too long, or is larger than `MAX_EVENT_BYTES`.
        """
        data = self._rest + chunk
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._rest = data
            if len(data) > MAX_EVENT_BYTES:
                raise EventGapError('an event is too large')
            return b''
        end += len(_EVENT_END)
        self._rest = data[end:]
        self.feed_count += 1
        return self._accept(data[:end])

    def _accept(self, events: bytes) -> bytes:
        numbers = [_number(found) for found in _ID.findall(events)]
        if not numbers:
            if self._is_numbered:
                # Without a number it may be a repetition.
                raise EventGapError('an event has no number')
            self.event_count += 1
            return events
        expected = range(self.last_id + 1, self.last_id + 1 + len(numbers))
        if not self._is_numbered and not self.last_id:
            # The first engine decides where the numbers begin.
            expected = range(numbers[0], numbers[0] + len(numbers))
        self._is_numbered = True
        if numbers == list(expected):
            self.last_id = numbers[-1]
            self.event_count += len(numbers)
            return events
        return self._drop_repeated(events)

    def _drop_repeated(self, events: bytes) -> bytes:
        kept = []
        for event in events.split(_EVENT_END)[:-1]:
            found = _ID.search(event)
            number = _number(found[1]) if found else 0
            if number <= self.last_id:
                continue
            if number != self.last_id + 1:
                raise EventGapError(
                    f'event {number} follows event {self.last_id}'
                )
            self.last_id = number
            self.event_count += 1
            kept.append(event + _EVENT_END)
        return b''.join(kept)


def _number(digits: bytes) -> int:
    if len(digits) > _MAX_ID_DIGITS:
        raise EventGapError('the number of an event is too long')
    return int(digits)
