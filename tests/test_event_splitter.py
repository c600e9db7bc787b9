"""Splitting of a stream into events, each passed on once."""

from hypothesis import given
from hypothesis import strategies
import pytest

from lacewingpitch import event_splitter


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


def events(first, last):
    return b''.join(event(number) for number in range(first, last + 1))


class TestFeed:
    def test_passes_on_complete_events_only(self):
        splitter = event_splitter.EventSplitter()
        data = events(1, 2)
        assert splitter.feed(data[:-3]) == event(1)
        assert not splitter.is_at_event_end
        assert splitter.feed(data[-3:]) == event(2)
        assert splitter.is_at_event_end
        assert splitter.last_id == 2

    @given(strategies.lists(strategies.integers(1, 40), max_size=30))
    def test_any_chunks_give_the_same_bytes(self, sizes):
        splitter = event_splitter.EventSplitter()
        data = events(1, 9)
        out = b''
        for size in sizes:
            out += splitter.feed(data[:size])
            data = data[size:]
        out += splitter.feed(data)
        assert out == events(1, 9)
        assert splitter.event_count == 9

    def test_events_without_numbers_pass(self):
        splitter = event_splitter.EventSplitter()
        assert splitter.feed(b'data: a\n\n') == b'data: a\n\n'
        assert splitter.event_count == 1


class TestResume:
    def test_continues_after_the_last_complete_event(self):
        """Guards against a partial event that is followed by its repetition.

        The first engine crashes in the middle of event 3; the next one is
        asked for the events after event 2.
        """
        splitter = event_splitter.EventSplitter()
        splitter.feed(events(1, 2) + b'id: 3\nda')
        splitter.drop_partial_event()
        assert splitter.feed(events(3, 4)) == events(3, 4)

    def test_drops_events_that_were_passed_on(self):
        splitter = event_splitter.EventSplitter()
        splitter.feed(events(1, 3))
        splitter.drop_partial_event()
        assert splitter.feed(events(2, 5)) == events(4, 5)

    def test_refuses_a_gap(self):
        splitter = event_splitter.EventSplitter()
        splitter.feed(events(1, 3))
        splitter.drop_partial_event()
        with pytest.raises(event_splitter.EventGapError):
            splitter.feed(events(5, 6))

    def test_refuses_an_event_without_number(self):
        splitter = event_splitter.EventSplitter()
        splitter.feed(events(1, 3))
        splitter.drop_partial_event()
        with pytest.raises(event_splitter.EventGapError):
            splitter.feed(b'data: y\n\n')

    def test_a_caller_that_resumes_gets_the_following_events(self):
        splitter = event_splitter.EventSplitter(last_id=12)
        assert splitter.feed(events(11, 14)) == events(13, 14)
