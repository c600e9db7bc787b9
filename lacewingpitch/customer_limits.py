"""Admission of requests within their customers' limits, at one entry.

Requests, tokens and slots come from leases that the owner of the
customer's limits grants, see `limit_lease`.  A request waits only for the
owner's reply, or for a slot to run while the contract's queue has room;
otherwise it is admitted or refused at once.
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

TICK_INTERVAL_S = 0.5
# Charged for a request that doesn't state its maximum.
DEFAULT_MAX_TOKENS = 256
_ASK_TIMEOUT_S = 0.3
_HAND_OVER_TIMEOUT_S = 0.15
# Time for which requests don't wait for an owner that didn't answer.
_UNRESPONSIVE_S = 3.0
_PROBE_INTERVAL_S = 1.0
_MAX_WANTS_PER_MESSAGE = 512
# Stands for the name of the owner if that is this instance.
_THIS_INSTANCE = ''
_SLOT_RETRY_S = 1.0
_INCARNATION_LENGTH = 8
log = structlog.get_logger(__name__)


class LeaseLink(Protocol):
    """Sends lease requests to other entry instances."""

    async def ask(
        self, owner: live_list.Instance, ask: limit_lease.LeaseAsk
    ) -> limit_lease.LeaseReply:
        """Return the owner's reply.

        Raises
        ------
        LinkError
            The owner did not answer in time.
        """
        ...


class ControlLeaseLink:
    """Sends lease and handover requests over the control links."""

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
        """Return the reply of the previous owner."""
        peer = self._peers.peer(owner.ip, owner.control_port)
        return await peer.ask(
            message, limit_lease.HandedOver, _HAND_OVER_TIMEOUT_S
        )


@dataclasses.dataclass(slots=True)
class AdmittedRequest:
    """The charges of an admitted request.

    Parameters
    ----------
    estimated_tokens
        Charged at admission.
    used_tokens
        Charged in the end; ``None`` leaves the estimate in force.
    """

    estimated_tokens: float
    used_tokens: float | None = None


@dataclasses.dataclass(slots=True)
class _Customer:
    """A customer with recent requests, and the queue of its requests.

    Parameters
    ----------
    list_version
        Version of the entry list by which `owner` was found.
    owner
        Owner of the customer's limits; ``None`` if it is this instance.
    pending, pending_slots, pending_tokens
        Requests that wait for the owner's reply, those among them that need
        a slot, and tokens of all of them.
    """

    leased: leased_limit.LeasedLimit
    contract: contract_module.Contract
    list_version: int
    owner: live_list.Instance | None
    pending: int = 0
    pending_slots: int = 0
    pending_tokens: float = 0.0
    queue: collections.deque[asyncio.Future[None]] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def owner_name(self) -> str:
        return self.owner.name if self.owner else _THIS_INSTANCE


@dataclasses.dataclass(slots=True)
class _OwnerState:
    """Outstanding lease requests to one owner, and whether it answers."""

    due: dict[str, list[asyncio.Future[None]]] = dataclasses.field(
        default_factory=dict
    )
    due_soon: set[str] = dataclasses.field(default_factory=set)
    task: asyncio.Task[None] | None = None
    unresponsive_until_s: float = 0.0
    probe_after_s: float = 0.0
    used_at_s: float = 0.0


class CustomerLimits:
    """Admits requests within their customers' contracts.

    Parameters
    ----------
    clock
        Source of time.
    ownership
        The live entry instances, and which limits they own.
    owner
        State of the limits that this instance owns.
    granter
        Grants leases of these limits.
    lease_link
        Connects to the other owners.
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
        """Admit one request, and occupy a slot while the context is open.

        Parameters
        ----------
        max_tokens
            The most that the request may generate; 0 if it doesn't say.

        Raises
        ------
        RefusalError
            The customer is at a limit; says when to retry.
        """
        capacity = contract.limits.tokens_per_s * limit_lease.TOKEN_BURST_S
        tokens = min(float(max_tokens or DEFAULT_MAX_TOKENS), capacity)
        customer = self._customer(contract)
        await self._spend(customer, tokens)
        try:
            await self._acquire_slot(customer)
        except BaseException:
            customer.leased.refund(tokens)
            raise
        admitted = AdmittedRequest(tokens)
        try:
            yield admitted
        finally:
            # The slot is released however the request ends.  Otherwise each
            # caller that disconnects would reduce the limit by one.
            customer.leased.running -= 1
            if admitted.used_tokens is not None:
                customer.leased.charge(admitted.used_tokens - tokens)
            _wake_waiters(customer)

    def apply_contract(self, contract: contract_module.Contract) -> None:
        """Apply a new contract at once."""
        found = self._customers.get(contract.customer)
        if found is None:
            return
        found.contract = contract
        found.list_version = -1
        found.leased.apply_contract(contract)

    async def run(self) -> None:
        """Renew leases, and drop idle customers, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Renew the leases that are due, and drop idle customers."""
        self._owner.tick()
        for name, customer in list(self._customers.items()):
            leased = customer.leased
            if leased.is_idle() and not customer.pending:
                del self._customers[name]
                continue
            self._update_owner(customer)
            if customer.queue or leased.needs_renewal(
                limit_lease.RENEWAL_INTERVAL_S
            ):
                self._schedule_renewal(customer)
            elif leased.needs_renewal(limit_lease.RENEWAL_INTERVAL_S / 2):
                self._owners[customer.owner_name].due_soon.add(name)
        self._drop_idle_owners()

    def close(self) -> None:
        """Cancel outstanding lease requests."""
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
        self._update_owner(found)
        return found

    def _update_owner(self, customer: _Customer) -> None:
        if customer.list_version == self._ownership.version:
            return
        contract = customer.contract
        customer.list_version = self._ownership.version
        owner = self._ownership.owner(contract.customer, contract.region)
        if owner != customer.owner:
            customer.leased.request_renewal()
        customer.owner = owner
        customer.leased.set_entry_count(
            self._ownership.entry_count(contract.region)
        )

    async def _spend(self, customer: _Customer, tokens: float) -> None:
        leased = customer.leased
        # A grant belongs to the requests that wait for it.  If a later
        # request could use it, an earlier one would be refused although it
        # is within the contract.
        if not customer.pending and leased.spend(tokens):
            return
        if leased.may_ask:
            await self._ask(customer, tokens)
            if leased.spend(tokens):
                return
        raise errors.RefusalError(
            errors.ErrorKind.RATE_LIMITED,
            'the request or token rate of the contract is reached',
            retry_after_s=leased.retry_after_s(),
        )

    async def _acquire_slot(self, customer: _Customer) -> None:
        leased = customer.leased
        is_first = not customer.queue and not customer.pending_slots
        if is_first and leased.has_running_slot():
            leased.running += 1
            return
        if leased.may_ask_slots:
            customer.pending_slots += 1
            try:
                await self._ask(customer, 0.0)
            finally:
                customer.pending_slots -= 1
            if not customer.queue and leased.has_running_slot():
                leased.running += 1
                return
        if not leased.has_queue_slot():
            raise errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL,
                'the queue of the contract is full',
                retry_after_s=_SLOT_RETRY_S,
            )
        await self._wait_for_slot(customer)

    async def _wait_for_slot(self, customer: _Customer) -> None:
        leased = customer.leased
        slot = asyncio.get_running_loop().create_future()
        customer.queue.append(slot)
        leased.waiting += 1
        try:
            async with asyncio.timeout(customer.contract.deadline_s):
                await slot
        except TimeoutError as error:
            _abandon_wait(customer, slot)
            raise errors.RefusalError(
                errors.ErrorKind.CONCURRENCY_LIMITED,
                'no concurrency slot became free within the deadline',
                retry_after_s=_SLOT_RETRY_S,
            ) from error
        except BaseException:
            _abandon_wait(customer, slot)
            raise
        finally:
            leased.waiting -= 1

    async def _ask(self, customer: _Customer, tokens: float) -> None:
        """Ask the owner for a lease, and wait for its reply or a timeout."""
        state = self._owners[customer.owner_name]
        # A request doesn't wait for an owner known to be unresponsive, as
        # each one would be delayed by the timeout.  `tick` probes whether
        # the owner answers again.
        if self._clock.monotonic_s() < state.unresponsive_until_s:
            customer.leased.mark_unreachable()
            return
        customer.pending += 1
        customer.pending_tokens += tokens
        try:
            done = asyncio.get_running_loop().create_future()
            state.due.setdefault(customer.contract.customer, []).append(done)
            self._start_sending(customer, state)
            await done
        finally:
            customer.pending -= 1
            customer.pending_tokens -= tokens

    def _schedule_renewal(self, customer: _Customer) -> None:
        state = self._owners[customer.owner_name]
        now_s = self._clock.monotonic_s()
        if now_s < state.unresponsive_until_s:
            customer.leased.mark_unreachable()
            if now_s < state.probe_after_s:
                return
            state.probe_after_s = now_s + _PROBE_INTERVAL_S
        state.due.setdefault(customer.contract.customer, [])
        self._start_sending(customer, state)

    def _start_sending(self, customer: _Customer, state: _OwnerState) -> None:
        state.used_at_s = self._clock.monotonic_s()
        if state.task is None or state.task.done():
            state.task = asyncio.create_task(
                self._send_due_wants(customer.owner, state)
            )

    async def _send_due_wants(
        self, owner: live_list.Instance | None, state: _OwnerState
    ) -> None:
        """Send the due wants to one owner, one message at a time."""
        while state.due:
            # Renewals that are due soon are added to this message.
            while state.due_soon:
                state.due.setdefault(state.due_soon.pop(), [])
            names = list(state.due)[:_MAX_WANTS_PER_MESSAGE]
            waiting = {name: state.due.pop(name) for name in names}
            customers = [
                self._customers[name]
                for name in names
                if name in self._customers
            ]
            try:
                for moved in await self._send_and_apply(
                    owner, customers, state
                ):
                    self._redirect(moved, waiting.pop(moved.customer, []))
            finally:
                for futures in waiting.values():
                    _resolve(futures)

    def _redirect(
        self,
        moved: limit_lease.Moved,
        futures: list[asyncio.Future[None]],
    ) -> None:
        customer = self._customers.get(moved.customer)
        if customer is None:
            _resolve(futures)
            return
        # The instance list here is older than the old owner's.  Until a
        # newer one arrives, the owner named in the reply is asked.
        is_self = moved.owner.name == self._ownership.instance
        customer.owner = None if is_self else moved.owner
        state = self._owners[customer.owner_name]
        state.due.setdefault(moved.customer, []).extend(futures)
        self._start_sending(customer, state)

    async def _send_and_apply(
        self,
        owner: live_list.Instance | None,
        customers: list[_Customer],
        state: _OwnerState,
    ) -> tuple[limit_lease.Moved, ...]:
        asked_s = self._clock.monotonic_s()
        try:
            reply = await self._send(owner, customers)
        except errors.LinkError as error:
            now_s = self._clock.monotonic_s()
            state.unresponsive_until_s = now_s + _UNRESPONSIVE_S
            state.probe_after_s = now_s + _PROBE_INTERVAL_S
            log.info('limit owner unreachable', error=str(error))
            for customer in customers:
                customer.leased.mark_unreachable()
                _wake_waiters(customer)
            return ()
        state.unresponsive_until_s = 0.0
        grants = reply.by_customer([c.contract.customer for c in customers])
        moved = {found.customer for found in reply.moved}
        for customer in customers:
            grant = grants.get(customer.contract.customer)
            if customer.contract.customer in moved:
                customer.leased.cancel_ask()
            elif grant is None:
                customer.leased.mark_unreachable()
            else:
                customer.leased.apply(grant, asked_s)
            _wake_waiters(customer)
        return reply.moved

    async def _send(
        self, owner: live_list.Instance | None, customers: list[_Customer]
    ) -> limit_lease.LeaseReply:
        self._sequence += 1
        ask = limit_lease.LeaseAsk(
            holder=self._ownership.instance,
            incarnation=self._incarnation,
            sequence=self._sequence,
            wants=tuple(
                customer.leased.want(customer.pending, customer.pending_tokens)
                for customer in customers
            ),
            reads_order=True,
        )
        if owner is None:
            return await self._granter.grant(ask)
        self.asks_count += 1
        self.wants_count += len(customers)
        return await self._link.ask(owner, ask)

    def _drop_idle_owners(self) -> None:
        now_s = self._clock.monotonic_s()
        for name, state in list(self._owners.items()):
            if not state.due and now_s - state.used_at_s > _UNRESPONSIVE_S:
                if state.task is None or state.task.done():
                    del self._owners[name]


