"""Crashes of backend servers under one suspect, in one process's record."""

from collections.abc import Iterable
import dataclasses

import msgspec

# A request that is repeated after a longer time may crash servers again.
_RETENTION_S = 1800.0
# Time for all processes to learn that the suspect ran without a crash.
_ANSWERED_RETENTION_S = 60.0
# Crashes that are kept and sent to other processes.  Crashes from before an
# answer stay for the processes that still count them.
_MAX_CRASHES = 8


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """One crash of a backend server as a suspect began to run on it.

    Parameters
    ----------
    server
        Start id of the backend server; see `backend_list.BackendServer`.
    is_void
        Whether a backend server has run the suspect since, so that the
        crash no longer counts against it.
    """

    server: str
    is_void: bool


class SuspectState(msgspec.Struct, frozen=True, array_like=True):
    """All crashes that one process has recorded for one suspect.

    Parameters
    ----------
    key
        Fingerprint of a request, or key of a part of prompts; see
        `request_fingerprint` and `suspect_keys`.
    """

    key: str
    crashes: tuple[Crash, ...]


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request, or a part of prompts, under which servers crashed.

    Parameters
    ----------
    counted
        Start ids of the servers whose crash is not void.
    changed_at
        Number of the record's change that changed it last.
    crashed_at_s
        Time since boot at which this process learned of the last crash that
        is not void.
    """

    counted: frozenset[str] = frozenset()
    changed_at: int = 0
    used_at_s: float = 0.0
    crashed_at_s: float = 0.0
    # By start id; the value is `True` if the crash is void.
    _crashes: dict[str, bool] = dataclasses.field(default_factory=dict)

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """Return all crashes, in the order in which they were added."""
        return tuple(
            Crash(server, is_void) for server, is_void in self._crashes.items()
        )

    def add(self, crashes: Iterable[Crash]) -> bool:
        """Add crashes, or mark them void; return whether any changed."""
        has_changed = False
        for crash in crashes:
            known = self._crashes.get(crash.server)
            if known is True or known is crash.is_void:
                continue
            if known is None and not self._make_room():
                continue
            self._crashes[crash.server] = crash.is_void
            has_changed = True
        if has_changed:
            self.counted = frozenset(
                server
                for server, is_void in self._crashes.items()
                if not is_void
            )
        return has_changed

    def is_expired(self, now_s: float) -> bool:
        """Whether it was not used for so long that it is forgotten."""
        retention_s = _RETENTION_S if self.counted else _ANSWERED_RETENTION_S
        return now_s - self.used_at_s > retention_s

    def _make_room(self) -> bool:
        """Make room for a new crash; return whether it may be stored.

        At the limit, the oldest void crash is evicted.
        """
        if len(self._crashes) < _MAX_CRASHES:
            return True
        void = [s for s, is_void in self._crashes.items() if is_void]
        if not void:
            return False
        del self._crashes[void[0]]
        return True
