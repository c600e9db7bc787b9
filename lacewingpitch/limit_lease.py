"""Leases of a customer's limits: messages, and the owner that grants them.

One entry instance, the owner, keeps the token buckets of a customer's
limits.  The other entry instances, the holders, lease parts of them.  A
leased part is deducted from the buckets at once, so the holders together
cannot exceed the contract, however messages are lost or delayed.  Requests
and tokens are consumed; slots, to run or to wait in the queue, are
occupied and released.
"""

from collections.abc import Sequence
import dataclasses
import math
from typing import Protocol

import msgspec

from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import limit_ownership
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import token_bucket

LEASE_DURATION_S = 6.0
RENEWAL_INTERVAL_S = 2.0
# For holders that don't commit to renew, see `lease_duration_s`.
LONG_LEASE_DURATION_S = 30.0
LONG_RENEWAL_INTERVAL_S = 20.0
# A longer gap between two calls of the owner counts as a pause of its
# process.
PAUSE_THRESHOLD_S = 2.0
# Time for a new instance list to arrive after a pause.
PAUSE_RECOVERY_S = 2.0
# After a handover, the previous owner refuses leases for at most this long.
# A new owner asks for a handover only for as long.
HANDOVER_RETENTION_S = 60.0
# Capacity of the bucket of tokens, in seconds of its rate.
TOKEN_BURST_S = 10.0
_MIN_RETRY_S = 0.02
_MIN_RATE_RATIO = 0.001
_MAX_TRACKED_HOLDERS = 1024


class LeaseWant(msgspec.Struct, frozen=True, array_like=True):
    """A holder's request for a part of one customer's limits.

    Parameters
    ----------
    requests, tokens
        Wanted in addition to what the holder has.
    running, waiting
        Total number of slots wanted, to run and to wait in the queue.
    running_used, waiting_used
        Slots that the holder's requests occupy now.
    requests_back, tokens_back
        Returned to the owner's buckets; negative for a debt.
    renews
        Whether the holder commits to renew the lease, or to tell the
        owner that it stops.
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


class LeaseAsk(link.Message, frozen=True, array_like=True):
    """Requests leases of many customers' limits from one owner.

    Parameters
    ----------
    holder
        Name of the entry instance that asks.
    incarnation
        Random identifier of one run of the holder's process.
    sequence
        Rises with each message of one incarnation.
    reads_order
        Whether the reply may omit the customers' names.
    """

    holder: str
    incarnation: str
    sequence: int
    wants: tuple[LeaseWant, ...]
    reads_order: bool = False


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """The part of one customer's limits that an owner leases.

    Parameters
    ----------
    running, waiting
        Total number of slots that the holder has now.
    retry_after_s
        Time until more is available; 0 if everything was granted.
    """

    customer: str
    requests: float = 0.0
    tokens: float = 0.0
    running: int = 0
    waiting: int = 0
    retry_after_s: float = 0.0


class Moved(msgspec.Struct, frozen=True, array_like=True):
    """Redirects a holder with an older instance list to the new owner."""

    customer: str
    owner: live_list.Instance


class LeaseReply(link.Message, frozen=True, array_like=True):
    """The leases granted; customers that the sender doesn't own are absent.

    If every customer asked for has a part, the parts may come without
    names, in the order of the wants.
    """

    parts: tuple[LeaseGrant, ...] = ()
    moved: tuple[Moved, ...] = ()

    def by_customer(self, wanted: Sequence[str]) -> dict[str, LeaseGrant]:
        """Return the parts by customer.

        Parameters
        ----------
        wanted
            The customers asked for, in the order of the wants.
        """
        if len(self.parts) == len(wanted):
            if all(not part.customer for part in self.parts):
                return dict(zip(wanted, self.parts, strict=True))
        return {part.customer: part for part in self.parts}


class HolderSlots(msgspec.Struct, frozen=True, array_like=True):
    """Slots that a holder has leased, as handed over to the next owner."""

    holder: str
    running: int
    waiting: int
    expires_in_s: float
    renews: bool


class LimitState(msgspec.Struct, frozen=True, array_like=True):
    """State of one customer's limits, as handed over to the next owner."""

    customer: str
    requests: float
    tokens: float
    places: tuple[HolderSlots, ...] = ()


