"""Requests that wait for their adapter to be loaded, by adapter."""

import asyncio
from collections.abc import Iterator
import dataclasses
from typing import Generic, TypeVar

from lacewingpitch import clock as clock_module

# The cost of a request doubles after this wait and grows further, so that
# adapters with more waiting requests cannot starve it.
_AGING_S = 30.0
_Result = TypeVar('_Result')


@dataclasses.dataclass(slots=True, eq=False)
class Waiter(Generic[_Result]):
    """One waiting request.

    Parameters
    ----------
    weight
        Cost of its waiting, relative to other requests.
    since_s
        When it started to wait.
    future
        Receives what it waits for, or the error that ends the wait.
    use_s
        How long it is expected to use the adapter, if known.
    """

    weight: float
    since_s: float
    future: asyncio.Future[_Result]
    use_s: float | None = None


class AdapterWaiters(Generic[_Result]):
    """Groups waiting requests by adapter and sums their waiting cost.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._waiters: dict[str, list[Waiter[_Result]]] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(map(len, self._waiters.values()))

    def __contains__(self, name: str) -> bool:
        """Whether any request waits for an adapter."""
        return name in self._waiters

    def __iter__(self) -> Iterator[str]:
        """Iterate over the adapters with waiting requests."""
        return iter(self._waiters)

    def add(
        self, name: str, weight: float, use_s: float | None = None
    ) -> Waiter[_Result]:
        """Add a waiting request for an adapter."""
        waiter: Waiter[_Result] = Waiter(
            weight,
            self._clock.monotonic_s(),
            asyncio.get_running_loop().create_future(),
            use_s,
        )
        self._waiters.setdefault(name, []).append(waiter)
        return waiter

    def remove(self, name: str, waiter: Waiter[_Result]) -> None:
        """Remove a waiting request, if it is still there."""
        waiters = self._waiters.get(name, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(name, None)

    def pop_all(self, name: str) -> list[Waiter[_Result]]:
        """Remove the requests for an adapter; return those not done."""
        waiters = self._waiters.pop(name, [])
        return [waiter for waiter in waiters if not waiter.future.done()]

    def cost(self, name: str) -> float:
        """Return the total waiting cost of the requests for an adapter."""
        now_s = self._clock.monotonic_s()
        return sum(
            waiter.weight * (1.0 + (now_s - waiter.since_s) / _AGING_S)
            for waiter in self._waiters.get(name, ())
        )

    def use_s(self, name: str) -> float:
        """Return the longest expected use among the waiting requests."""
        waiters = self._waiters.get(name, ())
        return max((waiter.use_s or 0.0 for waiter in waiters), default=0.0)

    def longest_wait_s(self, name: str) -> float:
        """Return how long the first request for an adapter has waited."""
        waiters = self._waiters.get(name)
        if not waiters:
            return 0.0
        return self._clock.monotonic_s() - waiters[0].since_s
