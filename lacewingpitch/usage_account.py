"""The state of one organisation's limit at an entry."""

import asyncio
import collections
from collections.abc import Sequence
import dataclasses

from lacewingpitch import leased_usage
from lacewingpitch import limit_tenure
from lacewingpitch import usage_lease

# Limits the requests of an organisation in one message.
_MAX_COSTS_PER_WANT = 64
# An owner may refer to another, which has to take the limit over first.
_MAX_DENIALS = 4


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for a lease."""

    cost: float
    done: asyncio.Future[None]


@dataclasses.dataclass(slots=True)
class Account:
    """What an entry has leased of one limit, and who waits for more.

    Parameters
    ----------
    claim
        The claim after a cession; ``None`` if that of the list counts.
    denied_count
        Denials since the last grant.
    """

    name: str
    leased: leased_usage.LeasedUsage
    waiters: collections.deque[Waiter] = dataclasses.field(
        default_factory=collections.deque
    )
    claim: limit_tenure.Claim | None = None
    denied_count: int = 0

    def add_waiter(self, cost: float) -> Waiter:
        """Return a new waiting request."""
        done = asyncio.get_running_loop().create_future()
        waiter = Waiter(cost, done)
        self.waiters.append(waiter)
        return waiter

    def costs(self) -> list[float]:
        """Return the costs of the requests that the next message covers."""
        return [waiter.cost for waiter in self.waiters][:_MAX_COSTS_PER_WANT]

    def want(
        self, costs: Sequence[float], listed: limit_tenure.Claim
    ) -> usage_lease.UsageWant:
        """Return the message for the owner.

        Parameters
        ----------
        listed
            The claim by the entry's list.
        """
        claim, self.claim = self.claim or listed, None
        return self.leased.want(self.name, costs, claim)

    def record_denial(self) -> bool:
        """Record a denial; return whether to ask again."""
        self.denied_count += 1
        if self.denied_count < _MAX_DENIALS:
            return True
        self.denied_count = 0
        return False
