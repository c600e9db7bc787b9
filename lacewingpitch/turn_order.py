"""Orders of turns, as the turn queue schedules them."""

from lacewingpitch import contract
from lacewingpitch import turn_lease
from lacewingpitch import work

_MS_PER_S = 1000
# Far more than a healthy engine has queued: requests that would miss their
# deadline are refused earlier, by their estimated wait.
_MAX_QUEUED_PER_FLOW = 256


def work_order(turn: turn_lease.TurnLease, name: str) -> work.WorkOrder:
    """Return the order of a turn.

    The queue schedules flows, that is the routes of organisations, as it
    schedules customers with contracts: each flow gets its share of the
    turns, and urgent routes go ahead.

    Parameters
    ----------
    name
        Slot name of the adapter; empty for the base model alone.
    """
    request = turn.request
    urgency = contract.Urgency.STANDARD
    if not request.rank:
        urgency = contract.Urgency.INTERACTIVE
    return work.WorkOrder(
        request_id=request.run_id,
        attempt=1,
        customer=request.flow,
        contract_revision=0,
        urgency=urgency,
        weight=request.weight,
        deadline_s=request.start_within_ms / _MS_PER_S - turn.put_off_s,
        method='',
        path=name,
        repeatable=False,
        max_tokens=request.max_tokens,
        queued_requests=_MAX_QUEUED_PER_FLOW,
    )
