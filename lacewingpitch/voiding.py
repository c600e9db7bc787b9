"""Asking a sidecar never to run an attempt, the proof of "not run"."""

from lacewingpitch import ledger
from lacewingpitch import link


class VoidRequest(link.Message, frozen=True):
    """Asks a sidecar to promise never to run an attempt."""

    attempt_id: str


class VoidReply(link.Message, frozen=True):
    """How far the attempt got; only ``VOID`` proves it did not run."""

    state: ledger.RunState


def attempt_id(request_id: str, attempt: int) -> str:
    """Return the name of one attempt at one request."""
    return f'{request_id}.{attempt}'
