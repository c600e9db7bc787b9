"""Progress of an engine's runs between its reports."""

from collections.abc import Mapping, Sequence
import dataclasses
import statistics

# Shorter intervals hold too few events to tell a rate.
_MIN_INTERVAL_S = 0.08
# A longer one says more about this process than about the engine.
_MAX_INTERVAL_S = 0.4
# All runs of a batch make their events at the same rate.  One that differs
# by more from the others waited, or was preempted, for part of the interval.
_MAX_EVENT_DIFFERENCE = 1
# Reports that show more are wrong.
_MAX_EVENTS_PER_S = 10_000.0
# A pause that is as long as allowed within the accuracy of the reports was
# probably shorter, as most pauses are.
_UNCERTAIN_STALL = 0.25
# By then a granted request is at the engine, unless its answer was too short
# to show in a report.
_MAX_UNREPORTED_S = 0.5
_MAX_UNREPORTED = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """What the runs of an engine did between two reports.

    Parameters
    ----------
    events
        Events that each run made, on average.
    run_ids
        Runs that made them.
    prompt_tokens
        Tokens of the prompts that were read.
    stream_s
        Sum of the durations of the runs whose pauses are limited.
    stalls
        Pauses that became longer than their callers allow.  One that may
        have counts as a part of one.
    """

    duration_s: float
    events: float
    run_ids: frozenset[str]
    prompt_tokens: int
    stream_s: float
    stalls: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    prompt_tokens: int
    gap_s: float
    granted_at_s: float


@dataclasses.dataclass(slots=True)
class _Run:
    """A run as of the last report.

    Parameters
    ----------
    gap_s
        Longest pause that its caller allows; 0 if unknown.
    progressed_at_s
        When its last event was first reported.
    """

    events: int
    gap_s: float
    progressed_at_s: float
    is_stalled: bool = False

    @property
    def is_generating(self) -> bool:
        return self.events > 0


class RunProgress:
    """Compares successive reports of one start of an engine.

    Attributes
    ----------
    gap_s
        Strictest pause that callers allow now, or allowed last; 0 if none
        has stated one.
    """

    def __init__(self) -> None:
        self._grants: dict[str, _Grant] = {}
        self._runs: dict[str, _Run] = {}
        self._compared_at_s: float | None = None
        self.gap_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs, or was granted and may run soon."""
        return not self._runs and not self._grants

    def reset(self) -> None:
        """Forget all runs, after the engine has restarted."""
        self._grants.clear()
        self._runs.clear()
        self._compared_at_s = None

    def record_granted(
        self, run_id: str, prompt_tokens: int, gap_s: float, now_s: float
    ) -> None:
        """Record a request whose turn is granted."""
        if len(self._grants) >= _MAX_UNREPORTED:
            del self._grants[next(iter(self._grants))]
        self._grants[run_id] = _Grant(prompt_tokens, gap_s, now_s)
        self._update_gap()

    def record_report(
        self, events_by_run: Mapping[str, int], at_s: float
    ) -> Interval | None:
        """Record the events that runs have made, as of a report.

        Returns
        -------
        Interval or None
            ``None`` if the reports are too close to each other, or too far
            apart, or if no run has made events.
        """
        since_s = self._compared_at_s
        if since_s is not None and at_s - since_s < _MIN_INTERVAL_S:
            return None
        self._compared_at_s = at_s
        interval = None
        if since_s is None or at_s - since_s > _MAX_INTERVAL_S:
            self._start_over(events_by_run, at_s)
        else:
            interval = self._compare(events_by_run, at_s, at_s - since_s)
        self._update_gap()
        return interval

    def _update_gap(self) -> None:
        gaps_s = [run.gap_s for run in self._runs.values()]
        gaps_s += [grant.gap_s for grant in self._grants.values()]
        self.gap_s = min(filter(None, gaps_s), default=self.gap_s)

    def _start_over(
        self, events_by_run: Mapping[str, int], at_s: float
    ) -> None:
        before, self._runs = self._runs, {}
        for run_id, events in events_by_run.items():
            gap_s = before[run_id].gap_s if run_id in before else 0.0
            grant = self._grants.pop(run_id, None)
            if grant is not None:
                gap_s = grant.gap_s
            self._runs[run_id] = _Run(events, gap_s, at_s)
        self._expire_grants(at_s)

    def _compare(
        self,
        events_by_run: Mapping[str, int],
        at_s: float,
        duration_s: float,
    ) -> Interval | None:
        before, self._runs = self._runs, {}
        deltas = {}
        prompt_tokens = 0
        limited_count = 0
        stalls = 0.0
        for run_id, events in events_by_run.items():
            run = before.get(run_id)
            if run is None or not _is_plausible(
                events - run.events, duration_s
            ):
                run = _Run(0, 0.0, at_s)
            elif run.is_generating:
                deltas[run_id] = events - run.events
                limited_count += run.gap_s > 0
                stalls += _stalls(run, events, at_s, duration_s)
            self._runs[run_id] = run
            prompt_tokens += self._update(run_id, run, events, at_s)
        prompt_tokens += self._expire_grants(at_s)
        if not deltas:
            return None
        in_step = _in_step(deltas)
        return Interval(
            duration_s,
            statistics.fmean(deltas[run_id] for run_id in in_step),
            frozenset(in_step),
            prompt_tokens,
            limited_count * duration_s,
            stalls,
        )

    def _update(self, run_id: str, run: _Run, events: int, at_s: float) -> int:
        """Update a run; return the tokens of its prompt once it is read."""
        prompt_tokens = 0
        if events > run.events:
            run.progressed_at_s = at_s
            run.is_stalled = False
        run.events = events
        grant = self._grants.get(run_id)
        if grant is not None:
            run.gap_s = grant.gap_s
            del self._grants[run_id]
            prompt_tokens = grant.prompt_tokens
        return prompt_tokens

    def _expire_grants(self, at_s: float) -> int:
        """Drop grants without a run; return the tokens of their prompts."""
        expired = [
            run_id
            for run_id, grant in self._grants.items()
            if at_s - grant.granted_at_s > _MAX_UNREPORTED_S
            and run_id not in self._runs
        ]
        return sum(
            self._grants.pop(run_id).prompt_tokens for run_id in expired
        )


def _is_plausible(events: int, duration_s: float) -> bool:
    return 0 <= events <= _MAX_EVENTS_PER_S * duration_s


def _stalls(run: _Run, events: int, at_s: float, interval_s: float) -> float:
    """Return how likely a run's pause is now longer than allowed.

    A pause counts once, as soon as it is certain.
    """
    if not run.gap_s or run.is_stalled:
        return 0.0
    pause_s = at_s - run.progressed_at_s
    if events == run.events:
        run.is_stalled = pause_s >= run.gap_s
        return float(run.is_stalled)
    # The pause began and ended at any time within two intervals.
    if abs(pause_s - run.gap_s) <= interval_s / 2:
        return _UNCERTAIN_STALL
    return float(pause_s > run.gap_s)


def _in_step(deltas: Mapping[str, int]) -> Sequence[str]:
    """Return the runs that made about as many events as most others."""
    usual = statistics.median_high(deltas.values())
    return [
        run_id
        for run_id, delta in deltas.items()
        if abs(delta - usual) <= _MAX_EVENT_DIFFERENCE
    ]
