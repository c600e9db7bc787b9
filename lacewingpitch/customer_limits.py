"""A customer's limits at one entry instance: admitted, or refused at once.

Rates are spent and places are held out of leases from the customer's
owner, see `limit_lease`.  A request waits only for the owner's reply, or
for a place to run while the contract's queue has room.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Protocol

import structlog
import uuid_utils

from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import errors
from lacewingpitch import leased_limit
from lacewingpitch import limit_handover
from lacewingpitch import limit_lease
from lacewingpitch import limit_ownership
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import node as node_module

TICK_S = 0.5
UNSTATED_TOKENS = 256
_ASK_TIMEOUT_S = 0.3
_HAND_OVER_TIMEOUT_S = 0.15
_SUSPECT_S = 3.0
_PROBE_S = 1.0
_MAX_WANTS = 512
_SELF = ''
_PLACE_RETRY_S = 1.0
_INCARNATION_LENGTH = 8
log = structlog.get_logger(__name__)


class LeaseLink(Protocol):
    """How leases are asked for at other entry instances."""

    async def ask(
        self, owner: live_list.Instance, ask: limit_lease.LeaseAsk
    ) -> limit_lease.LeaseReply:
        """Return the owner's reply.

        Raises
        ------
        LinkError
            It did not answer in time.
        """
        ...


class ControlLeaseLink:
    """Leases over the control links."""

    def __init__(self, peers: link.PeerPool) -> None:
        self._peers = peers

    async def ask(
        self, owner: live_list.Instance, ask: limit_lease.LeaseAsk
    ) -> limit_lease.LeaseReply:
        """Return the owner's reply."""
        peer = self._peers.peer(owner.ip, owner.control_port)
        return await peer.ask(ask, limit_lease.LeaseReply, _ASK_TIMEOUT_S)

    async def hand_over(
        self, owner: live_list.Instance, message: limit_lease.HandOver
    ) -> limit_lease.HandedOver:
        """Return the reply of the owner before."""
        peer = self._peers.peer(owner.ip, owner.control_port)
        return await peer.ask(
            message, limit_lease.HandedOver, _HAND_OVER_TIMEOUT_S
        )


@dataclasses.dataclass(slots=True)
class AdmittedRequest:
    """A request that was admitted, and what it has been charged."""

    estimated_tokens: float
    used_tokens: float | None = None


@dataclasses.dataclass(slots=True)
class _Customer:
    leased: leased_limit.LeasedLimit
    contract: contract_module.Contract
    list_version: int
    owner: live_list.Instance | None
    pending: int = 0
    pending_places: int = 0
    pending_tokens: float = 0.0
    queue: collections.deque[asyncio.Future[None]] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def owner_name(self) -> str:
        return self.owner.name if self.owner else _SELF


@dataclasses.dataclass(slots=True)
class _OwnerState:
    """What is under way to one owner, and whether it answers."""

    due: dict[str, list[asyncio.Future[None]]] = dataclasses.field(
        default_factory=dict
    )
    soon: set[str] = dataclasses.field(default_factory=set)
    task: asyncio.Task[None] | None = None
    suspect_until_s: float = 0.0
    probe_after_s: float = 0.0
    used_s: float = 0.0