class HandOver(link.Message, frozen=True):
    """Asks the previous owner to stop granting leases.

    Parameters
    ----------
    owner
        The sender, which is the new owner.
    revision
        Revision of the instance list that makes it the owner.
    """

    owner: live_list.Instance
    revision: int
    customers: tuple[str, ...]


class HandedOver(link.Message, frozen=True):
    """Confirms that the previous owner stopped granting leases."""

    states: tuple[LimitState, ...] = ()


class ContractLookup(Protocol):
    """Finds the contract in force of a customer."""

    def contract(self, customer: str) -> contract_module.Contract | None:
        """Return the contract of a customer; ``None`` if there is none."""
        ...


@dataclasses.dataclass(slots=True)
class _HolderLease:
    """The owner's record of the last lease of one holder."""

    running: int
    waiting: int
    expires_s: float
    renews: bool
    wanted_requests: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Handover:
    """The owner's record of limits handed over to another instance."""

    to: live_list.Instance
    list_version: int
    until_s: float


class _OwnedLimit:
    """The buckets and the leased slots of one customer, at its owner."""

    __slots__ = ('requests', 'tokens', 'holders', 'holders_known_at_s')

    def __init__(
        self, limits: contract_module.Limits, ratio: float, now_s: float
    ) -> None:
        burst = limits.burst_requests
        token_capacity = limits.tokens_per_s * TOKEN_BURST_S
        self.requests = token_bucket.TokenBucket(
            limits.requests_per_s, burst, max(1.0, burst * ratio), now_s
        )
        self.tokens = token_bucket.TokenBucket(
            limits.tokens_per_s, token_capacity, token_capacity * ratio, now_s
        )
        self.holders: dict[str, _HolderLease] = {}
        self.holders_known_at_s = now_s

    @classmethod
    def from_handover(
        cls,
        limits: contract_module.Limits,
        state: LimitState,
        now_s: float,
    ) -> '_OwnedLimit':
        """Continue with the state that the previous owner handed over."""
        found = cls(limits, 1.0, now_s)
        found.requests.add(state.requests - limits.burst_requests, now_s)
        found.tokens.add(state.tokens - found.tokens.capacity, now_s)
        for slots in state.places:
            found.holders[slots.holder] = _HolderLease(
                slots.running,
                slots.waiting,
                now_s + min(slots.expires_in_s, LONG_LEASE_DURATION_S),
                slots.renews,
                0.0,
            )
        return found

    def handover_state(self, customer: str, now_s: float) -> LimitState:
        """Return the state that the next owner continues with."""
        return LimitState(
            customer,
            self.requests.level(now_s),
            self.tokens.level(now_s),
            tuple(
                HolderSlots(
                    name,
                    lease.running,
                    lease.waiting,
                    lease.expires_s - now_s,
                    lease.renews,
                )
                for name, lease in self.holders.items()
            ),
        )

    def apply_limits(
        self, limits: contract_module.Limits, ratio: float, now_s: float
    ) -> None:
        """Set the buckets to `ratio` of the contract's rates."""
        ratio = max(ratio, _MIN_RATE_RATIO)
        self.requests.change(
            limits.requests_per_s * ratio, limits.burst_requests, now_s
        )
        self.tokens.change(
            limits.tokens_per_s * ratio,
            limits.tokens_per_s * TOKEN_BURST_S,
            now_s,
        )

    def unresponsive_holder_count(self, holder: str, now_s: float) -> int:
        # A holder that committed to renew and did not may be partitioned
        # off, and then admits its share of the limit without a lease.  The
        # share is reserved here, or both sides together would exceed the
        # contract.
        return sum(
            name != holder and lease.expires_s <= now_s
            for name, lease in self.holders.items()
        )

    def demand_ratio(self, holder: str, want: LeaseWant) -> float:
        """Return this holder's part of the demand of all holders."""
        others = sum(
            lease.wanted_requests
            for name, lease in self.holders.items()
            if name != holder
        )
        return want.requests / max(1.0, want.requests + others)

    def lease_slots(
        self,
        holder: str,
        want: LeaseWant,
        limits: contract_module.Limits,
        entry_count: int,
        now_s: float,
    ) -> _HolderLease:
        running_free = limits.concurrent_requests
        waiting_free = limits.queued_requests
        for name, lease in self.holders.items():
            if name == holder:
                continue
            if lease.expires_s > now_s:
                running_free -= lease.running
                waiting_free -= lease.waiting
            else:
                running_free -= unleased_share(
                    limits.concurrent_requests, entry_count
                )
                waiting_free -= unleased_share(
                    limits.queued_requests, entry_count
                )
        # A new owner without a handover doesn't know who holds slots.  All
        # holders ask within the duration of a lease; until then each gets
        # no more than the share that it may use without a lease.
        if now_s < self.holders_known_at_s:
            running_limit = unleased_share(
                limits.concurrent_requests, entry_count
            )
            waiting_limit = unleased_share(limits.queued_requests, entry_count)
            running_free = min(running_free, running_limit)
            waiting_free = min(waiting_free, waiting_limit)
        lease = _HolderLease(
            max(want.running_used, min(want.running, running_free)),
            max(want.waiting_used, min(want.waiting, waiting_free)),
            now_s + lease_duration_s(want.renews),
            want.renews,
            want.requests,
        )
        self.holders[holder] = lease
        return lease

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
        # In msgpack the integer 0 takes one byte, and 0.0 takes nine.
        return max(_MIN_RETRY_S, wait_s) if wait_s else 0

    def is_idle(self, now_s: float) -> bool:
        return (
            not self.holders
            and self.requests.is_full(now_s)
            and self.tokens.is_full(now_s)
        )


