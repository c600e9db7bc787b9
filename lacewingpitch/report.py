"""Assembly of the report at one entry, and its retrieval over HTTP.

The report states what each customer got, from the accounts of all
entries.  The entry that assembles it reads them with control messages.
"""

import asyncio
from collections.abc import Mapping
import heapq

import aiohttp
import msgspec
import structlog

from lacewingpitch import account as account_module
from lacewingpitch import account_counters
from lacewingpitch import account_query
from lacewingpitch import account_rows
from lacewingpitch import collected_accounts
from lacewingpitch import errors
from lacewingpitch import live_list
from lacewingpitch import node as node_module
from lacewingpitch import report_content
from lacewingpitch import report_gaps
from lacewingpitch import single_sending

_REQUEST_TIMEOUT_S = 1.0
_FETCH_TIMEOUT_S = 30.0
_MAX_CONCURRENT_REQUESTS = 16
_REASONS_BY_STATUS = {
    401: 'the token is neither the operator token nor an API key of the'
    ' named customer',
    404: 'this server has no reports, or the named customer has no contract',
}
log = structlog.get_logger(__name__)


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The account of service, as far as one entry could read it.

    Parameters
    ----------
    generated_at_s
        Wall clock time.
    generated_by
        Instance that assembled the report.
    customer
        The only customer of the report; ``None`` for all.
    services
        Summaries by customer.
    hidden_count
        Customers omitted because of a limit.
    sources
        Accounts that the report was assembled from.
    gaps
        Periods whose counts may be missing.
    """

    generated_at_s: float
    generated_by: str
    customer: str | None
    services: tuple[report_content.CustomerSummary, ...]
    hidden_count: int
    sources: tuple[report_content.Source, ...]
    gaps: tuple[report_gaps.Gap, ...]


class Reporter:
    """Assembles reports at one entry.

    Parameters
    ----------
    node
        The process, its peers and its view of the membership.
    reader
        Reads this process's account and the copies that it holds.
    """

    def __init__(
        self,
        node: node_module.Node,
        reader: account_query.AccountReader,
    ) -> None:
        self._node = node
        self._reader = reader
        self._request_semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)

    async def assemble(
        self, customer: str | None = None, limit: int | None = None
    ) -> Report:
        """Return a report of all customers, or of one.

        Parameters
        ----------
        customer
            Include only this customer.
        limit
            Include at most so many customers, those with the most
            requests.
        """
        collected = collected_accounts.CollectedAccounts()
        peers = self._other_entries()
        await asyncio.gather(
            self._read_own(collected, customer),
            *(self._read_peer(collected, peer, customer) for peer in peers),
        )
        await asyncio.gather(
            *(
                self._read_copies(collected, account_id, customer)
                for account_id in collected.holders
                if not collected.snapshot(account_id).is_direct
            )
        )
        # With thousands of customers this takes seconds.  On the event
        # loop, it would stall the streams that pass through this process.
        return await asyncio.to_thread(
            self._make_report, collected, customer, limit
        )

    async def _read_own(
        self,
        collected: collected_accounts.CollectedAccounts,
        customer: str | None,
    ) -> None:
        await self._read_pages(collected, None, None, customer)

    async def _read_peer(
        self,
        collected: collected_accounts.CollectedAccounts,
        peer: live_list.Instance,
        customer: str | None,
    ) -> None:
        try:
            await self._read_pages(collected, peer, None, customer)
        except errors.LinkError as error:
            log.info('account not read', instance=peer.name, error=str(error))

    async def _read_copies(
        self,
        collected: collected_accounts.CollectedAccounts,
        account_id: account_module.AccountId,
        customer: str | None,
    ) -> None:
        for peer in collected.holders[account_id]:
            try:
                await self._read_pages(collected, peer, account_id, customer)
            except errors.LinkError as error:
                log.info(
                    'copy not read',
                    instance=account_id.instance,
                    error=str(error),
                )

    async def _read_pages(
        self,
        collected: collected_accounts.CollectedAccounts,
        peer: live_list.Instance | None,
        account_id: account_module.AccountId | None,
        customer: str | None,
    ) -> None:
        after: str | None = None
        while True:
            request = account_query.AccountRequest(
                account_id=account_id, customer=customer, after=after
            )
            reply = await self._request_page(peer, request)
            collected.record_reply(reply, peer)
            if reply.head is None:
                return
            snapshot = collected.snapshot(reply.head.account_id)
            snapshot.merge(reply.rows)
            after = reply.next_after
            if after is None:
                break
        # The rows are complete only after the last page: a snapshot whose
        # read failed keeps its rows, but states no completeness.
        snapshot.record_head(reply.head)
        snapshot.is_direct = snapshot.is_direct or account_id is None

    async def _request_page(
        self,
        peer: live_list.Instance | None,
        request: account_query.AccountRequest,
    ) -> account_query.AccountReply:
        if peer is None:
            return await self._reader.answer(request)
        async with self._request_semaphore:
            return await self._node.peers.peer(peer.ip, peer.control_port).ask(
                request, account_query.AccountReply, _REQUEST_TIMEOUT_S
            )

    def _other_entries(self) -> list[live_list.Instance]:
        return [
            instance
            for instance in self._node.membership.instances
            if instance.role is live_list.Role.ENTRY
            and instance.name != self._node.settings.instance
        ]

    def _make_report(
        self,
        collected: collected_accounts.CollectedAccounts,
        customer: str | None,
        limit: int | None,
    ) -> Report:
        now_s = self._node.clock.wall_s()
        snapshots = tuple(collected.snapshots.values())
        rows_by_customer = collected_accounts.sum_rows(snapshots)
        if customer is not None:
            rows_by_customer = {customer: rows_by_customer.get(customer, {})}
        shown = _select_customers(rows_by_customer, limit)
        return Report(
            generated_at_s=now_s,
            generated_by=self._node.settings.instance,
            customer=customer,
            services=tuple(
                report_content.summarize_customer(
                    name,
                    rows_by_customer[name],
                    self._node.contract_registry.contract(name),
                    now_s,
                )
                for name in shown
            ),
            hidden_count=len(rows_by_customer) - len(shown),
            sources=tuple(
                report_content.describe_source(snapshot)
                for snapshot in snapshots
            ),
            gaps=tuple(
                report_gaps.find_gaps(collected, self._other_entries(), now_s)
            ),
        )


def _select_customers(
    rows_by_customer: Mapping[str, account_rows.Row], limit: int | None
) -> list[str]:
    if limit is None:
        return sorted(rows_by_customer)
    counter = account_counters.Counter.RECEIVED
    return heapq.nsmallest(
        limit,
        rows_by_customer,
        key=lambda name: (-rows_by_customer[name].get(counter, 0), name),
    )


async def fetch(url: str, customer: str | None, token: str) -> bytes:
    """Fetch a report as JSON from the entry at `url`.

    Parameters
    ----------
    url
        Base URL of an entry.
    customer
        Fetch only this customer's report; ``None`` for all customers.
    token
        The operators' token, or an API key of the customer.

    Raises
    ------
    PlatformError
        The entry did not answer, or refused the request.
    """
    path = f'/report/customers/{customer}' if customer else '/report'
    timeout = aiohttp.ClientTimeout(total=_FETCH_TIMEOUT_S)
    try:
        async with (
            single_sending.new_session(timeout=timeout) as session,
            session.get(
                url.rstrip('/') + path,
                params={'format': 'json'},
                headers={'Authorization': f'Bearer {token}'},
                allow_redirects=False,
            ) as response,
        ):
            data = await response.read()
    except (aiohttp.InvalidURL, aiohttp.NonHttpUrlClientError) as error:
        raise errors.PlatformError(
            f'{url}: Expected a URL such as http://10.0.0.1:8080'
        ) from error
    except (aiohttp.ClientError, TimeoutError) as error:
        reason = str(error) or f'no answer within {_FETCH_TIMEOUT_S:g} s'
        raise errors.PlatformError(f'{url}: {reason}') from error
    if response.status != 200:
        reason = _REASONS_BY_STATUS.get(response.status, 'no report')
        raise errors.PlatformError(
            f'{url}{path}: status {response.status}: {reason}'
        )
    return data
