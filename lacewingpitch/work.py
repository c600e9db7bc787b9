"""What an entry instance and a sidecar tell each other of a request."""

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
# The revision of the list by which a sidecar leaves, or the word below.
LEAVING_HEADER = 'Lacewingpitch-Leaving'
LEAVING_UNLISTED = 'true'


class WorkOrder(link.Message, frozen=True):
    """One attempt at one request, as an entry sends it to a sidecar.

    Parameters
    ----------
    request_id
        UUIDv7 of the request, the same for all its attempts.
    attempt
        Counts the attempts of this request from 1.
    path
        Path at the backend server, with its query.
    adapter
        Grant that the contract names; ``None`` for a plain service.
    deadline_s
        Seconds left until the answer must have started.  It is relative,
        since the clocks of two instances differ.
    idempotency_key
        The caller's key, a UUIDv7; empty if it gave none.
    region
        The customer's, where the voters on its keys are.
    after_events
        How many events of a stream that is resumed have arrived.
    queued_requests
        Requests of the customer that may wait at one sidecar.
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
    """The body of an answer that is not whole."""

    kind: errors.ErrorKind
    outcome: errors.Outcome
    detail: str
    retry_after_s: float | None = None


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of every refusal, in the shape callers know."""

    error: Refusal


def encode_order(order: WorkOrder, signer: link.MessageSigner) -> str:
    """Return a signed order as the text of a header."""
    return base64.b64encode(signer.sign(order)).decode('ascii')


def decode_order(text: str, signer: link.MessageSigner) -> WorkOrder:
    """Return the order in a header.

    Raises
    ------
    RefusalError
        It is not an order of this deployment.
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
    """Return the error that a body says, or ``None`` if it says none."""
    try:
        return msgspec.json.decode(body, type=ErrorBody)
    except (msgspec.DecodeError, RecursionError):
        return None


def refusal_from_error(error: errors.RefusalError) -> Refusal:
    """Return what a caller or peer is told of an error."""
    return Refusal(
        kind=error.kind,
        outcome=error.outcome,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
    )


def error_from_refusal(refusal: Refusal) -> errors.RefusalError:
    """Return the error that a peer's refusal stands for."""
    return errors.RefusalError(
        refusal.kind,
        refusal.detail,
        retry_after_s=refusal.retry_after_s,
        outcome=refusal.outcome,
    )
