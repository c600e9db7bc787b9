"""Progress of an engine's runs between its reports."""

from lacewingpitch import run_progress

POLL_S = 0.1
GAP_S = 0.3


class Reports:
    """Feeds reports at the usual interval."""

    def __init__(self):
        self.progress = run_progress.RunProgress()
        self.now_s = 10.0

    def grant(self, name, prompt_tokens=800, gap_s=GAP_S):
        self.progress.record_granted(name, prompt_tokens, gap_s, self.now_s)

    def report(self, after_s=POLL_S, **events):
        self.now_s += after_s
        return self.progress.record_report(events, self.now_s)


class TestEvents:
    def test_mean_of_runs_that_made_events_before(self):
        reports = Reports()
        reports.report(a=3, b=7)
        interval = reports.report(a=5, b=8, c=2)
        assert interval.events == 1.5
        assert interval.run_ids == {'a', 'b'}
        assert abs(interval.duration_s - POLL_S) < 1e-9

    def test_run_that_waited_is_left_out(self):
        """Guards against a preempted run that makes an engine seem slow."""
        reports = Reports()
        reports.report(a=3, b=7, c=1, waiting=4)
        interval = reports.report(a=6, b=10, c=4, waiting=4)
        assert interval.events == 3.0
        assert 'waiting' not in interval.run_ids

    def test_run_that_starts_over_is_left_out(self):
        """Guards against events that a report no longer shows."""
        reports = Reports()
        reports.report(a=30, b=7, c=7)
        interval = reports.report(a=1, b=9, c=9)
        assert interval.run_ids == {'b', 'c'}

    def test_malformed_count_changes_little(self):
        """Guards against one absurd count that hides all other runs."""
        reports = Reports()
        reports.report(a=3, b=7, c=1)
        interval = reports.report(a=5, b=9, c=1_000_000)
        assert interval.events == 2.0

    def test_absurd_count_beside_one_run_is_left_out(self):
        """Guards against a wrong report that makes an engine seem fast."""
        reports = Reports()
        reports.report(a=3, b=7)
        interval = reports.report(a=5, b=1 << 60)
        assert interval.run_ids == {'a'}

    def test_interval_without_events_is_none(self):
        reports = Reports()
        reports.report(a=0)
        assert reports.report(a=1) is None

    def test_close_reports_are_joined(self):
        reports = Reports()
        reports.report(a=3, b=3)
        assert reports.report(0.015, a=4, b=3) is None
        interval = reports.report(0.085, a=5, b=5)
        assert interval.events == 2.0
        assert abs(interval.duration_s - 0.1) < 1e-9

    def test_frozen_sidecar_measures_nothing(self):
        """Guards against a time that passed while this process was frozen."""
        reports = Reports()
        reports.grant('a')
        reports.report(a=3)
        assert reports.report(2.0, a=4) is None
        interval = reports.report(a=6)
        assert interval.events == 2.0
        assert interval.stalls == 0
        assert interval.stream_s > 0.0


class TestPrompts:
    def test_counted_when_the_run_appears(self):
        reports = Reports()
        reports.report(a=3)
        reports.grant('b', 800)
        assert reports.report(a=4).prompt_tokens == 0
        assert reports.report(a=5, b=0).prompt_tokens == 800
        assert reports.report(a=6, b=1).prompt_tokens == 0

    def test_answer_too_short_for_a_report_is_counted(self):
        reports = Reports()
        reports.report(a=1)
        reports.grant('short', 2400)
        counts = [reports.report(a=n).prompt_tokens for n in range(2, 12)]
        assert sum(counts) == 2400
        assert not reports.progress.is_idle

    def test_run_without_a_grant_has_no_prompt(self):
        reports = Reports()
        reports.report(a=1)
        assert reports.report(a=2, other=3).prompt_tokens == 0


class TestPauses:
    def test_longer_than_allowed_counts_once(self):
        reports = Reports()
        reports.grant('a')
        reports.report(a=1)
        counts = [reports.report(a=2).stalls]
        counts += [reports.report(a=2).stalls for _ in range(6)]
        counts.append(reports.report(a=3).stalls)
        assert sum(counts) == 1

    def test_shorter_than_allowed_counts_none(self):
        reports = Reports()
        reports.grant('a')
        reports.report(a=1)
        counts = [reports.report(a=n // 2).stalls for n in range(4, 40)]
        assert sum(counts) == 0

    def test_wait_for_the_first_event_is_no_pause(self):
        reports = Reports()
        reports.grant('a')
        reports.report(a=0, b=1)
        intervals = [reports.report(a=0, b=n) for n in range(2, 20)]
        assert sum(interval.stalls for interval in intervals) == 0

    def test_run_of_another_sidecar_has_no_limit(self):
        """Guards against pauses of runs whose callers allow them."""
        reports = Reports()
        reports.report(a=1)
        intervals = [reports.report(a=1) for _ in range(10)]
        assert sum(interval.stalls for interval in intervals) == 0
        assert sum(interval.stream_s for interval in intervals) == 0.0


class TestAllowedGap:
    def test_strictest_of_what_runs(self):
        reports = Reports()
        reports.grant('a', gap_s=0.4)
        reports.grant('b', gap_s=0.25)
        assert reports.progress.gap_s == 0.25
        reports.report(a=1, b=1)
        reports.report(a=2)
        assert reports.progress.gap_s == 0.4

    def test_last_one_while_nothing_runs(self):
        reports = Reports()
        reports.grant('a', gap_s=0.4)
        reports.report(a=1)
        reports.report()
        assert reports.progress.is_idle
        assert reports.progress.gap_s == 0.4

    def test_restart_forgets_the_runs(self):
        reports = Reports()
        reports.grant('a')
        reports.report(a=1)
        reports.progress.reset()
        assert reports.progress.is_idle
        assert reports.report(a=9) is None
