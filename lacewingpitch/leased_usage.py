"""What one entry holds of one organisation's limit."""

from collections.abc import Sequence
import math

from lacewingpitch import clock as clock_module
from lacewingpitch import organisation
from lacewingpitch import token_bucket
from lacewingpitch import usage_lease

# Leases cover so many seconds of demand.
_AHEAD_S = 0.5
# Time constant of the moving average of the demand.
_AVERAGE_S = 4.0
# Burst of the local bucket that stands in for a silent owner.
_UNREACHED_BURST_S = 1.0
_LEAST_RATE_PER_S = 1e-3


class LeasedUsage:
    """Leased units, and what may be used while their owner is silent.

    Parameters
    ----------
    entry_count
        Entries that share the limit, as far as is known.
    """

    def __init__(
        self,
        limit: organisation.UsageLimit,
        entry_count: int,
        clock: clock_module.Clock,
    ) -> None:
        self._clock = clock
        now_s = clock.boot_s()
        self._limit = limit
        self._level = 0.0
        self._expires_at_s = now_s
        self._used_per_s = 0.0
        self._used_at_s = now_s
        # Level of the owner's bucket, as of its last answer.
        self._left = math.inf
        self._left_at_s = now_s
        self._unreached = token_bucket.TokenBucket(1.0, 1.0, 1.0, now_s)
        share_per_s = limit.rate_per_s / max(1, entry_count)
        self._change_unreached(usage_lease.UNREACHED_RATIO * share_per_s)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is lost by forgetting it."""
        idle_s = self._clock.boot_s() - self._used_at_s
        return idle_s > 10.0 * _AVERAGE_S

    def change(self, limit: organisation.UsageLimit) -> None:
        """Put another limit in force; what was leased is void."""
        if limit == self._limit:
            return
        ratio = limit.rate_per_s / self._limit.rate_per_s
        self._limit = limit
        self._level = 0.0
        self._left = math.inf
        self._change_unreached(self._unreached.rate_per_s * ratio)

    def spend(self, cost: float) -> bool:
        """Use leased units; return whether there were enough."""
        now_s = self._clock.boot_s()
        if self._level_now() < cost:
            return False
        self._level -= cost
        self._note_used(cost, now_s)
        return True

    def owner_wait_s(self, cost: float) -> float:
        """Return when the owner can have enough; 0 if it may have now."""
        waited_s = self._clock.boot_s() - self._left_at_s
        missing = min(cost, self._limit.burst) - self._left
        return max(0.0, missing / self._limit.rate_per_s - waited_s)

    def spend_unreached(self, cost: float) -> bool:
        """Use units without a lease, as the owner is silent."""
        now_s = self._clock.boot_s()
        if self._unreached.level(now_s) <= 0.0:
            return False
        self._unreached.add(-cost, now_s)
        self._note_used(cost, now_s)
        return True

    def unreached_wait_s(self) -> float:
        """Return when units can be used again without a lease."""
        return self._unreached.wait_s(0.0, self._clock.boot_s())

    def give_back(self, cost: float) -> None:
        """Take back units of a request that did not run."""
        now_s = self._clock.boot_s()
        self._note_used(-cost, now_s)
        if now_s >= self._expires_at_s:
            # They go back to the owner with the next ask.
            self._expires_at_s = now_s + usage_lease.LEASE_S
        self._level += cost

    def want(self, name: str, costs: Sequence[float]) -> usage_lease.UsageWant:
        """Return what to ask the owner for.

        Parameters
        ----------
        costs
            Of the requests that wait, in their order.
        """
        now_s = self._clock.boot_s()
        self._note_used(0.0, now_s)
        # The lease is too small for the first request, and is returned.
        unused, self._level = self._level, 0.0
        return usage_lease.UsageWant(
            organisation=name,
            rate_per_s=self._limit.rate_per_s,
            burst=self._limit.burst,
            costs=tuple(costs),
            ahead=self._used_per_s * _AHEAD_S,
            unused=unused,
            used_per_s=self._used_per_s,
        )

    def apply(
        self,
        grant: usage_lease.UsageGrant,
        costs: Sequence[float],
        asked_at_s: float,
    ) -> None:
        """Take over what was leased; the lease runs from `asked_at_s`.

        Parameters
        ----------
        costs
            Of the requests that waited.
        """
        now_s = self._clock.boot_s()
        self._change_unreached(grant.unreached_per_s)
        self._left = grant.left
        self._left_at_s = asked_at_s
        for cost, is_admitted in zip(costs, grant.admitted, strict=False):
            if is_admitted:
                self._note_used(cost, now_s)
        if grant.ahead:
            self._level += grant.ahead
            self._expires_at_s = asked_at_s + usage_lease.LEASE_S

    def _level_now(self) -> float:
        if self._clock.boot_s() >= self._expires_at_s:
            return 0.0
        return self._level

    def _note_used(self, cost: float, now_s: float) -> None:
        passed_s = now_s - self._used_at_s
        self._used_at_s = now_s
        self._used_per_s *= math.exp(-passed_s / _AVERAGE_S)
        self._used_per_s = max(0.0, self._used_per_s + cost / _AVERAGE_S)

    def _change_unreached(self, rate_per_s: float) -> None:
        rate_per_s = max(_LEAST_RATE_PER_S, rate_per_s)
        self._unreached.change(
            rate_per_s, rate_per_s * _UNREACHED_BURST_S, self._clock.boot_s()
        )
