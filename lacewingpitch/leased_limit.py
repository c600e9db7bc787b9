"""The part of one customer's limits that an entry instance has leased."""

import math

from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import limit_lease
from lacewingpitch import token_bucket

# Weight of the last renewal interval in the moving averages of the demand.
_DEMAND_SMOOTHING = 0.5
# Leased in addition to the expected demand, relative to it.
_HEADROOM_RATIO = 0.25
# Time for which an owner counts as unreachable after it didn't answer.
_UNREACHABLE_S = 3.0
# Customers with at least this rate get short leases, which are renewed.
_FREQUENT_PER_S = 1.0
_MIN_TOKENS = 1.0
_SLOTS_RETRY_S = 0.1
# With surplus slots, a long lease is renewed after so many short renewal
# intervals.
_SURPLUS_INTERVAL_RATIO = 2.0
# All entries together keep at most 1/4 of a rate and 1/10 of the slots for
# requests to come.
_SPARE_LIMIT_DIVISOR = 4
_SPARE_SLOTS_DIVISOR = 10
_SPARE_DEMAND_S = 10.0
# Free slots beyond so many times the spare ones are surplus.
_MAX_FREE_SLOTS_RATIO = 2


class LeasedLimit:
    """A customer's lease at one entry instance, and its fallback share.

    While the owner answers, only leased requests, tokens and slots are
    used.  While the owner is unreachable, the entry instance admits its
    equal share of the limit, which is the limit divided by the number of
    entry instances.

    Parameters
    ----------
    clock
        Source of time.
    contract
        The customer's contract.
    entry_count
        Number of entry instances that share the limit.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        contract: contract_module.Contract,
        entry_count: int,
    ) -> None:
        self._clock = clock
        self.customer = contract.customer
        self._limits = contract.limits
        self._entry_count = entry_count
        now_s = clock.monotonic_s()
        self._request_share = token_bucket.TokenBucket(1.0, 1.0, 1.0, now_s)
        self._token_share = token_bucket.TokenBucket(1.0, 1.0, 1.0, now_s)
        self._resize_shares(now_s)
        self._request_share.add(self._request_share.capacity, now_s)
        self._token_share.add(self._token_share.capacity, now_s)
        self._requests = 0.0
        self._tokens = 0.0
        self._running_allowed = 0
        self._waiting_allowed = 0
        self._expires_at_s = now_s
        self._ask_after_s = now_s
        self._ask_slots_after_s = now_s
        self._unreachable_until_s = 0.0
        self._measured_at_s = now_s
        self._renewed_at_s = now_s
        self._arrived_count = 0
        self._admitted_count = 0
        self._charged_tokens = 0.0
        self._arrived_per_s = 0.0
        self._demand_per_s = 0.0
        self._token_demand_per_s = 0.0
        self._pending_running: int | None = None
        self._pending_waiting = 0
        self._must_renew = False
        self._pending_debt = 0.0
        self._commits_to_renew = False
        self._tokens_per_request = _MIN_TOKENS
        self._used_at_s = now_s
        self.running = 0
        self.waiting = 0

    def set_entry_count(self, entry_count: int) -> None:
        """Set the number of entry instances that share the limit."""
        self._entry_count = entry_count
        self._resize_shares(self._clock.monotonic_s())

    def apply_contract(self, contract: contract_module.Contract) -> None:
        """Apply a new contract; changed limits end the current lease."""
        if contract.limits == self._limits:
            return
        self._limits = contract.limits
        now_s = self._clock.monotonic_s()
        self._resize_shares(now_s)
        self._expires_at_s = self._ask_after_s = now_s
        self._ask_slots_after_s = now_s
        self._requests = 0.0
        self._tokens = min(0.0, self._tokens)

    @property
    def is_leased(self) -> bool:
        """Whether a lease is in force."""
        return self._clock.monotonic_s() < self._expires_at_s

    @property
    def is_owner_unreachable(self) -> bool:
        """Whether the owner recently failed to answer."""
        return self._clock.monotonic_s() < self._unreachable_until_s

    @property
    def has_low_traffic(self) -> bool:
        """Whether new requests are rare, so that the lease may be long."""
        return not (
            self._commits_to_renew
            or self.waiting
            or self._has_frequent_requests
            or self._tokens < 0
            or self.is_owner_unreachable
        )

    @property
    def _has_frequent_requests(self) -> bool:
        passed_s = self._clock.monotonic_s() - self._measured_at_s
        return self._arrived_count > 1 + passed_s * _FREQUENT_PER_S / 2

    @property
    def _free_slots(self) -> int:
        used = self.running + self.waiting
        return self._running_allowed - used if self.is_leased else 0

    @property
    def _has_surplus(self) -> bool:
        # With a large limit, the slot of a request that ended is kept for
        # the next one: returning each slot would be half of all messages.
        # The owner has it again when the lease expires.
        return self._free_slots > _MAX_FREE_SLOTS_RATIO * self._spare_slots

    @property
    def _spare_slots(self) -> int:
        slots = self._limits.concurrent_requests
        return self._spare(slots / _SPARE_SLOTS_DIVISOR)

    def _spare(self, limit: float) -> int:
        # All entries together keep only a small part of the limit for
        # requests to come.  Otherwise a customer would be refused at one
        # entry while its limit is unused at the others.  If there are fewer
        # spare slots than entries, spare requests have no slot to run in.
        slots = self._limits.concurrent_requests / _SPARE_SLOTS_DIVISOR
        if self._commits_to_renew or slots < self._entry_count:
            return 0
        most = limit // self._entry_count
        return int(min(most, 1 + self._demand_per_s * _SPARE_DEMAND_S))

    @property
    def _renewal_interval_ratio(self) -> float:
        # Surplus slots are returned soon, though not at once: a customer
        # whose requests come at many entries would otherwise fill its limit
        # with slots that are leased and not used.
        if self._has_surplus:
            return _SURPLUS_INTERVAL_RATIO
        return (
            limit_lease.LONG_RENEWAL_INTERVAL_S
            / limit_lease.RENEWAL_INTERVAL_S
        )

    @property
    def may_ask(self) -> bool:
        """Whether the owner may have more than in its last grant."""
        now_s = self._clock.monotonic_s()
        return now_s >= self._ask_after_s

    @property
    def may_ask_slots(self) -> bool:
        """Whether the owner may have more slots than in its last grant."""
        return self._clock.monotonic_s() >= self._ask_slots_after_s

    def spend(self, tokens: float) -> bool:
        """Use one request and its estimated tokens.

        Returns
        -------
        bool
            Whether both were available; if not, nothing is used.
        """
        now_s = self._clock.monotonic_s()
        self._used_at_s = now_s
        self._arrived_count += 1
        self._tokens_per_request = max(tokens, _MIN_TOKENS)
        if self.is_leased and self._requests >= 1 and self._tokens > 0:
            self._requests -= 1
            self._tokens -= tokens
        elif self.is_owner_unreachable and self._has_unleased_share(now_s):
            self._request_share.add(-1, now_s)
            self._token_share.add(-tokens, now_s)
        else:
            return False
        self._admitted_count += 1
        self._charged_tokens += tokens
        return True

    def refund(self, tokens: float) -> None:
        """Return the request and the tokens of a call of `spend`."""
        self._admitted_count -= 1
        self.charge(-tokens)
        if self.is_leased:
            self._requests += 1
        else:
            self._request_share.add(1, self._clock.monotonic_s())

    def charge(self, tokens: float) -> None:
        """Charge the difference between used and estimated tokens.

        It is negative if fewer tokens were generated than estimated.
        """
        self._charged_tokens += tokens
        if self.is_leased or not self.is_owner_unreachable:
            self._tokens -= tokens
        else:
            self._token_share.add(-tokens, self._clock.monotonic_s())

    def has_running_slot(self) -> bool:
        """Whether one more request may run."""
        return self.running < self._allowed_running()

    def has_queue_slot(self) -> bool:
        """Whether one more request may wait for a slot to run."""
        allowed = self._waiting_allowed if self.is_leased else 0
        if self.is_owner_unreachable:
            limit = self._limits.queued_requests
            share = limit_lease.unleased_share(limit, self._entry_count)
            allowed = max(allowed, share)
        return self.waiting < allowed

    def retry_after_s(self) -> float:
        """Return the time until a request may be admitted again."""
        now_s = self._clock.monotonic_s()
        if self.is_owner_unreachable:
            return max(
                self._request_share.wait_s(1.0, now_s),
                self._token_share.wait_s(_MIN_TOKENS, now_s),
            )
        return max(0.0, self._ask_after_s - now_s)

    def needs_renewal(self, after_s: float) -> bool:
        """Whether to renew the lease now.

        Parameters
        ----------
        after_s
            Time between renewals of a short lease.  Long leases are renewed
            after a multiple of it.
        """
        now_s = self._clock.monotonic_s()
        in_use = self.running or self.waiting or self._free_slots > 0
        if self._must_renew and in_use:
            return True
        if self.has_low_traffic:
            after_s *= self._renewal_interval_ratio
        if now_s - self._renewed_at_s < after_s:
            return False
        is_busy = self.running or self.waiting or self._commits_to_renew
        is_busy = is_busy or self._has_surplus
        return bool(is_busy or self._tokens < 0 or self._admitted_count > 1)

    def request_renewal(self) -> None:
        """Request a renewal that reports the slots in use to a new owner."""
        # Until a new owner knows the slots in use here, it may lease them
        # to others: the limit would be exceeded for the duration of a
        # lease.
        self._must_renew = True

    def is_idle(self) -> bool:
        """Whether the object can be dropped without losing state."""
        now_s = self._clock.monotonic_s()
        return (
            not self.running
            and not self.waiting
            and not self.is_leased
            and not self._commits_to_renew
            and self._tokens >= 0
            and now_s - self._used_at_s > limit_lease.LEASE_DURATION_S
            and self._request_share.is_full(now_s)
            and self._token_share.is_full(now_s)
        )

    def want(
        self, pending: int, pending_tokens: float
    ) -> limit_lease.LeaseWant:
        """Return the request for a lease, and deduct what it returns.

        Parameters
        ----------
        pending, pending_tokens
            Requests that wait for the reply, and their tokens.
        """
        now_s = self._clock.monotonic_s()
        self._measure_demand(now_s)
        self._drop_expired(now_s)
        # The arrivals count, not the admitted requests: a holder that gets
        # little of a fully used limit commits to renew, too, since it would
        # admit its share while the owner is unreachable.
        self._commits_to_renew = self._arrived_per_s >= _FREQUENT_PER_S
        ahead_s = limit_lease.RENEWAL_INTERVAL_S * (1 + _HEADROOM_RATIO)
        target = math.ceil(self._demand_per_s * ahead_s) + pending
        target += self._spare(
            self._limits.burst_requests / _SPARE_LIMIT_DIVISOR
        )
        target_tokens: float = math.ceil(
            self._token_demand_per_s * ahead_s + pending_tokens
        )
        capacity = self._limits.tokens_per_s * limit_lease.TOKEN_BURST_S
        spare_calls = self._spare(
            capacity / self._tokens_per_request / _SPARE_LIMIT_DIVISOR
        )
        target_tokens += spare_calls * self._tokens_per_request
        if pending or target:
            target_tokens = max(target_tokens, _MIN_TOKENS)
        back = max(0, math.floor(self._requests - target))
        tokens_back = max(0, math.floor(self._tokens - target_tokens))
        tokens_back += min(0, math.floor(self._tokens))
        self._requests -= back
        self._tokens -= tokens_back
        self._pending_debt = float(min(0, tokens_back))
        used = self.running + self.waiting
        running = used + pending
        running += max(
            math.ceil(self.running * _HEADROOM_RATIO),
            self._spare_slots,
        )
        waiting = self.waiting + pending
        self._must_renew = False
        self._renewed_at_s = now_s
        self._pending_running = running
        self._pending_waiting = waiting
        return limit_lease.LeaseWant(
            self.customer,
            max(0, math.ceil(target - self._requests)),
            max(0, math.ceil(target_tokens - self._tokens)),
            running,
            waiting,
            self.running,
            self.waiting,
            back,
            tokens_back,
            self._commits_to_renew,
        )

    def apply(self, grant: limit_lease.LeaseGrant, asked_s: float) -> None:
        """Apply a grant; the lease runs from `asked_s`."""
        now_s = self._clock.monotonic_s()
        asked_running, self._pending_running = self._pending_running, None
        self._pending_debt = 0.0
        self._drop_expired(now_s)
        # The lease runs from before the message was sent.  A reply that was
        # delayed for longer, or read after a pause of this process, grants
        # nothing: the owner may have leased the slots again.
        self._expires_at_s = asked_s + limit_lease.lease_duration_s(
            self._commits_to_renew
        )
        self._requests += grant.requests
        self._tokens += grant.tokens
        self._running_allowed = grant.running
        self._waiting_allowed = grant.waiting
        self._ask_after_s = now_s + grant.retry_after_s
        # Asking again at once is useless only if both the slots to run and
        # those to wait are short.
        is_short = grant.running < (asked_running or 0)
        if is_short and grant.waiting < self._pending_waiting:
            self._ask_slots_after_s = now_s + _SLOTS_RETRY_S
        self._unreachable_until_s = 0.0

    def mark_unreachable(self) -> None:
        """Record that the owner did not answer."""
        self.cancel_ask()
        now_s = self._clock.monotonic_s()
        self._unreachable_until_s = now_s + _UNREACHABLE_S

    def cancel_ask(self) -> None:
        """Record that the last `want` got no grant."""
        self._pending_running = None
        # What the message returned stays deducted here, and is lost if the
        # owner didn't receive it.  A debt must not be lost, or broken links
        # would make tokens free.
        self._tokens += self._pending_debt
        self._pending_debt = 0.0

    def _allowed_running(self) -> int:
        allowed = self._running_allowed if self.is_leased else 0
        # The owner may already lease to others the slots that an
        # unanswered message returns.
        if self._pending_running is not None:
            allowed = min(allowed, self._pending_running)
        if self.is_owner_unreachable:
            limit = self._limits.concurrent_requests
            share = limit_lease.unleased_share(limit, self._entry_count)
            allowed = max(allowed, share)
        return allowed

    def _has_unleased_share(self, now_s: float) -> bool:
        requests = self._request_share.level(now_s)
        return requests >= 1 and self._token_share.level(now_s) > 0

    def _drop_expired(self, now_s: float) -> None:
        # Requests of an expired lease can't be used: the owner's bucket has
        # refilled since, or a new owner has another bucket.
        if now_s >= self._expires_at_s:
            self._requests = 0.0
            self._tokens = min(0.0, self._tokens)
            self._running_allowed = 0
            self._waiting_allowed = 0

    def _measure_demand(self, now_s: float) -> None:
        passed_s = now_s - self._measured_at_s
        if passed_s < limit_lease.RENEWAL_INTERVAL_S / 2:
            return
        weight = 1 - (1 - _DEMAND_SMOOTHING) ** (
            passed_s / limit_lease.RENEWAL_INTERVAL_S
        )
        requests_per_s = self._admitted_count / passed_s
        tokens_per_s = max(0.0, self._charged_tokens) / passed_s
        arrived_per_s = self._arrived_count / passed_s
        self._arrived_per_s += weight * (arrived_per_s - self._arrived_per_s)
        self._demand_per_s += weight * (requests_per_s - self._demand_per_s)
        self._token_demand_per_s += weight * (
            tokens_per_s - self._token_demand_per_s
        )
        self._arrived_count = 0
        self._admitted_count = 0
        self._charged_tokens = 0.0
        self._measured_at_s = now_s

    def _resize_shares(self, now_s: float) -> None:
        count = self._entry_count
        limits = self._limits
        self._request_share.change(
            limits.requests_per_s / count,
            max(1.0, limits.burst_requests / count),
            now_s,
        )
        tokens_per_s = limits.tokens_per_s / count
        self._token_share.change(
            tokens_per_s, tokens_per_s * limit_lease.TOKEN_BURST_S, now_s
        )
