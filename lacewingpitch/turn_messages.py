"""Control messages between entries and sidecars about turns.

A turn is a lease on one of a backend server's concurrent execution slots.
The sidecar grants turns: it alone sends orders to its engine and reads the
engine's state without delay.  The entry forwards requests: their bytes and
those of the answers pass between it and the engine, so that the loss of a
sidecar interrupts no answer.

The messages that distribute the configuration are here as well.
"""

from lacewingpitch import errors
from lacewingpitch import hint as hint_module
from lacewingpitch import leaving_news
from lacewingpitch import limit_news as limit_news_module
from lacewingpitch import link
from lacewingpitch import suspect_exchange


class TurnRequest(link.Message, frozen=True):
    """Requests a turn at an engine, with an adapter.

    A repeated request with the same turn id is idempotent: it returns the
    granted turn, or continues to wait for it.

    Parameters
    ----------
    entry
        Instance of the entry that sends the request.
    turn_id
        Identifies one attempt of one request.
    run_id
        Name of the run at the engine.
    adapter
        Name of the adapter; empty for the base model alone.
    version
        Lowest version that the requester requires; 0 for any.
    route
        Route of the request; turns are shared between routes.
    rank
        Urgency of the route; 0 is the most urgent.
    prompt_tokens
        Number of tokens of the prompt; 0 if unknown.
    max_tokens
        Maximum number of tokens of the answer; 0 if unknown.
    expected_tokens
        Number of tokens that the caller expects; 0 if unknown.
    wait_ms
        Time after which the reply says `is_pending` at the latest.
    start_within_ms
        Time left until a turn is of no use any more.
    target_ms
        Time left until the first event is late; negative if it is late.
    deadline_ms
        Time left until the request's final answer is due.
    waits_for_engine
        Whether to wait for an engine that loads its base model, because
        no other engine serves.
    accept_within_ms
        Longest acceptable wait, because another engine may be sooner; 0
        for any wait that meets the target.
    organisation
        Organisation that sends the request; empty if none.
    weight
        Weight of the organisation relative to others.
    fingerprint
        Fingerprint of the request; see `request_fingerprint`.
    is_isolated
        Whether it must run as the only suspect request.
    suspects
        The entry's updates about suspect requests.
    limit_per_s
        Request rate limit that the engine names, as the entry knows it;
        ``None`` if it knows of none.
    server_start_id
        Start of the engine that names the limit; see
        `backend_list.BackendServer`.
    limit_news
        Limits that servers have named to this entry, or to others.
    leaving
        Start ids of servers that announced to this entry that they leave.
    gap_ms
        Longest pause between events that the caller allows; 0 if unknown.
    has_uneven_engines
        Whether the engines differ in pace, by what the entry knows.
    removals
        Servers that the list no longer offers, as the entry read it.
    """

    entry: str
    turn_id: str
    run_id: str
    model: str
    adapter: str
    version: int
    route: str
    rank: int
    prompt_tokens: int
    max_tokens: int
    wait_ms: int
    start_within_ms: int
    target_ms: int
    deadline_ms: int
    waits_for_engine: bool = False
    accept_within_ms: int = 0
    expected_tokens: int = 0
    organisation: str = ''
    weight: float = 1.0
    fingerprint: str = ''
    is_isolated: bool = False
    suspects: suspect_exchange.SuspectNews | None = None
    limit_per_s: float | None = None
    server_start_id: str = ''
    limit_news: tuple[limit_news_module.LimitNews, ...] = ()
    leaving: tuple[str, ...] = ()
    gap_ms: int = 0
    has_uneven_engines: bool = False
    removals: tuple[leaving_news.ServerRemoval, ...] = ()

    @property
    def length_tokens(self) -> int:
        """Return the expected length of its answer, or the longest one."""
        return self.expected_tokens or self.max_tokens

    @property
    def flow(self) -> str:
        """Return the flow of weighted fair queueing that it belongs to."""
        if not self.organisation:
            return self.route
        return f'{self.organisation}/{self.route}'


