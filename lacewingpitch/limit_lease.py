"""Leases of a customer's limits, from one owner to many holders.

The owner of a customer's limits is one of the entry instances.  It has
the customer's token buckets and hands out parts of them.  What it hands
out is gone from its buckets, so the sum of what the holders spend cannot
pass the contract however messages are lost or late.  Requests and tokens
are spent; places (to run, to wait) are held and given back.
"""

from collections.abc import Sequence
import dataclasses
import math
from typing import Protocol

import msgspec

from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import entry_ring
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import token_bucket

LEASE_S = 6.0
RENEW_S = 2.0
QUIET_LEASE_S = 30.0
QUIET_RENEW_S = 20.0
PAUSE_S = 2.0
CONFIRM_S = 2.0
HANDED_S = 60.0
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


class LeaseAsk(link.Message, frozen=True, array_like=True):
    """Asks an owner for leases of many customers at once.

    Parameters
    ----------
    reads_order
        Whether the reply may leave the names out.
    """

    holder: str
    incarnation: str
    sequence: int
    wants: tuple[LeaseWant, ...]
    reads_order: bool = False


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


class Moved(msgspec.Struct, frozen=True, array_like=True):
    """Says who owns a customer now, to those whose list is older."""

    customer: str
    owner: live_list.Instance


class LeaseReply(link.Message, frozen=True, array_like=True):
    """Leases, without the customers that it does not own.

    Where all that was wanted is leased, the parts may be without names,
    in the order of the wants.
    """

    parts: tuple[LeasePart, ...] = ()
    moved: tuple[Moved, ...] = ()

    def by_customer(self, wanted: Sequence[str]) -> dict[str, LeasePart]:
        """Return the parts of the customers that were `wanted`."""
        if len(self.parts) == len(wanted):
            if all(not part.customer for part in self.parts):
                return dict(zip(wanted, self.parts, strict=True))
        return {part.customer: part for part in self.parts}


class HandedPlaces(msgspec.Struct, frozen=True, array_like=True):
    """Places that a holder has, told by one owner to the next."""

    holder: str
    running: int
    waiting: int
    expires_in_s: float
    renews: bool


class HandedState(msgspec.Struct, frozen=True, array_like=True):
    """What an owner knew of one customer when it handed it over."""

    customer: str
    requests: float
    tokens: float
    places: tuple[HandedPlaces, ...] = ()


class HandOver(link.Message, frozen=True):
    """Asks an owner to stop, since the sender is the owner now.

    Parameters
    ----------
    owner
        The sender.
    revision
        Of the list by which it is the owner.
    """

    owner: live_list.Instance
    revision: int
    customers: tuple[str, ...]


class HandedOver(link.Message, frozen=True):
    """A promise to lease no more of the customers that were asked for."""

    states: tuple[HandedState, ...] = ()


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


@dataclasses.dataclass(frozen=True, slots=True)
class _Handed:
    to: live_list.Instance
    ring_version: int
    until_s: float


