"""The report as a self-contained HTML page with embedded plots."""

from collections.abc import Iterable
import html

from lacewingpitch import burn
from lacewingpitch import report as report_module
from lacewingpitch import report_content
from lacewingpitch import report_plots
from lacewingpitch import report_text

MAX_CUSTOMERS = 50
_REQUEST_HEADINGS = (
    'Customer',
    'Received',
    'Served',
    'Refused',
    'Unknown',
    'Partial',
    'Caller gone',
    'Not ended',
    'Tokens',
    'Load stalls',
)
_STYLE_SHEET = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 72em;
  padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 0.8em 0; }
th, td { padding: 0.3em 0.7em; text-align: right; vertical-align: top;
  border-bottom: 1px solid #ddd; white-space: pre-line; }
th { background: #f3f3f3; }
th:first-child, td:first-child, .second th:nth-child(2),
  .second td:nth-child(2) { text-align: left; }
.gaps { border-left: 6px solid #d55e00; background: #fdf1e8;
  padding: 0.6em 1em; }
.whole { border-left: 6px solid #009e73; background: #eaf6f2;
  padding: 0.6em 1em; }
.plots { display: flex; flex-wrap: wrap; gap: 1em; }
.plots svg { width: 34em; height: auto; }
"""


def render(report: report_module.Report) -> str:
    """Return a report as HTML."""
    scope = report.customer or 'all customers'
    parts = [
        f'<h1>Account of service: {html.escape(scope)}</h1>',
        f'<p>As of {report_text.format_utc(report.generated_at_s)}, assembled'
        f' by {html.escape(report.generated_by)} from'
        f' {len(report.sources)} account(s).</p>',
        _gap_section(report),
        _request_section(report),
        _plot_section(report),
        _latency_section(report),
        _burn_section(report),
        _source_section(report),
        _EXPLANATION,
    ]
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f'<title>Account of service: {html.escape(scope)}</title>'
        f'<style>{_STYLE_SHEET}</style></head><body>'
        + ''.join(parts)
        + '</body></html>'
    )


_EXPLANATION = """
<h2>How to read this</h2>
<ul>
<li><b>Served</b>: the caller's connection accepted the complete answer.
<b>Refused</b>: the request did not run. <b>Unknown</b>: it may have run.
<b>Partial</b>: the answer ended early, and the caller was notified.
<b>Caller gone</b>: the caller disconnected before its answer was complete.
<b>Not ended</b>: in progress, or interrupted by the loss of an instance.</li>
<li>Each request is counted in exactly one of these columns; their sum is
<b>received</b>.</li>
<li>In the plot of shares, a bar that ends below 100 % has requests that
have not ended.</li>
<li>The <b>error budget</b> is the share of requests that may miss an
objective of the customer's contract: answers served whole, the first
token in time, the tokens after it in time. A <b>burn rate</b> of 1 spends
the budget exactly over the period of the objective, 10 ten times as fast.
Refusals that the contract requires or that the request itself caused, and
callers that disconnected, do not count.</li>
<li>An <b>alert</b> fires when the burn rate reaches its threshold both
over the long window named and over a shorter one. <b>page</b> requires
immediate attention, <b>ticket</b> attention within days.</li>
<li>Times are rounded up to the next quarter of a doubling (at most 19%
too long).</li>
</ul>
"""


def _gap_section(report: report_module.Report) -> str:
    if not report.gaps:
        return (
            '<div class="whole"><b>No gaps.</b> Every known instance was'
            ' read.</div>'
        )
    items = ''.join(
        f'<li>{html.escape(report_text.describe_gap(gap))}</li>'
        for gap in report.gaps
    )
    return (
        '<div class="gaps"><b>Counts may be missing from this report.</b>'
        f' The true counts are at least those shown.<ul>{items}</ul></div>'
    )


def _request_section(report: report_module.Report) -> str:
    note = (
        f'<p>{report.hidden_count} more customers are in the JSON form of'
        ' this report; this page shows those with the most requests.</p>'
        if report.hidden_count > 0
        else ''
    )
    rows = (_request_cells(service) for service in _shown_customers(report))
    title = '<h2>Requests since the instances started</h2>'
    return title + note + _table(_REQUEST_HEADINGS, rows)


def _request_cells(
    service: report_content.CustomerSummary,
) -> tuple[object, ...]:
    return (
        report_text.display_name(service.customer),
        service.received_count,
        service.served_count,
        report_text.format_kinds(service.refused),
        report_text.format_kinds(service.unknown),
        report_text.format_kinds(service.partial),
        service.caller_gone_count,
        service.unended_count,
        service.token_count,
        report_text.format_stalls(service),
    )


def _plot_section(report: report_module.Report) -> str:
    plots = ''.join(
        f'<div>{p}</div>' for p in report_plots.draw(_shown_customers(report))
    )
    if not plots:
        return ''
    return f'<h2>Plots</h2><div class="plots">{plots}</div>'


def _latency_section(report: report_module.Report) -> str:
    rows = (
        (
            report_text.display_name(service.customer),
            title,
            found.count,
            report_text.format_ms(found.p50_s),
            report_text.format_ms(found.p95_s),
            report_text.format_ms(found.p99_s),
        )
        for service in _shown_customers(report)
        for title, found in (
            ('first token', service.first_token),
            ('between tokens', service.between_tokens),
            ('load stall', service.load_stall),
        )
        if found.count
    )
    return '<h2>Times</h2>' + _table(
        (
            'Customer',
            'Time',
            'Measured',
            '50th percentile',
            '95th percentile',
            '99th percentile',
        ),
        rows,
        is_text_second=True,
    )


def _burn_section(report: report_module.Report) -> str:
    rows = (
        (
            report_text.display_name(service.customer),
            report_text.SUBJECT_NAMES[subject],
            *(
                _format_rate(service, subject, window)
                for window in burn.WINDOWS
            ),
            _format_alerts(service, subject),
        )
        for service in _shown_customers(report)
        for subject in burn.Subject
    )
    return '<h2>Burn of the error budget</h2>' + _table(
        (
            'Customer',
            'Objective',
            *(window.name for window in burn.WINDOWS),
            'Alert',
        ),
        rows,
        is_text_second=True,
    )


def _format_rate(
    service: report_content.CustomerSummary,
    subject: burn.Subject,
    window: burn.Window,
) -> str:
    for found in service.burns:
        if found.subject is subject and found.window == window.name:
            if found.burn_rate is None:
                return '-'
            return f'{found.burn_rate:.1f}'
    return '-'


def _format_alerts(
    service: report_content.CustomerSummary, subject: burn.Subject
) -> str:
    return '\n'.join(
        f'{alert.severity} ({alert.long_window})'
        for alert in service.alerts
        if alert.subject is subject
    )


def _source_section(report: report_module.Report) -> str:
    rows = (
        (
            source.instance,
            source.availability_zone,
            report_text.format_utc(source.started_at_s),
            source.read_from,
            report_text.format_utc(source.complete_until_s)
            if source.complete_until_s
            else 'unknown',
            source.unended_count,
        )
        for source in report.sources
    )
    return '<h2>Where the counts come from</h2>' + _table(
        (
            'Instance',
            'Availability zone',
            'Started',
            'Read from',
            'Complete until',
            'Not ended',
        ),
        rows,
        is_text_second=True,
    )


def _shown_customers(
    report: report_module.Report,
) -> list[report_content.CustomerSummary]:
    ranked = sorted(
        report.services, key=lambda s: (-s.received_count, s.customer)
    )
    return ranked[:MAX_CUSTOMERS]


def _table(
    headings: Iterable[str],
    rows: Iterable[Iterable[object]],
    *,
    is_text_second: bool = False,
) -> str:
    head = ''.join(f'<th>{html.escape(text)}</th>' for text in headings)
    body = ''.join(
        '<tr>'
        + ''.join(f'<td>{html.escape(str(cell))}</td>' for cell in row)
        + '</tr>'
        for row in rows
    )
    kind = ' class="second"' if is_text_second else ''
    return f'<table{kind}><tr>{head}</tr>{body}</table>'
