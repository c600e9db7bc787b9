"""The report as a page for the browser: one file, with its plots in it."""

from collections.abc import Iterable
import html

from lacewingpitch import burn
from lacewingpitch import report as report_module
from lacewingpitch import report_content
from lacewingpitch import report_plots
from lacewingpitch import report_text

MAX_CUSTOMERS = 50
_ANSWER_HEADINGS = (
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
    """Return the page of a report."""
    scope = report.customer or 'all customers'
    parts = [
        f'<h1>Account of service: {html.escape(scope)}</h1>',
        f'<p>As of {report_text.format_utc(report.generated_at_s)}, assembled'
        f' by {html.escape(report.generated_by)} from'
        f' {len(report.sources)} account(s).</p>',
        _gaps(report),
        _answers(report),
        _plots(report),
        _times(report),
        _burns(report),
        _sources(report),
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
<li><b>Served</b>: the whole answer reached the caller's connection.
<b>Refused</b>: the request did not run. <b>Unknown</b>: it may have run.
<b>Partial</b>: the answer broke off, and the caller was told.
<b>Caller gone</b>: the caller left before its answer was out.
<b>Not ended</b>: in progress, or cut off when an instance was lost.</li>
<li>Each request is in exactly one of these; together they make
<b>received</b>.</li>
<li>In the plot of shares a bar that ends before 100 % has requests that
have not ended.</li>
<li>The <b>error budget</b> is the share of requests that may miss the
objective of the customer's contract: served whole, the first token in
time, the tokens after it in time. A <b>burn rate</b> of 1 spends it
exactly in time, 10 ten times as fast. Refusals that the contract asks
for, and callers that left, do not count.</li>
<li>An <b>alert</b> fires when the burn rate is above its threshold over
the long window named and a short one: <b>page</b> means that somebody
should look now, <b>ticket</b> within days.</li>
<li>Times are rounded up to the next quarter of a doubling (at most 19%
too long).</li>
</ul>
"""


def _gaps(report: report_module.Report) -> str:
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
        '<div class="gaps"><b>This report may lack answers.</b>'
        f' The true counts are at least those shown.<ul>{items}</ul></div>'
    )


def _answers(report: report_module.Report) -> str:
    note = (
        f'<p>{report.hidden_count} more customers are in the JSON form of'
        ' this report; shown are those with the most requests.</p>'
        if report.hidden_count > 0
        else ''
    )
    rows = (_answer_cells(service) for service in _shown(report))
    title = '<h2>Requests since the instances started</h2>'
    return title + note + _table(_ANSWER_HEADINGS, rows)


def _answer_cells(
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


def _plots(report: report_module.Report) -> str:
    plots = ''.join(
        f'<div>{p}</div>' for p in report_plots.draw(_shown(report))
    )
    if not plots:
        return ''
    return f'<h2>Plots</h2><div class="plots">{plots}</div>'


def _times(report: report_module.Report) -> str:
    rows = (
        (
            report_text.display_name(service.customer),
            title,
            found.count,
            report_text.format_ms(found.p50_s),
            report_text.format_ms(found.p95_s),
            report_text.format_ms(found.p99_s),
        )
        for service in _shown(report)
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
            '50 in 100',
            '95 in 100',
            '99 in 100',
        ),
        rows,
        is_text_second=True,
    )


def _burns(report: report_module.Report) -> str:
    rows = (
        (
            report_text.display_name(service.customer),
            report_text.SUBJECT_NAMES[subject],
            *(_rate(service, subject, window) for window in burn.WINDOWS),
            _alerts(service, subject),
        )
        for service in _shown(report)
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


def _rate(
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


def _alerts(
    service: report_content.CustomerSummary, subject: burn.Subject
) -> str:
    return '\n'.join(
        f'{alert.severity} ({alert.long_window})'
        for alert in service.alerts
        if alert.subject is subject
    )


def _sources(report: report_module.Report) -> str:
    rows = (
        (
            source.instance,
            source.availability_zone,
            report_text.format_utc(source.started_at_s),
            source.read_from,
            report_text.format_utc(source.complete_until_s)
            if source.complete_until_s
            else 'not known',
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


def _shown(
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
