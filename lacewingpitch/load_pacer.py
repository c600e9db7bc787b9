"""Rate limiting of adapter loads from the weight store."""

from collections.abc import Callable
import contextlib
from typing import Protocol


class LoadPacer(Protocol):
    """Gives permits for loads as the store has capacity for them."""

    def permit(
        self, weight: Callable[[], float]
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Wait for a permit and hold it while the context is open.

        Parameters
        ----------
        weight
            Returns the current cost of waiting, which may grow.
        """
        ...


class UnlimitedLoads:
    """Starts every load at once, without a limit."""

    def permit(
        self, weight: Callable[[], float]
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Return a permit at once."""
        return contextlib.nullcontext()
