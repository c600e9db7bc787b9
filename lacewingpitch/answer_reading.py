"""Reading of backend servers' answers, with timeouts and size limits."""

from collections.abc import AsyncIterator, Iterator
import contextlib

from lacewingpitch import backend_call
from lacewingpitch import event_splitter
from lacewingpitch import idle_timeout

# An idempotent request is retried if its answer takes longer than this
# multiple of its target latency, so that few slow requests run twice.
_ANSWER_TIMEOUT_RATIO = 4.0
_MIN_ANSWER_TIMEOUT_S = 0.4
# As a multiple of the target latency.  The first event of a stream waits for
# the prefill of its prompt among others; callers give up after four times
# the target.
_FIRST_EVENT_TIMEOUT_RATIO = 2.0
# As a multiple of the target gap.  Longer pauses are late anyway, and callers
# give up after eight times the target gap.
_GAP_TIMEOUT_RATIO = 4.0
_MIN_GAP_TIMEOUT_S = 1.0
# A request that must not run twice is waited for until its deadline.
_UNLIMITED_S = 3600.0
_MAX_ANSWER_BYTES = 8 << 20


def first_byte_timeout_s(request: backend_call.CallerRequest) -> float:
    """Return the timeout until the beginning of an answer, in seconds."""
    route = request.route
    if not route.is_idempotent:
        return _UNLIMITED_S
    if route.is_stream:
        return _FIRST_EVENT_TIMEOUT_RATIO * route.target_latency_s
    return max(
        _ANSWER_TIMEOUT_RATIO * route.target_latency_s, _MIN_ANSWER_TIMEOUT_S
    )


def _gap_timeout_s(request: backend_call.CallerRequest) -> float:
    """Return the timeout between two events of a stream, in seconds."""
    route = request.route
    if not route.is_idempotent:
        return _UNLIMITED_S
    return max(_GAP_TIMEOUT_RATIO * route.target_gap_s, _MIN_GAP_TIMEOUT_S)


@contextlib.contextmanager
def raise_on_timeout(timeout: idle_timeout.IdleTimeout) -> Iterator[None]:
    """Treat a timeout of a wait as the loss of the answer.

    Raises
    ------
    AnswerLostError
        The backend server does not answer in time.
    """
    try:
        with timeout:
            yield
    except TimeoutError as error:
        raise backend_call.AnswerLostError(
            'the backend server does not answer in time', is_timeout=True
        ) from error


async def read_whole(answer: backend_call.BackendAnswer) -> bytes:
    """Return the body of an answer.

    Raises
    ------
    AnswerLostError
        The body broke off or is too large.
    """
    body = bytearray()
    async for chunk in answer.chunks:
        body += chunk
        if len(body) > _MAX_ANSWER_BYTES:
            raise backend_call.AnswerLostError('the answer is too large')
    return bytes(body)


async def read_events(
    request: backend_call.CallerRequest,
    answer: backend_call.BackendAnswer,
    splitter: event_splitter.EventSplitter,
) -> AsyncIterator[bytes]:
    """Yield complete events of a stream, in their order.

    Raises
    ------
    AnswerLostError
        The stream broke off, lacks an event, or pauses for too long.
    """
    chunks = aiter(answer.chunks)
    with contextlib.ExitStack() as exits:
        first = exits.enter_context(
            contextlib.closing(
                idle_timeout.IdleTimeout(first_byte_timeout_s(request))
            )
        )
        later = exits.enter_context(
            contextlib.closing(
                idle_timeout.IdleTimeout(_gap_timeout_s(request))
            )
        )
        while True:
            with raise_on_timeout(later if splitter.event_count else first):
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            try:
                events = splitter.feed(chunk)
            except event_splitter.EventGapError as error:
                raise backend_call.AnswerLostError(str(error)) from error
            if events:
                yield events
