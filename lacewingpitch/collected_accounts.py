"""Accounts collected for a report, from their instances or from copies."""

from collections.abc import Iterable, Mapping
import dataclasses

from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import account_query
from lacewingpitch import account_rows
from lacewingpitch import live_list


@dataclasses.dataclass(slots=True)
class AccountSnapshot:
    """Rows read of one account, merged from all sources.

    Parameters
    ----------
    account_id
        Identifies the account.
    rows
        Rows by customer.
    is_direct
        Whether the instance itself was read completely.
    is_final
        Whether the instance ended gracefully and a source is complete.
    complete_until_s
        The rows include everything counted before; 0 where unknown.
    """

    account_id: account_module.AccountId
    rows: dict[str, account_rows.Row] = dataclasses.field(default_factory=dict)
    is_direct: bool = False
    is_final: bool = False
    complete_until_s: float = 0.0

    def merge(self, rows: Mapping[str, account_rows.Row]) -> None:
        """Merge rows, keeping the greater of two counts."""
        for customer, row in rows.items():
            account_rows.merge(self.rows.setdefault(customer, {}), row)

    def record_head(self, head: account_copy.AccountHead) -> None:
        """Merge the metadata of a source whose rows were all read."""
        self.is_final = self.is_final or head.is_final
        self.complete_until_s = max(
            self.complete_until_s, head.complete_until_s
        )


class CollectedAccounts:
    """Everything that was read for one report.

    ``holders`` lists the entries that hold a copy of an account, where
    ``None`` stands for this process.
    """

    def __init__(self) -> None:
        self.snapshots: dict[account_module.AccountId, AccountSnapshot] = {}
        self.holders: dict[
            account_module.AccountId, list[live_list.Instance | None]
        ] = {}
        self.departed: dict[str, account_query.DepartedEntry] = {}

    def snapshot(
        self, account_id: account_module.AccountId
    ) -> AccountSnapshot:
        """Return the snapshot of one account, created empty if new."""
        return self.snapshots.setdefault(
            account_id, AccountSnapshot(account_id)
        )

    def record_reply(
        self,
        reply: account_query.AccountReply,
        peer: live_list.Instance | None,
    ) -> None:
        """Record which copies a peer holds and which entries departed."""
        for head in reply.held:
            holders = self.holders.setdefault(head.account_id, [])
            if peer not in holders:
                holders.append(peer)
        for departed in reply.departed:
            known = self.departed.get(departed.instance)
            if known is None or known.gone_at_s < departed.gone_at_s:
                self.departed[departed.instance] = departed

    def reached_instances(self) -> set[str]:
        """Return the instances whose own account was read."""
        return {
            snapshot.account_id.instance
            for snapshot in self.snapshots.values()
            if snapshot.is_direct
        }


def sum_rows(
    snapshots: Iterable[AccountSnapshot],
) -> dict[str, account_rows.Row]:
    """Return the sum of all accounts' rows by customer."""
    totals: dict[str, account_rows.Row] = {}
    for snapshot in snapshots:
        for name, row in snapshot.rows.items():
            account_rows.add(totals.setdefault(name, {}), row)
    return totals
