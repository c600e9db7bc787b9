"""Rates at which an engine may be given prompts to read."""

from typing import Protocol

from lacewingpitch import engine_pace

# Share of the allowed pause that an event may take while prompts are read.
# The rest is for moments at which the engine is slower.
_MAX_EVENT_GAP_RATIO = 0.5
# Bounds of the share of the engine's time that prompts get beside streams: a
# slow engine must not starve them, and a fast one may slow down.  Prompts get
# the larger share while more of them wait than are released in time.
_MIN_PROMPT_RATIO = 0.2
_BASE_PROMPT_RATIO = 0.3
_MAX_PROMPT_RATIO = 0.55
# Prompts that are released together, as a time at the base rate.
_BURST_S = 0.09


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


class MeasuredRates:
    """Rates at which an engine's streams keep their allowed pause.

    While a share of the engine's time goes to prompts, its events take
    longer by the inverse of the rest.  Without a known pace, or an allowed
    pause, the constant rates apply.
    """

    def __init__(self, measured: MeasuredPace) -> None:
        self._measured = measured
        self._fallback = ConstantRates()

    @property
    def base_tokens_per_s(self) -> float:
        """Return the rate while few prompts wait."""
        return (
            self._rate_per_s(_BASE_PROMPT_RATIO)
            or self._fallback.base_tokens_per_s
        )

    @property
    def max_tokens_per_s(self) -> float:
        """Return the rate while more wait than it releases in time."""
        return (
            self._rate_per_s(_MAX_PROMPT_RATIO)
            or self._fallback.max_tokens_per_s
        )

    @property
    def burst_tokens(self) -> float:
        """Return how many tokens may be released together."""
        rate_per_s = self._rate_per_s(_BASE_PROMPT_RATIO)
        if not rate_per_s:
            return self._fallback.burst_tokens
        return _BURST_S * rate_per_s

    def _rate_per_s(self, max_ratio: float) -> float:
        """Return the rate; 0 if it is unknown."""
        pace = self._measured.pace
        gap_s = self._measured.gap_s
        if not pace.is_known or not gap_s:
            return 0.0
        if self._measured.is_idle:
            return pace.prompt_tokens_per_s
        event_s = pace.token_s * self._measured.tokens_per_event
        prompt_ratio = 1.0 - event_s / (_MAX_EVENT_GAP_RATIO * gap_s)
        prompt_ratio = max(_MIN_PROMPT_RATIO, min(max_ratio, prompt_ratio))
        return pace.prompt_tokens_per_s * prompt_ratio