def _resolve(futures: list[asyncio.Future[None]]) -> None:
    for future in futures:
        if not future.done():
            future.set_result(None)


def _wake_waiters(customer: _Customer) -> None:
    leased = customer.leased
    while customer.queue and leased.has_running_slot():
        slot = customer.queue.popleft()
        if not slot.done():
            leased.running += 1
            slot.set_result(None)


def _abandon_wait(customer: _Customer, slot: asyncio.Future[None]) -> None:
    # The slot may have been assigned in the same iteration of the event
    # loop as the cancellation; it would never be released.
    if slot.done() and not slot.cancelled():
        customer.leased.running -= 1
        _wake_waiters(customer)
        return
    with contextlib.suppress(ValueError):
        customer.queue.remove(slot)


@contextlib.asynccontextmanager
async def node_limits(node: node_module.Node) -> AsyncIterator[CustomerLimits]:
    """Run the customers' limits of an entry instance on its links."""
    settings = node.settings
    ownership = limit_ownership.LimitOwnership(
        node.clock, settings.instance, settings.region
    )
    owner = limit_lease.LimitOwner(
        node.clock, ownership, node.contract_registry
    )
    lease_link = ControlLeaseLink(node.peers)
    granter = limit_handover.LeaseGranter(
        node.clock, ownership, owner, lease_link
    )
    found = CustomerLimits(node.clock, ownership, owner, granter, lease_link)
    node.control.handle(limit_lease.LeaseAsk, granter.grant)
    node.control.handle(limit_lease.HandOver, granter.hand_over)
    node.membership.changes.subscribe(
        lambda published: ownership.update(
            published.revision, published.instances
        )
    )
    node.contract_registry.changes.subscribe(found.apply_contract)
    node.run(found.run())
    with contextlib.closing(found):
        yield found
