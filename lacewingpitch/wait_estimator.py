"""How long a request would wait for its turn at an engine, by parts."""

import dataclasses
from typing import Protocol

from lacewingpitch import prefill_pacer
from lacewingpitch import slot_simulation
from lacewingpitch import turn_messages

# What is expected until a place is free is a mean; runs last longer and
# shorter by chance.  Counted so many times, most of those that are let in
# are on time.
_CAUTION = 1.5


class AdapterPlaces(Protocol):
    """The places for adapters of an engine."""

    def expected_wait(self, name: str = '') -> slot_simulation.AdapterWait:
        """Return what a request for an adapter would wait now."""
        ...


class BatchTurns(Protocol):
    """The turns in the batch of an engine."""

    def wait_s(self, prepared_in_s: float, flow: str, weight: float) -> float:
        """Return how long one waits that has its adapter by then."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class WaitEstimate:
    """What a request is expected to wait for.

    Parameters
    ----------
    slot_s
        A place for its adapter.
    load_s
        The adapter's load, once it has a place.
    turn_s
        A turn in the engine's batch, once its adapter is there.
    prompt_s
        The prompts ahead of its own, once it has its turn.
    """

    slot_s: float = 0.0
    load_s: float = 0.0
    turn_s: float = 0.0
    prompt_s: float = 0.0

    @property
    def adapter_s(self) -> float:
        """Return what it waits for its adapter."""
        return self.slot_s + self.load_s

    @property
    def total_s(self) -> float:
        """Return the whole wait."""
        return self.adapter_s + self.turn_s + self.prompt_s


class WaitEstimator:
    """The one account of what a request at an engine would wait.

    Admission, the time to come back and the hints to entries all use it,
    so that none of them lets a request in for which another says that it
    is late.

    Parameters
    ----------
    adapters
        When a place comes free, and how long a load takes.
    batch
        When a run ends, and who gets its turn.
    pacer
        Which prompts are ahead, and how fast they are read.
    """

    def __init__(
        self,
        adapters: AdapterPlaces,
        batch: BatchTurns,
        pacer: prefill_pacer.PrefillPacer,
    ) -> None:
        self._adapters = adapters
        self._batch = batch
        self._pacer = pacer

    def of(
        self, request: turn_messages.TurnRequest, name: str
    ) -> WaitEstimate:
        """Return what a request would wait that came now.

        Parameters
        ----------
        name
            Slot name of its adapter; empty for the base model alone.
        """
        found = slot_simulation.AdapterWait()
        if name:
            found = self._adapters.expected_wait(name)
        slot_s = _CAUTION * found.slot_s
        turn_s = self._batch.wait_s(
            found.total_s, request.flow, request.weight
        )
        prompt_s = self._pacer.wait_s(
            request.prompt_tokens,
            request.flow,
            request.rank,
            slot_s + found.load_s + turn_s,
            request.weight,
        )
        return WaitEstimate(slot_s, found.load_s, turn_s, prompt_s)
