"""The report as a page for the browser: one file, with its plots in it."""

from collections.abc import Callable, Iterable
import html
from xml.etree import ElementTree

import pygal
import pygal.style

from lacewingpitch import burn
from lacewingpitch import report as report_module

MAX_CUSTOMERS = 50
_MAX_BARS = 12
_MAX_LINES = 5
_MAX_LABELS = 8
# Colours that stay apart for readers who see few colours (Okabe-Ito).
_OUTCOME_STYLE = pygal.style.Style(
    background='white',
    plot_background='white',
    colors=('#009e73', '#e69f00', '#d55e00', '#cc79a7', '#56b4e9'),
    font_family='sans-serif',
    label_font_size=13,
    major_label_font_size=13,
    legend_font_size=13,
    title_font_size=15,
    value_label_font_size=11,
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
        f'<p>As of {report_module.utc(report.generated_at_s)}, assembled'
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
<li>A <b>burn rate</b> of 1 spends the error budget exactly in time; an
alert needs a long and a short window above its threshold. Refusals that
the contract asks for, and callers that left, do not count.</li>
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
        f'<li>{html.escape(report_module.describe_gap(gap))}</li>'
        for gap in report.gaps
    )
    return (
        '<div class="gaps"><b>This report may lack answers.</b>'
        f' The true counts are at least those shown.<ul>{items}</ul></div>'
    )


def _answers(report: report_module.Report) -> str:
    rows = (
        (
            report_module.display_name(service.customer),
            service.received_count,
            service.served_count,
            report_module.kinds(service.refused),
            report_module.kinds(service.unknown),
            report_module.kinds(service.partial),
            service.caller_gone_count,
            service.unended_count,
            service.token_count,
            report_module.stalls(service),
        )
        for service in _shown(report)
    )
    hidden = report.hidden_count
    note = (
        f'<p>{hidden} more customers are in the JSON form of this report;'
        ' shown are those with the most requests.</p>'
        if hidden > 0
        else ''
    )
    return (
        '<h2>Requests since the instances started</h2>'
        + note
        + _table(
            (
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
            ),
            rows,
        )
    )


def _plots(report: report_module.Report) -> str:
    services = _shown(report)[:_MAX_BARS]
    if not services:
        return ''
    charts = [
        _outcome_chart(services),
        _burn_chart(services),
        _time_chart('Time to first token', services, 'first_token'),
        _time_chart('Time between tokens', services, 'between_tokens'),
    ]
    found = ''.join(f'<div>{chart}</div>' for chart in charts if chart)
    return f'<h2>Plots</h2><div class="plots">{found}</div>'


def _outcome_chart(services: list[report_module.CustomerService]) -> str:
    chart = pygal.HorizontalStackedBar(
        title='Share of requests by outcome (%)',
        height=140 + 40 * len(services),
        **_CHART_OPTIONS,
    )
    # The chart draws its bars from the bottom up; tables go down.
    services = services[::-1]
    chart.x_labels = [
        report_module.display_name(service.customer) for service in services
    ]
    for name, count in _OUTCOMES:
        chart.add(
            name,
            [
                round(100 * count(service) / (service.received_count or 1), 2)
                for service in services
            ],
        )
    return _svg(chart)


def _burn_chart(services: list[report_module.CustomerService]) -> str:
    if not any(any(_served_rates(service)) for service in services):
        return ''
    chart = pygal.Bar(
        title='Burn rate of served answers (1 = budget spent in time)',
        height=330,
        **_CHART_OPTIONS,
    )
    chart.x_labels = [window.name for window in burn.WINDOWS]
    for service in services[:_MAX_LINES]:
        name = report_module.display_name(service.customer)
        chart.add(name, _served_rates(service))
    return _svg(chart)


def _served_rates(
    service: report_module.CustomerService,
) -> list[float | None]:
    return [
        found.burn_rate
        for found in service.burns
        if found.subject is burn.Subject.SERVED
    ]


def _time_chart(
    title: str, services: list[report_module.CustomerService], field: str
) -> str:
    times: list[report_module.Times] = [
        getattr(service, field) for service in services[:_MAX_LINES]
    ]
    limits = sorted({float(x) for t in times for x in t.count_by_limit_s})
    if not limits:
        return ''
    chart = pygal.Line(
        title=f'{title}: % of answers within so many ms'
        if field == 'first_token'
        else f'{title}: % of gaps within so many ms',
        height=330,
        range=(0, 100),
        show_minor_x_labels=False,
        x_label_rotation=30,
        **_CHART_OPTIONS,
    )
    chart.x_labels = [f'{limit * 1000:.3g}' for limit in limits]
    step = max(1, len(limits) // _MAX_LABELS)
    chart.x_labels_major = chart.x_labels[::step]
    for service, found in zip(services, times, strict=False):
        if found.count:
            name = report_module.display_name(service.customer)
            chart.add(name, _shares(found, limits))
    return _svg(chart)


def _shares(times: report_module.Times, limits: list[float]) -> list[float]:
    seen = 0
    shares = []
    for limit in limits:
        seen += times.count_by_limit_s.get(f'{limit:.6g}', 0)
        shares.append(round(100 * seen / times.count, 2))
    return shares


def _times(report: report_module.Report) -> str:
    rows = (
        (
            report_module.display_name(service.customer),
            title,
            found.count,
            report_module.milliseconds(found.p50_s),
            report_module.milliseconds(found.p95_s),
            report_module.milliseconds(found.p99_s),
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
            report_module.display_name(service.customer),
            report_module.SUBJECT_NAMES[subject],
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
    service: report_module.CustomerService,
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
    service: report_module.CustomerService, subject: burn.Subject
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
            report_module.utc(source.started_at_s),
            source.read_from,
            report_module.utc(source.complete_until_s)
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
) -> list[report_module.CustomerService]:
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


# Without scripts and outside links the page can be handed on as a file.
_CHART_OPTIONS = {
    'style': _OUTCOME_STYLE,
    'js': (),
    'disable_xml_declaration': True,
    'legend_at_bottom': True,
    'width': 640,
}


def _svg(chart: pygal.Graph) -> str:
    chart.add_xml_filter(_drop_scripts)
    return str(chart.render(is_unicode=True))


def _drop_scripts(root: ElementTree.Element) -> ElementTree.Element:
    for parent in tuple(root.iter()):
        for child in tuple(parent):
            if str(child.tag).endswith('script'):
                parent.remove(child)
    return root


_Count = Callable[[report_module.CustomerService], int]
_OUTCOMES: tuple[tuple[str, _Count], ...] = (
    ('served', lambda s: s.served_count),
    ('refused', lambda s: sum(s.refused.values())),
    ('unknown', lambda s: sum(s.unknown.values())),
    ('partial', lambda s: sum(s.partial.values())),
    ('caller gone', lambda s: s.caller_gone_count),
)