class TurnReply(link.Message, frozen=True):
    """Grants or refuses a turn, or says that it is still pending.

    Parameters
    ----------
    backend_server
        Incarnation of the engine that the turn is for; empty if unknown.
    version
        Version of the adapter that the engine holds; 0 if unknown.
    refusal
        Reason of the refusal; None if there is none.
    started_at_ms
        Unix time of the engine's start; 0 if unknown.
    configuration_version
        Version of the configuration in force at the sidecar.
    entry_count
        Estimated number of entries; 0 if it is unknown.
    hint
        Load report of the engine.
    wait_ms
        Expected wait of a refused turn; 0 if unknown.
    suspects
        The sidecar's updates about suspect requests.
    limit_per_s
        Request rate limit of the engine; ``None`` if it names none.
    is_limit_known
        Whether the sidecar has heard of a limit of this start of the engine,
        or of its end.
    limit_news
        Limits that servers have named to other entries.
    leaving
        Start ids of servers that announced to others that they leave.
    removals
        Servers that the list no longer offers, as others read it.
    is_silent
        Whether the engine doesn't answer, and is expected to go on in a
        moment.  A pending request then has no turn there that must be ended.
    """

    backend_server: str = ''
    version: int = 0
    is_pending: bool = False
    refusal: errors.ErrorKind | None = None
    detail: str = ''
    retry_after_ms: int = 0
    configuration_version: int = 0
    entry_count: int = 0
    hint: hint_module.Hint | None = None
    started_at_ms: int = 0
    wait_ms: int = 0
    suspects: suspect_exchange.SuspectNews | None = None
    limit_per_s: float | None = None
    is_limit_known: bool = False
    limit_news: tuple[limit_news_module.LimitNews, ...] = ()
    leaving: tuple[str, ...] = ()
    removals: tuple[leaving_news.ServerRemoval, ...] = ()
    is_silent: bool = False


class TurnEnds(link.Message, frozen=True):
    """Ends turns that are finished or no longer needed.

    Parameters
    ----------
    asks_state
        Whether to poll the engine, because answers were interrupted.
    """

    turn_ids: tuple[str, ...]
    asks_state: bool = False


class TurnEndsReply(link.Message, frozen=True):
    """Confirms `TurnEnds`.

    Parameters
    ----------
    is_known
        Whether the engine was polled, and was not silent; the other fields
        are valid only then.
    is_running
        Whether the engine could be reached.
    backend_server
        Incarnation of the engine.
    started_at_ms
        Unix time of the engine's start; 0 if unknown.
    """

    is_known: bool = False
    is_running: bool = False
    backend_server: str = ''
    started_at_ms: int = 0


class AnsweredLimit(link.Message, frozen=True):
    """Tells a sidecar whether an answer of its engine names a limit.

    Parameters
    ----------
    server_start_id
        Start of the engine; see `backend_list.BackendServer`.
    limit_per_s
        Request rate limit; ``None`` if the answer names none.
    answer_age_ms
        Time since the request was sent to the engine.
    """

    entry: str
    server_start_id: str
    limit_per_s: float | None
    answer_age_ms: int


class AnsweredLimitReply(link.Message, frozen=True):
    """Confirms `AnsweredLimit`."""


class AnsweredLeaving(link.Message, frozen=True):
    """Tells a sidecar that an answer of its engine announces its leaving.

    Parameters
    ----------
    server_start_id
        Start of the engine; see `backend_list.BackendServer`.
    """

    entry: str
    server_start_id: str


class AnsweredLeavingReply(link.Message, frozen=True):
    """Confirms `AnsweredLeaving`."""


class ConfigurationRequest(link.Message, frozen=True):
    """Requests the configuration if it is newer than a version."""

    above_version: int


class ConfigurationReply(link.Message, frozen=True):
    """The published bytes of the configuration; empty if not newer."""

    content: bytes = b''


class ConfigurationOffer(link.Message, frozen=True):
    """Sends the configuration to a process with an older version."""

    content: bytes


class ConfigurationTaken(link.Message, frozen=True):
    """Confirms `ConfigurationOffer`."""
