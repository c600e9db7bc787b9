"""Burn rates: how fast a customer's error budget is spent.

A burn rate of 1 spends the budget exactly over the period of the
service-level objective.  An alert fires when the burn rate is high over
two windows at once: the long one ignores brief errors, and the short
one ends the alert soon after the fault.

Requests are counted in time slots.  Each `Resolution` has slots of its
own length; `Window` sums the recent slots of one resolution.
"""

import collections
from collections.abc import Mapping
import dataclasses
import enum
import math

from lacewingpitch import contract
from lacewingpitch import errors

# Share of streams that must meet the latencies of an objective.  A
# stream is slow between tokens when more than the remaining share of its
# gaps exceed the objective.
LATENCY_RATIO = 0.95
# Numbers from here on encode a slot, its resolution and a signal.
FIRST_SLOT_COUNTER = 1024

# Refusals that enforce the contract, or that the caller's own request
# causes, spend no budget.
_NO_BUDGET_KINDS = frozenset(
    {
        errors.ErrorKind.BAD_REQUEST,
        errors.ErrorKind.NOT_FOUND,
        errors.ErrorKind.BODY_TOO_LARGE,
        errors.ErrorKind.BODY_TOO_SLOW,
        errors.ErrorKind.UNAUTHENTICATED,
        errors.ErrorKind.NOT_IN_CONTRACT,
        errors.ErrorKind.BAD_IDEMPOTENCY_KEY,
        errors.ErrorKind.KEY_OUT_OF_WINDOW,
        errors.ErrorKind.KEY_IN_USE,
        errors.ErrorKind.RATE_LIMITED,
        errors.ErrorKind.CONCURRENCY_LIMITED,
        errors.ErrorKind.CALLER_GONE,
    }
)


class Signal(enum.IntEnum):
    """Counts kept per slot.

    The numbers are part of the encoded counters and never reused.
    """

    ANSWERS = 0
    FAILED = 1
    STREAMS = 2
    SLOW_FIRST_TOKENS = 3
    SLOW_STREAMS = 4


class Subject(enum.StrEnum):
    """Indicators of an objective, each with its own error budget."""

    SERVED = 'served'
    FIRST_TOKEN = 'first-token'
    BETWEEN_TOKENS = 'between-tokens'


