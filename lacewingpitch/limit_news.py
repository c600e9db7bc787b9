"""Spreads the limits that servers name between entries, by sidecars.

An entry that has not sent to a server since it names a limit would send its
first request without a permit.  With hundreds of entries, these requests alone
exceed the limit.  What is heard is therefore piggybacked on the requests for
turns and their replies; without any limit the messages carry no extra data.
"""

from collections.abc import Iterable

import msgspec

from lacewingpitch import clock as clock_module

# Servers name their limit again with each answer.
MAX_AGE_S = 5.0
# Most limits in one message.
MAX_COUNT = 16
# Limits that a sidecar remembers.
_MAX_SERVERS = 256
# A message is on its way for less than this.
_SAME_AGE_S = 0.1
_MS_PER_S = 1000


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """The limit that a server named in an answer.

    Parameters
    ----------
    server_start_id
        Start of the server; see `backend_list.BackendServer`.
    per_s
        Requests per second; ``None`` if the answer ended the limit.
    age_ms
        Time since the request that it answered was sent.
    """

    server_start_id: str
    per_s: float | None
    age_ms: int

    @property
    def age_s(self) -> float:
        """Return the time since the request was sent, in seconds."""
        return self.age_ms / _MS_PER_S


def new_news(start_id: str, per_s: float | None, age_s: float) -> LimitNews:
    """Return the news of a limit whose answer has an age in seconds."""
    return LimitNews(start_id, per_s, int(age_s * _MS_PER_S))


class LimitBoard:
    """Limits that entries have told a sidecar, which passes them on."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # By start of the server: its limit, and when the request was sent
        # whose answer named it.
        self._limits: dict[str, tuple[float | None, float]] = {}

    def merge(self, news: Iterable[LimitNews]) -> None:
        """Merge what an entry has heard."""
        now_s = self._clock.boot_s()
        for item in news:
            asked_at_s = now_s - item.age_s
            known = self._limits.get(item.server_start_id)
            if known is None or asked_at_s > known[1]:
                self._limits[item.server_start_id] = (item.per_s, asked_at_s)
        if len(self._limits) > _MAX_SERVERS:
            self._discard_old(now_s)

    def news_for(self, known: Iterable[LimitNews]) -> tuple[LimitNews, ...]:
        """Return what an entry may lack.

        Parameters
        ----------
        known
            What the entry has told.
        """
        if not self._limits:
            return ()
        now_s = self._clock.boot_s()
        self._discard_old(now_s)
        known_ages_s = {item.server_start_id: item.age_s for item in known}
        found = []
        for start_id, (per_s, asked_at_s) in self._limits.items():
            age_s = now_s - asked_at_s
            known_age_s = known_ages_s.get(start_id)
            if known_age_s is None or known_age_s > age_s + _SAME_AGE_S:
                found.append(new_news(start_id, per_s, age_s))
        return tuple(found[:MAX_COUNT])

    def _discard_old(self, now_s: float) -> None:
        self._limits = {
            start_id: (per_s, asked_at_s)
            for start_id, (per_s, asked_at_s) in self._limits.items()
            if now_s - asked_at_s < MAX_AGE_S
        }
