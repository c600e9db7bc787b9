"""How far a request got, and who ended a connection without an answer."""

import asyncio
import enum

from lacewingpitch import errors

# Message of the cancellation of requests that a drain has left over.
DRAIN_ENDED = 'the drain has ended'


class Step(enum.StrEnum):
    """The last step that a request has reached."""

    HEAD_READ = 'head read'
    BODY_READ = 'body read'
    SENT = 'sent'
    ANSWERING = 'answering'


class ClosedBy(enum.StrEnum):
    """Who ended the connection of a request before its answer was whole."""

    NOBODY = ''
    CALLER = 'caller'
    ENTRY = 'entry'


def is_cancelled() -> bool:
    """Whether the task of the current request is being cancelled.

    A `CancelledError` without it comes from something that the request
    waited for, and which another task has cancelled.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def is_of_connection(error: BaseException) -> bool:
    """Whether an error may come from the end of a caller's connection."""
    return isinstance(error, ConnectionError | TimeoutError)


def is_of_drain(error: BaseException) -> bool:
    """Whether a request is cancelled as the drain of its process ends."""
    return isinstance(error, asyncio.CancelledError) and error.args == (
        DRAIN_ENDED,
    )


def cancellation_event(error: asyncio.CancelledError) -> str:
    """Return the log event of a request that is cancelled."""
    if is_of_drain(error):
        return 'left over by the drain'
    return 'caller disconnected' if is_cancelled() else 'wait cancelled'


def drain_refusal(step: Step) -> errors.RefusalError:
    """Return the refusal of a request that a drain has left over."""
    if step in (Step.HEAD_READ, Step.BODY_READ):
        return errors.RefusalError(
            errors.ErrorKind.DRAINING,
            'this instance is shutting down',
            retry_after_s=0.0,
        )
    return errors.RefusalError(
        errors.ErrorKind.OUTCOME_UNKNOWN, 'this instance has shut down'
    )
