"""Parts of prompts that ran without a crash, as one process saw it."""

from collections.abc import Iterable
import itertools

from lacewingpitch import clock as clock_module

# A part that ran this recently is not what crashes servers.  One that begins
# to crash them later, with another version of these, is suspected after it.
_RETENTION_S = 30.0
# Parts in use at a time are fewer, save in the largest deployments.
_MAX_KEYS = 8192
# Further parts of a prompt are not remembered, and suspected for longer.
_MAX_KEYS_PER_RUN = 1024


class SoundRuns:
    """Remembers for a while which keys have run soundly.

    Guards against blaming what all requests share, such as the first part of
    their prompts, when several servers crash before the next run ends.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # The least recently seen comes first.
        self._seen_at_s: dict[str, float] = {}

    def record(self, keys: Iterable[str]) -> None:
        """Record that a run with these keys was sound."""
        now_s = self._clock.boot_s()
        for key in itertools.islice(keys, _MAX_KEYS_PER_RUN):
            self._seen_at_s.pop(key, None)
            self._seen_at_s[key] = now_s
        while len(self._seen_at_s) > _MAX_KEYS:
            del self._seen_at_s[next(iter(self._seen_at_s))]

    def has_recent(self, key: str) -> bool:
        """Whether a run with this key was sound lately."""
        seen_at_s = self._seen_at_s.get(key)
        if seen_at_s is None:
            return False
        return self._clock.boot_s() - seen_at_s <= _RETENTION_S
