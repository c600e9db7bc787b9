"""What was read of the accounts of all instances, from them or copies."""

from collections.abc import Iterable, Mapping
import dataclasses

from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import account_query
from lacewingpitch import account_rows
from lacewingpitch import live_list


@dataclasses.dataclass(slots=True)
class Reading:
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

    def note(self, head: account_copy.AccountHead) -> None:
        """Note what the rows that were read claim to hold."""
        self.is_final = self.is_final or head.is_final
        self.complete_until_s = max(
            self.complete_until_s, head.complete_until_s
        )


class Readings:
    """Everything that could be read for one report.

    `holders` are those that have a copy of an account; ``None`` is this
    process itself.
    """

    def __init__(self) -> None:
        self.readings: dict[account_module.AccountId, Reading] = {}
        self.holders: dict[
            account_module.AccountId, list[live_list.Instance | None]
        ] = {}
        self.departed: dict[str, account_query.Departed] = {}

    def reading(self, account_id: account_module.AccountId) -> Reading:
        """Return what was read of one account, as yet nothing if new."""
        return self.readings.setdefault(account_id, Reading(account_id))

    def note(
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

    def reached(self) -> set[str]:
        """Return the instances that answered for themselves."""
        return {
            reading.account_id.instance
            for reading in self.readings.values()
            if reading.is_direct
        }


def total(readings: Iterable[Reading]) -> dict[str, account_rows.Row]:
    """Return the rows of all accounts, added up by customer."""
    found: dict[str, account_rows.Row] = {}
    for reading in readings:
        for name, row in reading.rows.items():
            account_rows.add(found.setdefault(name, {}), row)
    return found
