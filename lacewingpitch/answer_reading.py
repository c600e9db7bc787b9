"""Reading of backend servers' answers, with timeouts and size limits."""

from collections.abc import AsyncIterator, Iterator
import contextlib

from lacewingpitch import backend_call
from lacewingpitch import event_splitter
from lacewingpitch import idle_timeout
from lacewingpitch import standby_turn

# An idempotent request may move to another server if its answer takes longer
# than this multiple of its target latency, so that few slow requests run
# twice.
_ANSWER_TIMEOUT_RATIO = 4.0
_MIN_ANSWER_TIMEOUT_S = 0.4
# As a multiple of the target latency.  The first event of a stream waits for
# the prefill of its prompt among others; callers give up after four times
# the target.
_FIRST_EVENT_TIMEOUT_RATIO = 2.0
# As a multiple of the target gap.  Longer pauses are late anyway, and callers
# give up after eight times the target gap.
_GAP_TIMEOUT_RATIO = 4.0
_MIN_GAP_TIMEOUT_S = 1.5
# Of the time for which callers wait; the rest is for a start elsewhere.
_PATIENCE_RATIO = 0.5
# Without another server to move to, an answer is waited for until the
# request's deadline.
_UNLIMITED_S = 3600.0
MAX_ANSWER_BYTES = 8 << 20


def first_byte_timeout(
    request: backend_call.CallerRequest,
    standby: standby_turn.StandbyTurn | None,
) -> idle_timeout.IdleTimeout:
    """Return the timeout until the beginning of an answer."""
    route = request.route
    if standby is None or not route.is_idempotent:
        return idle_timeout.IdleTimeout(_UNLIMITED_S)
    if route.is_stream:
        limit_s = _FIRST_EVENT_TIMEOUT_RATIO * route.target_latency_s
    else:
        limit_s = max(
            _ANSWER_TIMEOUT_RATIO * route.target_latency_s,
            _MIN_ANSWER_TIMEOUT_S,
        )
    return idle_timeout.IdleTimeout(limit_s, standby)


def _gap_timeout(
    request: backend_call.CallerRequest,
    standby: standby_turn.StandbyTurn | None,
) -> idle_timeout.IdleTimeout:
    """Return the timeout between two events of a stream."""
    route = request.route
    if standby is None or not route.is_idempotent:
        return idle_timeout.IdleTimeout(_UNLIMITED_S)
    limit_s = max(
        _GAP_TIMEOUT_RATIO * route.target_gap_s,
        min(_MIN_GAP_TIMEOUT_S, _PATIENCE_RATIO * route.caller_timeout_s),
    )
    return idle_timeout.IdleTimeout(limit_s, standby)


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
        if len(body) > MAX_ANSWER_BYTES:
            raise backend_call.AnswerLostError('the answer is too large')
    return bytes(body)


async def read_events(
    request: backend_call.CallerRequest,
    answer: backend_call.BackendAnswer,
    splitter: event_splitter.EventSplitter,
    standby: standby_turn.StandbyTurn | None = None,
) -> AsyncIterator[bytes]:
    """Yield complete events of a stream, in their order.

    Parameters
    ----------
    standby
        Looks for another server during a long pause; ``None`` to wait.

    Raises
    ------
    AnswerLostError
        The stream broke off, lacks an event, or pauses while another
        server can resume it.
    """
    chunks = aiter(answer.chunks)
    with contextlib.ExitStack() as exits:
        first = exits.enter_context(
            contextlib.closing(first_byte_timeout(request, standby))
        )
        later = exits.enter_context(
            contextlib.closing(_gap_timeout(request, standby))
        )
        while True:
            with raise_on_timeout(later if splitter.event_count else first):
                events = await _next_events(chunks, splitter)
            if events is None:
                return
            if events:
                yield events


async def _next_events(
    chunks: AsyncIterator[bytes], splitter: event_splitter.EventSplitter
) -> bytes | None:
    """Return the events that are complete next; ``None`` at the end.

    Events that were passed on before are left out.  A chunk without the end
    of an event is no sign that the server goes on.
    """
    feed_count = splitter.feed_count
    while True:
        chunk = await anext(chunks, None)
        if chunk is None:
            return None
        try:
            events = splitter.feed(chunk)
        except event_splitter.EventGapError as error:
            raise backend_call.AnswerLostError(str(error)) from error
        if splitter.feed_count > feed_count:
            return events
