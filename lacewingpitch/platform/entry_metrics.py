"""Metrics of an entry."""

from lacewingpitch import answer_end
from lacewingpitch import backend_list
from lacewingpitch import blame
from lacewingpitch import configuration_age
from lacewingpitch import control_client
from lacewingpitch import memory_budget
from lacewingpitch import metrics as metrics_module
from lacewingpitch import notice_router
from lacewingpitch import placement as placement_module
from lacewingpitch.platform import backend_client
from lacewingpitch.platform import frontend as frontend_module
from lacewingpitch.platform import store as store_module
from lacewingpitch.platform import store_updates
from lacewingpitch import request_forwarder
from lacewingpitch import routing
from lacewingpitch import run_mover
from lacewingpitch import server_gate
from lacewingpitch import server_limits
from lacewingpitch import service_admission
from lacewingpitch import service_budgets
from lacewingpitch import stall_costs as stall_costs_module
from lacewingpitch import suspect_sync
from lacewingpitch import suspects as suspects_module
from lacewingpitch import usage_limits


def register_requests(
    metrics: metrics_module.Metrics,
    frontend: frontend_module.Frontend,
    forwarder: request_forwarder.RequestForwarder,
) -> None:
    """Register the metrics of callers' requests."""
    metrics.counter_by(
        'requests_ended_total',
        'Requests that came to an end, by outcome.',
        'outcome',
        lambda: frontend.ended_by_outcome,
    )
    metrics.counter_by(
        'requests_cut_total',
        'Requests whose connection ended here without an answer, by step.',
        'step',
        lambda: frontend.cut_by_step,
    )
    metrics.counter_by(
        'requests_resent_total',
        'Requests sent to another backend server, by service.',
        'service',
        lambda: forwarder.retry_counts,
    )
    metrics.counter_by(
        'requests_by_organisation_total',
        'Requests that came to an end, by organisation.',
        'organisation',
        lambda: frontend.ended_by_organisation,
    )
    metrics.gauge(
        'requests_in_progress',
        'Requests that are in progress here.',
        lambda: frontend.in_progress,
    )


def register_callers(
    metrics: metrics_module.Metrics,
    frontend: frontend_module.Frontend,
    memory: memory_budget.MemoryBudget,
) -> None:
    """Register the metrics of what callers hold."""
    metrics.gauge(
        'caller_memory_bytes',
        'Memory held for callers: requests, and answers that wait for them.',
        lambda: memory.held_bytes,
    )
    metrics.counter(
        'caller_memory_refusals_total',
        'How often there was no memory for a request.',
        lambda: memory.refused_count,
    )
    metrics.counter(
        'caller_memory_ended_total',
        'Slow requests and unread answers ended to make room for others.',
        lambda: memory.ended_count,
    )
    metrics.counter_by(
        'caller_connections_closed_total',
        'Connections closed for what their callers did, by reason.',
        'reason',
        lambda: frontend.closed_by_reason,
    )


def register_sendings(
    metrics: metrics_module.Metrics,
    client: backend_client.HttpBackendClient,
    budgets: service_budgets.ServiceBudgets,
) -> None:
    """Register the metrics of requests that were sent, and of retries."""
    metrics.counter_by(
        'requests_sent_total',
        'How often requests were sent to backend servers, by service.',
        'service',
        lambda: client.sending_counts,
    )
    metrics.gauge(
        'retry_budget_tokens',
        'Retries left for the service that has least of them.',
        lambda: budgets.least_tokens,
    )
    metrics.gauge(
        'retry_budget_entries',
        'Entries that share the retry budgets, as this one knows them.',
        lambda: budgets.entry_count,
    )


def register_suspects(
    metrics: metrics_module.Metrics,
    suspects: suspects_module.Suspects,
    sync: suspect_sync.SuspectSync,
) -> None:
    """Register the metrics of requests that crash backend servers."""
    record = suspects.record
    metrics.gauge(
        'requests_isolated',
        'Requests that run isolated, as servers crashed under them.',
        lambda: record.suspect_count(blame.Handling.ISOLATED),
    )
    metrics.gauge(
        'requests_barred',
        'Requests that are refused, as servers crashed under them.',
        lambda: record.suspect_count(blame.Handling.REFUSED),
    )
    metrics.gauge(
        'prompt_parts_isolated',
        'Parts of prompts whose requests run isolated.',
        lambda: record.suspect_count(blame.Handling.ISOLATED, is_part=True),
    )
    metrics.gauge(
        'prompt_parts_barred',
        'Parts of prompts whose requests are refused.',
        lambda: record.suspect_count(blame.Handling.REFUSED, is_part=True),
    )
    metrics.counter(
        'suspects_answered_total',
        'Answers that made the crashes of a request or part void.',
        lambda: record.answered_count,
    )
    metrics.counter(
        'crash_messages_total',
        'Messages to sidecars about crashes, without a request for a turn.',
        lambda: sync.message_count,
    )


def register_answer_ends(
    metrics: metrics_module.Metrics, end: answer_end.AnswerEnd
) -> None:
    """Register the metrics of answers that mark no end of their own."""
    metrics.counter(
        'answers_interrupted_total',
        'Answers without an end whose server was not known to run.',
        lambda: end.interrupted_count,
    )


