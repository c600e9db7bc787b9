"""The part of one organisation's limit that an entry has leased."""

from collections.abc import Sequence
import math

from lacewingpitch import clock as clock_module
from lacewingpitch import limit_tenure
from lacewingpitch import organisation
from lacewingpitch import token_bucket
from lacewingpitch import usage_lease

# Leases cover the expected demand of this time.
_LEASE_AHEAD_S = 0.5
# Time constant of the moving average of the demand.
_DEMAND_AVERAGE_S = 4.0
# Capacity of the fallback bucket, in seconds of its rate.
_FALLBACK_BURST_S = 1.0
_MIN_RATE_PER_S = 1e-3


class LeasedUsage:
    """An organisation's leased units at one entry, and a fallback.

    The fallback is a local token bucket that is used while the owner of the
    limit is unreachable.

    Parameters
    ----------
    entry_count
        Known number of entries that share the limit.
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
        # Level of the owner's bucket at its last answer.
        self._owner_level = math.inf
        self._owner_level_at_s = now_s
        self._fallback = token_bucket.TokenBucket(1.0, 1.0, 1.0, now_s)
        share_per_s = limit.rate_per_s / max(1, entry_count)
        self._set_fallback_rate(usage_lease.UNREACHABLE_RATIO * share_per_s)

    @property
    def is_idle(self) -> bool:
        """Whether the object can be dropped, as it wasn't used lately."""
        idle_s = self._clock.boot_s() - self._used_at_s
        return idle_s > 10.0 * _DEMAND_AVERAGE_S

    def apply_limit(self, limit: organisation.UsageLimit) -> None:
        """Apply another limit, which ends the current lease."""
        if limit == self._limit:
            return
        ratio = limit.rate_per_s / self._limit.rate_per_s
        self._limit = limit
        self._level = 0.0
        self._owner_level = math.inf
        self._set_fallback_rate(self._fallback.rate_per_s * ratio)

    def spend(self, cost: float) -> bool:
        """Use leased units; return whether there were enough."""
        now_s = self._clock.boot_s()
        if self._leased_level() < cost:
            return False
        self._level -= cost
        self._record_used(cost, now_s)
        return True

    def owner_wait_s(self, cost: float) -> float:
        """Return the time until the owner can have `cost` units.

        It is 0 if the owner may have them now.
        """
        waited_s = self._clock.boot_s() - self._owner_level_at_s
        missing = min(cost, self._limit.burst) - self._owner_level
        return max(0.0, missing / self._limit.rate_per_s - waited_s)

    def spend_fallback(self, cost: float) -> bool:
        """Use units of the fallback; return whether it had any."""
        now_s = self._clock.boot_s()
        if self._fallback.level(now_s) <= 0.0:
            return False
        self._fallback.add(-cost, now_s)
        self._record_used(cost, now_s)
        return True

    def fallback_wait_s(self) -> float:
        """Return the time until the fallback has units again."""
        return self._fallback.wait_s(0.0, self._clock.boot_s())

    def refund(self, cost: float) -> None:
        """Return the units of a request that did not run."""
        now_s = self._clock.boot_s()
        self._record_used(-cost, now_s)
        if now_s >= self._expires_at_s:
            # The units are returned to the owner with the next message.
            self._expires_at_s = now_s + usage_lease.LEASE_S
        self._level += cost

    def want(
        self,
        name: str,
        costs: Sequence[float],
        claim: limit_tenure.Claim,
    ) -> usage_lease.UsageWant:
        """Return the message for the owner, which returns the lease.

        Parameters
        ----------
        costs
            Units needed by each waiting request, in the order of arrival.
        claim
            By which list the receiver is the owner.
        """
        now_s = self._clock.boot_s()
        self._record_used(0.0, now_s)
        # The lease is too small for the first waiting request, so it is
        # returned.
        unused, self._level = self._level, 0.0
        return usage_lease.UsageWant(
            organisation=name,
            rate_per_s=self._limit.rate_per_s,
            burst=self._limit.burst,
            costs=tuple(costs),
            ahead=self._used_per_s * _LEASE_AHEAD_S,
            unused=unused,
            used_per_s=self._used_per_s,
            claim=claim,
        )

    def cession(
        self, name: str, claim: limit_tenure.Claim
    ) -> usage_lease.UsageWant:
        """Return the message that asks an owner before to cede the limit."""
        return usage_lease.UsageWant(
            organisation=name,
            rate_per_s=self._limit.rate_per_s,
            burst=self._limit.burst,
            costs=(),
            ahead=0.0,
            claim=claim,
        )

    def apply(
        self,
        grant: usage_lease.UsageGrant,
        costs: Sequence[float],
        asked_at_s: float,
    ) -> None:
        """Apply a grant; the lease runs from `asked_at_s`.

        Parameters
        ----------
        costs
            Units needed by each request that waited for the grant.
        """
        now_s = self._clock.boot_s()
        self._set_fallback_rate(grant.unreached_per_s)
        self._owner_level = grant.left
        self._owner_level_at_s = asked_at_s
        for cost, is_admitted in zip(costs, grant.admitted, strict=False):
            if is_admitted:
                self._record_used(cost, now_s)
        if grant.ahead:
            self._level += grant.ahead
            self._expires_at_s = asked_at_s + usage_lease.LEASE_S

    def _leased_level(self) -> float:
        if self._clock.boot_s() >= self._expires_at_s:
            return 0.0
        return self._level

    def _record_used(self, cost: float, now_s: float) -> None:
        passed_s = now_s - self._used_at_s
        self._used_at_s = now_s
        self._used_per_s *= math.exp(-passed_s / _DEMAND_AVERAGE_S)
        self._used_per_s = max(
            0.0, self._used_per_s + cost / _DEMAND_AVERAGE_S
        )

    def _set_fallback_rate(self, rate_per_s: float) -> None:
        rate_per_s = max(_MIN_RATE_PER_S, rate_per_s)
        self._fallback.change(
            rate_per_s, rate_per_s * _FALLBACK_BURST_S, self._clock.boot_s()
        )
