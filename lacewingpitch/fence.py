"""The number that tells an engine which sidecar gave an order."""

from lacewingpitch import clock as clock_module
from lacewingpitch import engine

_MS_PER_S = 1000
# How far the clock of an earlier sidecar may have been ahead of this
# one's: steps of a time of day are a few seconds.
_CLOCK_AHEAD_MS = 10_000


class Fence:
    """The fencing number of this sidecar at its engine.

    The number is above every one that the engine has taken, and above
    those of earlier sidecars, whose clocks were behind this one's.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.token = 0
        self.incarnation = ''
        self._was_accepted = False

    def apply_report(self, report: engine.EngineReport) -> bool:
        """Take a number for a new incarnation of the engine.

        Returns
        -------
        bool
            Whether the engine restarted, and so holds nothing of ours.
        """
        if report.incarnation == self.incarnation:
            self._overtake(report.last_fencing)
            return False
        self.incarnation = report.incarnation
        self._was_accepted = False
        self.token = max(
            report.last_fencing + 1,
            int(self._clock.wall_s() * _MS_PER_S),
            self.token,
        )
        return True

    def mark_accepted(self) -> None:
        """Record that the engine has taken an order with this number."""
        self._was_accepted = True

    def raise_token(self) -> None:
        """Rise above a higher number that the engine has taken.

        The engine does not say which.  An earlier sidecar of this place
        took its number from a clock that was ahead; it is gone, as its
        port was free, so that going higher fences off nobody else.
        """
        self.token += _CLOCK_AHEAD_MS

    def _overtake(self, last_fencing: int) -> None:
        # The first report may lag, and this clock may be behind that of
        # an earlier sidecar: the first order is then fenced off, and the
        # number has to rise.  Once the engine has taken an order of
        # ours, a higher number is that of a successor, which must win.
        if not self._was_accepted and last_fencing > self.token:
            self.token = last_fencing + 1
