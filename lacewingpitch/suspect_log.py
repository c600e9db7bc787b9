"""Lines of the log about what is refused and isolated."""

from collections.abc import Iterable

import structlog

from lacewingpitch import blame

_MAX_SHOWN = 8
log = structlog.get_logger(__name__)


def shown(keys: Iterable[str]) -> list[str]:
    """Return the first of several keys, for a line of the log."""
    return sorted(keys)[:_MAX_SHOWN]


def log_changes(before: blame.Assessment, after: blame.Assessment) -> None:
    """Log what is refused, isolated and free again."""
    for group in after.groups:
        if group not in before.groups:
            log.warning(
                'suspects refused',
                suspects=shown(group.keys),
                suspect_count=len(group.keys),
                crashes=group.crash_count,
            )
    isolated = after.isolated - before.isolated
    freed = before.keys - after.keys
    for event, keys in (
        ('suspects isolated', isolated),
        ('suspects free again', freed),
    ):
        if keys:
            log.info(event, suspects=shown(keys), suspect_count=len(keys))
