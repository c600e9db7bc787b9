"""Remembers the callers that an engine refused, until they return."""

import collections
import dataclasses

from lacewingpitch import clock as clock_module

_MAX_COUNT = 1024
# Callers need a new connection, and may meet a busy entry.
_GRACE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedCaller:
    """A caller that was refused and told when to return.

    Parameters
    ----------
    run_id
        Name of its attempt, which asks several engines.
    target_at_s
        Monotonic time after which its first event is late, counted from
        its first attempt.
    return_at_s
        Monotonic time at which it was told to return.
    """

    run_id: str
    target_at_s: float
    return_at_s: float


class RefusedCallers:
    """Bounded table of refused callers, by the fingerprint of the request.

    A caller that never returns is forgotten a moment after its time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._callers: collections.OrderedDict[str, RefusedCaller] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of callers that may still return."""
        self._discard_old()
        return len(self._callers)

    def record(self, fingerprint: str, caller: RefusedCaller) -> None:
        """Remember a caller that is refused now."""
        if not fingerprint:
            return
        self._callers.pop(fingerprint, None)
        if len(self._callers) >= _MAX_COUNT:
            self._callers.popitem(last=False)
        self._callers[fingerprint] = caller

    def find(self, fingerprint: str, run_id: str) -> RefusedCaller | None:
        """Return what is known of a caller's earlier attempt, if anything."""
        self._discard_old()
        caller = self._callers.get(fingerprint)
        if caller is None or caller.run_id == run_id:
            return None
        return caller

    def forget(self, fingerprint: str) -> None:
        """Forget a caller that is served."""
        self._callers.pop(fingerprint, None)

    def _discard_old(self) -> None:
        now_s = self._clock.monotonic_s()
        old = [
            fingerprint
            for fingerprint, caller in self._callers.items()
            if caller.return_at_s + _GRACE_S < now_s
        ]
        for fingerprint in old:
            del self._callers[fingerprint]
