"""Requests that wait until their adapter is loaded, by adapter."""

import asyncio
from collections.abc import Iterator
import dataclasses
from typing import Generic, TypeVar

from lacewingpitch import clock as clock_module

# A request costs twice its weight when it has waited for so long, and
# none is overtaken for ever by adapters with more waiting.
_AGING_S = 30.0
_Given = TypeVar('_Given')


@dataclasses.dataclass(slots=True, eq=False)
class Waiter(Generic[_Given]):
    """One request that waits.

    Parameters
    ----------
    weight
        What its waiting costs.
    given
        What it waits for, or why it does not get it.
    use_s
        For how long it is expected to use the adapter, if known.
    """

    weight: float
    since_s: float
    given: asyncio.Future[_Given]
    use_s: float | None = None


class AdapterWaiters(Generic[_Given]):
    """Who waits for which adapter, and what their waiting costs.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._waiters: dict[str, list[Waiter[_Given]]] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._waiters.values()))

    def __contains__(self, name: str) -> bool:
        """Whether a request waits for an adapter."""
        return name in self._waiters

    def __iter__(self) -> Iterator[str]:
        """Iterate over the adapters that are waited for."""
        return iter(self._waiters)

    def add(
        self, name: str, weight: float, use_s: float | None = None
    ) -> Waiter[_Given]:
        """Let one more request wait for an adapter."""
        waiter: Waiter[_Given] = Waiter(
            weight,
            self._clock.monotonic_s(),
            asyncio.get_running_loop().create_future(),
            use_s,
        )
        self._waiters.setdefault(name, []).append(waiter)
        return waiter

    def remove(self, name: str, waiter: Waiter[_Given]) -> None:
        """Let a request wait no more."""
        waiters = self._waiters.get(name, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(name, None)

    def take_all(self, name: str) -> list[Waiter[_Given]]:
        """Remove all that wait for an adapter, and return them."""
        waiters = self._waiters.pop(name, [])
        return [waiter for waiter in waiters if not waiter.given.done()]

    def cost(self, name: str) -> float:
        """Return what the waiting for an adapter costs."""
        now_s = self._clock.monotonic_s()
        return sum(
            waiter.weight * (1.0 + (now_s - waiter.since_s) / _AGING_S)
            for waiter in self._waiters.get(name, ())
        )

    def use_s(self, name: str) -> float:
        """Return for how long an adapter is expected to be used."""
        waiters = self._waiters.get(name, ())
        return max((waiter.use_s or 0.0 for waiter in waiters), default=0.0)

    def longest_wait_s(self, name: str) -> float:
        """Return how long the first has waited for an adapter."""
        waiters = self._waiters.get(name)
        if not waiters:
            return 0.0
        return self._clock.monotonic_s() - waiters[0].since_s