@dataclasses.dataclass(frozen=True, slots=True)
class Resolution:
    """Length of time slots, and how long they are retained."""

    slot_s: int
    retention_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A period that ends now.

    Parameters
    ----------
    name
        Label in reports.
    length_s
        Length of the period.
    resolution
        Index in `RESOLUTIONS` of the slots to sum.
    """

    name: str
    length_s: int
    resolution: int


@dataclasses.dataclass(frozen=True, slots=True)
class AlertRule:
    """Fires when both windows reach a threshold of the burn rate."""

    long: Window
    short: Window
    threshold: float
    severity: str


RESOLUTIONS = (
    Resolution(slot_s=60, retention_s=3600),
    Resolution(slot_s=1800, retention_s=6 * 3600),
    Resolution(slot_s=6 * 3600, retention_s=3 * 86400),
)
_FIVE_MINUTES = Window('5 min', 300, 0)
_HALF_HOUR = Window('30 min', 1800, 0)
_HOUR = Window('1 h', 3600, 0)
_SIX_HOURS = Window('6 h', 6 * 3600, 1)
_THREE_DAYS = Window('3 d', 3 * 86400, 2)
WINDOWS = (_FIVE_MINUTES, _HALF_HOUR, _HOUR, _SIX_HOURS, _THREE_DAYS)
ALERT_RULES = (
    AlertRule(_HOUR, _FIVE_MINUTES, 14.4, 'page'),
    AlertRule(_SIX_HOURS, _HALF_HOUR, 6.0, 'page'),
    AlertRule(_THREE_DAYS, _SIX_HOURS, 1.0, 'ticket'),
)

_SIGNALS_BY_SUBJECT: Mapping[Subject, tuple[Signal, Signal]] = {
    Subject.SERVED: (Signal.ANSWERS, Signal.FAILED),
    Subject.FIRST_TOKEN: (Signal.STREAMS, Signal.SLOW_FIRST_TOKENS),
    Subject.BETWEEN_TOKENS: (Signal.STREAMS, Signal.SLOW_STREAMS),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Burn:
    """Burn rate of one subject over one window.

    Parameters
    ----------
    burn_rate
        Failed share divided by the share that may fail; ``None`` if
        nothing was counted.
    """

    subject: Subject
    window: str
    total_count: int
    failed_count: int
    burn_rate: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class FiringAlert:
    """An alert rule that fires for one subject."""

    subject: Subject
    severity: str
    long_window: str
    short_window: str
    threshold: float


def spends_budget(kind: errors.ErrorKind) -> bool:
    """Return whether an error kind counts against the error budget."""
    return kind not in _NO_BUDGET_KINDS


def slot_increments(
    at_s: float, signals: Mapping[Signal, int]
) -> dict[int, int]:
    """Return the slot counters to increment for signals at a time.

    Parameters
    ----------
    at_s
        Wall clock time of the signals.
    signals
        Counts to add by signal.
    """
    return {
        _encode_number(
            resolution, int(at_s // RESOLUTIONS[resolution].slot_s), signal
        ): count
        for resolution in range(len(RESOLUTIONS))
        for signal, count in signals.items()
        if count
    }


def measure_burns(
    row: Mapping[int, int], objective: contract.Objective, now_s: float
) -> list[Burn]:
    """Return the burn rate of each subject over each window."""
    counts = count_signals(row, now_s)
    return [
        _burn(counts, subject, window, budget)
        for subject, budget in _budgets(objective).items()
        for window in WINDOWS
    ]


def firing_alerts(burns: list[Burn]) -> list[FiringAlert]:
    """Return the alerts that fire at these burn rates."""
    rates = {(b.subject, b.window): b.burn_rate or 0.0 for b in burns}
    return [
        FiringAlert(
            subject,
            rule.severity,
            rule.long.name,
            rule.short.name,
            rule.threshold,
        )
        for subject in Subject
        for rule in ALERT_RULES
        if rates[subject, rule.long.name] >= rule.threshold
        and rates[subject, rule.short.name] >= rule.threshold
    ]


def expired_counters(row: Mapping[int, int], now_s: float) -> list[int]:
    """Return the counters of slots that are older than every window.

    Removing them bounds the size of a row: per resolution, it keeps the
    slots of the retention period and at most two partial ones at its
    ends.
    """
    return [
        number
        for number in row
        if number >= FIRST_SLOT_COUNTER and _is_expired(number, now_s)
    ]


def count_signals(
    row: Mapping[int, int], now_s: float
) -> collections.Counter[tuple[str, Signal]]:
    """Return the counts by window name and signal.

    The oldest slot that overlaps a window counts completely, so a window
    is up to one slot longer than its nominal length.
    """
    counts: collections.Counter[tuple[str, Signal]] = collections.Counter()
    for number, count in row.items():
        if number < FIRST_SLOT_COUNTER:
            continue
        resolution, slot, signal = _decode_number(number)
        for window in WINDOWS:
            if window.resolution == resolution and _overlaps(
                window, slot, now_s
            ):
                counts[window.name, signal] += count
    return counts


def is_copied(number: int) -> bool:
    """Return whether a counter is replicated to other instances.

    The one-minute slots are not: they change with every answer and
    expire within the hour, and would be a third of all bytes copied.
    """
    return number < FIRST_SLOT_COUNTER or _decode_number(number)[0] > 0


def _overlaps(window: Window, slot: int, now_s: float) -> bool:
    slot_s = RESOLUTIONS[window.resolution].slot_s
    first = math.floor((now_s - window.length_s) / slot_s)
    return first <= slot <= math.floor(now_s / slot_s)


def _burn(
    counts: collections.Counter[tuple[str, Signal]],
    subject: Subject,
    window: Window,
    budget: float,
) -> Burn:
    total_signal, failed_signal = _SIGNALS_BY_SUBJECT[subject]
    total = counts[window.name, total_signal]
    failed = counts[window.name, failed_signal]
    rate = failed / total / budget if total else None
    return Burn(subject, window.name, total, failed, rate)


def _budgets(objective: contract.Objective) -> dict[Subject, float]:
    return {
        Subject.SERVED: 1 - objective.served_ratio,
        Subject.FIRST_TOKEN: 1 - LATENCY_RATIO,
        Subject.BETWEEN_TOKENS: 1 - LATENCY_RATIO,
    }


def _encode_number(resolution: int, slot: int, signal: Signal) -> int:
    return (
        FIRST_SLOT_COUNTER
        + (slot * len(RESOLUTIONS) + resolution) * len(Signal)
        + signal
    )


def _decode_number(number: int) -> tuple[int, int, Signal]:
    slot_index, signal = divmod(number - FIRST_SLOT_COUNTER, len(Signal))
    slot, resolution = divmod(slot_index, len(RESOLUTIONS))
    return resolution, slot, Signal(signal)


def _is_expired(number: int, now_s: float) -> bool:
    resolution, slot, _ = _decode_number(number)
    slots = RESOLUTIONS[resolution]
    return (slot + 1) * slots.slot_s < now_s - slots.retention_s
