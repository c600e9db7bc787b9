"""Asking a sidecar never to run an attempt, the proof of "not run"."""

from lacewingpitch import ledger
from lacewingpitch import link


class VoidRequest(link.Message, frozen=True):
    """Asks a sidecar to promise never to run an attempt.

    Parameters
    ----------
    instance
        The sidecar that the attempt was sent to; empty from a process
        of an earlier version.
    only_asks
        Whether the attempt is left as it is; one that is not known of
        counts as ``FORGOTTEN``.
    """

    attempt_id: str
    instance: str = ''
    only_asks: bool = False


class VoidReply(link.Message, frozen=True):
    """How far the attempt got; only ``VOID`` proves it did not run."""

    state: ledger.RunState


class CancelRequest(link.Message, frozen=True):
    """Tells a sidecar that nobody waits for an attempt's answer."""

    attempt_id: str


class CancelReply(link.Message, frozen=True):
    """Whether the attempt was stopped; one not repeatable runs on."""

    cancelled: bool


def attempt_id(request_id: str, attempt: int) -> str:
    """Return the name of one attempt at one request."""
    return f'{request_id}.{attempt}'
