"""Builds the hints that a sidecar sends to entries.

A hint is a load report on the engine that is piggybacked on a reply.
"""

from lacewingpitch import hint as hint_module
from lacewingpitch import pace_watch as pace_watch_module
from lacewingpitch import prefill_pacer
from lacewingpitch import slots as slots_module
from lacewingpitch import turn_pacer as turn_pacer_module
from lacewingpitch import turn_queue

_MS_PER_S = 1000
_US_PER_S = 1_000_000
_STALL_PERIOD_S = 1000


class HintBuilder:
    """Builds the hint for each reply."""

    def __init__(
        self,
        queue: turn_queue.TurnQueue,
        adapters: slots_module.AdapterSlots,
        pacer: prefill_pacer.PrefillPacer,
        turn_pacer: turn_pacer_module.TurnPacer,
        watch: pace_watch_module.PaceWatch,
    ) -> None:
        self._queue = queue
        self._adapters = adapters
        self._pacer = pacer
        self._turn_pacer = turn_pacer
        self._watch = watch

    def build(self) -> hint_module.Hint:
        """Return a hint with the current load of the engine."""
        new_adapter_wait = self._adapters.expected_wait()
        copy_wait_s = (
            new_adapter_wait.slot_s + self._adapters.cached_copy_load_s
        )
        pace = self._watch.pace
        turn_wait_s = self._pacer.wait_s() + self._turn_pacer.wait_s()
        return hint_module.Hint(
            running=self._queue.running,
            queued=self._queue.queued,
            max_running=max(1, self._queue.turn_count),
            load_wait_ms=int(new_adapter_wait.total_s * _MS_PER_S),
            spare_slots=self._adapters.spare_slot_count,
            adapters=hint_module.encode_fingerprints(self._adapters.adapters),
            turn_wait_ms=int(turn_wait_s * _MS_PER_S),
            copy_wait_ms=int(copy_wait_s * _MS_PER_S),
            copy_count=self._adapters.cached_copy_count,
            token_us=round(pace.token_s * _US_PER_S),
            stalls_per_1000s=round(pace.stalls_per_s * _STALL_PERIOD_S),
        )
