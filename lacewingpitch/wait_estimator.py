"""Estimates how long a request would wait for a turn at an engine."""

import dataclasses
from typing import Protocol

from lacewingpitch import prefill_pacer
from lacewingpitch import slot_simulation
from lacewingpitch import turn_messages
from lacewingpitch import turn_pacer as turn_pacer_module

# The expected time until an adapter slot is free is a mean; individual runs
# are longer or shorter.  With this safety factor most of the admitted
# requests are on time.
_SLOT_WAIT_SAFETY_FACTOR = 1.5

# Up to this wait an engine reads prompts faster as more of them wait.
_UNHINDERED_PROMPT_S = 0.2


class AdapterWaits(Protocol):
    """Estimates waits for the adapter slots of an engine."""

    def expected_wait(self, name: str = '') -> slot_simulation.AdapterWait:
        """Return the wait of a request that now needs an adapter."""
        ...


class BatchWaits(Protocol):
    """Estimates waits for the turns in an engine's batch."""

    def wait_s(
        self,
        prepared_in_s: float,
        flow: str,
        weight: float,
        order_s: float | None,
    ) -> float:
        """Return the wait of a request that has its adapter by then."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class WaitEstimate:
    """Expected wait of a request, by its parts.

    Parameters
    ----------
    slot_s
        Until an adapter slot is free.
    load_s
        From then until the adapter is loaded.
    turn_s
        From then until a turn in the engine's batch is free.
    limit_s
        From then until the engine's request rate limit allows it.
    prompt_s
        From then until the prompts ahead of its own are read.
    """

    slot_s: float = 0.0
    load_s: float = 0.0
    turn_s: float = 0.0
    limit_s: float = 0.0
    prompt_s: float = 0.0

    @property
    def adapter_s(self) -> float:
        """Return the wait for the adapter."""
        return self.slot_s + self.load_s

    @property
    def is_unhindered(self) -> bool:
        """Whether the request could start without delaying others.

        The order in which prompts are read protects the others from a
        short wait for prompts.
        """
        others_s = self.slot_s + self.turn_s + self.limit_s
        return not others_s and self.prompt_s <= _UNHINDERED_PROMPT_S

    @property
    def delayed_s(self) -> float:
        """Return the wait that other requests cause."""
        return self.total_s - self.load_s

    @property
    def total_s(self) -> float:
        """Return the whole wait."""
        return self.adapter_s + self.turn_s + self.limit_s + self.prompt_s


class WaitEstimator:
    """Estimates the wait of requests at one engine.

    Admission, retry times and the hints to entries all use this estimate,
    so that none of them admits a request that another one considers late.

    Parameters
    ----------
    adapters
        Estimates when a slot is free, and how long a load takes.
    batch
        Estimates when a run ends, and who gets its turn.
    pacer
        Estimates which prompts are ahead, and how fast they are read.
    turn_pacer
        Estimates when the engine's request rate limit allows a turn.
    """

    def __init__(
        self,
        adapters: AdapterWaits,
        batch: BatchWaits,
        pacer: prefill_pacer.PrefillPacer,
        turn_pacer: turn_pacer_module.TurnPacer,
    ) -> None:
        self._adapters = adapters
        self._batch = batch
        self._pacer = pacer
        self._turn_pacer = turn_pacer

    def estimate(
        self,
        request: turn_messages.TurnRequest,
        name: str,
        order_s: float | None = None,
    ) -> WaitEstimate:
        """Return the expected wait of a request that arrives now.

        Parameters
        ----------
        name
            Slot name of its adapter; empty for the base model alone.
        order_s
            Order of the request; ``None`` if flows share by weight.
        """
        wait = slot_simulation.AdapterWait()
        if name:
            wait = self._adapters.expected_wait(name)
        slot_s = _SLOT_WAIT_SAFETY_FACTOR * wait.slot_s
        turn_s = self._batch.wait_s(
            wait.total_s, request.flow, request.weight, order_s
        )
        ready_s = slot_s + wait.load_s + turn_s
        limit_s = self._turn_pacer.wait_s(
            request.flow, request.rank, request.weight, ready_s, order_s
        )
        prompt_s = self._pacer.wait_s(
            request.prompt_tokens,
            request.flow,
            request.rank,
            ready_s + limit_s,
            request.weight,
            order_s,
        )
        return WaitEstimate(slot_s, wait.load_s, turn_s, limit_s, prompt_s)
