"""Fencing tokens across restarts, lagging reports and clock steps."""

import pytest

from lacewingpitch import engine
from lacewingpitch import fence
from tests import clocks
from tests import fault_matrix

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step


def report(incarnation, last_fencing=0):
    return engine.EngineReport(
        incarnation=incarnation, base_model='base', last_fencing=last_fencing
    )


class TestToken:
    def test_exceeds_the_reported_token_with_the_clock_set_back(self):
        old = fence.Fence(clocks.ManualClock(1000.0))
        old.apply_report(report('a'))
        successor = fence.Fence(clocks.ManualClock(10.0))
        successor.apply_report(report('a', old.token))
        assert successor.token > old.token

    @pytest.mark.proves(Promise.NO_EVICTION, Fault.ENGINE_EMPTY, Step.ANY)
    def test_exceeds_an_earlier_sidecar_after_an_engine_restart(self):
        """Orders of a replaced sidecar are accepted after its successor's.

        The old sidecar is frozen.  Its successor finds an engine that
        restarted empty and reports no token, so a token that depends on
        the report alone would be too low.
        """
        old = fence.Fence(clocks.ManualClock(1000.0))
        old.apply_report(report('a', 7))
        successor = fence.Fence(clocks.ManualClock(1001.0))
        successor.apply_report(report('b'))
        assert successor.token > old.token

    def test_never_decreases_when_the_engine_restarts_empty(self):
        clock = clocks.ManualClock(1000.0)
        found = fence.Fence(clock)
        found.apply_report(report('a'))
        before = found.token
        clock.now_s = 10.0
        assert found.apply_report(report('b'))
        assert found.token >= before

    @pytest.mark.proves(Promise.NO_EVICTION, Fault.ENGINE_LATE, Step.ANY)
    def test_is_raised_if_the_first_report_lagged(self):
        """A new sidecar is fenced off permanently.

        The engine's report lags behind the last order of the earlier
        sidecar, whose clock was ahead.
        """
        found = fence.Fence(clocks.ManualClock(1000.0))
        found.apply_report(report('a', 5))
        assert not found.apply_report(report('a', 2_000_000))
        assert found.token > 2_000_000

    @pytest.mark.proves(Promise.NO_EVICTION, Fault.FROZEN, Step.ANY)
    def test_is_not_raised_above_a_successor(self):
        """Two sidecars fence each other off in turn.

        One was frozen and resumes when its engine has accepted a higher
        token.
        """
        found = fence.Fence(clocks.ManualClock(1000.0))
        found.apply_report(report('a'))
        found.mark_accepted()
        token = found.token
        found.apply_report(report('a', token + 1))
        assert found.token == token
