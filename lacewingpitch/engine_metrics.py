"""Metrics of a sidecar about its engine."""

from lacewingpitch import engine_limit
from lacewingpitch import engine_view
from lacewingpitch import metrics as metrics_module
from lacewingpitch import pace_watch
from lacewingpitch import slots as slots_module
from lacewingpitch import turn_granter
from lacewingpitch import turn_metrics


def register_pace(
    metrics: metrics_module.Metrics, watch: pace_watch.PaceWatch
) -> None:
    """Register how fast the engine runs, and is given prompts."""
    metrics.gauge(
        'engine_token_seconds',
        'Time for each token of the answers that run; 0 if unknown.',
        lambda: watch.pace.token_s,
    )
    metrics.gauge(
        'engine_prompt_tokens_per_second',
        'Rate at which the engine reads prompts; 0 if unknown.',
        lambda: watch.pace.prompt_tokens_per_s,
    )
    metrics.gauge(
        'engine_stalls_per_second',
        'Pauses beyond what callers allow per second of a stream.',
        lambda: watch.pace.stalls_per_s,
    )
    metrics.gauge(
        'engine_prefill_limit_tokens_per_second',
        'Highest rate at which prompts are released to the engine.',
        lambda: watch.rates.max_tokens_per_s,
    )


def register(
    metrics: metrics_module.Metrics,
    granter: turn_granter.TurnGranter,
    outcomes: turn_metrics.TurnMetrics,
    adapters: slots_module.AdapterSlots,
    limit: engine_limit.EngineLimit,
    view: engine_view.EngineView,
) -> None:
    """Register what a sidecar counts and knows about its engine."""
    metrics.counter_by(
        'turns_total',
        'Turns that were asked for, by what became of them.',
        'outcome',
        lambda: {
            'granted': outcomes.granted_count,
            'refused': outcomes.refused_count,
            'lapsed': outcomes.lapsed_count,
        },
    )
    metrics.counter_by(
        'turns_granted_total',
        'Turns that were granted, by why the request was admitted.',
        'tier',
        lambda: outcomes.granted_by_tier,
    )
    metrics.counter_by(
        'turns_refused_by_reason_total',
        'Turns that were refused, by what is known of their requests.',
        'reason',
        lambda: outcomes.refused_by_reason,
    )
    metrics.counter(
        'turns_granted_to_returns_total',
        'Turns that were granted to callers that were refused here before.',
        lambda: outcomes.returned_count,
    )
    metrics.counter_by(
        'adapter_orders_total',
        'Orders about adapters, by what became of them.',
        'outcome',
        lambda: {
            'loaded': adapters.load_count,
            'unloaded': adapters.eviction_count,
            'load failed': adapters.failed_load_count,
        },
    )
    metrics.gauge(
        'turns_held',
        'Turns that are granted or waited for.',
        lambda: len(granter),
    )
    metrics.gauge(
        'engine_limit_per_second',
        'Requests per second that the engine accepts; -1 without limit.',
        lambda: -1.0 if limit.per_s is None else limit.per_s,
    )
    metrics.gauge(
        'engine_report_age_seconds',
        'How old the last report of the engine is.',
        lambda: view.contact.report_age_s,
    )