def register_list(
    metrics: metrics_module.Metrics, updates: store_updates.BackendUpdates
) -> None:
    """Register the metrics of the list of backend servers."""
    metrics.counter(
        'entries_rejected_total',
        'Entries of the list of backend servers that could not be decoded.',
        lambda: updates.rejected_count,
    )


def register_servers(
    metrics: metrics_module.Metrics,
    servers: backend_list.BackendList,
    limits: server_limits.ServerLimits,
    notices: notice_router.NoticeRouter,
    gate: server_gate.ServerGate,
) -> None:
    """Register the metrics of backend servers and of what they announce."""
    metrics.counter(
        'requests_over_server_limit_total',
        'Requests kept from a server by its request rate limit.',
        lambda: limits.exceeded_count,
    )
    metrics.gauge(
        'limited_servers',
        'Backend servers that name a request rate limit.',
        lambda: sum(
            limits.per_s(server) is not None for server in servers.all()
        ),
    )
    metrics.counter(
        'leaving_answers_total',
        'Answers of backend servers that announced that they leave.',
        lambda: notices.leaving_count,
    )
    metrics.counter(
        'backoff_answers_total',
        'Answers of backend servers that asked for backoff.',
        lambda: notices.backoff_count,
    )
    metrics.counter(
        'requests_withheld_total',
        'Requests stopped on their way to a server that accepts none now.',
        lambda: gate.withheld_count,
    )
    metrics.counter(
        'requests_to_unlisted_servers_total',
        'Requests sent to backend servers that are not listed.',
        lambda: gate.unlisted_count,
    )
    metrics.gauge(
        'servers_in_backoff',
        'Backend servers that asked this entry for backoff.',
        lambda: len(gate.backoffs),
    )
    metrics.gauge(
        'list_age_seconds',
        'How long ago the list of backend servers was current.',
        lambda: servers.age_s,
    )


def register_configuration(
    metrics: metrics_module.Metrics,
    table: routing.RoutingTable,
    age: configuration_age.ConfigurationAge,
) -> None:
    """Register the metrics of the configuration in force."""
    metrics.gauge(
        'configuration_version',
        'Version of the configuration in force.',
        lambda: table.version,
    )
    metrics.gauge(
        'configuration_age_seconds',
        'How long ago the configuration was known to be the newest.',
        lambda: age.age_s,
    )


def register_calls(
    metrics: metrics_module.Metrics,
    store: store_module.Store,
    usage: usage_limits.UsageLimits,
    peers: control_client.ControlClient,
) -> None:
    """Register the metrics of calls to the store and to peers."""
    metrics.counter(
        'store_calls_total',
        'Calls to the store.',
        lambda: store.call_count,
    )
    metrics.counter(
        'usage_asks_total',
        'Messages to the owners of limits.',
        lambda: usage.ask_count,
    )
    metrics.counter(
        'usage_unreached_total',
        'Requests charged while the owner of their limit was silent.',
        lambda: usage.unreached_count,
    )
    metrics.counter(
        'control_redials_total',
        'New dials of control links that had gone silent.',
        lambda: peers.redial_count,
    )


def register_pace(
    metrics: metrics_module.Metrics,
    costs: stall_costs_module.StallCosts,
    placement: placement_module.Placement,
) -> None:
    """Register the metrics of placement by the pace of engines."""
    metrics.gauge(
        'engines_of_known_pace',
        'Engines whose sidecar told the pace of their present start.',
        lambda: placement.known_pace_count,
    )
    metrics.counter(
        'requests_moved_by_pace_total',
        'Rankings whose first engine changed by the pace of engines.',
        lambda: costs.moved_count,
    )
    metrics.counter(
        'pace_probes_total',
        'Rankings that ignored the pace of one engine to test it.',
        lambda: costs.probe_count,
    )


def register_admission(
    metrics: metrics_module.Metrics,
    admission: service_admission.LatencyAdmission,
) -> None:
    """Register the metrics of requests kept from full plain servers."""
    metrics.counter(
        'server_requests_refused_total',
        'Requests kept from plain servers that are full and late.',
        lambda: admission.refused_count,
    )
    metrics.gauge(
        'server_refused_ratio',
        'Largest share of requests kept from a plain server now.',
        lambda: max(
            (ratio for _, ratio in admission.refused_ratios()), default=0.0
        ),
    )


def register_moves(
    metrics: metrics_module.Metrics, mover: run_mover.RunMover
) -> None:
    """Register the metrics of runs that move to other engines."""
    metrics.counter_by(
        'run_moves_total',
        'Moves of runs to other engines that have ended, by outcome.',
        'outcome',
        lambda: mover.move_counts,
    )
    metrics.counter(
        'run_memory_copied_bytes_total',
        'Expected size of the memory of runs that have moved.',
        lambda: mover.copied_bytes,
    )
    metrics.gauge(
        'movable_runs',
        'Streams that move if their engine leaves.',
        lambda: mover.run_count,
    )
