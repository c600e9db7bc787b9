"""Reads the answer of a backend server, and no longer than it may take."""

from collections.abc import AsyncIterator, Iterator
import contextlib

from lacewingpitch import backend_call
from lacewingpitch import event_splitter
from lacewingpitch import idle_timeout

# An idempotent request is taken elsewhere when its answer stays away for
# this many times its target, so that a slow answer is seldom run twice.
_SILENT_TARGETS = 4.0
_LEAST_SILENCE_S = 0.4
# The first event of a stream waits for its prompt to be read among those
# of others; callers give up after four times the target.
_FIRST_EVENT_TARGETS = 2.0
# Longer pauses than this are late anyway, and a caller gives up after
# eight times the longest pause that is on time.
_SILENT_GAPS = 4.0
_LEAST_GAP_SILENCE_S = 1.0
# What may not run twice is waited for as long as the request may last.
_UNLIMITED_S = 3600.0
_MAX_ANSWER_BYTES = 8 << 20


def first_silence_s(request: backend_call.CallerRequest) -> float:
    """Return how long the beginning of an answer may stay away."""
    route = request.route
    if not route.is_idempotent:
        return _UNLIMITED_S
    if route.is_stream:
        return _FIRST_EVENT_TARGETS * route.target_latency_s
    return max(_SILENT_TARGETS * route.target_latency_s, _LEAST_SILENCE_S)


def _gap_silence_s(request: backend_call.CallerRequest) -> float:
    """Return how long a stream may pause."""
    route = request.route
    if not route.is_idempotent:
        return _UNLIMITED_S
    return max(_SILENT_GAPS * route.target_gap_s, _LEAST_GAP_SILENCE_S)


@contextlib.contextmanager
def limit_silence(silence: idle_timeout.IdleTimeout) -> Iterator[None]:
    """Take a silence that lasts too long for the loss of the answer.

    Raises
    ------
    AnswerLostError
        The backend server is silent.
    """
    try:
        with silence:
            yield
    except TimeoutError as error:
        raise backend_call.AnswerLostError(
            'the backend server is silent', is_silence=True
        ) from error


async def read_whole(answer: backend_call.BackendAnswer) -> bytes:
    """Return the body of an answer.

    Raises
    ------
    AnswerLostError
        It broke off, or is too large.
    """
    body = bytearray()
    async for chunk in answer.chunks:
        body += chunk
        if len(body) > _MAX_ANSWER_BYTES:
            raise backend_call.AnswerLostError('the answer is too large')
    return bytes(body)


async def whole_events(
    request: backend_call.CallerRequest,
    answer: backend_call.BackendAnswer,
    splitter: event_splitter.EventSplitter,
) -> AsyncIterator[bytes]:
    """Yield the events of a stream, whole and in their order.

    Raises
    ------
    AnswerLostError
        The stream broke off, lacks an event, or pauses for too long.
    """
    chunks = aiter(answer.chunks)
    with contextlib.ExitStack() as exits:
        first = exits.enter_context(
            contextlib.closing(
                idle_timeout.IdleTimeout(first_silence_s(request))
            )
        )
        later = exits.enter_context(
            contextlib.closing(
                idle_timeout.IdleTimeout(_gap_silence_s(request))
            )
        )
        while True:
            with limit_silence(later if splitter.event_count else first):
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            try:
                events = splitter.feed(chunk)
            except event_splitter.EventGapError as error:
                raise backend_call.AnswerLostError(str(error)) from error
            if events:
                yield events
