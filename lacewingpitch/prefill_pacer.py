"""Paces the prefill of prompts, so that running streams don't stall."""

import contextlib

from lacewingpitch import clock as clock_module
from lacewingpitch import fair_pacer
from lacewingpitch import prefill_rates

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

    Parameters
    ----------
    rates
        What the engine can read; the same for every engine by default.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        rates: prefill_rates.PrefillRates | None = None,
    ) -> None:
        self._rates = rates or prefill_rates.ConstantRates()
        self._pacer = fair_pacer.FairPacer(
            clock, self._rate_per_s, self._rates.burst_tokens
        )
        self._applied_rates = self._current_rates

    def update_rates(self) -> None:
        """Apply the rates as they are now to the prompts that wait."""
        rates = self._current_rates
        if rates == self._applied_rates:
            return
        self._applied_rates = rates
        self._pacer.set_burst(self._rates.burst_tokens)
        self._pacer.update_rate()

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
        prepared = _PREPARATION_S * self._rates.max_tokens_per_s
        ahead += max(0.0, preparing - prepared)
        deficit = ahead + 1.0 - self._pacer.level
        return max(0.0, deficit / self._rate_per_s(deficit) - after_s)

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

    @property
    def _current_rates(self) -> tuple[float, float, float]:
        return (
            self._rates.base_tokens_per_s,
            self._rates.max_tokens_per_s,
            self._rates.burst_tokens,
        )

    def _rate_per_s(self, deficit_tokens: float) -> float:
        """Return the rate at which a backlog is released."""
        wanted_per_s = deficit_tokens / _TARGET_DRAIN_S
        return min(
            max(wanted_per_s, self._rates.base_tokens_per_s),
            self._rates.max_tokens_per_s,
        )
