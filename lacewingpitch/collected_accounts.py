"""What was read of the accounts of all instances, from them or copies."""

from collections.abc import Iterable, Mapping
import dataclasses

from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import account_query
from lacewingpitch import account_rows
from lacewingpitch import live_list


@dataclasses.dataclass(slots=True)
class AccountSnapshot:
    """What was read of one account, from itself or from copies."""

    account_id: account_module.AccountId
    rows: dict[str, account_rows.Row] = dataclasses.field(default_factory=dict)
    is_direct: bool = False
    is_final: bool = False
    complete_until_s: float = 0.0

    def merge(self, rows: Mapping[str, account_rows.Row]) -> None:
        """Take over rows, the greater of two counts."""
        for customer, row in rows.items():
            account_rows.merge(self.rows.setdefault(customer, {}), row)

    def record_head(self, head: account_copy.AccountHead) -> None:
        """Note what the rows that were read claim to hold."""
        self.is_final = self.is_final or head.is_final
        self.complete_until_s = max(
            self.complete_until_s, head.complete_until_s
        )


class CollectedAccounts:
    """Everything that could be read for one report.

    `holders` are those that have a copy of an account; ``None`` is this
    process itself.
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
        """Return what was read of one account, as yet nothing if new."""
        return self.snapshots.setdefault(
            account_id, AccountSnapshot(account_id)
        )

    def record_reply(
        self,
        reply: account_query.AccountReply,
        peer: live_list.Instance | None,
    ) -> None:
        """Note who holds copies, and which instances are gone."""
        for head in reply.held:
            holders = self.holders.setdefault(head.account_id, [])
            if peer not in holders:
                holders.append(peer)
        for departed in reply.departed:
            known = self.departed.get(departed.instance)
            if known is None or known.gone_at_s < departed.gone_at_s:
                self.departed[departed.instance] = departed

    def reached_instances(self) -> set[str]:
        """Return the instances that answered for themselves."""
        return {
            snapshot.account_id.instance
            for snapshot in self.snapshots.values()
            if snapshot.is_direct
        }


def sum_rows(
    snapshots: Iterable[AccountSnapshot],
) -> dict[str, account_rows.Row]:
    """Return the rows of all accounts, added up by customer."""
    found: dict[str, account_rows.Row] = {}
    for snapshot in snapshots:
        for name, row in snapshot.rows.items():
            account_rows.add(found.setdefault(name, {}), row)
    return found
