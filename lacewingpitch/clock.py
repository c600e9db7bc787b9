"""Clocks: the system clock, and the protocol that test clocks follow."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for all decisions; tests replace it."""

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds, for measuring intervals."""
        ...

    def wall_s(self) -> float:
        """Return Unix time in seconds, to compare between instances."""
        ...

    def boot_s(self) -> float:
        """Return monotonic time that includes suspension, in seconds."""
        ...


class SystemClock:
    """Clock that reads the time of the operating system."""

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds, for measuring intervals."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return Unix time in seconds, to compare between instances."""
        return time.time()

    def boot_s(self) -> float:
        """Return monotonic time that includes suspension, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
