"""Replies of the sidecars that were asked for one turn."""

import dataclasses

from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch import turn_spec


@dataclasses.dataclass(slots=True)
class TurnReplies:
    """Replies of the sidecars that were tried for one request.

    Parameters
    ----------
    tried
        Servers whose sidecars were asked, in this order.
    refusals
        The last refusal of each server that refused the request, by name.
    starting
        Servers whose engine is starting, or silent for a moment, by name.
    silent
        Servers whose engine is silent for a moment, by name.
    refused_waits_s
        Expected wait at each server that refused the request, by name.
    fallbacks
        Turns without the consent of sidecars that do not answer.
    """

    tried: list[backend_list.BackendServer] = dataclasses.field(
        default_factory=list
    )
    refusals: dict[str, errors.RefusalError] = dataclasses.field(
        default_factory=dict
    )
    starting: dict[str, backend_list.BackendServer] = dataclasses.field(
        default_factory=dict
    )
    silent: dict[str, backend_list.BackendServer] = dataclasses.field(
        default_factory=dict
    )
    refused_waits_s: dict[str, float] = dataclasses.field(default_factory=dict)
    fallbacks: list[turn_spec.Turn] = dataclasses.field(default_factory=list)

    def copy(self) -> 'TurnReplies':
        """Return a copy, which further replies extend alone."""
        return TurnReplies(
            tried=list(self.tried),
            refusals=dict(self.refusals),
            starting=dict(self.starting),
            silent=dict(self.silent),
            refused_waits_s=dict(self.refused_waits_s),
            fallbacks=list(self.fallbacks),
        )

    def record_silence(
        self, server: backend_list.BackendServer, is_silent: bool
    ) -> None:
        """Record whether the engine of a server is silent."""
        if is_silent:
            self.silent[server.name] = server
        else:
            self.silent.pop(server.name, None)

    @property
    def have_all_refused(self) -> bool:
        """Whether every server that was tried has replied, and refused."""
        return all(server.name in self.refusals for server in self.tried)

    @property
    def are_all_starting(self) -> bool:
        """Whether every server that was tried has a starting engine."""
        return len(self.starting) == len(self.refusals) > 0

    @property
    def is_silence_awaited(self) -> bool:
        """Whether no server serves now, and one may go on in a moment."""
        return bool(self.silent) and all(
            refusal.kind in errors.NOT_SERVING_KINDS
            for refusal in self.refusals.values()
        )

    @property
    def first_starting(self) -> backend_list.BackendServer:
        """Return the starting server that was asked first."""
        return next(iter(self.starting.values()))
