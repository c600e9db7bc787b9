"""Requirements of callers' requests for their turns at engines."""

from lacewingpitch import backend_call
from lacewingpitch import request_history
from lacewingpitch import turn_spec


def new_spec(
    request: backend_call.CallerRequest,
    history: request_history.RequestHistory,
    service: str,
    version: int,
    search: int = 0,
) -> turn_spec.TurnSpec:
    """Return what the next attempt of a request requires of a turn.

    Parameters
    ----------
    version
        Lowest version of the adapter that it may run on; 0 for any.
    search
        Number of the search during the attempt before; 0 for none.
    """
    caller = request.organisation
    return turn_spec.TurnSpec(
        run_id=request.request_id,
        attempt=history.sent_count + history.unreached_count + 1,
        search=search,
        service=service,
        model=request.model,
        adapter=request.adapter,
        version=version,
        route=request.route.name,
        rank=request.rank,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        expected_tokens=request.expected_tokens,
        start_by_s=history.start_by_s(request),
        target_at_s=history.target_at_s(request),
        deadline_at_s=request.deadline_at_s,
        organisation=caller.name if caller else '',
        weight=caller.weight if caller else 1.0,
        fingerprint=request.fingerprint,
        gap_s=request.route.target_gap_s,
        shared_parts=request.shared_parts,
    )
