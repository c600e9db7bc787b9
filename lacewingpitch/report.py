"""The report: the accounts of all instances, and what they may lack."""

import asyncio
from collections.abc import Iterable, Mapping
import dataclasses
import heapq
import sys
import time

import aiohttp
import msgspec
import rich.box
import rich.console
import rich.table
import structlog

from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import account_query
from lacewingpitch import account_rows
from lacewingpitch import burn
from lacewingpitch import contract as contract_module
from lacewingpitch import errors
from lacewingpitch import live_list
from lacewingpitch import node as node_module

_ASK_TIMEOUT_S = 1.0
_FETCH_TIMEOUT_S = 30.0
_MAX_ASKING = 16
_DIRECT = 'itself'
_COPY = 'a copy'
log = structlog.get_logger(__name__)


class Times(msgspec.Struct, frozen=True):
    """A histogram of times, and the usual points of it."""

    count: int
    p50_s: float | None
    p95_s: float | None
    p99_s: float | None
    count_by_limit_s: dict[str, int]


class CustomerService(msgspec.Struct, frozen=True, kw_only=True):
    """What one customer got, over all the instances that were read."""

    customer: str
    received_count: int
    served_count: int
    caller_gone_count: int
    unended_count: int
    refused: dict[str, int]
    unknown: dict[str, int]
    partial: dict[str, int]
    token_count: int
    stalled_count: int
    stall_s: float
    stall_not_measured_count: int
    first_token: Times
    between_tokens: Times
    load_stall: Times
    burns: tuple[burn.Burn, ...]
    alerts: tuple[burn.FiredAlert, ...]


class Source(msgspec.Struct, frozen=True, kw_only=True):
    """One account that the report was assembled from.

    Parameters
    ----------
    read_from
        The instance itself, or a copy at another.
    complete_until_s
        Nothing counted before is missing, by that instance's clock.
    unended_count
        Requests that had come in and not ended; in progress if the
        instance lives, cut off if it ended.
    """

    instance: str
    incarnation: str
    availability_zone: str
    started_at_s: float
    read_from: str
    complete_until_s: float
    unended_count: int


