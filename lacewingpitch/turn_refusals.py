"""Refusals of requests that get no turn at an engine."""

from collections.abc import Collection

import structlog

from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch import turn_spec

# A restarting engine is listed again once it has started.
_NO_ENGINE_RETRY_AFTER_S = 1.5
log = structlog.get_logger(__name__)


def earliest_retry(
    refusals: Collection[errors.RefusalError],
) -> errors.RefusalError:
    """Return the refusal that allows the earliest retry."""
    if not refusals:
        return errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER,
            'no engine can be reached',
            retry_after_s=_NO_ENGINE_RETRY_AFTER_S,
        )
    return min(refusals, key=lambda error: error.retry_after_s or 0.0)


def unusable_reply(
    server: backend_list.BackendServer,
    spec: turn_spec.TurnSpec,
    error: errors.LinkError,
) -> errors.RefusalError:
    """Return the refusal of a sidecar that replied, and with no turn."""
    log.warning(
        'sidecar reply unusable',
        request_id=spec.run_id,
        backend_server=server.name,
        error=str(error),
    )
    return earliest_retry([])
