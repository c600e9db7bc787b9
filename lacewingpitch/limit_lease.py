"""Leases of a customer's limits, from one owner to many holders.

The owner of a customer's limits is one of the entry instances.  It has
the customer's token buckets and hands out parts of them.  What it hands
out is gone from its buckets, so the sum of what the holders spend cannot
pass the contract however messages are lost or late.  Requests and tokens
are spent; places (to run, to wait) are held and given back.
"""

import dataclasses
import math
from typing import Protocol

import msgspec

from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import entry_ring
from lacewingpitch import link
from lacewingpitch import token_bucket

LEASE_S = 6.0
RENEW_S = 2.0
PAUSE_S = 2.0
CONFIRM_S = 2.0
TOKEN_WINDOW_S = 10.0
_MIN_RETRY_S = 0.02
_LEAST_RATIO = 0.001
_MAX_HEARD = 1024


class LeaseWant(msgspec.Struct, frozen=True, array_like=True):
    """What a holder wants for one customer.

    Parameters
    ----------
    requests, tokens
        To be added to what it has.
    running, waiting
        Places that it wants to have in all.
    running_used, waiting_used
        Places that its requests have now.
    requests_back, tokens_back
        Given back; negative for a debt.
    renews
        Whether it promises to ask again or to say that it stops.
    """

    customer: str
    requests: float = 0.0
    tokens: float = 0.0
    running: int = 0
    waiting: int = 0
    running_used: int = 0
    waiting_used: int = 0
    requests_back: float = 0.0
    tokens_back: float = 0.0
    renews: bool = False


class LeaseAsk(link.Message, frozen=True):
    """Asks an owner for leases of many customers at once."""

    holder: str
    incarnation: str
    sequence: int
    wants: tuple[LeaseWant, ...]


class LeasePart(msgspec.Struct, frozen=True, array_like=True):
    """What an owner leases of one customer's limits.

    Parameters
    ----------
    retry_after_s
        When there is more; 0 if all that was wanted was granted.
    """

    customer: str
    requests: float = 0.0
    tokens: float = 0.0
    running: int = 0
    waiting: int = 0
    retry_after_s: float = 0.0


class LeaseReply(link.Message, frozen=True):
    """Leases, without the customers that it does not own."""

    parts: tuple[LeasePart, ...] = ()
    lease_s: float = LEASE_S


class ContractLookup(Protocol):
    """What an owner needs of the contracts in force."""

    def contract(self, customer: str) -> contract_module.Contract | None:
        """Return the contract of a customer."""
        ...


@dataclasses.dataclass(slots=True)
class _Held:
    running: int
    waiting: int
    expires_s: float
    renews: bool
    wanted: float


class _Owned:
    """The buckets and the places of one customer, at its owner."""

    __slots__ = ('requests', 'tokens', 'holders')

    def __init__(
        self, limits: contract_module.Limits, ratio: float, now_s: float
    ) -> None:
        burst = limits.burst_requests
        token_capacity = limits.tokens_per_s * TOKEN_WINDOW_S
        self.requests = token_bucket.TokenBucket(
            limits.requests_per_s, burst, max(1.0, burst * ratio), now_s
        )
        self.tokens = token_bucket.TokenBucket(
            limits.tokens_per_s, token_capacity, token_capacity * ratio, now_s
        )
        self.holders: dict[str, _Held] = {}

    def change(
        self, limits: contract_module.Limits, ratio: float, now_s: float
    ) -> None:
        """Put a part of the limits in force."""
        ratio = max(ratio, _LEAST_RATIO)
        self.requests.change(
            limits.requests_per_s * ratio, limits.burst_requests, now_s
        )
        self.tokens.change(
            limits.tokens_per_s * ratio,
            limits.tokens_per_s * TOKEN_WINDOW_S,
            now_s,
        )

    def silent_count(self, holder: str, now_s: float) -> int:
        # A holder that promised to ask again and does not may be cut off:
        # it admits its share of the limit without asking.  The share is
        # kept free here, or both sides together would pass the contract.
        return sum(
            name != holder and held.expires_s <= now_s
            for name, held in self.holders.items()
        )

    def spread(self, holder: str, want: LeaseWant) -> float:
        others = sum(
            held.wanted
            for name, held in self.holders.items()
            if name != holder
        )
        return want.requests / max(1.0, want.requests + others)

    def hold(
        self,
        holder: str,
        want: LeaseWant,
        limits: contract_module.Limits,
        entries: int,
        now_s: float,
    ) -> _Held:
        running_free = limits.concurrent_requests
        waiting_free = limits.queued_requests
        for name, held in self.holders.items():
            if name == holder:
                continue
            if held.expires_s > now_s:
                running_free -= held.running
                waiting_free -= held.waiting
            else:
                running_free -= share(limits.concurrent_requests, entries)
                waiting_free -= share(limits.queued_requests, entries)
        held = _Held(
            max(want.running_used, min(want.running, running_free)),
            max(want.waiting_used, min(want.waiting, waiting_free)),
            now_s + LEASE_S,
            want.renews,
            want.requests,
        )
        self.holders[holder] = held
        return held

    def retry_after_s(
        self,
        want: LeaseWant,
        requests: float,
        tokens: float,
        now_s: float,
    ) -> float:
        wait_s = 0.0
        if requests < min(1.0, want.requests):
            wait_s = self.requests.wait_s(1.0, now_s)
        if tokens <= 0 < want.tokens:
            wait_s = max(wait_s, self.tokens.wait_s(1.0, now_s))
        return max(_MIN_RETRY_S, wait_s) if wait_s else 0.0

    def is_idle(self, now_s: float) -> bool:
        return (
            not self.holders
            and self.requests.is_full(now_s)
            and self.tokens.is_full(now_s)
        )


