"""Watches how fast the engine beside a sidecar runs."""

from collections.abc import Callable
from typing import Protocol

from lacewingpitch import clock as clock_module
from lacewingpitch import engine_pace
from lacewingpitch import engine_snapshot
from lacewingpitch import pace_log as pace_log_module
from lacewingpitch import pace_meter
from lacewingpitch import prefill_rates
from lacewingpitch import run_progress
from lacewingpitch import turn_messages

_MS_PER_S = 1000
# Pauses between events show only in reports that are closer to each other.
_POLL_INTERVAL_S = 0.1
# What entries say of the other engines counts for this long.
_UNEVEN_RETENTION_S = 10.0
# A report that takes longer states the events of an uncertain time.
_MAX_REPORT_S = 0.1
# The pace of an engine that hasn't been heard of for this long is unknown.
_MAX_AGE_S = 2.0


class PaceWatch(Protocol):
    """What a sidecar learns and knows about the pace of its engine."""

    @property
    def pace(self) -> engine_pace.EnginePace:
        """Return the engine's pace."""
        ...

    @property
    def deciding_pace(self) -> engine_pace.EnginePace:
        """Return the pace; unknown where nothing is decided by it."""
        ...

    @property
    def rates(self) -> prefill_rates.PrefillRates:
        """Return the rates at which prompts may be released."""
        ...

    def poll_interval_s(self, usual_s: float) -> float:
        """Return the interval between reports of an engine at work."""
        ...

    def record_granted(self, request: turn_messages.TurnRequest) -> None:
        """Record a request whose turn is granted."""
        ...

    def record_report(
        self, snapshot: engine_snapshot.EngineSnapshot, polled_at_s: float
    ) -> None:
        """Record a report that was requested at `polled_at_s`."""
        ...

    def reset(self) -> None:
        """Forget the engine, after it has restarted."""
        ...


class NoPaceWatch:
    """Knows nothing; serves sidecars without the part."""

    pace = engine_pace.UNKNOWN_PACE
    deciding_pace = engine_pace.UNKNOWN_PACE
    rates: prefill_rates.PrefillRates = prefill_rates.ConstantRates()

    def poll_interval_s(self, usual_s: float) -> float:
        """Return the interval between reports of an engine at work."""
        return usual_s

    def record_granted(self, request: turn_messages.TurnRequest) -> None:
        """Do nothing."""

    def record_report(
        self, snapshot: engine_snapshot.EngineSnapshot, polled_at_s: float
    ) -> None:
        """Do nothing."""

    def reset(self) -> None:
        """Do nothing."""


class MeasuringPaceWatch:
    """Measures the pace from the engine's reports and the granted turns.

    Parameters
    ----------
    tokens_per_event
        Returns how many tokens an event of a stream holds.
    only_uneven
        Whether prompts are paced as without the part where engines run
        about alike.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        tokens_per_event: Callable[[], int],
        only_uneven: bool = False,
    ) -> None:
        self._clock = clock
        self._only_uneven = only_uneven
        self._tokens_per_event = tokens_per_event
        self._progress = run_progress.RunProgress()
        self._meter = pace_meter.PaceMeter()
        self._log = pace_log_module.PaceLog()
        self._pace = engine_pace.UNKNOWN_PACE
        self._heard_at_s = 0.0
        self._uneven_until_s = 0.0
        self.rates: prefill_rates.PrefillRates = prefill_rates.MeasuredRates(
            self
        )

    @property
    def pace(self) -> engine_pace.EnginePace:
        """Return the engine's pace, as of the last report."""
        if self._clock.monotonic_s() - self._heard_at_s > _MAX_AGE_S:
            return engine_pace.UNKNOWN_PACE
        return self._pace

    @property
    def deciding_pace(self) -> engine_pace.EnginePace:
        """Return the pace; unknown where engines run about alike."""
        return self.pace if self.is_uneven else engine_pace.UNKNOWN_PACE

    @property
    def tokens_per_event(self) -> int:
        """Return how many tokens an event of a stream holds."""
        return self._tokens_per_event()

    @property
    def gap_s(self) -> float:
        """Return the strictest pause that is allowed; 0 if unknown."""
        return self._progress.gap_s

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs."""
        return self._progress.is_idle

    def poll_interval_s(self, usual_s: float) -> float:
        """Return the interval between reports of an engine at work."""
        if self._progress.is_idle:
            return usual_s
        return min(usual_s, _POLL_INTERVAL_S)

    @property
    def is_uneven(self) -> bool:
        """Whether the engines differ in pace, as entries told of late."""
        if not self._only_uneven:
            return True
        return self._clock.monotonic_s() < self._uneven_until_s

    def record_granted(self, request: turn_messages.TurnRequest) -> None:
        """Record a request whose turn is granted."""
        if request.has_uneven_engines:
            now_s = self._clock.monotonic_s()
            self._uneven_until_s = now_s + _UNEVEN_RETENTION_S
        self._progress.record_granted(
            request.run_id,
            request.prompt_tokens,
            request.gap_ms / _MS_PER_S,
            self._clock.monotonic_s(),
        )

    def record_report(
        self, snapshot: engine_snapshot.EngineSnapshot, polled_at_s: float
    ) -> None:
        """Record a report that was requested at `polled_at_s`."""
        now_s = self._clock.monotonic_s()
        if now_s - polled_at_s > _MAX_REPORT_S:
            return
        if snapshot.run_ids and not snapshot.events_by_run:
            return
        self._heard_at_s = now_s
        interval = self._progress.record_report(
            snapshot.events_by_run, polled_at_s
        )
        if interval is not None:
            self._meter.record(interval, self.tokens_per_event, now_s)
        self._pace = self._meter.pace(self.gap_s, self.tokens_per_event, now_s)
        self._log.record(
            self._pace,
            self._meter.run_count,
            now_s - self._meter.measured_at_s,
        )

    def reset(self) -> None:
        """Forget the engine, after it has restarted."""
        self._progress.reset()
        self._meter = pace_meter.PaceMeter()
        self._log = pace_log_module.PaceLog()
        self._pace = engine_pace.UNKNOWN_PACE
