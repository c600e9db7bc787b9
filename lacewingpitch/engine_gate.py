"""Keeps a sidecar's calls from an engine that asked it for backoff."""

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors

# An engine that asks for more by mistake is controlled again after this time.
_MAX_BACKOFF_S = 60.0
log = structlog.get_logger(__name__)


class EngineGate:
    """Stops reports and orders until a backoff of the engine has ended."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._until_s = 0.0

    def check(self) -> None:
        """Check that the engine may be called now.

        Raises
        ------
        PlatformError
            It has asked for a backoff that has not ended.
        """
        left_s = self._until_s - self._clock.boot_s()
        if left_s > 0.0:
            raise errors.PlatformError(
                f'engine: backoff for another {left_s:.1f} s'
            )

    def record(self, backoff_s: float) -> None:
        """Record how long an answer asks for no calls; 0 if it does not."""
        if not backoff_s:
            return
        until_s = self._clock.boot_s() + min(backoff_s, _MAX_BACKOFF_S)
        self._until_s = max(self._until_s, until_s)
        log.warning('engine asked for backoff', backoff_s=backoff_s)
