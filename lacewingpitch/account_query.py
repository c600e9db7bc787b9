"""Control messages that read an account or a held copy, in pages."""

import heapq

import msgspec

from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import account_rows
from lacewingpitch import link

MAX_PAGE_ROWS = 500


class DepartedEntry(msgspec.Struct, frozen=True):
    """An entry that has left the list of instances.

    ``gone_at_s`` is when the replying process found it missing.
    """

    instance: str
    availability_zone: str
    started_at_s: float
    gone_at_s: float


class AccountRequest(link.Message, frozen=True):
    """Requests a page of rows of one account.

    Parameters
    ----------
    account_id
        The account to read; ``None`` for the receiver's own.
    customer
        Read only this customer's row; ``None`` for all rows.
    after
        Read only customers that sort after this name: the last one of
        the previous page.
    """

    account_id: account_module.AccountId | None = None
    customer: str | None = None
    after: str | None = None


class AccountReply(link.Message, frozen=True):
    """A page of rows, with the copies held and the departed entries.

    Parameters
    ----------
    head
        Metadata of the account; ``None`` if the process has no copy.
    rows
        Rows by customer, in the order of names.
    next_after
        ``after`` of the next request; ``None`` on the last page.
    held
        Metadata of every copy that the process holds.
    departed
        Entries that the process saw leave the list.
    """

    head: account_copy.AccountHead | None
    rows: dict[str, account_rows.Row]
    next_after: str | None = None
    held: tuple[account_copy.AccountHead, ...] = ()
    departed: tuple[DepartedEntry, ...] = ()


class AccountReader:
    """Answers requests for this process's account and its held copies.

    Parameters
    ----------
    account
        This process's own account.
    holder
        Copies of other instances' accounts.
    copier
        Knows the metadata of the own account and the departed entries.
    """

    def __init__(
        self,
        account: account_module.Account,
        holder: account_copy.CopyHolder,
        copier: account_copy.AccountCopier,
    ) -> None:
        self._account = account
        self._holder = holder
        self._copier = copier

    async def answer(self, request: AccountRequest) -> AccountReply:
        """Return the requested page."""
        head, rows = self._find(request.account_id)
        page, next_after = _select_page(rows, request)
        return AccountReply(
            head=head,
            rows=page,
            next_after=next_after,
            held=tuple(held.head for held in self._holder.accounts),
            departed=tuple(
                DepartedEntry(
                    entry.name,
                    entry.availability_zone,
                    entry.started_at_s,
                    gone_at_s,
                )
                for entry, gone_at_s in self._copier.departed.values()
            ),
        )

    def _find(
        self, account_id: account_module.AccountId | None
    ) -> tuple[account_copy.AccountHead | None, account_rows.RowTable]:
        if account_id in (None, self._account.account_id):
            return self._copier.own_head(), self._account.rows
        assert account_id is not None
        held = self._holder.account(account_id)
        if held is None:
            return None, account_rows.RowTable()
        return held.head, held.rows


def _select_page(
    rows: account_rows.RowTable, request: AccountRequest
) -> tuple[dict[str, account_rows.Row], str | None]:
    if request.customer is not None:
        row = dict(rows.row(request.customer))
        return ({request.customer: row} if row else {}), None
    customers = heapq.nsmallest(
        MAX_PAGE_ROWS,
        (c for c in rows if request.after is None or c > request.after),
    )
    page = {customer: dict(rows.row(customer)) for customer in customers}
    is_last = len(customers) < MAX_PAGE_ROWS
    return page, None if is_last else customers[-1]
