"""Work orders, refusals and headers between entries and sidecars.

A work order is the signed description of one attempt, which an entry
instance sends to a sidecar in a header beside the request's body.
"""

import base64

import msgspec

from lacewingpitch import contract
from lacewingpitch import errors
from lacewingpitch import link

ORDER_HEADER = 'Lacewingpitch-Order'
REQUEST_ID_HEADER = 'Lacewingpitch-Request-Id'
OUTCOME_HEADER = 'Lacewingpitch-Outcome'
KIND_HEADER = 'Lacewingpitch-Error-Kind'
ATTEMPT_HEADER = 'Lacewingpitch-Attempt'
HINT_HEADER = 'Lacewingpitch-Hint'
LOAD_STALL_HEADER = 'Lacewingpitch-Load-Stall-S'
# The header's value is the revision of the list in which the sidecar
# leaves, or LEAVING_UNLISTED if it drains on its own.
LEAVING_HEADER = 'Lacewingpitch-Leaving'
LEAVING_UNLISTED = 'true'


class WorkOrder(link.Message, frozen=True):
    """One attempt of a request, as an entry sends it to a sidecar.

    Parameters
    ----------
    request_id
        UUIDv7 of the request, the same for all its attempts.
    attempt
        Number of the attempt, counted from 1.
    path
        Path at the backend server, including the query.
    adapter
        Adapter that the contract grants; ``None`` for a plain service.
    deadline_s
        Seconds left until the answer must start.  The time is relative
        because the clocks of two instances differ.
    idempotency_key
        The caller's key, a UUIDv7; empty if the caller sent none.
    region
        The customer's region, which holds the voters on its keys.
    after_events
        Number of events already received of a stream that is resumed.
    queued_requests
        Maximum number of requests of the customer that wait at one
        sidecar.
    """

    request_id: str
    attempt: int
    customer: str
    contract_revision: int
    urgency: contract.Urgency
    weight: float
    deadline_s: float
    method: str
    path: str
    repeatable: bool
    adapter: contract.AdapterGrant | None = None
    service: str = ''
    stream: bool = False
    idempotency_key: str = ''
    region: str = ''
    max_tokens: int = 0
    after_events: int = 0
    queued_requests: int = 32


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Reason and outcome of a request that has no complete answer."""

    kind: errors.ErrorKind
    outcome: errors.Outcome
    detail: str
    retry_after_s: float | None = None


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of every refusal, for callers and peers alike."""

    error: Refusal


def encode_order(order: WorkOrder, signer: link.MessageSigner) -> str:
    """Return an order, signed and encoded as the value of a header."""
    return base64.b64encode(signer.sign(order)).decode('ascii')


def decode_order(text: str, signer: link.MessageSigner) -> WorkOrder:
    """Return the order in the value of a header.

    Raises
    ------
    RefusalError
        The value is not an order signed by this deployment.
    """
    try:
        message = signer.verify(base64.b64decode(text, validate=True))
        if not message.has_kind(WorkOrder):
            raise errors.LinkError(f'not an order but {message.kind}')
        return message.decode(WorkOrder)
    except (ValueError, RecursionError, errors.LinkError) as error:
        raise errors.RefusalError(
            errors.ErrorKind.FOREIGN_PROCESS, str(error)
        ) from error


def decode_error(body: bytes) -> ErrorBody | None:
    """Return the error in a body, or ``None`` if it contains none."""
    try:
        return msgspec.json.decode(body, type=ErrorBody)
    except (msgspec.DecodeError, RecursionError):
        return None


def refusal_from_error(error: errors.RefusalError) -> Refusal:
    """Return the refusal that reports an error to a caller or peer."""
    return Refusal(
        kind=error.kind,
        outcome=error.outcome,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
    )


def error_from_refusal(refusal: Refusal) -> errors.RefusalError:
    """Return the error that a peer's refusal reports."""
    return errors.RefusalError(
        refusal.kind,
        refusal.detail,
        retry_after_s=refusal.retry_after_s,
        outcome=refusal.outcome,
    )