class _Owned:
    """The buckets and the places of one customer, at its owner."""

    __slots__ = ('requests', 'tokens', 'holders', 'settles_s')

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
        self.settles_s = now_s

    @classmethod
    def adopt(
        cls,
        limits: contract_module.Limits,
        state: HandedState,
        now_s: float,
    ) -> '_Owned':
        """Go on from where the owner before stopped."""
        found = cls(limits, 1.0, now_s)
        found.requests.add(state.requests - limits.burst_requests, now_s)
        found.tokens.add(state.tokens - found.tokens.capacity, now_s)
        for places in state.places:
            found.holders[places.holder] = _Held(
                places.running,
                places.waiting,
                now_s + min(places.expires_in_s, QUIET_LEASE_S),
                places.renews,
                0.0,
            )
        return found

    def handed(self, customer: str, now_s: float) -> HandedState:
        """Return what the next owner must know."""
        return HandedState(
            customer,
            self.requests.level(now_s),
            self.tokens.level(now_s),
            tuple(
                HandedPlaces(
                    name,
                    held.running,
                    held.waiting,
                    held.expires_s - now_s,
                    held.renews,
                )
                for name, held in self.holders.items()
            ),
        )

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
        # A new owner that was told nothing does not know yet who holds
        # places.  All that do ask within a lease; until then it leases
        # no more than each may use without it.
        if now_s < self.settles_s:
            running_share = share(limits.concurrent_requests, entries)
            waiting_share = share(limits.queued_requests, entries)
            running_free = min(running_free, running_share)
            waiting_free = min(waiting_free, waiting_share)
        held = _Held(
            max(want.running_used, min(want.running, running_free)),
            max(want.waiting_used, min(want.waiting, waiting_free)),
            now_s + lease_s(want.renews),
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
        # A whole number takes a byte in a message, 0.0 takes nine.
        return max(_MIN_RETRY_S, wait_s) if wait_s else 0

    def is_idle(self, now_s: float) -> bool:
        return (
            not self.holders
            and self.requests.is_full(now_s)
            and self.tokens.is_full(now_s)
        )


def lease_s(renews: bool) -> float:
    """Return how long a lease lasts, the same for owner and holder.

    Most holders have a call or two that run for long.  Their leases are
    long, or renewing them would be most of all messages.
    """
    return LEASE_S if renews else QUIET_LEASE_S


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
        self._handed: dict[str, _Handed] = {}
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
        named = [self._grant_one(ask.holder, w, now_s) for w in ask.wants]
        parts = tuple(part for part in named if part is not None)
        if ask.reads_order and len(parts) == len(ask.wants):
            parts = tuple(
                msgspec.structs.replace(part, customer='') for part in parts
            )
        moved = tuple(
            Moved(want.customer, self._handed[want.customer].to)
            for want in ask.wants
            if self._is_handed(want.customer, now_s)
        )
        return LeaseReply(parts=parts, moved=moved)

    def tick(self) -> None:
        """Note the time, and drop the state of idle customers."""
        now_s = self._clock.monotonic_s()
        self._note_pause(now_s)
        for customer, owned in list(self._owned.items()):
            self._drop_expired(owned, now_s)
            # A full bucket without leases is what a new state starts
            # with, so an idle customer loses nothing by being dropped.
            if owned.is_idle(now_s) or self._is_left_over(customer, now_s):
                del self._owned[customer]
        for customer in list(self._handed):
            if not self._is_handed(customer, now_s):
                del self._handed[customer]
        if len(self._heard) > _MAX_HEARD:
            self._heard = {
                name: heard
                for name, heard in self._heard.items()
                if self._ring.is_listed(name)
            }

    def to_adopt(
        self, wants: Sequence[LeaseWant]
    ) -> dict[live_list.Instance, list[str]]:
        """Return whose owners before this one are to be asked, by them."""
        found: dict[live_list.Instance, list[str]] = {}
        now_s = self._clock.monotonic_s()
        self._note_pause(now_s)
        if now_s < self._grants_from_s:
            return found
        for want in wants:
            contract = self._contracts.contract(want.customer)
            if contract is None or want.customer in self._owned:
                continue
            customer, region = contract.customer, contract.region
            if self._ring.owner(customer, region) is not None:
                continue
            if self._ring.owned_for_s(customer, region) > HANDED_S:
                continue
            previous = self._ring.previous_owner(customer, region)
            if previous is not None:
                found.setdefault(previous, []).append(customer)
        return found

    def adopt(self, customers: Sequence[str], reply: HandedOver) -> None:
        """Go on from where the owner before stopped, if it said so."""
        now_s = self._clock.monotonic_s()
        states = {state.customer: state for state in reply.states}
        for customer in customers:
            contract = self._contracts.contract(customer)
            if contract is None or customer in self._owned:
                continue
            state = states.get(customer)
            if state is None:
                self._find(contract, now_s)
            else:
                self._owned[customer] = _Owned.adopt(
                    contract.limits, state, now_s
                )

    def hand_over(self, message: HandOver) -> HandedOver:
        """Stop leasing, and tell the next owner what it must know."""
        now_s = self._clock.monotonic_s()
        self._note_pause(now_s)
        states = []
        for customer in message.customers:
            if not self._may_hand_over(customer, message):
                continue
            owned = self._owned.pop(customer, None)
            if owned is None and self._is_owner(customer, now_s):
                contract = self._contracts.contract(customer)
                owned = self._find(contract, now_s) if contract else None
                self._owned.pop(customer, None)
            if owned is not None:
                states.append(owned.handed(customer, now_s))
            # While the list lags here, this instance still holds itself
            # for the owner; two of them would lease the limit twice.
            self._handed[customer] = _Handed(
                message.owner, self._ring.version, now_s + HANDED_S
            )
        return HandedOver(states=tuple(states))

    def _may_hand_over(self, customer: str, message: HandOver) -> bool:
        # A paused instance wakes up with an old list and holds itself for
        # the owner: it must not take the limits from the owner of today.
        if message.revision > self._ring.revision:
            return True
        contract = self._contracts.contract(customer)
        if contract is None or message.revision < self._ring.revision:
            return False
        owner = self._ring.owner(customer, contract.region)
        return owner is not None and owner.name == message.owner.name

    def _is_owner(self, customer: str, now_s: float) -> bool:
        contract = self._contracts.contract(customer)
        if contract is None or now_s < self._grants_from_s:
            return False
        if self._is_handed(customer, now_s):
            return False
        return self._ring.owner(customer, contract.region) is None

    def _is_handed(self, customer: str, now_s: float) -> bool:
        found = self._handed.get(customer)
        if found is None or found.ring_version != self._ring.version:
            return False
        return now_s < found.until_s

    def _is_left_over(self, customer: str, now_s: float) -> bool:
        owned = self._owned[customer]
        held = owned.holders.values()
        if any(holder.expires_s > now_s for holder in held):
            return False
        return not self._is_owner(customer, now_s)

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
        if not self._is_owner(want.customer, now_s):
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
        requests = math.floor(requests)
        tokens = _part(want.tokens, owned.tokens.level(now_s), spread)
        tokens = math.floor(tokens)
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
            found.settles_s = now_s - age_s + LEASE_S
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
