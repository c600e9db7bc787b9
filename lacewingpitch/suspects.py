"""An entry's components for tracking requests that crash backend servers."""

from collections.abc import Callable, Collection
import random

from lacewingpitch import clock as clock_module
from lacewingpitch import crash_detector
from lacewingpitch import crash_record
from lacewingpitch import suspect_exchange


class Suspects:
    """Crash record of an entry, its crash detector and its exchange.

    Parameters
    ----------
    source
        Draws the number that identifies this start of the process.
    released
        Returns fingerprints that the operator exempts from isolation and
        refusal.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        source: random.Random,
        released: Callable[[], Collection[str]] = tuple,
    ) -> None:
        self.record = crash_record.CrashRecord(clock, source, released)
        self.detector = crash_detector.CrashDetector(self.record, clock)
        self.exchange = suspect_exchange.SuspectExchange(self.record)