def share(limit: int, entry_count: int) -> int:
    """Return the places that an entry instance may use without a lease."""
    return max(1, limit // entry_count)


class LeaseOwner:
    """Leases the limits of the customers that this instance owns.

    Parameters
    ----------
    clock
        Source of time.
    ring
        Says who owns which customer.
    contracts
        The contracts in force.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        ring: entry_ring.EntryRing,
        contracts: ContractLookup,
    ) -> None:
        self._clock = clock
        self._ring = ring
        self._contracts = contracts
        self._owned: dict[str, _Owned] = {}
        self._heard: dict[str, tuple[str, int]] = {}
        self._ticked_s = clock.monotonic_s()
        self._grants_from_s = 0.0

    def __len__(self) -> int:
        return len(self._owned)

    def grant(self, ask: LeaseAsk) -> LeaseReply:
        """Lease what is there, for the customers owned here."""
        now_s = self._clock.monotonic_s()
        self._note_pause(now_s)
        if now_s < self._grants_from_s or not self._is_new(ask):
            return LeaseReply()
        parts = [self._grant_one(ask.holder, w, now_s) for w in ask.wants]
        return LeaseReply(parts=tuple(p for p in parts if p is not None))

    def tick(self) -> None:
        """Note the time, and drop the state of idle customers."""
        now_s = self._clock.monotonic_s()
        self._note_pause(now_s)
        for customer, owned in list(self._owned.items()):
            self._drop_expired(owned, now_s)
            # A full bucket without leases is what a new state starts
            # with, so an idle customer loses nothing by being dropped.
            if owned.is_idle(now_s):
                del self._owned[customer]
        if len(self._heard) > _MAX_HEARD:
            self._heard = {
                name: heard
                for name, heard in self._heard.items()
                if self._ring.is_listed(name)
            }

    def _note_pause(self, now_s: float) -> None:
        # An owner that was paused may have a successor, and its buckets
        # have refilled meanwhile: the customer would get a second burst
        # and a second rate.  So it starts anew, with a share of the burst,
        # and grants nothing until the list had time to reach it.
        if now_s - self._ticked_s > PAUSE_S:
            self._owned.clear()
            self._ring.restart()
            self._grants_from_s = now_s + CONFIRM_S
        self._ticked_s = now_s

    def _is_new(self, ask: LeaseAsk) -> bool:
        # A message may arrive twice; what it gives back must be credited
        # once, or the customer could spend it twice.
        heard = self._heard.get(ask.holder)
        if heard is not None and heard[0] == ask.incarnation:
            if ask.sequence <= heard[1]:
                return False
        self._heard[ask.holder] = (ask.incarnation, ask.sequence)
        return True

    def _grant_one(
        self, holder: str, want: LeaseWant, now_s: float
    ) -> LeasePart | None:
        contract = self._contracts.contract(want.customer)
        if contract is None:
            return None
        if self._ring.owner(contract.customer, contract.region) is not None:
            return None
        limits = contract.limits
        owned = self._find(contract, now_s)
        self._drop_expired(owned, now_s)
        silent = owned.silent_count(holder, now_s)
        entries = self._ring.entry_count(contract.region)
        owned.change(limits, 1 - silent / entries, now_s)
        owned.requests.add(want.requests_back, now_s)
        owned.tokens.add(want.tokens_back, now_s)
        spread = owned.spread(holder, want)
        requests = _part(want.requests, owned.requests.level(now_s), spread)
        requests = float(math.floor(requests))
        tokens = _part(want.tokens, owned.tokens.level(now_s), spread)
        owned.requests.add(-requests, now_s)
        owned.tokens.add(-tokens, now_s)
        held = owned.hold(holder, want, limits, entries, now_s)
        return LeasePart(
            want.customer,
            requests,
            tokens,
            held.running,
            held.waiting,
            owned.retry_after_s(want, requests, tokens, now_s),
        )

    def _find(
        self, contract: contract_module.Contract, now_s: float
    ) -> _Owned:
        customer, region = contract.customer, contract.region
        found = self._owned.get(customer)
        if found is None:
            # No state means an idle customer, or an owner that is new and
            # knows nothing of what the one before it handed out: a whole
            # burst would be doubled.  Such an owner starts with a share
            # of the burst, and with what came in since.
            age_s = self._ring.owned_for_s(customer, region)
            limits = contract.limits
            refill = age_s * limits.requests_per_s / limits.burst_requests
            ratio = min(1.0, 1 / self._ring.entry_count(region) + refill)
            found = self._owned[customer] = _Owned(limits, ratio, now_s)
        return found

    def _drop_expired(self, owned: _Owned, now_s: float) -> None:
        for name, held in list(owned.holders.items()):
            if held.expires_s > now_s:
                continue
            if not held.renews or not self._ring.is_listed(name):
                del owned.holders[name]


def _part(wanted: float, level: float, spread: float) -> float:
    if wanted <= level:
        return max(0.0, wanted)
    return max(min(1.0, level), level * spread, 0.0)
