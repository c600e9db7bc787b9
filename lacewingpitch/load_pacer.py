"""When the weight store has room for one more load."""

from collections.abc import Callable
import contextlib
from typing import Protocol


class LoadPacer(Protocol):
    """Says when the store has room for one more load."""

    def permit(
        self, weight: Callable[[], float]
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Wait for a permit and keep it for the length of a load.

        Parameters
        ----------
        weight
            What waiting costs; it may grow meanwhile.
        """
        ...


class UnlimitedLoads:
    """Lets every load start at once."""

    def permit(
        self, weight: Callable[[], float]
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Return a permit at once."""
        return contextlib.nullcontext()