class Gap(msgspec.Struct, frozen=True, kw_only=True):
    """What the report may lack: whose counts, from when until when."""

    instance: str
    availability_zone: str
    from_s: float | None
    to_s: float | None
    reason: str


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The account of service as one entry could assemble it."""

    generated_at_s: float
    generated_by: str
    customer: str | None
    services: tuple[CustomerService, ...]
    hidden_count: int
    sources: tuple[Source, ...]
    gaps: tuple[Gap, ...]


@dataclasses.dataclass(slots=True)
class _Reading:
    """What was read of one account, from itself or from copies."""

    account_id: account_module.AccountId
    rows: dict[str, account_rows.Row] = dataclasses.field(default_factory=dict)
    is_direct: bool = False
    is_final: bool = False
    complete_until_s: float = 0.0

    def merge(self, rows: Mapping[str, account_rows.Row]) -> None:
        for customer, row in rows.items():
            account_rows.merge(self.rows.setdefault(customer, {}), row)

    def note(self, head: account_copy.AccountHead) -> None:
        self.is_final = self.is_final or head.is_final
        self.complete_until_s = max(
            self.complete_until_s, head.complete_until_s
        )


class _Collection:
    """Everything that could be read for one report."""

    def __init__(self) -> None:
        self.readings: dict[account_module.AccountId, _Reading] = {}
        self.holders: dict[
            account_module.AccountId, list[live_list.Instance | None]
        ] = {}
        self.departed: dict[str, account_query.Departed] = {}

    def reading(self, account_id: account_module.AccountId) -> _Reading:
        return self.readings.setdefault(account_id, _Reading(account_id))

    def note(
        self,
        reply: account_query.AccountReply,
        peer: live_list.Instance | None,
    ) -> None:
        for head in reply.held:
            holders = self.holders.setdefault(head.account_id, [])
            if peer not in holders:
                holders.append(peer)
        for departed in reply.departed:
            known = self.departed.get(departed.instance)
            if known is None or known.gone_at_s < departed.gone_at_s:
                self.departed[departed.instance] = departed

    def reached(self) -> set[str]:
        return {
            reading.account_id.instance
            for reading in self.readings.values()
            if reading.is_direct
        }


class Reporter:
    """Assembles reports at one entry.

    Parameters
    ----------
    node
        The process, its peers and its view of others.
    reader
        The accounts that this process knows.
    """

    def __init__(
        self,
        node: node_module.Node,
        reader: account_query.AccountReader,
    ) -> None:
        self._node = node
        self._reader = reader
        self._asking = asyncio.Semaphore(_MAX_ASKING)

    async def assemble(
        self, customer: str | None = None, limit: int | None = None
    ) -> Report:
        """Return the account of all customers, or of one alone.

        With a `limit`, only so many customers, those with the most
        requests.
        """
        found = _Collection()
        peers = self._other_entries()
        await asyncio.gather(
            self._read_own(found, customer),
            *(self._read_peer(found, peer, customer) for peer in peers),
        )
        await asyncio.gather(
            *(
                self._read_copies(found, account_id, customer)
                for account_id in found.holders
                if not found.reading(account_id).is_direct
            )
        )
        # For thousands of customers this takes seconds, which the streams
        # that pass through this process would see as a gap.
        return await asyncio.to_thread(
            self._make_report, found, customer, limit
        )

    async def _read_own(
        self, found: _Collection, customer: str | None
    ) -> None:
        await self._read_pages(found, None, None, customer)

    async def _read_peer(
        self,
        found: _Collection,
        peer: live_list.Instance,
        customer: str | None,
    ) -> None:
        try:
            await self._read_pages(found, peer, None, customer)
        except errors.LinkError as error:
            log.info('account not read', instance=peer.name, error=str(error))

    async def _read_copies(
        self,
        found: _Collection,
        account_id: account_module.AccountId,
        customer: str | None,
    ) -> None:
        for peer in found.holders[account_id]:
            try:
                await self._read_pages(found, peer, account_id, customer)
            except errors.LinkError as error:
                log.info(
                    'copy not read',
                    instance=account_id.instance,
                    error=str(error),
                )

    async def _read_pages(
        self,
        found: _Collection,
        peer: live_list.Instance | None,
        account_id: account_module.AccountId | None,
        customer: str | None,
    ) -> None:
        after: str | None = None
        while True:
            request = account_query.AccountRequest(
                account_id=account_id, customer=customer, after=after
            )
            reply = await self._ask(peer, request)
            found.note(reply, peer)
            if reply.head is None:
                return
            reading = found.reading(reply.head.account_id)
            reading.merge(reply.rows)
            after = reply.next_after
            if after is None:
                break
        # Only now are the rows whole: a reading that broke off keeps what
        # it has, but claims nothing.
        reading.note(reply.head)
        reading.is_direct = reading.is_direct or account_id is None

    async def _ask(
        self,
        peer: live_list.Instance | None,
        request: account_query.AccountRequest,
    ) -> account_query.AccountReply:
        if peer is None:
            return await self._reader.answer(request)
        async with self._asking:
            return await self._node.peers.peer(peer.ip, peer.control_port).ask(
                request, account_query.AccountReply, _ASK_TIMEOUT_S
            )

    def _other_entries(self) -> list[live_list.Instance]:
        return [
            instance
            for instance in self._node.membership.instances
            if instance.role is live_list.Role.ENTRY
            and instance.name != self._node.settings.instance
        ]

    def _make_report(
        self, found: _Collection, customer: str | None, limit: int | None
    ) -> Report:
        now_s = self._node.clock.wall_s()
        readings = tuple(found.readings.values())
        total = _total(readings)
        if customer is not None:
            total = {customer: total.get(customer, {})}
        shown = _most_requests(total, limit)
        return Report(
            generated_at_s=now_s,
            generated_by=self._node.settings.instance,
            customer=customer,
            services=tuple(
                _service(
                    name, total[name], self._node.book.contract(name), now_s
                )
                for name in shown
            ),
            hidden_count=len(total) - len(shown),
            sources=tuple(_source(reading) for reading in readings),
            gaps=tuple(find_gaps(found, self._other_entries(), now_s)),
        )


def find_gaps(
    found: _Collection, listed: list[live_list.Instance], now_s: float
) -> Iterable[Gap]:
    """Return what a report may lack.

    A report that shows too little and does not say so is worse than
    none: whoever it is handed to takes it for the whole account.
    """
    reached = found.reached()
    names = {entry.name for entry in listed}
    for reading in found.readings.values():
        if reading.is_direct:
            continue
        is_current = _is_latest(reading, found)
        unreached = is_current and reading.account_id.instance in names
        if reading.is_final and not unreached:
            continue
        yield _gap_of(reading, found, unreached, now_s)
    known = reached | {r.account_id.instance for r in found.readings.values()}
    for entry in listed:
        if entry.name not in known:
            yield Gap(
                instance=entry.name,
                availability_zone=entry.availability_zone,
                from_s=entry.started_at_s or None,
                to_s=now_s,
                reason='not reached, and no copy of its account was found',
            )
    for gone in found.departed.values():
        if gone.instance not in known and gone.instance not in names:
            yield Gap(
                instance=gone.instance,
                availability_zone=gone.availability_zone,
                from_s=gone.started_at_s or None,
                to_s=gone.gone_at_s,
                reason='ended, and no copy of its account was found',
            )


def _gap_of(
    reading: _Reading, found: _Collection, unreached: bool, now_s: float
) -> Gap:
    account_id = reading.account_id
    is_whole = reading.complete_until_s > 0
    text = 'not reached' if unreached else 'ended without its last copy'
    source = 'a copy was read' if is_whole else 'only part of a copy was read'
    return Gap(
        instance=account_id.instance,
        availability_zone=account_id.availability_zone,
        from_s=max(reading.complete_until_s, account_id.started_at_s),
        to_s=now_s if unreached else _ended_before_s(reading, found, now_s),
        reason=f'{text}; {source}',
    )


def _is_latest(reading: _Reading, found: _Collection) -> bool:
    return not any(
        other.account_id.instance == reading.account_id.instance
        and other.account_id.started_at_s > reading.account_id.started_at_s
        for other in found.readings.values()
    )


def _ended_before_s(
    reading: _Reading, found: _Collection, now_s: float
) -> float:
    account_id = reading.account_id
    successors = [
        other.account_id.started_at_s
        for other in found.readings.values()
        if other.account_id.instance == account_id.instance
        and other.account_id.started_at_s > account_id.started_at_s
    ]
    if successors:
        return min(successors)
    departed = found.departed.get(account_id.instance)
    return departed.gone_at_s if departed else now_s


def _total(readings: Iterable[_Reading]) -> dict[str, account_rows.Row]:
    total: dict[str, account_rows.Row] = {}
    for reading in readings:
        for name, row in reading.rows.items():
            account_rows.add(total.setdefault(name, {}), row)
    return total


def _most_requests(
    total: Mapping[str, account_rows.Row], limit: int | None
) -> list[str]:
    if limit is None:
        return sorted(total)
    counter = account_module.Counter.RECEIVED
    return heapq.nsmallest(
        limit, total, key=lambda name: (-total[name].get(counter, 0), name)
    )


def _service(
    customer: str,
    row: account_rows.Row,
    contract: contract_module.Contract | None,
    now_s: float,
) -> CustomerService:
    counter = account_module.Counter
    histogram = account_module.Histogram
    objective = contract.objective if contract else contract_module.Objective()
    burns = burn.measure(row, objective, now_s)
    return CustomerService(
        customer=customer,
        received_count=row.get(counter.RECEIVED, 0),
        served_count=row.get(counter.SERVED, 0),
        caller_gone_count=row.get(counter.CALLER_GONE, 0),
        unended_count=_unended(row),
        refused=account_module.ended_by_kind(row, errors.Outcome.NOT_RUN),
        unknown=account_module.ended_by_kind(row, errors.Outcome.UNKNOWN),
        partial=account_module.ended_by_kind(row, errors.Outcome.PARTIAL),
        token_count=row.get(counter.TOKENS, 0),
        stalled_count=row.get(counter.STALLED, 0),
        stall_s=row.get(counter.STALL_MS, 0) / 1000,
        stall_not_measured_count=row.get(counter.STALL_NOT_MEASURED, 0),
        first_token=_times(row, histogram.FIRST_TOKEN),
        between_tokens=_times(row, histogram.BETWEEN_TOKENS),
        load_stall=_times(row, histogram.LOAD_STALL),
        burns=tuple(burns),
        alerts=tuple(burn.fired(burns)),
    )


def _times(row: account_rows.Row, of: account_module.Histogram) -> Times:
    counts = account_module.histogram(row, of)
    return Times(
        count=sum(counts.values()),
        p50_s=account_module.quantile_s(counts, 0.5),
        p95_s=account_module.quantile_s(counts, 0.95),
        p99_s=account_module.quantile_s(counts, 0.99),
        count_by_limit_s={
            f'{account_module.bucket_limit_s(bucket):.6g}': count
            for bucket, count in counts.items()
        },
    )


def _source(reading: _Reading) -> Source:
    account_id = reading.account_id
    return Source(
        instance=account_id.instance,
        incarnation=account_id.incarnation,
        availability_zone=account_id.availability_zone,
        started_at_s=account_id.started_at_s,
        read_from=_DIRECT if reading.is_direct else _COPY,
        complete_until_s=reading.complete_until_s,
        unended_count=sum(_unended(row) for row in reading.rows.values()),
    )


def _unended(row: account_rows.Row) -> int:
    received = row.get(account_module.Counter.RECEIVED, 0)
    return received - account_module.ended_count(row)


async def fetch(url: str, customer: str | None, token: str) -> bytes:
    """Return a report as JSON, from the entry at `url`.

    Raises
    ------
    PlatformError
        The entry did not answer, or does not accept the token.
    """
    path = f'/report/customers/{customer}' if customer else '/report'
    timeout = aiohttp.ClientTimeout(total=_FETCH_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(
                url.rstrip('/') + path,
                params={'format': 'json'},
                headers={'Authorization': f'Bearer {token}'},
            ) as response,
        ):
            data = await response.read()
            if response.status != 200:
                raise errors.PlatformError(
                    f'{url}{path}: status {response.status}'
                )
            return data
    except (aiohttp.ClientError, TimeoutError) as error:
        raise errors.PlatformError(f'{url}: {error!r}') from error


async def print_report(
    url: str, customer: str | None, token: str, output_format: str
) -> None:
    """Fetch a report and print it as a table or as JSON."""
    data = await fetch(url, customer, token)
    if output_format == 'json':
        sys.stdout.write(data.decode() + '\n')
        return
    print_table(msgspec.json.decode(data, type=Report), rich.console.Console())


def print_table(report: Report, console: rich.console.Console) -> None:
    """Print a report as tables, its gaps first."""
    console.print(
        f'Account of service at {utc(report.generated_at_s)},'
        f' assembled by {report.generated_by}'
    )
    for gap in report.gaps:
        console.print(f'[bold red]GAP[/] {describe_gap(gap)}')
    if not report.gaps:
        console.print('No gaps: every known instance was read.')
    if 0 < len(report.services) <= _MAX_SIDE_BY_SIDE:
        console.print(_side_by_side(report.services))
        return
    table = rich.table.Table(*_COLUMNS)
    for service in report.services:
        table.add_row(*_cells(service))
    console.print(table)


def _side_by_side(services: Iterable[CustomerService]) -> rich.table.Table:
    # Thirteen columns do not fit a terminal; a few customers do.
    columns = [
        (*_cells(service), *_burn_cells(service)) for service in services
    ]
    names = (*_COLUMNS, *(f'burn: {name}' for name in SUBJECT_NAMES.values()))
    header, *rows = zip(names, *columns, strict=True)
    table = rich.table.Table(*header, box=rich.box.SIMPLE)
    for row in rows:
        table.add_row(*row)
    return table


def _burn_cells(service: CustomerService) -> tuple[str, ...]:
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


def describe_gap(gap: Gap) -> str:
    """Return a gap as a sentence."""
    start = 'an unknown time' if gap.from_s is None else utc(gap.from_s)
    end = 'an unknown time' if gap.to_s is None else utc(gap.to_s)
    return (
        f'{gap.instance} ({gap.availability_zone}): {gap.reason}.'
        f' Answers from {start} to {end} may be missing.'
    )


def utc(time_s: float) -> str:
    """Return a time as text, for readers in any time zone."""
    return time.strftime('%Y-%m-%d %H:%M:%S UTC', time.gmtime(time_s))


def milliseconds(time_s: float | None) -> str:
    """Return a time in milliseconds, or a dash for none."""
    return '-' if time_s is None else f'{time_s * 1000:.0f} ms'


def display_name(customer: str) -> str:
    """Return a customer's name, or what stands for no customer."""
    return customer or '(no customer identified)'


