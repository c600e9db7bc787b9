"""Calls to backend servers: requests, answers, clients and errors."""

from collections.abc import AsyncIterator, Iterable
import contextlib
import dataclasses
import functools
from typing import Protocol

from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch import organisation as organisation_module
from lacewingpitch import request_fingerprint
from lacewingpitch import routing
from lacewingpitch import run_memory
from lacewingpitch import server_notice
from lacewingpitch import suspect_keys

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """One request of a caller, with its whole body.

    Parameters
    ----------
    request_id
        Id set by the caller; differs for each attempt of the caller.
    target
        Path and query, unchanged.
    headers
        Headers to pass on.
    arrived_at_s
        Monotonic time of its arrival.
    deadline_at_s
        Monotonic time by which the caller or the route requires the final
        answer.
    model, adapter
        Model and adapter to run it on; empty if unspecified.
    prompt_tokens
        Number of tokens of its prompt; 0 if unspecified.
    max_tokens
        Maximum number of tokens of its answer; 0 if unspecified.
    expected_tokens
        Number of tokens that its caller expects in the answer; 0 if
        unspecified.
    last_event_id
        Last event of a stream to resume that the caller has received; 0 if
        none.
    organisation
        Organisation that sends it; ``None`` if callers need no API key.
    shared_parts
        Ids of the parts of its prompt that other requests may share; can be
        iterated more than once.
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
    shared_parts: Iterable[str] = ()

    @property
    def rank(self) -> int:
        """Return the rank of its urgency; 0 is the most urgent."""
        if self.organisation is None or self.organisation.rank is None:
            return self.route.rank
        return self.organisation.rank

    @functools.cached_property
    def fingerprint(self) -> str:
        """Return a hash that is the same for each attempt of the caller."""
        return request_fingerprint.compute(
            self.method,
            self.target,
            self.organisation.name if self.organisation else '',
            self.body,
        )

    @property
    def suspect_keys(self) -> suspect_keys.RequestKeys:
        """Return the keys under which crashes of servers are counted."""
        return suspect_keys.RequestKeys(self.fingerprint, self.shared_parts)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendCall:
    """One attempt to run a request on a backend server.

    Parameters
    ----------
    adapter_version
        Version that the engine must hold; 0 for any.
    last_event_id
        Event after which the stream must continue; 0 for the whole stream.
    deadline_at_s
        Monotonic time from which the backend server may stop working on it.
    memory
        Copied memory from which the run continues; ``None`` for a new run.
    is_isolated
        Whether it runs as the only suspect on its server.
    is_retry
        Whether the request was sent before and may have run.
    """

    request: CallerRequest
    server: backend_list.BackendServer
    adapter_version: int
    last_event_id: int
    deadline_at_s: float
    memory: run_memory.MemoryHandle | None = None
    is_isolated: bool = False
    is_retry: bool = False

    @property
    def may_share_connection(self) -> bool:
        """Whether it may be sent on a connection that was used before.

        A backend server may close such a connection while the request is
        being sent, or stop answering on it, and then it is unknown whether
        the request ran.  A request that may run at most once, or a stream
        that another server cannot resume, would be lost.  So would a retry,
        which is often the last.
        """
        return self.request.route.is_idempotent and not self.is_retry


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAnswer:
    """Head of an answer, and its body as it arrives.

    Parameters
    ----------
    chunks
        Yields the body; raises `AnswerLostError` if it breaks off.
    is_framed
        Whether the body marks its own end, rather than ending with its
        connection.
    body_bytes
        Announced size of the body; 0 if there is none.
    """

    status: int
    headers: Headers
    chunks: AsyncIterator[bytes]
    is_framed: bool = True
    body_bytes: int = 0


class BackendClient(Protocol):
    """Sends requests to backend servers."""

    def send(
        self, call: BackendCall
    ) -> contextlib.AbstractAsyncContextManager[BackendAnswer]:
        """Send a request; leaving the context cancels what is left of it.

        Raises
        ------
        NotSentError
            There was no connection, so that nothing was sent.
        WithheldError
            The server must get no requests now, so that nothing was sent.
        NotRunError
            The backend server reports that it did not run the request.
        StaleConnectionError
            The connection was reused, and the server has closed it.
        AnswerLostError
            The request may have run, and there is no complete answer.
        """
        ...


class AnswerObserver(Protocol):
    """Learns what servers say about themselves in their answers."""

    def record_answer(
        self,
        server: backend_list.BackendServer,
        notice: server_notice.ServerNotice,
        asked_at_s: float,
    ) -> None:
        """Record what an answer says about its server.

        Parameters
        ----------
        asked_at_s
            When the request was sent, by the boot clock.
        """
        ...


class SendGate(Protocol):
    """Stops requests to servers that must get none now."""

    def admit(self, call: BackendCall) -> None:
        """Admit a request that is about to be sent.

        Raises
        ------
        WithheldError
            It must not be sent.
        """
        ...


class EndWatch(Protocol):
    """Watches a server while one answer of it comes."""

    async def confirm(self, request_id: str) -> None:
        """Confirm that the answer to a request has ended by itself.

        Raises
        ------
        AnswerLostError
            It may have been interrupted.
        """
        ...


class EndCheck(Protocol):
    """Checks answers that end with their connection."""

    def watch(
        self, server: backend_list.BackendServer, waited_s: float
    ) -> contextlib.AbstractAsyncContextManager[EndWatch]:
        """Watch a server from the head of its answer to the end.

        Parameters
        ----------
        waited_s
            Time from the request to the head of its answer.
        """
        ...


class Delivery(Protocol):
    """Sends one answer to its caller."""

    @property
    def has_begun(self) -> bool:
        """Whether the head of an answer has been sent."""
        ...

    def record_sent(self) -> None:
        """Record that the request is being sent to a backend server."""
        ...

    async def make_room(self, byte_count: int) -> None:
        """Wait until there is memory for an answer of an announced size."""
        ...

    async def send_whole(self, answer: BackendAnswer, body: bytes) -> None:
        """Send a complete answer."""
        ...

    async def begin(self, answer: BackendAnswer) -> None:
        """Send the head of a stream."""
        ...

    async def write(self, events: bytes) -> None:
        """Send complete events of a stream."""
        ...

    async def finish(self) -> None:
        """Mark a stream as complete."""
        ...


class NotSentError(errors.PlatformError):
    """There was no connection, so that nothing was sent.

    Parameters
    ----------
    is_refused
        Whether the connection was refused: no process listens at the
        address.
    """

    def __init__(self, detail: str, *, is_refused: bool = False) -> None:
        super().__init__(detail)
        self.is_refused = is_refused


class WithheldError(errors.PlatformError):
    """A request was not sent, as its server must get none now."""


class StaleConnectionError(errors.PlatformError):
    """A reused connection was closed while a request was sent on it.

    It is no failure of the backend server, which closes idle connections.
    It is unknown whether the request ran.
    """


class NotRunError(errors.PlatformError):
    """The backend server reports that it did not run the request.

    Parameters
    ----------
    is_other_server
        Whether the answer is of another incarnation, or of another adapter
        version, than the one that was addressed.
    """

    def __init__(self, detail: str, *, is_other_server: bool) -> None:
        super().__init__(detail)
        self.is_other_server = is_other_server


class AnswerLostError(errors.PlatformError):
    """The request may have run, and there is no complete answer.

    Parameters
    ----------
    is_timeout
        Whether the answer took too long, rather than being interrupted or
        invalid.
    """

    def __init__(self, detail: str, *, is_timeout: bool = False) -> None:
        super().__init__(detail)
        self.is_timeout = is_timeout


def is_disconnect(error: errors.PlatformError) -> bool:
    """Whether an error shows that a connection ended before its answer."""
    if isinstance(error, AnswerLostError):
        return not error.is_timeout
    return isinstance(error, StaleConnectionError)


def is_timeout(error: errors.PlatformError) -> bool:
    """Whether an error is that an answer took too long."""
    return isinstance(error, AnswerLostError) and error.is_timeout
