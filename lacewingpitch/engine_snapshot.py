"""What an engine says of itself."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSnapshot:
    """What an engine says of itself, read from its own instance.

    Parameters
    ----------
    order_count
        Orders that it has taken since its start.
    is_busy
        Whether it carries out an order about a model.
    models
        Models that it holds.
    held
        Versions of the adapters that it holds, by MODEL/ADAPTER.
    pending
        The same of those that are on their way to it.
    run_ids
        Runs that it works on.
    queued
        Requests that it has accepted and not begun.
    started_at_ms
        Unix time of its start; 0 if it does not say.
    """

    order_count: int
    is_leaving: bool
    is_busy: bool
    models: frozenset[str]
    held: Mapping[str, int]
    pending: Mapping[str, int]
    run_ids: frozenset[str]
    queued: int
    running: int
    started_at_ms: int = 0
