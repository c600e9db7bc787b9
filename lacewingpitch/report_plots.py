"""Plots of a report, as SVG."""

from collections.abc import Callable
from xml.etree import ElementTree

import pygal
import pygal.style

from lacewingpitch import burn
from lacewingpitch import report_content
from lacewingpitch import report_text

_MAX_BARS = 12
_MAX_LINES = 5
_MAX_LABELS = 8
_NO_DECIMALS_FROM_MS = 100
# Colours that colour-blind readers can distinguish (Okabe-Ito palette).
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
# Without scripts and external links, the page works as a single file.
_CHART_OPTIONS = {
    'style': _OUTCOME_STYLE,
    'js': (),
    'disable_xml_declaration': True,
    'legend_at_bottom': True,
    'width': 640,
}
_ReadCount = Callable[[report_content.CustomerSummary], int]
_OUTCOMES: tuple[tuple[str, _ReadCount], ...] = (
    ('served', lambda s: s.served_count),
    ('refused', lambda s: sum(s.refused.values())),
    ('unknown', lambda s: sum(s.unknown.values())),
    ('partial', lambda s: sum(s.partial.values())),
    ('caller gone', lambda s: s.caller_gone_count),
)


def draw(services: list[report_content.CustomerSummary]) -> list[str]:
    """Return the plots of the first customers, as SVG.

    Plots without data are left out.
    """
    services = services[:_MAX_BARS]
    if not services:
        return []
    charts = [
        _outcome_chart(services),
        _burn_chart(services),
        _latency_chart(
            'Time to first token: % of answers within so many ms',
            [(s.customer, s.first_token) for s in services],
        ),
        _latency_chart(
            'Time between tokens: % of gaps within so many ms',
            [(s.customer, s.between_tokens) for s in services],
        ),
    ]
    return [chart for chart in charts if chart]


def _outcome_chart(services: list[report_content.CustomerSummary]) -> str:
    chart = pygal.HorizontalStackedBar(
        title='Share of requests by outcome (%)',
        height=140 + 40 * len(services),
        **_CHART_OPTIONS,
    )
    # The chart draws its bars from the bottom up, in the opposite order
    # of the tables.
    services = services[::-1]
    chart.x_labels = [
        report_text.display_name(service.customer) for service in services
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


def _burn_chart(services: list[report_content.CustomerSummary]) -> str:
    if not any(any(_served_rates(service)) for service in services):
        return ''
    chart = pygal.Bar(
        title='Burn rate of served answers (1 = budget spent in time)',
        height=330,
        **_CHART_OPTIONS,
    )
    chart.x_labels = [window.name for window in burn.WINDOWS]
    for service in services[:_MAX_LINES]:
        name = report_text.display_name(service.customer)
        chart.add(name, _served_rates(service))
    return _svg(chart)


def _served_rates(
    service: report_content.CustomerSummary,
) -> list[float | None]:
    return [
        found.burn_rate
        for found in service.burns
        if found.subject is burn.Subject.SERVED
    ]


def _latency_chart(
    title: str, times: list[tuple[str, report_content.LatencySummary]]
) -> str:
    times = times[:_MAX_LINES]
    limits = sorted({float(x) for _, t in times for x in t.count_by_limit_s})
    if not limits:
        return ''
    chart = pygal.Line(
        title=title,
        height=330,
        range=(0, 100),
        show_minor_x_labels=False,
        x_label_rotation=30,
        **_CHART_OPTIONS,
    )
    chart.x_labels = [_format_ms(limit) for limit in limits]
    step = max(1, len(limits) // _MAX_LABELS)
    chart.x_labels_major = chart.x_labels[::step]
    for customer, found in times:
        if found.count:
            name = report_text.display_name(customer)
            chart.add(name, _cumulative_shares(found, limits))
    return _svg(chart)


def _format_ms(time_s: float) -> str:
    time_ms = time_s * 1000
    return (
        f'{time_ms:.3g}'
        if time_ms < _NO_DECIMALS_FROM_MS
        else f'{time_ms:.0f}'
    )


def _cumulative_shares(
    times: report_content.LatencySummary, limits: list[float]
) -> list[float]:
    cumulative_count = 0
    shares = []
    for limit in limits:
        cumulative_count += times.count_by_limit_s.get(f'{limit:.6g}', 0)
        shares.append(round(100 * cumulative_count / times.count, 2))
    return shares


def _svg(chart: pygal.Graph) -> str:
    chart.add_xml_filter(_drop_scripts)
    return str(chart.render(is_unicode=True))


def _drop_scripts(root: ElementTree.Element) -> ElementTree.Element:
    for parent in tuple(root.iter()):
        for child in tuple(parent):
            if str(child.tag).endswith('script'):
                parent.remove(child)
    return root
