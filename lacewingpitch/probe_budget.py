"""Bounds what probes of avoided engines may cost their callers."""

from lacewingpitch import rendezvous

# Expected losses by probes, as a share of all requests.
_MAX_LOSS_RATIO = 0.01
_MAX_SAVED_LOSSES = 1.0
_HASH_LIMIT = 1 << 64


class ProbeBudget:
    """Allows probes in proportion to the requests that are placed.

    A probe is charged with the probability that its caller loses by it, so
    that requests that lose little probe first.

    Parameters
    ----------
    instance
        Name of this entry instance.  The budget begins with a share that
        differs between entry instances, so that they probe at different
        times.
    """

    def __init__(self, instance: str) -> None:
        self._saved_losses = rendezvous.score('probe', instance) / _HASH_LIMIT

    def record_request(self) -> None:
        """Count one more request."""
        self._saved_losses = min(
            _MAX_SAVED_LOSSES, self._saved_losses + _MAX_LOSS_RATIO
        )

    def try_acquire(self, loss_probability: float) -> bool:
        """Acquire a probe if the budget allows it."""
        if self._saved_losses < loss_probability:
            return False
        self._saved_losses -= loss_probability
        return True
