"""Splitting of streams at the ends of their events, for any chunks."""

from hypothesis import given
from hypothesis import strategies
import pytest

from lacewingpitch import errors
from lacewingpitch import event_stream
from lacewingpitch import response_format

EVENTS = strategies.lists(
    strategies.text(
        strategies.characters(exclude_characters='\n\r', codec='utf-8'),
        max_size=30,
    ).map(lambda text: f'data: x{text}\n\n'.encode()),
    max_size=8,
)


def split(stream, positions):
    edges = [0, *sorted(p % (len(stream) + 1) for p in positions)]
    edges.append(len(stream))
    return [
        stream[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]


class TestSplitting:
    @given(EVENTS, strategies.lists(strategies.integers(0, 1000), max_size=9))
    def test_any_chunks_give_the_same_events(self, events, positions):
        stream = b''.join(events) + response_format.STREAM_END
        relay = event_stream.EventRelay()
        parts = [relay.feed(chunk) for chunk in split(stream, positions)]
        assert b''.join(parts) == stream
        assert all(p.endswith(response_format.EVENT_END) for p in parts if p)
        assert relay.event_count == len(events) + 1
        assert relay.is_complete
        assert not relay.is_failed

    @given(
        EVENTS,
        strategies.lists(strategies.integers(0, 1000), max_size=9),
        strategies.integers(0, 1000),
    )
    def test_a_resumed_stream_is_complete(self, events, positions, end):
        stream = b''.join(events) + response_format.STREAM_END
        relay = event_stream.EventRelay()
        broken = stream[: end % len(stream)]
        parts = [relay.feed(chunk) for chunk in split(broken, positions)]
        assert not relay.is_complete
        relay.drop_partial_event()
        rest = b''.join(
            [*events, response_format.STREAM_END][relay.event_count :],
        )
        parts += [relay.feed(chunk) for chunk in split(rest, positions)]
        assert b''.join(parts) == stream
        assert relay.is_complete


class TestEnd:
    def test_nothing_is_passed_on_after_the_end(self):
        relay = event_stream.EventRelay()
        data = b'data: 1\n\n' + response_format.STREAM_END
        assert relay.feed(data + b'data: 2\n\n') == data
        assert relay.feed(b'data: 3\n\n') == b''
        assert relay.is_complete

    def test_mark_inside_an_event_is_not_the_end(self):
        relay = event_stream.EventRelay()
        relay.feed(b'data: see data: [DONE]\n\n')
        assert not relay.is_complete

    def test_error_event_is_recognized(self):
        error = errors.RefusalError(errors.ErrorKind.ANSWER_CUT, 'cut')
        relay = event_stream.EventRelay()
        relay.feed(b'data: 1\n\n' + response_format.error_event(error))
        assert relay.is_failed
        relay = event_stream.EventRelay()
        relay.feed(b'data: 1\n\n')
        assert not relay.is_failed
        relay.feed(response_format.error_event(error))
        assert relay.is_failed

    def test_endless_event_is_refused(self):
        relay = event_stream.EventRelay()
        with pytest.raises(errors.PlatformError):
            relay.feed(b'x' * (event_stream.MAX_EVENT_BYTES + 1))
