"""Cutting a stream of numbered events so that another run can go on."""

import re

MAX_EVENT_BYTES = 1 << 20
_EVENT_END = b'\n\n'
_ID = re.compile(rb'(?m)^id: ?(\d+)\r?$')


class EventGapError(Exception):
    """A run went on behind the event that is due next."""


class EventSplitter:
    """Passes on whole events, each number once and none left out.

    An engine may stop in the middle of an event, and a run that goes on
    may begin with events that were passed on already.

    Parameters
    ----------
    last_id
        Number of the last event that the caller has.
    """

    def __init__(self, last_id: int = 0) -> None:
        self.last_id = last_id
        self.event_count = 0
        self._is_numbered = False
        self._rest = b''

    @property
    def is_at_event_end(self) -> bool:
        """Whether no event has been begun and not ended."""
        return not self._rest.strip()

    def begin_run(self) -> None:
        """Forget the torn event of a run that broke off."""
        self._rest = b''

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes as they came; return the whole events among them.

        Raises
        ------
        EventGapError
            An event is missing, or is larger than `MAX_EVENT_BYTES`.
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
        return self._take(data[:end])

    def _take(self, events: bytes) -> bytes:
        numbers = [int(found) for found in _ID.findall(events)]
        if not numbers:
            if self._is_numbered:
                # What bears no number can't be told from a repetition.
                raise EventGapError('an event without a number')
            self.event_count += 1
            return events
        expected = range(self.last_id + 1, self.last_id + 1 + len(numbers))
        if not self._is_numbered and not self.last_id:
            # The first run says where its numbers begin.
            expected = range(numbers[0], numbers[0] + len(numbers))
        self._is_numbered = True
        if numbers == list(expected):
            self.last_id = numbers[-1]
            self.event_count += len(numbers)
            return events
        return self._without_repeated(events)

    def _without_repeated(self, events: bytes) -> bytes:
        kept = []
        for event in events.split(_EVENT_END)[:-1]:
            found = _ID.search(event)
            number = int(found[1]) if found else 0
            if number <= self.last_id:
                continue
            if number != self.last_id + 1:
                raise EventGapError(
                    f'event {number} came after {self.last_id}'
                )
            self.last_id = number
            self.event_count += 1
            kept.append(event + _EVENT_END)
        return b''.join(kept)
