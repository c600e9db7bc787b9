"""Servers whose entry in the list another writer has overwritten."""

from lacewingpitch import clock as clock_module
from lacewingpitch import deferred_entries


class OverwrittenServers:
    """Knows until when a server is used by its last own entry.

    What another writer puts in the place of an entry names no server, but it
    does not end the server either: a live one writes its entry again at its
    next heartbeat.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # Monotonic times by server name.
        self._used_until_s: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Whether any server is recorded."""
        return bool(self._used_until_s)

    def record(self, name: str) -> bool:
        """Record an overwritten entry; return whether this was unknown."""
        if name in self._used_until_s:
            return False
        self._used_until_s[name] = (
            self._clock.monotonic_s() + deferred_entries.REWRITTEN_WITHIN_S
        )
        return True

    def forget(self, name: str) -> None:
        """Record that a server has written its entry again, or is gone."""
        self._used_until_s.pop(name, None)

    def is_over(self, name: str) -> bool:
        """Whether a server has not written its entry again in time."""
        until_s = self._used_until_s.get(name)
        return until_s is not None and self._clock.monotonic_s() >= until_s

    def over(self) -> tuple[str, ...]:
        """Return the servers that have not written their entry in time."""
        return tuple(name for name in self._used_until_s if self.is_over(name))
