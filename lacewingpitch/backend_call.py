"""One request to one backend server, and what can be known of its end."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import functools
from typing import Protocol

from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch import organisation as organisation_module
from lacewingpitch import request_fingerprint
from lacewingpitch import routing

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """One request of a caller, whole.

    Parameters
    ----------
    request_id
        The caller's id of it; each attempt of a caller has its own.
    target
        Path and query, unchanged.
    headers
        Those that are passed on.
    model, adapter
        What it is to run on; empty where it names none.
    prompt_tokens
        Tokens of its prompt; 0 if it does not say.
    max_tokens
        Most tokens of its answer; 0 if it does not say.
    expected_tokens
        Tokens that its caller expects of the answer; 0 if it does not say.
    last_event_id
        Last event that the caller has of a stream to be resumed; 0 if it
        has none.
    deadline_at_s
        Monotonic time by which the caller or the route wants the final
        answer.
    organisation
        Whose request it is; ``None`` if nobody's.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: routing.Route
    arrived_at_s: float
    deadline_at_s: float
    model: str = ''
    adapter: str = ''
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    last_event_id: int = 0
    organisation: organisation_module.Organisation | None = None

    @property
    def rank(self) -> int:
        """Return its urgency; 0 is the most urgent."""
        if self.organisation is None or self.organisation.rank is None:
            return self.route.rank
        return self.organisation.rank

    @functools.cached_property
    def fingerprint(self) -> str:
        """Return what is the same for each attempt of the request."""
        return request_fingerprint.of(
            self.method,
            self.target,
            self.organisation.name if self.organisation else '',
            self.body,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BackendCall:
    """One sending of a request.

    Parameters
    ----------
    adapter_version
        Version that the engine must hold; 0 if any will do.
    last_event_id
        Event after which the stream is to go on; 0 for all of it.
    deadline_at_s
        Monotonic time at which the backend server may stop work.
    """

    request: CallerRequest
    server: backend_list.BackendServer
    adapter_version: int
    last_event_id: int
    deadline_at_s: float

    @property
    def may_share_connection(self) -> bool:
        """Whether it may be sent on a connection that was used before.

        A backend server may close such a connection as the request is on
        its way, or fall silent on it.  Whether the request ran is not known
        then: what may run once at most, or whose stream cannot go on
        elsewhere, would be lost.
        """
        return self.request.route.is_idempotent


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAnswer:
    """Head of an answer, and its body as it comes.

    Parameters
    ----------
    is_leaving
        Whether the backend server says that it takes no more requests.
    chunks
        Raises `errors.AnswerLostError` where the body breaks off.
    """

    status: int
    headers: Headers
    is_leaving: bool
    chunks: AsyncIterator[bytes]


class BackendClient(Protocol):
    """Sends requests to backend servers."""

    def send(
        self, call: BackendCall
    ) -> contextlib.AbstractAsyncContextManager[BackendAnswer]:
        """Send a request; leaving the context ends what is left of it.

        Raises
        ------
        NotSentError
            There was no connection, so that nothing was sent.
        NotRunError
            The backend server says that it did not run the request.
        StaleConnectionError
            The connection was kept, and is closed.
        AnswerLostError
            The request may have run, and there is no whole answer.
        """
        ...


class Delivery(Protocol):
    """The way of one answer to its caller."""

    @property
    def has_begun(self) -> bool:
        """Whether the head of an answer has been sent."""
        ...

    async def send_whole(self, answer: BackendAnswer, body: bytes) -> None:
        """Send a whole answer."""
        ...

    async def begin(self, answer: BackendAnswer) -> None:
        """Send the head of a stream."""
        ...

    async def write(self, events: bytes) -> None:
        """Send whole events of a stream."""
        ...

    async def finish(self) -> None:
        """Mark a stream as complete."""
        ...


class NotSentError(errors.PlatformError):
    """There was no connection, so that nothing was sent.

    Parameters
    ----------
    is_refused
        Whether nobody listens at the address.
    """

    def __init__(self, detail: str, *, is_refused: bool = False) -> None:
        super().__init__(detail)
        self.is_refused = is_refused


class StaleConnectionError(errors.PlatformError):
    """A kept connection was closed as a request was sent on it.

    It tells nothing of the backend server, which closes connections that
    are idle; whether the request ran is not known.
    """


class NotRunError(errors.PlatformError):
    """The backend server says that it did not run the request.

    Parameters
    ----------
    is_other_server
        Whether another incarnation, or another version, than the one
        that was meant has answered.
    """

    def __init__(self, detail: str, *, is_other_server: bool) -> None:
        super().__init__(detail)
        self.is_other_server = is_other_server


class AnswerLostError(errors.PlatformError):
    """The request may have run, and there is no whole answer.

    Parameters
    ----------
    is_silence
        Whether nothing came for too long, rather than something wrong.
    """

    def __init__(self, detail: str, *, is_silence: bool = False) -> None:
        super().__init__(detail)
        self.is_silence = is_silence


def is_cut(error: errors.PlatformError) -> bool:
    """Whether a connection ended before the answer that was due on it."""
    if isinstance(error, AnswerLostError):
        return not error.is_silence
    return isinstance(error, StaleConnectionError)
