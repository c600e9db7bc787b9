"""Text of a report: tables for the terminal, and formats of its values."""

from collections.abc import Iterable, Mapping
import time

import rich.box
import rich.console
import rich.table

from lacewingpitch import burn
from lacewingpitch import report as report_module
from lacewingpitch import report_content
from lacewingpitch import report_gaps

SUBJECT_NAMES = {
    burn.Subject.SERVED: 'answers served whole',
    burn.Subject.FIRST_TOKEN: 'first token in time',
    burn.Subject.BETWEEN_TOKENS: 'tokens after it in time',
}
_MAX_TRANSPOSED_CUSTOMERS = 3
_TABLE_WINDOWS = ('5 min', '1 h')
_COLUMNS = (
    'customer',
    'received',
    'served',
    'refused',
    'unknown',
    'partial',
    'caller gone',
    'not ended',
    'tokens',
    'load stalls',
    'first token p95',
    'between tokens p95',
    'alerts',
)


def print_table(
    report: report_module.Report, console: rich.console.Console
) -> None:
    """Print a report as a table, after its gaps.

    Up to three customers are columns, more are rows.
    """
    console.print(
        f'Account of service at {format_utc(report.generated_at_s)},'
        f' assembled by {report.generated_by}'
    )
    for gap in report.gaps:
        console.print(f'[bold red]GAP[/] {describe_gap(gap)}')
    if not report.gaps:
        console.print('No gaps: every known instance was read.')
    if 0 < len(report.services) <= _MAX_TRANSPOSED_CUSTOMERS:
        console.print(_transposed_table(report.services))
        return
    table = rich.table.Table(*_COLUMNS)
    for service in report.services:
        table.add_row(*_request_cells(service))
    console.print(table)


def _transposed_table(
    services: Iterable[report_content.CustomerSummary],
) -> rich.table.Table:
    # Thirteen columns do not fit the width of a terminal, but a few
    # customers as columns do.
    columns = [
        (*_request_cells(service), *_burn_cells(service))
        for service in services
    ]
    names = (*_COLUMNS, *(f'burn: {name}' for name in SUBJECT_NAMES.values()))
    header, *rows = zip(names, *columns, strict=True)
    table = rich.table.Table(*header, box=rich.box.SIMPLE)
    for row in rows:
        table.add_row(*row)
    return table


def _burn_cells(service: report_content.CustomerSummary) -> tuple[str, ...]:
    return tuple(
        '\n'.join(
            f'{found.burn_rate:.1f} over {found.window}'
            for found in service.burns
            if found.subject is subject
            and found.burn_rate is not None
            and found.window in _TABLE_WINDOWS
        )
        or '-'
        for subject in SUBJECT_NAMES
    )


def describe_gap(gap: report_gaps.Gap) -> str:
    """Return a gap as text."""
    start = 'an unknown time' if gap.from_s is None else format_utc(gap.from_s)
    end = 'an unknown time' if gap.to_s is None else format_utc(gap.to_s)
    return (
        f'{gap.instance} ({gap.availability_zone}): {gap.reason}.'
        f' Answers from {start} to {end} may be missing.'
    )


def format_utc(time_s: float) -> str:
    """Format a time as date and time in UTC."""
    return time.strftime('%Y-%m-%d %H:%M:%S UTC', time.gmtime(time_s))


def format_ms(time_s: float | None) -> str:
    """Format a duration in milliseconds, ``None`` as a dash."""
    return '-' if time_s is None else f'{time_s * 1000:.0f} ms'


def display_name(customer: str) -> str:
    """Return a customer's name, or a text for unidentified requests."""
    return customer or '(no customer identified)'


def _request_cells(service: report_content.CustomerSummary) -> tuple[str, ...]:
    return (
        display_name(service.customer),
        str(service.received_count),
        str(service.served_count),
        format_kinds(service.refused),
        format_kinds(service.unknown),
        format_kinds(service.partial),
        str(service.caller_gone_count),
        str(service.unended_count),
        str(service.token_count),
        format_stalls(service),
        format_ms(service.first_token.p95_s),
        format_ms(service.between_tokens.p95_s),
        format_alerts(service),
    )


def format_kinds(counts: Mapping[str, int]) -> str:
    """Format counts by error kind, a line each."""
    found = (f'{kind} {count}' for kind, count in sorted(counts.items()))
    return '\n'.join(found) or '0'


def format_stalls(service: report_content.CustomerSummary) -> str:
    """Format the load stalls: number, duration, number not measured."""
    text = f'{service.stalled_count} ({service.stall_s:.1f} s)'
    if service.stall_not_measured_count:
        text += f'\n{service.stall_not_measured_count} not measured'
    return text


def format_alerts(service: report_content.CustomerSummary) -> str:
    """Format the firing alerts, a line each."""
    found = (
        f'{alert.severity}: {alert.subject} over {alert.long_window}'
        for alert in service.alerts
    )
    return '\n'.join(found) or '-'
