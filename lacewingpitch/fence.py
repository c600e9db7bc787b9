"""The number that tells an engine which sidecar gave an order."""

from lacewingpitch import clock as clock_module
from lacewingpitch import engine

_MS_PER_S = 1000


class Fence:
    """The fencing number of this sidecar at its engine.

    The number is above every one that the engine has taken, and above
    those of earlier sidecars, whose clocks were behind this one's.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.number = 0
        self.incarnation = ''

    def renew(self, report: engine.EngineReport) -> bool:
        """Take a number for a new incarnation of the engine.

        Returns
        -------
        bool
            Whether the engine restarted, and so holds nothing.
        """
        if report.incarnation == self.incarnation:
            return False
        self.incarnation = report.incarnation
        self.number = max(
            report.last_fencing + 1,
            int(self._clock.wall_s() * _MS_PER_S),
        )
        return True
