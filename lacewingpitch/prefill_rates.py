"""Rates at which an engine may be given prompts to read."""

from typing import Protocol

from lacewingpitch import engine_pace

# Share of the allowed pause that an event may take while prompts are read.
# The rest is for moments at which the engine is slower.
_MAX_EVENT_GAP_RATIO = 0.5
# Bounds of the share of the engine's time that prompts get beside streams:
# a slow engine must not starve them, and a fast one may slow down.
_MIN_PROMPT_RATIO = 0.4
_MAX_PROMPT_RATIO = 0.6
# Prompts that are released together, as a share of those that may be read
# within the time that an event may take.
_BURST_RATIO = 0.2


class PrefillRates(Protocol):
    """Limits on the release of prompts to one engine."""

    @property
    def base_tokens_per_s(self) -> float:
        """Return the rate while few prompts wait."""
        ...

    @property
    def max_tokens_per_s(self) -> float:
        """Return the rate while more wait than it releases in time."""
        ...

    @property
    def burst_tokens(self) -> float:
        """Return how many tokens may be released together."""
        ...


class ConstantRates:
    """The same rates for every engine."""

    # Engines read prompts between the events of their streams.  At this rate
    # the gaps between events stay below what callers tolerate, even with one
    # prompt of the largest size.
    base_tokens_per_s = 12_000.0
    # This rate lengthens the gaps on the slowest engines.
    max_tokens_per_s = 22_000.0
    burst_tokens = 1_000.0


class MeasuredPace(Protocol):
    """What is known about an engine and its runs."""

    @property
    def pace(self) -> engine_pace.EnginePace:
        """Return the engine's pace."""
        ...

    @property
    def tokens_per_event(self) -> int:
        """Return how many tokens an event of a stream holds."""
        ...

    @property
    def gap_s(self) -> float:
        """Return the strictest pause that is allowed; 0 if unknown."""
        ...

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs."""
        ...

    @property
    def is_uneven(self) -> bool:
        """Whether it differs in pace from other engines."""
        ...


class MeasuredRates:
    """Rates at which an engine's streams keep their allowed pause.

    While a share of the engine's time goes to prompts, its events take
    longer by the inverse of the rest.  Without a known pace, or an allowed
    pause, or among engines that run alike, the constant rates apply.
    """

    def __init__(self, measured: MeasuredPace) -> None:
        self._measured = measured
        self._fallback = ConstantRates()

    @property
    def base_tokens_per_s(self) -> float:
        """Return the rate while few prompts wait."""
        rate_per_s = self._rate_per_s
        return rate_per_s or self._fallback.base_tokens_per_s

    @property
    def max_tokens_per_s(self) -> float:
        """Return the rate while more wait than it releases in time."""
        rate_per_s = self._rate_per_s
        return rate_per_s or self._fallback.max_tokens_per_s

    @property
    def burst_tokens(self) -> float:
        """Return how many tokens may be released together."""
        rate_per_s = self._rate_per_s
        if not rate_per_s:
            return self._fallback.burst_tokens
        event_limit_s = _MAX_EVENT_GAP_RATIO * self._measured.gap_s
        return _BURST_RATIO * rate_per_s * event_limit_s

    @property
    def _rate_per_s(self) -> float:
        """Return the rate; 0 if it is unknown."""
        pace = self._measured.pace
        gap_s = self._measured.gap_s
        if not (pace.is_known and gap_s and self._measured.is_uneven):
            return 0.0
        if self._measured.is_idle:
            return pace.prompt_tokens_per_s
        event_s = pace.token_s * self._measured.tokens_per_event
        prompt_ratio = 1.0 - event_s / (_MAX_EVENT_GAP_RATIO * gap_s)
        prompt_ratio = min(
            max(prompt_ratio, _MIN_PROMPT_RATIO), _MAX_PROMPT_RATIO
        )
        return pace.prompt_tokens_per_s * prompt_ratio
