"""Decides which start of a backend server its reports are of."""

from collections.abc import Collection
import dataclasses

from lacewingpitch import clock as clock_module
from lacewingpitch import deferred_entries

# A report of an earlier start that was delayed is there within this time of
# the newest start's last report.
_LATE_REPORT_S = 8.0
# Servers that are kept although the list no longer has them.
_MAX_UNKNOWN = 256


@dataclasses.dataclass(frozen=True, slots=True)
class _Newest:
    """The newest start of a server.

    Parameters
    ----------
    is_reported
        Whether the server reported it, rather than the list.
    barred_until_s
        Monotonic time until which reports of earlier starts are ignored.
    """

    started_at_ms: int
    is_reported: bool
    barred_until_s: float


class ServerStarts:
    """Tells late reports of an earlier start from a clock that went back.

    A report of an earlier start is usually one that was sent before a
    restart and arrives late.  But the clock of a host may go back, or the
    list may have named a start that never was; the server then goes on to
    report a start that seems to be an earlier one.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._newest: dict[str, _Newest] = {}

    def accept_report(self, name: str, started_at_ms: int) -> bool:
        """Return whether a report of a start is to be believed.

        Parameters
        ----------
        name
            Name of the server; its report was just read.
        """
        now_s = self._clock.monotonic_s()
        newest = self._newest.get(name)
        if newest is not None and started_at_ms < newest.started_at_ms:
            if now_s < newest.barred_until_s:
                return False
        self._newest[name] = _Newest(
            started_at_ms, True, now_s + _LATE_REPORT_S
        )
        return True

    def record_listed(self, name: str, started_at_ms: int) -> None:
        """Record a start that the list names, and that is believed."""
        newest = self._newest.get(name)
        if newest is not None and newest.started_at_ms == started_at_ms:
            return
        until_s = (
            self._clock.monotonic_s() + deferred_entries.REWRITTEN_WITHIN_S
        )
        self._newest[name] = _Newest(started_at_ms, False, until_s)

    def is_reported_later(self, name: str, started_at_ms: int) -> bool:
        """Whether a server has lately reported a later start than this."""
        newest = self._newest.get(name)
        return (
            newest is not None
            and newest.is_reported
            and started_at_ms < newest.started_at_ms
            and self._clock.monotonic_s() < newest.barred_until_s
        )

    def prune(self, known: Collection[str]) -> None:
        """Forget servers that are no longer known, once there are many."""
        if len(self._newest) <= _MAX_UNKNOWN + len(known):
            return
        self._newest = {
            name: newest
            for name, newest in self._newest.items()
            if name in known
        }
