"""Gaps of a report: instances and periods whose counts may be missing."""

from collections.abc import Iterable

import msgspec

from lacewingpitch import account_query
from lacewingpitch import collected_accounts
from lacewingpitch import live_list


class Gap(msgspec.Struct, frozen=True, kw_only=True):
    """A period of one instance whose counts may be missing.

    ``from_s`` and ``to_s`` are ``None`` where the time is unknown.
    """

    instance: str
    availability_zone: str
    from_s: float | None
    to_s: float | None
    reason: str


def find_gaps(
    collected: collected_accounts.CollectedAccounts,
    listed: list[live_list.Instance],
    now_s: float,
) -> Iterable[Gap]:
    """Return the gaps of a report.

    Readers take a report without stated gaps as complete, so a report
    that omits counts silently is worse than none.

    Parameters
    ----------
    collected
        Accounts that were read.
    listed
        Other entries in the list of instances.
    now_s
        End of the gap of an instance that may still be running.
    """
    listed_names = {entry.name for entry in listed}
    yield from _find_snapshot_gaps(collected, listed_names, now_s)
    known = collected.reached_instances() | {
        snapshot.account_id.instance
        for snapshot in collected.snapshots.values()
    }
    for entry in listed:
        if entry.name not in known:
            yield _unreached_gap(entry, now_s)
    for departed in collected.departed.values():
        if (
            departed.instance not in known
            and departed.instance not in listed_names
        ):
            yield _departed_gap(departed)


def _find_snapshot_gaps(
    collected: collected_accounts.CollectedAccounts,
    listed_names: set[str],
    now_s: float,
) -> Iterable[Gap]:
    for snapshot in collected.snapshots.values():
        if snapshot.is_direct:
            continue
        is_current = _is_latest(snapshot, collected)
        is_unreached = (
            is_current and snapshot.account_id.instance in listed_names
        )
        if snapshot.is_final and not is_unreached:
            continue
        yield _snapshot_gap(snapshot, collected, is_unreached, now_s)


def _unreached_gap(entry: live_list.Instance, now_s: float) -> Gap:
    return Gap(
        instance=entry.name,
        availability_zone=entry.availability_zone,
        from_s=entry.started_at_s or None,
        to_s=now_s,
        reason='not reached, and no copy of its account was found',
    )


def _departed_gap(departed: account_query.DepartedEntry) -> Gap:
    return Gap(
        instance=departed.instance,
        availability_zone=departed.availability_zone,
        from_s=departed.started_at_s or None,
        to_s=departed.gone_at_s,
        reason='ended, and no copy of its account was found',
    )


def _snapshot_gap(
    snapshot: collected_accounts.AccountSnapshot,
    collected: collected_accounts.CollectedAccounts,
    is_unreached: bool,
    now_s: float,
) -> Gap:
    account_id = snapshot.account_id
    is_complete = snapshot.complete_until_s > 0
    cause = 'not reached' if is_unreached else 'ended without a final copy'
    source = (
        'a copy was read' if is_complete else 'only part of a copy was read'
    )
    return Gap(
        instance=account_id.instance,
        availability_zone=account_id.availability_zone,
        from_s=max(snapshot.complete_until_s, account_id.started_at_s),
        to_s=now_s
        if is_unreached
        else _latest_end_s(snapshot, collected, now_s),
        reason=f'{cause}; {source}',
    )


def _is_latest(
    snapshot: collected_accounts.AccountSnapshot,
    collected: collected_accounts.CollectedAccounts,
) -> bool:
    return not any(
        other.account_id.instance == snapshot.account_id.instance
        and other.account_id.started_at_s > snapshot.account_id.started_at_s
        for other in collected.snapshots.values()
    )


def _latest_end_s(
    snapshot: collected_accounts.AccountSnapshot,
    collected: collected_accounts.CollectedAccounts,
    now_s: float,
) -> float:
    # The latest time at which the incarnation may still have counted.
    account_id = snapshot.account_id
    successors = [
        other.account_id.started_at_s
        for other in collected.snapshots.values()
        if other.account_id.instance == account_id.instance
        and other.account_id.started_at_s > account_id.started_at_s
    ]
    if successors:
        return min(successors)
    departed = collected.departed.get(account_id.instance)
    return departed.gone_at_s if departed else now_s