SUBJECT_NAMES = {
    burn.Subject.SERVED: 'answers served whole',
    burn.Subject.FIRST_TOKEN: 'first token in time',
    burn.Subject.BETWEEN_TOKENS: 'tokens after it in time',
}
_MAX_SIDE_BY_SIDE = 3
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


def _cells(service: CustomerService) -> tuple[str, ...]:
    return (
        display_name(service.customer),
        str(service.received_count),
        str(service.served_count),
        kinds(service.refused),
        kinds(service.unknown),
        kinds(service.partial),
        str(service.caller_gone_count),
        str(service.unended_count),
        str(service.token_count),
        stalls(service),
        milliseconds(service.first_token.p95_s),
        milliseconds(service.between_tokens.p95_s),
        alerts(service),
    )


def kinds(counts: Mapping[str, int]) -> str:
    """Return counts by kind as text."""
    found = (f'{kind} {count}' for kind, count in sorted(counts.items()))
    return '\n'.join(found) or '0'


def stalls(service: CustomerService) -> str:
    """Return the load stalls as text, with how many were not measured."""
    text = f'{service.stalled_count} ({service.stall_s:.1f} s)'
    if service.stall_not_measured_count:
        text += f'\n{service.stall_not_measured_count} not measured'
    return text


def alerts(service: CustomerService) -> str:
    """Return the alerts that fire as text."""
    found = (
        f'{alert.severity}: {alert.subject} over {alert.long_window}'
        for alert in service.alerts
    )
    return '\n'.join(found) or '-'
