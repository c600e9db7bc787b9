"""Removals from the list of backend servers: read here, or heard from others.

The list says that a server leaves, or lacks it.  Which of two processes has
the newer list is decided by its epoch and revision, and needs no clocks.
"""

from lacewingpitch import clock as clock_module
from lacewingpitch import leaving_news


class ListRemovals:
    """Knows which servers a newer list no longer offers.

    Attributes
    ----------
    position
        Epoch and revision up to which this process knows the list.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self.position = (0, 0)
        self._read: leaving_news.RecentNews[leaving_news.ServerRemoval] = (
            leaving_news.RecentNews(clock)
        )
        # By start id, those of lists newer than that of this process.
        self._heard: dict[str, leaving_news.ServerRemoval] = {}

    def record_read(self, start_id: str) -> None:
        """Record that the list, as read here, no longer offers a server."""
        self._read.record(leaving_news.ServerRemoval(start_id, *self.position))

    def recent(self) -> tuple[leaving_news.ServerRemoval, ...]:
        """Return what was lately read here."""
        return self._read.recent()

    def is_newer(self, removal: leaving_news.ServerRemoval) -> bool:
        """Whether a removal is of a list newer than that of this process."""
        epoch, revision = self.position
        return removal.epoch == epoch and removal.revision > revision

    def record_heard(self, removal: leaving_news.ServerRemoval) -> bool:
        """Record a removal by a newer list; return whether it was unknown."""
        known = self._heard.get(removal.start_id)
        if known is None or known.revision < removal.revision:
            self._heard[removal.start_id] = removal
        return known is None

    def includes(self, start_id: str) -> bool:
        """Whether a newer list no longer offers a server."""
        return start_id in self._heard

    def forget_outdated(self) -> bool:
        """Forget what the list of this process decides; return if any."""
        kept = {
            start_id: removal
            for start_id, removal in self._heard.items()
            if self.is_newer(removal)
        }
        has_changed = len(kept) < len(self._heard)
        self._heard = kept
        return has_changed
