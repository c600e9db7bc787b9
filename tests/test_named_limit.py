"""Limits that servers name, by answers that overtake each other."""

import math

import hypothesis
from hypothesis import strategies as st
import pytest

from lacewingpitch import backend_list
from lacewingpitch import engine_limit
from lacewingpitch import errors
from lacewingpitch import named_limit
from lacewingpitch.platform import wire
from tests import clocks
from tests import limit_fakes

SERVER = backend_list.BackendServer('i-1', 's', '10.0.0.1', 80, 'z')


def limit_after(*answers):
    """Record answers: limit, time of the request, time of reading it."""
    found = named_limit.NamedLimit()
    for per_s, asked_at_s, heard_at_s in answers:
        found.record(per_s, asked_at_s, heard_at_s)
    return found.per_s


class TestNamedLimit:
    def test_is_named_changed_and_ended(self):
        named = (1.5, 0.0, 1.0)
        assert limit_after(named) == 1.5
        assert limit_after(named, (0.4, 0.5, 1.5)) == 0.4
        assert limit_after(named, (None, 1.1, 1.5)) is None

    def test_an_answer_from_before_the_limit_does_not_end_it(self):
        """Guards against a limit that overtaken answers end."""
        assert limit_after((1.5, 0.5, 1.0), (None, 0.8, 1.1)) == 1.5

    def test_a_late_answer_does_not_bring_an_old_limit_back(self):
        """Guards against a limit that stays after it has ended."""
        ended = ((1.5, 0.0, 1.0), (None, 2.0, 2.1))
        assert limit_after(*ended, (1.5, 0.5, 6.0)) is None
        assert limit_after(*ended, (3.0, 2.5, 6.0)) == 3.0

    def test_a_late_answer_does_not_revert_a_change(self):
        """Guards against an outdated limit."""
        assert limit_after((1.5, 2.0, 2.1), (9.0, 1.0, 3.0)) == 1.5

    def test_a_first_limit_counts_whatever_was_answered_before(self):
        """Guards against a slow stream whose head is not believed."""
        assert limit_after((None, 5.0, 5.1), (1.5, 4.0, 6.0)) == 1.5


class TestServerLimits:
    def test_a_limit_ends_with_the_start_of_its_server(self):
        """Guards against the limit of an earlier start."""
        limits = limit_fakes.make_limits(
            clocks.ManualClock(9.0), has_sidecar=False
        )
        limits.record_answer(SERVER, 1.5, 8.0)
        assert limits.per_s(SERVER) == 1.5
        restarted = backend_list.BackendServer(
            'i-1', 's', '10.0.0.1', 80, 'z', started_at_ms=7
        )
        assert limits.per_s(restarted) is None


class TestEngineLimit:
    def test_reports_count_once_one_of_them_names_a_limit(self):
        """Guards against reports that never name limits and end them."""
        clock = clocks.ManualClock(1.0)
        limit = engine_limit.EngineLimit(clock)
        limit.record_answer(2.0, 0.8, 'edge-1')
        clock.now_s = 2.0
        limit.record_report(None, 1.9)
        assert limit.per_s == 2.0
        limit.record_report(3.0, 2.0)
        clock.now_s = 3.0
        limit.record_report(None, 2.9)
        assert limit.per_s is None

    def test_a_restarted_sidecar_adopts_what_entries_know(self):
        """Guards against a sidecar that forgets the limit."""
        limit = engine_limit.EngineLimit(clocks.ManualClock())
        limit.adopt(None, 'edge-1')
        limit.adopt(2.0, 'edge-1')
        assert limit.per_s == 2.0

    def test_an_entry_does_not_bring_an_ended_limit_back(self):
        """Guards against a limit that stays as one entry missed its end."""
        clock = clocks.ManualClock(1.0)
        limit = engine_limit.EngineLimit(clock)
        limit.record_answer(2.0, 0.8, 'edge-1')
        limit.record_answer(None, 1.1, 'edge-1')
        limit.adopt(2.0, 'edge-2')
        assert limit.per_s is None

    def test_a_restart_ends_the_limit(self):
        """Guards against the limit of an earlier start of the engine."""
        limit = engine_limit.EngineLimit(clocks.ManualClock())
        limit.record_report(2.0, 0.0)
        limit.reset()
        assert limit.per_s is None


class TestDecoding:
    @pytest.mark.parametrize('text', ['1.5', ' 0.25 ', '0', '12'])
    def test_a_decimal_is_a_limit(self, text):
        headers = {'Server-Limit': text}
        assert wire.decode_server_limit(headers) == float(text)

    def test_no_header_is_no_limit(self):
        assert wire.decode_server_limit({}) is None

    @pytest.mark.parametrize('text', ['', 'few', '-1', 'nan', 'inf'])
    def test_anything_else_is_an_error(self, text):
        with pytest.raises(errors.PlatformError):
            wire.decode_server_limit({'Server-Limit': text})


class TestOvertakingAnswers:
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.floats(0.0, 20.0),
                st.floats(0.01, 5.0),
                st.floats(0.0, 5.0),
            ),
            max_size=30,
        ),
        st.lists(
            st.tuples(st.floats(0.0, 20.0), st.sampled_from([None, 0.5, 3.0])),
            max_size=4,
        ),
    )
    def test_the_limit_is_known_once_all_answers_are_read(
        self, requests, changes
    ):
        """Guards against a limit that late answers bring back or end."""
        changes = sorted(changes, key=lambda change: change[0])

        def stated(at_s):
            found = [per_s for changed_s, per_s in changes if changed_s < at_s]
            return found[-1] if found else None

        answers = [
            (stated(sent_s + answer_s), sent_s, sent_s + answer_s + delay_s)
            for sent_s, answer_s, delay_s in requests
        ]
        answers.append((stated(math.inf), 40.0, 40.1))
        limit = named_limit.NamedLimit()
        for per_s, asked_at_s, heard_at_s in sorted(
            answers, key=lambda answer: answer[2]
        ):
            limit.record(per_s, asked_at_s, heard_at_s)
        assert limit.per_s == stated(math.inf)
