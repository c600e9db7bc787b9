"""Refusals that report why one attempt at a backend server failed."""

from lacewingpitch import backend_call
from lacewingpitch import errors

# Retry-After of a transient refusal, such as by a server that is full: the
# caller's next attempt finds another server.
TRANSIENT_RETRY_S = 0.1


def refusal_of(error: errors.PlatformError) -> errors.RefusalError:
    """Return the refusal that reports a failed attempt."""
    if isinstance(error, backend_call.NotSentError):
        return errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER,
            'no connection to the backend server',
            retry_after_s=TRANSIENT_RETRY_S,
        )
    if isinstance(error, backend_call.WithheldError):
        return errors.RefusalError(
            errors.ErrorKind.SERVER_BACKOFF,
            'the backend server accepts no requests now',
            retry_after_s=TRANSIENT_RETRY_S,
        )
    if isinstance(error, backend_call.StaleConnectionError):
        return errors.RefusalError(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            f'a reused connection was closed: {error}',
        )
    if isinstance(error, backend_call.NotRunError):
        return errors.RefusalError(
            errors.ErrorKind.QUEUE_FULL,
            f'the backend server did not run it: {error}',
            retry_after_s=TRANSIENT_RETRY_S,
        )
    return errors.RefusalError(
        errors.ErrorKind.OUTCOME_UNKNOWN, f'no complete answer: {error}'
    )