def lease_duration_s(renews: bool) -> float:
    """Return the duration of a lease, the same for owner and holder.

    Most holders have only one or two long-running requests.  Their leases
    last longer, or renewals would be most of all messages.
    """
    return LEASE_DURATION_S if renews else LONG_LEASE_DURATION_S


def unleased_share(limit: int, entry_count: int) -> int:
    """Return how many slots an entry instance may use without a lease."""
    return max(1, limit // entry_count)


class LimitOwner:
    """Grants leases of the limits that this instance owns.

    Parameters
    ----------
    clock
        Source of time.
    ownership
        Maps customers to the entry instances that own their limits.
    contracts
        The contracts in force.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        ownership: limit_ownership.LimitOwnership,
        contracts: ContractLookup,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._contracts = contracts
        self._owned: dict[str, _OwnedLimit] = {}
        self._last_asks: dict[str, tuple[str, int]] = {}
        self._handovers: dict[str, _Handover] = {}
        self._last_active_s = clock.monotonic_s()
        self._grants_from_s = 0.0

    def __len__(self) -> int:
        return len(self._owned)

    def grant(self, ask: LeaseAsk) -> LeaseReply:
        """Grant the available part of what is asked for.

        Customers owned by another instance get no part.  A repeated
        message, and any message shortly after a pause of this process,
        gets an empty reply.
        """
        now_s = self._clock.monotonic_s()
        self._detect_pause(now_s)
        if now_s < self._grants_from_s or not self._is_new(ask):
            return LeaseReply()
        named = [self._grant_customer(ask.holder, w, now_s) for w in ask.wants]
        parts = tuple(part for part in named if part is not None)
        if ask.reads_order and len(parts) == len(ask.wants):
            parts = tuple(
                msgspec.structs.replace(part, customer='') for part in parts
            )
        moved = tuple(
            Moved(want.customer, self._handovers[want.customer].to)
            for want in ask.wants
            if self._is_handed_over(want.customer, now_s)
        )
        return LeaseReply(parts=parts, moved=moved)

    def tick(self) -> None:
        """Detect a pause of this process, and drop idle customers."""
        now_s = self._clock.monotonic_s()
        self._detect_pause(now_s)
        for customer, owned in list(self._owned.items()):
            self._drop_expired(owned, now_s)
            # New state starts with full buckets and without leases, so an
            # idle customer loses nothing when its state is dropped.
            if owned.is_idle(now_s) or self._is_stale(customer, now_s):
                del self._owned[customer]
        for customer in list(self._handovers):
            if not self._is_handed_over(customer, now_s):
                del self._handovers[customer]
        if len(self._last_asks) > _MAX_TRACKED_HOLDERS:
            self._last_asks = {
                name: last_ask
                for name, last_ask in self._last_asks.items()
                if self._ownership.is_listed(name)
            }

    def pending_handovers(
        self, wants: Sequence[LeaseWant]
    ) -> dict[live_list.Instance, list[str]]:
        """Return the customers to be handed over, by their previous owner."""
        found: dict[live_list.Instance, list[str]] = {}
        now_s = self._clock.monotonic_s()
        self._detect_pause(now_s)
        if now_s < self._grants_from_s:
            return found
        for want in wants:
            contract = self._contracts.contract(want.customer)
            if contract is None or want.customer in self._owned:
                continue
            customer, region = contract.customer, contract.region
            if self._ownership.owner(customer, region) is not None:
                continue
            if (
                self._ownership.owned_for_s(customer, region)
                > HANDOVER_RETENTION_S
            ):
                continue
            previous = self._ownership.previous_owner(customer, region)
            if previous is not None:
                found.setdefault(previous, []).append(customer)
        return found

    def apply_handover(
        self, customers: Sequence[str], reply: HandedOver
    ) -> None:
        """Take over the limits of `customers`.

        A customer whose state is not in the reply starts with a share of
        its burst.
        """
        now_s = self._clock.monotonic_s()
        states = {state.customer: state for state in reply.states}
        for customer in customers:
            contract = self._contracts.contract(customer)
            if contract is None or customer in self._owned:
                continue
            state = states.get(customer)
            if state is None:
                self._get_or_create(contract, now_s)
            else:
                self._owned[customer] = _OwnedLimit.from_handover(
                    contract.limits, state, now_s
                )

    def hand_over(self, message: HandOver) -> HandedOver:
        """Stop granting leases, and return the state for the next owner."""
        now_s = self._clock.monotonic_s()
        self._detect_pause(now_s)
        states = []
        for customer in message.customers:
            if not self._may_hand_over(customer, message):
                continue
            owned = self._owned.pop(customer, None)
            if owned is None and self._is_owner(customer, now_s):
                contract = self._contracts.contract(customer)
                owned = (
                    self._get_or_create(contract, now_s) if contract else None
                )
                self._owned.pop(customer, None)
            if owned is not None:
                states.append(owned.handover_state(customer, now_s))
            # While the instance list here is out of date, it still names
            # this instance as the owner.  Two owners would lease the limit
            # twice.
            self._handovers[customer] = _Handover(
                message.owner,
                self._ownership.version,
                now_s + HANDOVER_RETENTION_S,
            )
        return HandedOver(states=tuple(states))

    def _may_hand_over(self, customer: str, message: HandOver) -> bool:
        # An instance that resumes after a pause may have an old list in
        # which it is the owner.  It must not take the limits from the
        # current owner.
        if message.revision > self._ownership.revision:
            return True
        contract = self._contracts.contract(customer)
        if contract is None or message.revision < self._ownership.revision:
            return False
        owner = self._ownership.owner(customer, contract.region)
        return owner is not None and owner.name == message.owner.name

    def _is_owner(self, customer: str, now_s: float) -> bool:
        contract = self._contracts.contract(customer)
        if contract is None or now_s < self._grants_from_s:
            return False
        if self._is_handed_over(customer, now_s):
            return False
        return self._ownership.owner(customer, contract.region) is None

    def _is_handed_over(self, customer: str, now_s: float) -> bool:
        found = self._handovers.get(customer)
        if found is None or found.list_version != self._ownership.version:
            return False
        return now_s < found.until_s

    def _is_stale(self, customer: str, now_s: float) -> bool:
        owned = self._owned[customer]
        leases = owned.holders.values()
        if any(lease.expires_s > now_s for lease in leases):
            return False
        return not self._is_owner(customer, now_s)

    def _detect_pause(self, now_s: float) -> None:
        # An owner that was paused may have a successor, and its buckets
        # have refilled meanwhile: the customer would get a second burst
        # and a second rate.  So it drops its state, starts with a share of
        # the burst, and grants nothing until a new list had time to arrive.
        if now_s - self._last_active_s > PAUSE_THRESHOLD_S:
            self._owned.clear()
            self._ownership.forget_history()
            self._grants_from_s = now_s + PAUSE_RECOVERY_S
        self._last_active_s = now_s

    def _is_new(self, ask: LeaseAsk) -> bool:
        # A message may be delivered twice.  What it returns must be
        # credited once, or the customer could spend it twice.
        last_ask = self._last_asks.get(ask.holder)
        if last_ask is not None and last_ask[0] == ask.incarnation:
            if ask.sequence <= last_ask[1]:
                return False
        self._last_asks[ask.holder] = (ask.incarnation, ask.sequence)
        return True

    def _grant_customer(
        self, holder: str, want: LeaseWant, now_s: float
    ) -> LeaseGrant | None:
        contract = self._contracts.contract(want.customer)
        if contract is None:
            return None
        if not self._is_owner(want.customer, now_s):
            return None
        limits = contract.limits
        owned = self._get_or_create(contract, now_s)
        self._drop_expired(owned, now_s)
        unresponsive_count = owned.unresponsive_holder_count(holder, now_s)
        entry_count = self._ownership.entry_count(contract.region)
        owned.apply_limits(limits, 1 - unresponsive_count / entry_count, now_s)
        owned.requests.add(want.requests_back, now_s)
        owned.tokens.add(want.tokens_back, now_s)
        demand_ratio = owned.demand_ratio(holder, want)
        requests = _grantable(
            want.requests, owned.requests.level(now_s), demand_ratio
        )
        requests = math.floor(requests)
        tokens = _grantable(
            want.tokens, owned.tokens.level(now_s), demand_ratio
        )
        tokens = math.floor(tokens)
        owned.requests.add(-requests, now_s)
        owned.tokens.add(-tokens, now_s)
        lease = owned.lease_slots(holder, want, limits, entry_count, now_s)
        return LeaseGrant(
            want.customer,
            requests,
            tokens,
            lease.running,
            lease.waiting,
            owned.retry_after_s(want, requests, tokens, now_s),
        )

    def _get_or_create(
        self, contract: contract_module.Contract, now_s: float
    ) -> _OwnedLimit:
        customer, region = contract.customer, contract.region
        found = self._owned.get(customer)
        if found is None:
            # Without state, the customer is idle, or this owner is new and
            # doesn't know what its predecessor leased: a full burst could
            # then be granted twice.  A new owner starts with a share of
            # the burst, plus what has refilled since it became the owner.
            age_s = self._ownership.owned_for_s(customer, region)
            limits = contract.limits
            refill = age_s * limits.requests_per_s / limits.burst_requests
            ratio = min(1.0, 1 / self._ownership.entry_count(region) + refill)
            found = self._owned[customer] = _OwnedLimit(limits, ratio, now_s)
            found.holders_known_at_s = now_s - age_s + LEASE_DURATION_S
        return found

    def _drop_expired(self, owned: _OwnedLimit, now_s: float) -> None:
        for name, lease in list(owned.holders.items()):
            if lease.expires_s > now_s:
                continue
            if not lease.renews or not self._ownership.is_listed(name):
                del owned.holders[name]


def _grantable(wanted: float, level: float, demand_ratio: float) -> float:
    if wanted <= level:
        return max(0.0, wanted)
    return max(min(1.0, level), level * demand_ratio, 0.0)
