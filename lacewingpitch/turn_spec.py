"""A turn at a model engine: what is asked for, and what is got."""

import dataclasses

from lacewingpitch import adapter_versions
from lacewingpitch import backend_list


@dataclasses.dataclass(frozen=True, slots=True)
class TurnSpec:
    """What a request needs of an engine.

    Parameters
    ----------
    start_by_s
        Monotonic time after which its caller has given up waiting for
        the beginning of an answer.
    target_at_s
        Monotonic time after which the first event is late.
    until_s
        Monotonic time at which its final answer is due.
    organisation
        Whose request it is; empty if nobody's.
    weight
        Share of its organisation where organisations compete.
    fingerprint
        Of the request; see `request_fingerprint`.
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
    until_s: float
    organisation: str = ''
    weight: float = 1.0
    fingerprint: str = ''

    @property
    def key(self) -> str:
        """Return the name under which the adapter is placed."""
        if not self.adapter:
            return ''
        return adapter_versions.slot_name(
            self.model, self.adapter, self.version
        )

    @property
    def turn_id(self) -> str:
        """Return the id of the turn."""
        return f'{self.run_id}.{self.attempt}'


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """The right to send one request to one engine.

    Parameters
    ----------
    version
        Version of the adapter that the engine holds; 0 if not known.
    """

    server: backend_list.BackendServer
    version: int
