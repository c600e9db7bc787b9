"""Which suspect requests one engine takes."""

from collections.abc import Iterable

from lacewingpitch import backend_list
from lacewingpitch import crash_record
from lacewingpitch import errors
from lacewingpitch import rendezvous
from lacewingpitch import turn_lease
from lacewingpitch import turn_messages

# A request that crashes an engine does so as it begins to run.  One that
# has had its turn for longer is no suspect to those that come after it.
_PROBATION_S = 1.5
# Another one has its turn, and is done within its probation.
_RETRY_AFTER_S = 1.0
# Its entry has learned by then what is known of the request.
_UNKNOWN_RETRY_S = 0.2
_KEY = 'isolation'


class Isolation:
    """Refuses requests that crash engines, and lets suspects run one by one.

    Load it answers: several suspects after a crash, one of which is to
    blame.  Run together, all would be cut by the next crash, and none of
    the others could be told from it.

    Parameters
    ----------
    record
        What is known of suspect requests.
    """

    def __init__(self, record: crash_record.CrashRecord) -> None:
        self._record = record

    def refusal(
        self,
        request: turn_messages.TurnRequest,
        turns: Iterable[turn_lease.TurnLease],
        now_s: float,
    ) -> errors.RefusalError | None:
        """Return why a request gets no turn now; ``None`` if it may.

        Parameters
        ----------
        turns
            All that are granted or waited for.
        """
        handling = self._record.handling(request.fingerprint)
        if handling is crash_record.Handling.REFUSED:
            return refused(self._record, request.fingerprint)
        if not request.is_isolated:
            if handling is crash_record.Handling.FREE:
                return None
            return to_isolate()
        if any(_is_on_probation(turn, now_s) for turn in turns):
            return errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL,
                'another suspect request runs',
                retry_after_s=_RETRY_AFTER_S,
            )
        return None


def choose(
    servers: Iterable[backend_list.BackendServer],
) -> backend_list.BackendServer | None:
    """Return the one server to which suspect requests go.

    All entries with the same list find the same one.
    """
    return max(
        servers,
        key=lambda server: rendezvous.score(
            _KEY, f'{server.ip}:{server.port}'
        ),
        default=None,
    )


def to_isolate() -> errors.RefusalError:
    """Return the answer to a suspect that was not known to be one."""
    return errors.RefusalError(
        errors.ErrorKind.QUEUE_FULL,
        'the request is to run isolated',
        retry_after_s=_UNKNOWN_RETRY_S,
    )


def refused(
    record: crash_record.CrashRecord, fingerprint: str
) -> errors.RefusalError:
    """Return the final answer to a request that crashes backend servers."""
    count = len(record.servers(fingerprint))
    return errors.RefusalError(
        errors.ErrorKind.CRASHES_BACKEND_SERVERS,
        f'{count} backend servers crashed as they began to run this request',
    )


def _is_on_probation(turn: turn_lease.TurnLease, now_s: float) -> bool:
    if not turn.request.is_isolated:
        return False
    granted_at_s = turn.granted_at_s
    return granted_at_s is None or now_s - granted_at_s < _PROBATION_S
