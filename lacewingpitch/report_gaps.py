"""What a report may lack: whose counts, and for which time."""

from collections.abc import Iterable

import msgspec

from lacewingpitch import account_query
from lacewingpitch import account_readings
from lacewingpitch import live_list


class Gap(msgspec.Struct, frozen=True, kw_only=True):
    """What the report may lack: whose counts, from when until when."""

    instance: str
    availability_zone: str
    from_s: float | None
    to_s: float | None
    reason: str


def find_gaps(
    found: account_readings.Readings,
    listed: list[live_list.Instance],
    now_s: float,
) -> Iterable[Gap]:
    """Return what a report may lack.

    A report that shows too little and does not say so is worse than
    none: whoever it is handed to takes it for the whole account.
    """
    names = {entry.name for entry in listed}
    yield from _unread_parts(found, names, now_s)
    known = found.reached() | {
        reading.account_id.instance for reading in found.readings.values()
    }
    for entry in listed:
        if entry.name not in known:
            yield _unread_listed(entry, now_s)
    for gone in found.departed.values():
        if gone.instance not in known and gone.instance not in names:
            yield _unread_departed(gone)


def _unread_parts(
    found: account_readings.Readings, names: set[str], now_s: float
) -> Iterable[Gap]:
    for reading in found.readings.values():
        if reading.is_direct:
            continue
        is_current = _is_latest(reading, found)
        unreached = is_current and reading.account_id.instance in names
        if reading.is_final and not unreached:
            continue
        yield _gap_of(reading, found, unreached, now_s)


def _unread_listed(entry: live_list.Instance, now_s: float) -> Gap:
    return Gap(
        instance=entry.name,
        availability_zone=entry.availability_zone,
        from_s=entry.started_at_s or None,
        to_s=now_s,
        reason='not reached, and no copy of its account was found',
    )


def _unread_departed(gone: account_query.Departed) -> Gap:
    return Gap(
        instance=gone.instance,
        availability_zone=gone.availability_zone,
        from_s=gone.started_at_s or None,
        to_s=gone.gone_at_s,
        reason='ended, and no copy of its account was found',
    )


def _gap_of(
    reading: account_readings.Reading,
    found: account_readings.Readings,
    unreached: bool,
    now_s: float,
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


def _is_latest(
    reading: account_readings.Reading, found: account_readings.Readings
) -> bool:
    return not any(
        other.account_id.instance == reading.account_id.instance
        and other.account_id.started_at_s > reading.account_id.started_at_s
        for other in found.readings.values()
    )


def _ended_before_s(
    reading: account_readings.Reading,
    found: account_readings.Readings,
    now_s: float,
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
