"""Snapshot of an engine's state, as the engine reports it."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSnapshot:
    """State of an engine, read from its own instance.

    Parameters
    ----------
    order_count
        Orders that the engine has accepted since its start.
    is_busy
        Whether the engine is carrying out an order about a model.
    models
        Models that it holds.
    held
        Versions of the adapters that it holds, by MODEL/ADAPTER.
    pending
        Versions of the adapters that it is loading, by MODEL/ADAPTER.
    run_ids
        Runs in progress.
    queued
        Requests that it has accepted and not started.
    started_at_ms
        Unix time of its start; 0 if unknown.
    limit_per_s
        Requests per second that it accepts from all entries together;
        ``None`` if its report names no limit.
    events_by_run
        Events of the answer that each run has made.
    follows_new_connection
        Whether a connection to the engine was opened since the report
        before, for it or for another call.
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
    limit_per_s: float | None = None
    events_by_run: Mapping[str, int] = dataclasses.field(default_factory=dict)
    follows_new_connection: bool = False
