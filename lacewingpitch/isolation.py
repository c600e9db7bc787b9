"""Isolation of requests that are suspected of crashing engines."""

from collections.abc import Iterable

from lacewingpitch import backend_list
from lacewingpitch import blame
from lacewingpitch import crash_record
from lacewingpitch import errors
from lacewingpitch import rendezvous
from lacewingpitch import suspect_keys
from lacewingpitch import turn_lease
from lacewingpitch import turn_messages

# A request that crashes an engine does so as it begins to run.  One that has
# held its turn for longer does not keep the next suspect waiting.
_PROBATION_S = 1.5
# The suspect that is running ends its probation within _PROBATION_S.
_RETRY_AFTER_S = 1.0
# By then the entry has merged the crashes that the sidecar has sent it.
_UNKNOWN_RETRY_S = 0.2
_KEY = 'isolation'


class Isolation:
    """Refuses requests that crash engines, and runs suspects one at a time.

    A crash leaves several suspects, one of which has caused it.  If they
    ran together, the next crash would interrupt all of them, and the
    innocent ones could not be told from the cause.

    Parameters
    ----------
    record
        Crashes by request.
    """

    def __init__(self, record: crash_record.CrashRecord) -> None:
        self._record = record

    def refusal(
        self,
        request: turn_messages.TurnRequest,
        turns: Iterable[turn_lease.TurnLease],
        now_s: float,
    ) -> errors.RefusalError | None:
        """Return why a request gets no turn now; ``None`` if it may have one.

        Parameters
        ----------
        turns
            All turns of the engine, both granted and queued.
        """
        handling = self._record.handling(request.fingerprint)
        if handling is blame.Handling.REFUSED:
            return barred_refusal(self._record, request.fingerprint)
        if not request.is_isolated:
            if handling is blame.Handling.FREE:
                return None
            return isolation_refusal()
        if any(_is_on_probation(turn, now_s) for turn in turns):
            return errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL,
                'another suspect request is running',
                retry_after_s=_RETRY_AFTER_S,
            )
        return None


def select_server(
    servers: Iterable[backend_list.BackendServer],
) -> backend_list.BackendServer | None:
    """Return the server that suspect requests go to; ``None`` without any.

    Rendezvous hashing lets all entries with the same list choose the same
    server.
    """
    return max(
        servers,
        key=lambda server: rendezvous.score(
            _KEY, f'{server.ip}:{server.port}'
        ),
        default=None,
    )


def isolation_refusal() -> errors.RefusalError:
    """Return the refusal of a suspect that its entry has not isolated."""
    return errors.RefusalError(
        errors.ErrorKind.QUEUE_FULL,
        'the request must run isolated',
        retry_after_s=_UNKNOWN_RETRY_S,
    )


def barred_refusal(
    record: crash_record.CrashRecord, key: str
) -> errors.RefusalError:
    """Return the final refusal of a request that crashes backend servers.

    Parameters
    ----------
    key
        Key of the request, or of the part of its prompt, that is refused.
    """
    count = len(record.crashed_servers(key))
    what = 'this request'
    if suspect_keys.is_part(key):
        what = 'requests with a part of this prompt'
    return errors.RefusalError(
        errors.ErrorKind.CRASHES_BACKEND_SERVERS,
        f'{count} backend servers crashed as they began to run {what}',
    )


def _is_on_probation(turn: turn_lease.TurnLease, now_s: float) -> bool:
    if not turn.request.is_isolated:
        return False
    granted_at_s = turn.granted_at_s
    return granted_at_s is None or now_s - granted_at_s < _PROBATION_S
