"""HTTP format of refusals, error events and the ends of streams."""

import math

from aiohttp import web
import msgspec

from lacewingpitch import errors
from lacewingpitch import work

STREAM_END = b'data: [DONE]\n\n'
EVENT_END = b'\n\n'


def refusal_response(
    error: errors.RefusalError, request_id: str
) -> web.Response:
    """Return the HTTP response to a request that is refused."""
    headers = {
        work.REQUEST_ID_HEADER: request_id,
        work.OUTCOME_HEADER: error.outcome.value,
        work.KIND_HEADER: error.kind.value,
    }
    if error.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, math.ceil(error.retry_after_s)))
    return web.Response(
        status=error.status,
        body=error_json(error),
        content_type='application/json',
        headers=headers,
    )


def error_json(error: errors.RefusalError) -> bytes:
    """Return the JSON body of a refusal."""
    return msgspec.json.encode(
        work.ErrorBody(error=work.refusal_from_error(error))
    )


def error_event(error: errors.RefusalError) -> bytes:
    """Return the event that ends a stream that cannot be completed."""
    return b'event: error\ndata: ' + error_json(error) + EVENT_END
