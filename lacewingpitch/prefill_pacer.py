"""Paces the prefill of prompts, so that running streams don't stall."""

import contextlib

from lacewingpitch import clock as clock_module
from lacewingpitch import fair_pacer

# Engines read prompts between the events of their streams.  At this rate the
# gaps between events stay below what callers tolerate, even with one prompt
# of the largest size.
_BASE_TOKENS_PER_S = 12_000.0
# This rate lengthens the gaps on the slowest engines.  It is used while more
# requests wait than the base rate can release in time.
_MAX_TOKENS_PER_S = 22_000.0
_BURST_TOKENS = 1_000.0
# A backlog that would take longer than this to drain raises the rate.
_TARGET_DRAIN_S = 0.2
# Time until requests whose adapters are loading need their turns.  Prompts
# that can be read before then don't wait for these requests.
_PREPARATION_S = 0.25


class PrefillPacer:
    """Releases requests to one engine at the rate it can read prompts.

    Designed for bursts of new streams at an engine whose batch has free
    slots.  If such requests are released together, their prompts are read
    in one go, and every running stream stalls meanwhile.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._pacer = fair_pacer.FairPacer(clock, _rate_per_s, _BURST_TOKENS)

    def wait_s(
        self,
        tokens: int = 0,
        flow: str = '',
        rank: int = 0,
        after_s: float = 0.0,
        weight: float = 1.0,
        order_s: float | None = None,
    ) -> float:
        """Return the expected wait of a request beyond `after_s`.

        Parameters
        ----------
        after_s
            Time until it is ready, during which other prompts are read.
        """
        ahead = self._pacer.queued_ahead(
            tokens, flow, fair_pacer.effective_weight(rank, weight), order_s
        )
        preparing = self._pacer.expected_cost
        ahead += max(0.0, preparing - _PREPARATION_S * _MAX_TOKENS_PER_S)
        deficit = ahead + 1.0 - self._pacer.level
        return max(0.0, deficit / _rate_per_s(deficit) - after_s)

    def expecting(
        self, tokens: int
    ) -> contextlib.AbstractContextManager[None]:
        """Count a prompt as ahead of others while its request prepares."""
        return self._pacer.expecting(tokens)

    async def admit(
        self,
        tokens: int,
        flow: str,
        rank: int,
        weight: float = 1.0,
        order_s: float | None = None,
    ) -> None:
        """Wait until the engine can read a prompt.

        Parameters
        ----------
        flow
            Flow of weighted fair queueing that the request belongs to.
        rank
            Urgency; 0 is the most urgent.
        weight
            Weight of the flow relative to the others.
        order_s
            Orders the request instead of its flow; see `FairPacer.admit`.
        """
        await self._pacer.admit(
            tokens, flow, fair_pacer.effective_weight(rank, weight), order_s
        )


def _rate_per_s(deficit_tokens: float) -> float:
    """Return the rate at which a backlog is released."""
    wanted_per_s = deficit_tokens / _TARGET_DRAIN_S
    return min(max(wanted_per_s, _BASE_TOKENS_PER_S), _MAX_TOKENS_PER_S)
