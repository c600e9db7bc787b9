"""How fast a model engine runs."""

import dataclasses
import math

# A pace is forgotten when the sidecar answers without one after this time.
_MAX_SILENCE_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePace:
    """How fast an engine runs, as its sidecar measured it.

    Parameters
    ----------
    token_s
        Time for each token of the answers that run; 0 if unknown.
    prompt_tokens_per_s
        Rate at which the engine reads prompts; 0 if unknown.
    stalls_per_s
        Expected pauses per second of a running stream that are longer than
        its caller allows.
    """

    token_s: float = 0.0
    prompt_tokens_per_s: float = 0.0
    stalls_per_s: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether the engine has been measured since its start."""
        return self.token_s > 0.0

    def run_s(self, tokens: int) -> float:
        """Return the expected duration of an answer of some tokens."""
        return tokens * self.token_s

    def stall_probability(self, tokens: int) -> float:
        """Return the probability that an answer of some tokens stalls."""
        return -math.expm1(-self.stalls_per_s * self.run_s(tokens))


UNKNOWN_PACE = EnginePace()


@dataclasses.dataclass(frozen=True, slots=True)
class ToldPace:
    """The pace that an engine's sidecar told last.

    Parameters
    ----------
    told_at_s
        Monotonic time at which it was told.
    """

    pace: EnginePace
    told_at_s: float


def newer_pace(
    told: ToldPace | None, pace: EnginePace, now_s: float
) -> ToldPace | None:
    """Return what is known after a sidecar told a pace or an unknown one.

    A sidecar may miss a few reports of its engine.  If it tells nothing for
    longer, it no longer measures.
    """
    if pace.is_known:
        return ToldPace(pace, now_s)
    if told is not None and now_s - told.told_at_s < _MAX_SILENCE_S:
        return told
    return None