class CustomerLimits:
    """Admits requests within their customers' contracts.

    Parameters
    ----------
    clock
        Source of time.
    ownership
        The live entry instances.
    owner
        State of what this instance owns itself.
    granter
        Leases out of it.
    lease_link
        Reaches the other owners.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        ownership: limit_ownership.LimitOwnership,
        owner: limit_lease.LimitOwner,
        granter: limit_handover.LeaseGranter,
        lease_link: LeaseLink,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._owner = owner
        self._granter = granter
        self._link = lease_link
        self._incarnation = str(uuid_utils.uuid7())[-_INCARNATION_LENGTH:]
        self._sequence = 0
        self._customers: dict[str, _Customer] = {}
        self._owners: dict[str, _OwnerState] = collections.defaultdict(
            _OwnerState
        )
        self.asks_count = 0
        self.wants_count = 0

    def __len__(self) -> int:
        return len(self._customers)

    @contextlib.asynccontextmanager
    async def admit(
        self, contract: contract_module.Contract, max_tokens: int
    ) -> AsyncIterator[AdmittedRequest]:
        """Hold a place for one request while the caller runs it.

        Raises
        ------
        RefusalError
            The customer is at a limit; says when to come back.
        """
        capacity = contract.limits.tokens_per_s * limit_lease.TOKEN_BURST_S
        tokens = min(float(max_tokens or UNSTATED_TOKENS), capacity)
        customer = self._customer(contract)
        await self._spend(customer, tokens)
        try:
            await self._take_place(customer)
        except BaseException:
            customer.leased.unspend(tokens)
            raise
        admitted = AdmittedRequest(tokens)
        try:
            yield admitted
        finally:
            # Whatever ends the request, the place is free again: a place
            # lost by a caller that went away would shrink the limit.
            customer.leased.running -= 1
            if admitted.used_tokens is not None:
                customer.leased.charge(admitted.used_tokens - tokens)
            _wake(customer)

    def change(self, contract: contract_module.Contract) -> None:
        """Put a new contract in force at once."""
        found = self._customers.get(contract.customer)
        if found is None:
            return
        found.contract = contract
        found.list_version = -1
        found.leased.change(contract)

    async def run(self) -> None:
        """Renew leases, and forget idle customers, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Renew what is due, and forget idle customers."""
        self._owner.tick()
        for name, customer in list(self._customers.items()):
            leased = customer.leased
            if leased.is_idle() and not customer.pending:
                del self._customers[name]
                continue
            self._locate(customer)
            if customer.queue or leased.needs_renewal(
                limit_lease.RENEWAL_INTERVAL_S
            ):
                self._probe(customer)
            elif leased.needs_renewal(limit_lease.RENEWAL_INTERVAL_S / 2):
                self._owners[customer.owner_name].soon.add(name)
        self._forget_owners()

    def close(self) -> None:
        """End what is under way."""
        for state in self._owners.values():
            if state.task is not None:
                state.task.cancel()

    def _customer(self, contract: contract_module.Contract) -> _Customer:
        found = self._customers.get(contract.customer)
        if found is None:
            count = self._ownership.entry_count(contract.region)
            found = _Customer(
                leased_limit.LeasedLimit(self._clock, contract, count),
                contract,
                -1,
                None,
            )
            self._customers[contract.customer] = found
        self._locate(found)
        return found

    def _locate(self, customer: _Customer) -> None:
        if customer.list_version == self._ownership.version:
            return
        contract = customer.contract
        customer.list_version = self._ownership.version
        owner = self._ownership.owner(contract.customer, contract.region)
        if owner != customer.owner:
            customer.leased.renew_now()
        customer.owner = owner
        customer.leased.share_over(
            self._ownership.entry_count(contract.region)
        )

    async def _spend(self, customer: _Customer, tokens: float) -> None:
        leased = customer.leased
        # What came for a request that waits for it is not for one that
        # comes later: the first would be refused within the contract.
        if not customer.pending and leased.spend(tokens):
            return
        if leased.may_ask:
            await self._ask(customer, tokens)
            if leased.spend(tokens):
                return
        raise errors.RefusalError(
            errors.ErrorKind.RATE_LIMITED,
            'the rate of the contract is reached',
            retry_after_s=leased.retry_after_s(),
        )

    async def _take_place(self, customer: _Customer) -> None:
        leased = customer.leased
        is_first = not customer.queue and not customer.pending_places
        if is_first and leased.has_place():
            leased.running += 1
            return
        if leased.may_ask_places:
            customer.pending_places += 1
            try:
                await self._ask(customer, 0.0)
            finally:
                customer.pending_places -= 1
            if not customer.queue and leased.has_place():
                leased.running += 1
                return
        if not leased.has_waiting_place():
            raise errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL,
                'the queue of the contract is full',
                retry_after_s=_PLACE_RETRY_S,
            )
        await self._wait_for_place(customer)

    async def _wait_for_place(self, customer: _Customer) -> None:
        leased = customer.leased
        turn = asyncio.get_running_loop().create_future()
        customer.queue.append(turn)
        leased.waiting += 1
        try:
            async with asyncio.timeout(customer.contract.deadline_s):
                await turn
        except TimeoutError as error:
            _give_up(customer, turn)
            raise errors.RefusalError(
                errors.ErrorKind.CONCURRENCY_LIMITED,
                'no place to run came free in time',
                retry_after_s=_PLACE_RETRY_S,
            ) from error
        except BaseException:
            _give_up(customer, turn)
            raise
        finally:
            leased.waiting -= 1

    async def _ask(self, customer: _Customer, tokens: float) -> None:
        """Ask the owner, and return after its reply or its silence."""
        state = self._owners[customer.owner_name]
        # A request must not wait for an owner that is known to be silent:
        # each one would be late by the timeout.  `tick` finds out when it
        # answers again.
        if self._clock.monotonic_s() < state.suspect_until_s:
            customer.leased.fail()
            return
        customer.pending += 1
        customer.pending_tokens += tokens
        try:
            done = asyncio.get_running_loop().create_future()
            state.due.setdefault(customer.contract.customer, []).append(done)
            self._start(customer, state)
            await done
        finally:
            customer.pending -= 1
            customer.pending_tokens -= tokens

    def _probe(self, customer: _Customer) -> None:
        state = self._owners[customer.owner_name]
        now_s = self._clock.monotonic_s()
        if now_s < state.suspect_until_s:
            customer.leased.fail()
            if now_s < state.probe_after_s:
                return
            state.probe_after_s = now_s + _PROBE_S
        state.due.setdefault(customer.contract.customer, [])
        self._start(customer, state)

    def _start(self, customer: _Customer, state: _OwnerState) -> None:
        state.used_s = self._clock.monotonic_s()
        if state.task is None or state.task.done():
            state.task = asyncio.create_task(self._talk(customer.owner, state))

    async def _talk(
        self, owner: live_list.Instance | None, state: _OwnerState
    ) -> None:
        """Ask one owner, a message at a time, for all that is due."""
        while state.due:
            # What is due soon rides along with what cannot wait.
            while state.soon:
                state.due.setdefault(state.soon.pop(), [])
            names = list(state.due)[:_MAX_WANTS]
            waiting = {name: state.due.pop(name) for name in names}
            asked = [
                self._customers[name]
                for name in names
                if name in self._customers
            ]
            try:
                for moved in await self._exchange(owner, asked, state):
                    self._follow(moved, waiting.pop(moved.customer, []))
            finally:
                for turns in waiting.values():
                    _release(turns)

    def _follow(
        self,
        moved: limit_lease.Moved,
        turns: list[asyncio.Future[None]],
    ) -> None:
        customer = self._customers.get(moved.customer)
        if customer is None:
            _release(turns)
            return
        # The list here is older than the owner's: until it is renewed,
        # the owner that was told of is asked.
        is_self = moved.owner.name == self._ownership.instance
        customer.owner = None if is_self else moved.owner
        state = self._owners[customer.owner_name]
        state.due.setdefault(moved.customer, []).extend(turns)
        self._start(customer, state)

    async def _exchange(
        self,
        owner: live_list.Instance | None,
        asked: list[_Customer],
        state: _OwnerState,
    ) -> tuple[limit_lease.Moved, ...]:
        asked_s = self._clock.monotonic_s()
        try:
            reply = await self._request(owner, asked)
        except errors.LinkError as error:
            now_s = self._clock.monotonic_s()
            state.suspect_until_s = now_s + _SUSPECT_S
            state.probe_after_s = now_s + _PROBE_S
            log.info('owner silent', error=str(error))
            for customer in asked:
                customer.leased.fail()
                _wake(customer)
            return ()
        state.suspect_until_s = 0.0
        parts = reply.by_customer([c.contract.customer for c in asked])
        moved = {found.customer for found in reply.moved}
        for customer in asked:
            part = parts.get(customer.contract.customer)
            if customer.contract.customer in moved:
                customer.leased.withdraw()
            elif part is None:
                customer.leased.fail()
            else:
                customer.leased.apply(part, asked_s)
            _wake(customer)
        return reply.moved

    async def _request(
        self, owner: live_list.Instance | None, asked: list[_Customer]
    ) -> limit_lease.LeaseReply:
        self._sequence += 1
        ask = limit_lease.LeaseAsk(
            holder=self._ownership.instance,
            incarnation=self._incarnation,
            sequence=self._sequence,
            wants=tuple(
                customer.leased.want(customer.pending, customer.pending_tokens)
                for customer in asked
            ),
            reads_order=True,
        )
        if owner is None:
            return await self._granter.grant(ask)
        self.asks_count += 1
        self.wants_count += len(asked)
        return await self._link.ask(owner, ask)

    def _forget_owners(self) -> None:
        now_s = self._clock.monotonic_s()
        for name, state in list(self._owners.items()):
            if not state.due and now_s - state.used_s > _SUSPECT_S:
                if state.task is None or state.task.done():
                    del self._owners[name]


def _release(turns: list[asyncio.Future[None]]) -> None:
    for turn in turns:
        if not turn.done():
            turn.set_result(None)


def _wake(customer: _Customer) -> None:
    leased = customer.leased
    while customer.queue and leased.has_place():
        turn = customer.queue.popleft()
        if not turn.done():
            leased.running += 1
            turn.set_result(None)


def _give_up(customer: _Customer, turn: asyncio.Future[None]) -> None:
    # The place may have come in the same turn of the loop as the
    # cancellation; it would stay taken for good.
    if turn.done() and not turn.cancelled():
        customer.leased.running -= 1
        _wake(customer)
        return
    with contextlib.suppress(ValueError):
        customer.queue.remove(turn)


@contextlib.asynccontextmanager
async def node_limits(node: node_module.Node) -> AsyncIterator[CustomerLimits]:
    """Run the limits of an entry instance on its links and views."""
    settings = node.settings
    ownership = limit_ownership.LimitOwnership(
        node.clock, settings.instance, settings.region
    )
    owner = limit_lease.LimitOwner(
        node.clock, ownership, node.contract_registry
    )
    links = ControlLeaseLink(node.peers)
    granter = limit_handover.LeaseGranter(node.clock, ownership, owner, links)
    found = CustomerLimits(node.clock, ownership, owner, granter, links)
    node.control.handle(limit_lease.LeaseAsk, granter.grant)
    node.control.handle(limit_lease.HandOver, granter.hand_over)
    node.membership.changes.subscribe(
        lambda published: ownership.update(
            published.revision, published.instances
        )
    )
    node.contract_registry.changes.subscribe(found.change)
    node.run(found.run())
    with contextlib.closing(found):
        yield found
