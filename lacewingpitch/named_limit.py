"""The request rate limit that a backend server names in its answers."""

import math


class NamedLimit:
    """Follows the limit that one start of a backend server names.

    Answers overtake each other: the server may have written the answer to an
    earlier request before that to a later one, and processes read them in
    any order.  An answer therefore counts by the time of its request.

    Attributes
    ----------
    per_s
        Requests per second that the server accepts from all entries
        together; ``None`` if it names no limit.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self._asked_at_s = -math.inf
        self._heard_at_s = -math.inf

    @property
    def asked_at_s(self) -> float:
        """Return when the request was sent whose answer is in force."""
        return self._asked_at_s

    @property
    def is_known(self) -> bool:
        """Whether the server has named a limit since its start."""
        return self._heard_at_s > -math.inf

    def record(
        self, per_s: float | None, asked_at_s: float, heard_at_s: float
    ) -> bool:
        """Record what an answer says; return whether the limit changes.

        Parameters
        ----------
        per_s
            The limit that the answer names; ``None`` if it names none.
        asked_at_s
            When the request was sent.
        heard_at_s
            When the answer was read.
        """
        if per_s is None:
            return self._record_absence(asked_at_s)
        if asked_at_s < self._asked_at_s:
            return False
        has_changed = per_s != self.per_s
        self.per_s = per_s
        self._asked_at_s = asked_at_s
        self._heard_at_s = max(heard_at_s, self._heard_at_s)
        return has_changed

    def _record_absence(self, asked_at_s: float) -> bool:
        # The answer may have been written before the limit was first named,
        # unless its request was sent after that.
        if self.per_s is None or asked_at_s <= self._heard_at_s:
            return False
        self.per_s = None
        self._asked_at_s = asked_at_s
        return True
