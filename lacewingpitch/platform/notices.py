"""Decoding of what backend servers say about themselves in answers."""

import math

import aiohttp
import structlog

from lacewingpitch import errors
from lacewingpitch.platform import names
from lacewingpitch.platform import wire
from lacewingpitch import server_notice

# Statuses of a server that turns a request away.
_BACKOFF_STATUSES = frozenset({429, 503})
_LEAVING = '1'
log = structlog.get_logger(__name__)


def decode_notice(
    response: aiohttp.ClientResponse, server: str
) -> server_notice.ServerNotice:
    """Return what a response says about its server.

    An invalid value is logged, and counts as absent.

    Parameters
    ----------
    server
        Name of the server, for the log.
    """
    return server_notice.ServerNotice(
        limit_per_s=_limit_per_s(response, server),
        is_leaving=_is_leaving(response, server),
        backoff_s=_backoff_s(response, server),
    )


def _limit_per_s(
    response: aiohttp.ClientResponse, server: str
) -> float | None:
    try:
        return wire.decode_server_limit(response.headers)
    except errors.PlatformError as error:
        _log_invalid(names.SERVER_LIMIT, str(error), server)
        return None


def _is_leaving(response: aiohttp.ClientResponse, server: str) -> bool:
    text = response.headers.get(names.SERVER_LEAVING)
    if text is None:
        return False
    if text != _LEAVING:
        _log_invalid(names.SERVER_LEAVING, text, server)
    return text == _LEAVING


def _backoff_s(response: aiohttp.ClientResponse, server: str) -> float:
    text = response.headers.get(names.RETRY_AFTER)
    if text is None or response.status not in _BACKOFF_STATUSES:
        return 0.0
    try:
        backoff_s = float(text)
    except ValueError:
        backoff_s = math.nan
    if not backoff_s >= 0.0:
        _log_invalid(names.RETRY_AFTER, text, server)
        return 0.0
    return backoff_s


def _log_invalid(header: str, value: str, server: str) -> None:
    log.warning(
        'invalid header of a backend server',
        header=header,
        value=value[:80],
        backend_server=server,
    )
