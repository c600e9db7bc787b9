"""What an entry asks of a sidecar before it sends a request to its engine.

The sidecar grants: it alone orders its engine and reads the engine's
state without delay.  The entry carries: the bytes of requests and
answers pass between it and the engine, so that the loss of a sidecar
cuts no answer.
"""

from lacewingpitch import errors
from lacewingpitch import hint as hint_module
from lacewingpitch import link
from lacewingpitch import suspect_exchange


class TurnRequest(link.Message, frozen=True):
    """Asks for a turn at an engine, with an adapter.

    Asking again with the same id is idempotent: it returns the turn
    that was granted, or goes on waiting for it.

    Parameters
    ----------
    entry
        Instance that asks.
    turn_id
        Names one attempt of one request.
    run_id
        Name under which the engine will know the run.
    adapter
        Adapter's name; empty for the base model alone.
    version
        Lowest version that the asker knows to be wanted; 0 for any.
    route
        Route of the request; turns are shared between routes.
    rank
        The route's urgency; 0 is the most urgent.
    prompt_tokens
        Tokens of the prompt; 0 if not known.
    max_tokens
        Most tokens that the answer can have; 0 if not known.
    expected_tokens
        Tokens that the caller expects of the answer; 0 if not known.
    wait_ms
        How long the reply may stay away before it says `is_pending`.
    start_within_ms
        Time left in which the turn is of use.
    target_ms
        Time left until the first event is late; negative if it is.
    deadline_ms
        Time left until the request's final answer is due.
    waits_for_engine
        Whether to wait for an engine that loads its base model, since
        no other engine serves.
    accept_within_ms
        Longest wait with which the turn is wanted here, since another
        engine may be sooner; 0 for any with which it is on time.
    organisation
        Whose request it is; empty if nobody's.
    weight
        Share of its organisation where organisations compete.
    fingerprint
        Of the request; see `request_fingerprint`.
    is_isolated
        Whether it is to run alone among suspect requests.
    suspects
        What the entry knows of suspect requests.
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

    @property
    def flow(self) -> str:
        """Return the name of those with which it shares its turns."""
        if not self.organisation:
            return self.route
        return f'{self.organisation}/{self.route}'


class TurnReply(link.Message, frozen=True):
    """Grants a turn, refuses it, or says that it is still waited for.

    Parameters
    ----------
    backend_server
        Incarnation of the engine that the turn is for; empty if it is
        not known.
    version
        Version of the adapter that the engine holds; 0 if not known.
    refusal
        Why there is no turn; empty if there is one.
    started_at_ms
        Unix time of the engine's start; 0 if it does not say.
    configuration_version
        Version of the configuration that the sidecar has in force.
    entry_count
        Entries that have asked this sidecar of late.
    hint
        State of the engine.
    wait_ms
        What a turn that is refused would have waited; 0 if not known.
    suspects
        What the sidecar knows of suspect requests.
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


class TurnEnds(link.Message, frozen=True):
    """Says that turns have ended, or are not wanted any more.

    Parameters
    ----------
    asks_state
        Whether to look at the engine, since answers broke off.
    """

    turn_ids: tuple[str, ...]
    asks_state: bool = False


class TurnEndsReply(link.Message, frozen=True):
    """Confirms `TurnEnds`.

    Parameters
    ----------
    is_known
        Whether the engine was looked at; the rest says nothing otherwise.
    is_running
        Whether it could be reached.
    backend_server
        Its incarnation then.
    started_at_ms
        Unix time of its start; 0 if it does not say.
    """

    is_known: bool = False
    is_running: bool = False
    backend_server: str = ''
    started_at_ms: int = 0


class ConfigurationRequest(link.Message, frozen=True):
    """Asks for the configuration, if newer than a version."""

    above_version: int


class ConfigurationReply(link.Message, frozen=True):
    """The published bytes of the configuration; empty if not newer."""

    content: bytes = b''


class ConfigurationOffer(link.Message, frozen=True):
    """Brings the configuration to a process that has an older one."""

    content: bytes


class ConfigurationTaken(link.Message, frozen=True):
    """Confirms `ConfigurationOffer`."""
