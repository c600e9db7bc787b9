"""Requirements for a turn at a model engine, and the granted turn.

A turn is a lease on one of a backend server's concurrent execution slots.
Here an entry on the users' platform requests it from the engine's sidecar,
and then sends the request to the engine itself.  In the system's own
interface, `attempts` acquires it in the sidecar that receives the request.
"""

from collections.abc import Iterable
import dataclasses

from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import suspect_keys


@dataclasses.dataclass(frozen=True, slots=True)
class TurnSpec:
    """Requirements of a request for its turn at an engine.

    Parameters
    ----------
    start_by_s
        Monotonic time after which the caller no longer waits for the
        beginning of an answer.
    target_at_s
        Monotonic time after which the first event is late.
    deadline_at_s
        Monotonic time at which the final answer is due.
    organisation
        Organisation that sends the request; empty if none.
    weight
        Weight of the organisation relative to others.
    fingerprint
        Fingerprint of the request; see `request_fingerprint`.
    gap_s
        Longest pause between events that the caller allows; 0 if unknown.
    shared_parts
        Ids of the parts of its prompt that others may share.
    search
        Number of the search that asks for the turn while an attempt goes
        on; 0 for none.
    """

    run_id: str
    attempt: int
    service: str
    model: str
    adapter: str
    version: int
    route: str
    rank: int
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int
    start_by_s: float
    target_at_s: float
    deadline_at_s: float
    organisation: str = ''
    weight: float = 1.0
    fingerprint: str = ''
    gap_s: float = 0.0
    shared_parts: Iterable[str] = ()
    search: int = 0

    @property
    def suspect_keys(self) -> suspect_keys.RequestKeys:
        """Return the keys under which crashes count against the request."""
        return suspect_keys.RequestKeys(self.fingerprint, self.shared_parts)

    @property
    def key(self) -> str:
        """Return the adapter's name for placement; empty without one."""
        if not self.adapter:
            return ''
        return adapter_versions.slot_name(
            self.model, self.adapter, self.version
        )

    @property
    def turn_id(self) -> str:
        """Return the id of the turn.

        Each search has its own: the end of the turn of the one before may
        still be on its way to the sidecar.
        """
        if self.search:
            return f'{self.run_id}.{self.attempt}s{self.search}'
        return f'{self.run_id}.{self.attempt}'


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """The right to send one request to one engine.

    Parameters
    ----------
    version
        Version of the adapter that the engine holds; 0 if unknown.
    is_isolated
        Whether the request is the only suspect on its server.
    """

    server: backend_list.BackendServer
    version: int
    is_isolated: bool = False
