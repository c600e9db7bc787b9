"""What one entry instance may admit for one customer, without asking."""

import math

from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import limit_lease
from lacewingpitch import token_bucket

_DEMAND_GAIN = 0.5
_HEADROOM_RATIO = 0.25
_UNREACHED_S = 3.0
_STEADY_PER_S = 1.0
_LEAST_TOKENS = 1.0
_PLACES_RETRY_S = 0.1
_SURPLUS_RATIO = 2.0
_SPARE_RATIO = 4
_SPARE_PLACES_RATIO = 10
_SPARE_S = 10.0
_KEPT_RATIO = 2


class LeasedLimit:
    """Leases of one customer, and the share to fall back on.

    While the owner answers, only what it leased is spent.  When it does
    not, an entry instance admits its share of the limit, one part in as
    many as there are entry instances.

    Parameters
    ----------
    clock
        Source of time.
    contract
        The customer's contract.
    entry_count
        Over how many entry instances the limit is shared.
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
        self._share = token_bucket.TokenBucket(1.0, 1.0, 1.0, now_s)
        self._token_share = token_bucket.TokenBucket(1.0, 1.0, 1.0, now_s)
        self._size_share(now_s)
        self._share.add(self._share.capacity, now_s)
        self._token_share.add(self._token_share.capacity, now_s)
        self._requests = 0.0
        self._tokens = 0.0
        self._running_allowed = 0
        self._waiting_allowed = 0
        self._expires_s = now_s
        self._ask_after_s = now_s
        self._places_after_s = now_s
        self._unreached_until_s = 0.0
        self._asked_s = now_s
        self._renewed_s = now_s
        self._arrived = 0
        self._admitted = 0
        self._charged = 0.0
        self._arrived_per_s = 0.0
        self._demand_per_s = 0.0
        self._token_demand_per_s = 0.0
        self._asked_running: int | None = None
        self._asked_waiting = 0
        self._must_renew = False
        self._asked_debt = 0.0
        self._promised = False
        self._estimate = _LEAST_TOKENS
        self._used_s = now_s
        self.running = 0
        self.waiting = 0

    def share_over(self, entry_count: int) -> None:
        """Take over how many entry instances share the limit."""
        self._entry_count = entry_count
        self._size_share(self._clock.monotonic_s())

    def change(self, contract: contract_module.Contract) -> None:
        """Put a new contract in force; what was leased is void."""
        if contract.limits == self._limits:
            return
        self._limits = contract.limits
        now_s = self._clock.monotonic_s()
        self._size_share(now_s)
        self._expires_s = self._ask_after_s = now_s
        self._places_after_s = now_s
        self._requests = 0.0
        self._tokens = min(0.0, self._tokens)

    @property
    def is_leased(self) -> bool:
        """Whether a lease is in force."""
        return self._clock.monotonic_s() < self._expires_s

    @property
    def is_cut_off(self) -> bool:
        """Whether the owner did not answer of late."""
        return self._clock.monotonic_s() < self._unreached_until_s

    @property
    def is_quiet(self) -> bool:
        """Whether it has only calls that run, and so a long lease."""
        return not (
            self._promised
            or self.waiting
            or self._is_called_often
            or self._tokens < 0
            or self.is_cut_off
        )

    @property
    def _is_called_often(self) -> bool:
        passed_s = self._clock.monotonic_s() - self._asked_s
        return self._arrived > 1 + passed_s * _STEADY_PER_S / 2

    @property
    def _free_places(self) -> int:
        used = self.running + self.waiting
        return self._running_allowed - used if self.is_leased else 0

    @property
    def _has_surplus(self) -> bool:
        # Of a large limit the place of a call that ended stays, as the
        # one ahead of the next: giving it back was half of all messages.
        # It is free at the owner again when the lease lapses.
        return self._free_places > _KEPT_RATIO * self._spare_places

    @property
    def _spare_places(self) -> int:
        places = self._limits.concurrent_requests
        return self._spare(places / _SPARE_PLACES_RATIO)

    def _spare(self, limit: float) -> int:
        # What all entries keep for calls to come is a small part of the
        # limit: else a customer would be refused at one entry for what
        # lies idle at the others.  A request without a place is no use.
        places = self._limits.concurrent_requests / _SPARE_PLACES_RATIO
        if self._promised or places < self._entry_count:
            return 0
        most = limit // self._entry_count
        return int(min(most, 1 + self._demand_per_s * _SPARE_S))

    @property
    def _quiet_ratio(self) -> float:
        # A place that came free is given back soon, though not at once:
        # a customer that is called here and there would fill its limit
        # with places that are only leased.
        if self._has_surplus:
            return _SURPLUS_RATIO
        return (
            limit_lease.LONG_RENEWAL_INTERVAL_S
            / limit_lease.RENEWAL_INTERVAL_S
        )

    @property
    def may_ask(self) -> bool:
        """Whether the owner may have more than it granted last."""
        now_s = self._clock.monotonic_s()
        return now_s >= self._ask_after_s

    @property
    def may_ask_places(self) -> bool:
        """Whether the owner may have more places than it leased last."""
        return self._clock.monotonic_s() >= self._places_after_s

    def spend(self, tokens: float) -> bool:
        """Spend one request and its estimated tokens, if they are there."""
        now_s = self._clock.monotonic_s()
        self._used_s = now_s
        self._arrived += 1
        self._estimate = max(tokens, _LEAST_TOKENS)
        if self.is_leased and self._requests >= 1 and self._tokens > 0:
            self._requests -= 1
            self._tokens -= tokens
        elif self.is_cut_off and self._has_share(now_s):
            self._share.add(-1, now_s)
            self._token_share.add(-tokens, now_s)
        else:
            return False
        self._admitted += 1
        self._charged += tokens
        return True

    def unspend(self, tokens: float) -> None:
        """Take back a request that was not admitted in the end."""
        self._admitted -= 1
        self.charge(-tokens)
        if self.is_leased:
            self._requests += 1
        else:
            self._share.add(1, self._clock.monotonic_s())

    def charge(self, tokens: float) -> None:
        """Correct an estimate by what was generated; may be negative."""
        self._charged += tokens
        if self.is_leased or not self.is_cut_off:
            self._tokens -= tokens
        else:
            self._token_share.add(-tokens, self._clock.monotonic_s())

    def has_place(self) -> bool:
        """Whether one more request may run."""
        return self.running < self._running_limit()

    def has_waiting_place(self) -> bool:
        """Whether one more request may wait to run."""
        allowed = self._waiting_allowed if self.is_leased else 0
        if self.is_cut_off:
            limit = self._limits.queued_requests
            share = limit_lease.unleased_share(limit, self._entry_count)
            allowed = max(allowed, share)
        return self.waiting < allowed

    def retry_after_s(self) -> float:
        """Return when there is a request to spend again."""
        now_s = self._clock.monotonic_s()
        if self.is_cut_off:
            return max(
                self._share.wait_s(1.0, now_s),
                self._token_share.wait_s(_LEAST_TOKENS, now_s),
            )
        return max(0.0, self._ask_after_s - now_s)

    def needs_renewal(self, after_s: float) -> bool:
        """Whether to ask again `after_s` seconds after the last time."""
        now_s = self._clock.monotonic_s()
        in_use = self.running or self.waiting or self._free_places > 0
        if self._must_renew and in_use:
            return True
        if self.is_quiet:
            after_s *= self._quiet_ratio
        if now_s - self._renewed_s < after_s:
            return False
        busy = self.running or self.waiting or self._promised
        busy = busy or self._has_surplus
        return bool(busy or self._tokens < 0 or self._admitted > 1)

    def renew_now(self) -> None:
        """Tell a new owner at once which places are in use."""
        # Its leases leave those places out of account until it is told,
        # so that the limit would be held twice for as long as a lease.
        self._must_renew = True

    def is_idle(self) -> bool:
        """Whether nothing is lost by forgetting it."""
        now_s = self._clock.monotonic_s()
        return (
            not self.running
            and not self.waiting
            and not self.is_leased
            and not self._promised
            and self._tokens >= 0
            and now_s - self._used_s > limit_lease.LEASE_DURATION_S
            and self._share.is_full(now_s)
            and self._token_share.is_full(now_s)
        )

    def want(
        self, pending: int, pending_tokens: float
    ) -> limit_lease.LeaseWant:
        """Return what to ask for, `pending` requests wait for the reply."""
        now_s = self._clock.monotonic_s()
        self._measure_demand(now_s)
        self._drop_expired(now_s)
        # Also a holder that gets little of a limit in full use promises:
        # cut off, it would begin to admit its share.
        self._promised = self._arrived_per_s >= _STEADY_PER_S
        ahead_s = limit_lease.RENEWAL_INTERVAL_S * (1 + _HEADROOM_RATIO)
        target = math.ceil(self._demand_per_s * ahead_s) + pending
        target += self._spare(self._limits.burst_requests / _SPARE_RATIO)
        target_tokens: float = math.ceil(
            self._token_demand_per_s * ahead_s + pending_tokens
        )
        capacity = self._limits.tokens_per_s * limit_lease.TOKEN_BURST_S
        spare_calls = self._spare(capacity / self._estimate / _SPARE_RATIO)
        target_tokens += spare_calls * self._estimate
        if pending or target:
            target_tokens = max(target_tokens, _LEAST_TOKENS)
        back = max(0, math.floor(self._requests - target))
        tokens_back = max(0, math.floor(self._tokens - target_tokens))
        tokens_back += min(0, math.floor(self._tokens))
        self._requests -= back
        self._tokens -= tokens_back
        self._asked_debt = float(min(0, tokens_back))
        used = self.running + self.waiting
        running = used + pending
        running += max(
            math.ceil(self.running * _HEADROOM_RATIO),
            self._spare_places,
        )
        waiting = self.waiting + pending
        self._must_renew = False
        self._renewed_s = now_s
        self._asked_running = running
        self._asked_waiting = waiting
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
            self._promised,
        )

    def apply(self, part: limit_lease.LeaseGrant, asked_s: float) -> None:
        """Take over what was leased; the lease runs from `asked_s`."""
        now_s = self._clock.monotonic_s()
        asked_running, self._asked_running = self._asked_running, None
        self._asked_debt = 0.0
        self._drop_expired(now_s)
        # The time runs from before the message left, so a reply that was
        # long under way, or read by a process that was paused, is no
        # lease any more: the owner may have leased the places again.
        self._expires_s = asked_s + limit_lease.lease_duration_s(
            self._promised
        )
        self._requests += part.requests
        self._tokens += part.tokens
        self._running_allowed = part.running
        self._waiting_allowed = part.waiting
        self._ask_after_s = now_s + part.retry_after_s
        # Only with neither a place to run nor one to wait is asking again
        # at once in vain.
        is_short = part.running < (asked_running or 0)
        if is_short and part.waiting < self._asked_waiting:
            self._places_after_s = now_s + _PLACES_RETRY_S
        self._unreached_until_s = 0.0

    def fail(self) -> None:
        """Note that the owner did not answer."""
        self.withdraw()
        now_s = self._clock.monotonic_s()
        self._unreached_until_s = now_s + _UNREACHED_S

    def withdraw(self) -> None:
        """Take back what was asked and not answered."""
        self._asked_running = None
        # What was given back is lost if the owner never heard of it; a
        # debt must not be, or cut links would make tokens free.
        self._tokens += self._asked_debt
        self._asked_debt = 0.0

    def _running_limit(self) -> int:
        allowed = self._running_allowed if self.is_leased else 0
        # The owner may lease elsewhere what an ask under way gives back.
        if self._asked_running is not None:
            allowed = min(allowed, self._asked_running)
        if self.is_cut_off:
            limit = self._limits.concurrent_requests
            share = limit_lease.unleased_share(limit, self._entry_count)
            allowed = max(allowed, share)
        return allowed

    def _has_share(self, now_s: float) -> bool:
        requests = self._share.level(now_s)
        return requests >= 1 and self._token_share.level(now_s) > 0

    def _drop_expired(self, now_s: float) -> None:
        # What was leased by an owner of long ago counts for nothing: its
        # bucket has refilled since, or another owner has a new one.
        if now_s >= self._expires_s:
            self._requests = 0.0
            self._tokens = min(0.0, self._tokens)
            self._running_allowed = 0
            self._waiting_allowed = 0

    def _measure_demand(self, now_s: float) -> None:
        passed_s = now_s - self._asked_s
        if passed_s < limit_lease.RENEWAL_INTERVAL_S / 2:
            return
        gain = 1 - (1 - _DEMAND_GAIN) ** (
            passed_s / limit_lease.RENEWAL_INTERVAL_S
        )
        requests_per_s = self._admitted / passed_s
        tokens_per_s = max(0.0, self._charged) / passed_s
        arrived_per_s = self._arrived / passed_s
        self._arrived_per_s += gain * (arrived_per_s - self._arrived_per_s)
        self._demand_per_s += gain * (requests_per_s - self._demand_per_s)
        self._token_demand_per_s += gain * (
            tokens_per_s - self._token_demand_per_s
        )
        self._arrived = 0
        self._admitted = 0
        self._charged = 0.0
        self._asked_s = now_s

    def _size_share(self, now_s: float) -> None:
        count = self._entry_count
        limits = self._limits
        self._share.change(
            limits.requests_per_s / count,
            max(1.0, limits.burst_requests / count),
            now_s,
        )
        tokens_per_s = limits.tokens_per_s / count
        self._token_share.change(
            tokens_per_s, tokens_per_s * limit_lease.TOKEN_BURST_S, now_s
        )
