"""Age of the last confirmation that the configuration is the newest."""

import math

from lacewingpitch import clock as clock_module


class ConfigurationAge:
    """The time up to which no newer configuration was published.

    Only the time at which the store answered, or an earlier one, confirms
    the configuration.  An answer that was delayed by a suspended process
    or a slow link says nothing about the time of the delay.

    Parameters
    ----------
    clock
        Source of time; its boot time includes suspension.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._confirmed_at_s = -math.inf

    @property
    def age_s(self) -> float:
        """Return the seconds since the configuration was last confirmed."""
        return self.age_at_s(self._clock.boot_s())

    def confirm(self, at_s: float) -> None:
        """Record that the configuration was the newest at boot time `at_s`.

        An earlier time than the one recorded has no effect.
        """
        self._confirmed_at_s = max(self._confirmed_at_s, at_s)

    def age_at_s(self, at_s: float) -> float:
        """Return the age of the last confirmation at boot time `at_s`."""
        return at_s - self._confirmed_at_s
