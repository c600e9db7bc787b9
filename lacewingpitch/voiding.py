"""Control messages that void, query or cancel an attempt.

To void an attempt is to have its sidecar promise never to run it.  This
proves that the attempt did not run and will not run.
"""

from lacewingpitch import ledger
from lacewingpitch import link


class VoidRequest(link.Message, frozen=True):
    """Requests that a sidecar void an attempt, or report its state.

    Parameters
    ----------
    instance
        Sidecar to which the attempt was sent; empty in messages of
        earlier versions.
    only_asks
        Whether to report the state without voiding the attempt.  An
        unknown attempt is then reported as ``FORGOTTEN``.
    """

    attempt_id: str
    instance: str = ''
    only_asks: bool = False


class VoidReply(link.Message, frozen=True):
    """State of the attempt; only ``VOID`` proves that it did not run."""

    state: ledger.RunState


class CancelRequest(link.Message, frozen=True):
    """Cancels an attempt whose answer is no longer needed."""

    attempt_id: str


class CancelReply(link.Message, frozen=True):
    """Whether the attempt was cancelled, which only repeatable ones are."""

    cancelled: bool


def attempt_id(request_id: str, attempt: int) -> str:
    """Return the id of one attempt of a request."""
    return f'{request_id}.{attempt}'
