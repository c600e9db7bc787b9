"""The fencing token of a sidecar at its engine.

An engine refuses orders with a lower token than it has accepted, so that
an earlier sidecar cannot interfere with its successor.
"""

from lacewingpitch import clock as clock_module
from lacewingpitch import engine

_MS_PER_S = 1000
# How far the clock of an earlier sidecar may have been ahead of this one's;
# adjustments of the time of day are a few seconds.
_MAX_CLOCK_SKEW_MS = 10_000


class Fence:
    """Chooses the fencing token of this sidecar.

    The token is higher than every token that the engine has accepted.
    As it is derived from the time of day, it is also higher than those
    of earlier sidecars whose clocks were not ahead.

    Attributes
    ----------
    token
        The current fencing token.
    incarnation
        The incarnation of the engine that the token is for; it changes
        with each restart of the engine.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.token = 0
        self.incarnation = ''
        self._was_accepted = False

    def apply_report(self, report: engine.EngineReport) -> bool:
        """Choose a new token if the engine has a new incarnation.

        Returns
        -------
        bool
            Whether the engine restarted and so has lost all adapters.
        """
        if report.incarnation == self.incarnation:
            self._raise_above(report.last_fencing)
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
        """Record that the engine has accepted an order with this token."""
        self._was_accepted = True

    def raise_token(self) -> None:
        """Raise the token after the engine refused it as too low.

        The engine does not report the higher token.  It came from an
        earlier sidecar of this engine, whose clock was ahead.  That
        sidecar has exited, because its port was free, so a higher token
        fences off no running sidecar.
        """
        self.token += _MAX_CLOCK_SKEW_MS

    def _raise_above(self, last_fencing: int) -> None:
        # The first report may lag, and this clock may be behind that of
        # an earlier sidecar.  The first order is then fenced off, and the
        # token must be raised.  Once the engine has accepted an order
        # with this token, a higher one belongs to a successor, which must
        # win.
        if not self._was_accepted and last_fencing > self.token:
            self.token = last_fencing + 1
