"""How far a request got, and who ended a connection without an answer."""

import asyncio
import enum


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
