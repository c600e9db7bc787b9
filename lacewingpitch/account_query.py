"""Reading accounts, own and held, over control messages."""

import heapq

import msgspec

from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import account_rows
from lacewingpitch import link

MAX_PAGE_ROWS = 500


class DepartedEntry(msgspec.Struct, frozen=True):
    """An entry that has left the list of instances."""

    instance: str
    availability_zone: str
    started_at_s: float
    gone_at_s: float


class AccountRequest(link.Message, frozen=True):
    """Asks for rows of one account.

    Parameters
    ----------
    account_id
        Whose account; the asked process's own where ``None``.
    customer
        Only this customer's row; all rows where ``None``.
    after
        Only customers above this name: where the last page ended.
    """

    account_id: account_module.AccountId | None = None
    customer: str | None = None
    after: str | None = None


class AccountReply(link.Message, frozen=True):
    """One page of rows, and what else the process knows.

    ``head`` is ``None`` where it has no such account; ``next_after``
    is ``None`` on the last page.
    """

    head: account_copy.AccountHead | None
    rows: dict[str, account_rows.Row]
    next_after: str | None = None
    held: tuple[account_copy.AccountHead, ...] = ()
    departed: tuple[DepartedEntry, ...] = ()


class AccountReader:
    """Answers requests for the accounts that this process knows."""

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
        """Return one page of what was asked for."""
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
