"""Reading of callers' requests."""

from aiohttp import web

from lacewingpitch import backend_call
from lacewingpitch import errors
from lacewingpitch import http_guard
from lacewingpitch import organisation as organisation_module
from lacewingpitch.platform import caller_headers
from lacewingpitch.platform import names
from lacewingpitch import routing

_MS_PER_S = 1000
_BODY_TIMEOUT_S = 10.0


async def read(
    request: web.BaseRequest,
    route: routing.Route,
    organisation: organisation_module.Organisation | None,
    arrived_at_s: float,
    *,
    forwards_key: bool,
) -> backend_call.CallerRequest:
    """Return a request, with its whole body.

    Parameters
    ----------
    arrived_at_s
        Monotonic time from which its deadline counts.
    forwards_key
        Whether its API key is passed on.

    Raises
    ------
    RefusalError
        It has no id, or its body cannot be read.
    """
    request_id = request.headers.get(names.REQUEST_ID, '')
    if not request_id:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, f'no {names.REQUEST_ID} header'
        )
    deadline_ms = caller_headers.number(request, names.DEADLINE_MS)
    limit_s = route.timeout_s
    if deadline_ms:
        limit_s = min(limit_s, deadline_ms / _MS_PER_S)
    body = b''
    if request.body_exists:
        body = await http_guard.read_body(request, _BODY_TIMEOUT_S)
    model, _, adapter = request.headers.get(names.MODEL, '').partition('/')
    prompt_tokens, max_tokens = caller_headers.tokens(request)
    last_event_id = 0
    if route.is_stream:
        last_event_id = caller_headers.number(request, names.LAST_EVENT_ID)
    return backend_call.CallerRequest(
        request_id=request_id,
        method=request.method,
        target=request.raw_path,
        headers=caller_headers.forwarded(
            request,
            has_event_id=last_event_id > 0,
            forwards_key=forwards_key,
        ),
        body=body,
        route=route,
        arrived_at_s=arrived_at_s,
        deadline_at_s=arrived_at_s + limit_s,
        model=model,
        adapter=adapter,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        expected_tokens=caller_headers.expected_tokens(request),
        shared_parts=caller_headers.shared_parts(request),
        last_event_id=last_event_id,
        organisation=organisation,
    )
