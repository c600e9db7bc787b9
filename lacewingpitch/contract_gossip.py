"""Spreads contracts between the system's own processes by gossip.

A change is pushed at once to a few peers.  In addition, each process
compares hashes with one random peer a second, and transfers only what
differs.  The cost for a process doesn't depend on the size of the fleet.
"""

import asyncio
from collections.abc import Iterable, Sequence
import dataclasses
import random
from typing import Protocol, TypeVar

import msgspec
import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import contract_registry
from lacewingpitch import contract_versions
from lacewingpitch import errors
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import membership as membership_module
from lacewingpitch import placement

FANOUT_PEERS = 4
WATCHERS_PER_ZONE = 2
WATCHER_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_S = 5.0
_ROUND_INTERVAL_S = 1.0
_ASK_TIMEOUT_S = 1.0
_SETTLE_RETRY_S = 0.1
_SETTLE_PEERS = 8
_CATCH_UP_PEERS = 3
_LEAVES_PER_MESSAGE = 16
_CONTRACTS_PER_MESSAGE = 64
_MAX_REPLY_BYTES = 1 << 19
_WATCHER_ELECTION_KEY = 'contract watchers'
log = structlog.get_logger(__name__)

Reply = TypeVar('Reply', bound=msgspec.Struct)
_Item = TypeVar('_Item')


class DigestRequest(link.Message, frozen=True):
    """Asks whether the known versions differ.

    Parameters
    ----------
    root
        Hash over all versions that the sender knows.
    watch_age_s
        Time since an elected watcher last read the configuration service,
        as far as the sender knows.
    view_age_s
        Time since any process last read the configuration service, as far
        as the sender knows.
    """

    root: int
    watch_age_s: float | None = None
    view_age_s: float | None = None


class DigestReply(link.Message, frozen=True):
    """Hashes of the known versions; of leaves only if the root differs.

    Parameters
    ----------
    is_settled
        Whether the sender has itself asked its peers since its start.
    """

    root: int
    leaves: bytes = b''
    is_settled: bool = False
    watch_age_s: float | None = None
    view_age_s: float | None = None


class VersionsRequest(link.Message, frozen=True):
    """Asks for the versions in some leaves of the version table."""

    leaves: tuple[int, ...]


class VersionsReply(link.Message, frozen=True):
    """The known versions."""

    versions: tuple[contract_versions.CustomerVersion, ...]


class ContractsRequest(link.Message, frozen=True):
    """Asks for the contracts of some customers."""

    customers: tuple[str, ...]


class ContractsReply(link.Message, frozen=True):
    """The known versions, and those contracts that are stored, as JSON."""

    versions: tuple[contract_versions.CustomerVersion, ...]
    contracts: tuple[bytes, ...]


class ContractsPush(link.Message, frozen=True):
    """Carries contracts that came into force, and their versions."""

    contracts: tuple[bytes, ...]
    versions: tuple[contract_versions.CustomerVersion, ...] = ()


class PushReply(link.Message, frozen=True):
    """Confirms that the pushed contracts were applied, or are older."""


class _Link(Protocol):
    async def ask(
        self, message: msgspec.Struct, kind: type[Reply], timeout_s: float
    ) -> Reply: ...


class Links(Protocol):
    """Connects to other processes."""

    def peer(self, ip: str, port: int) -> _Link:
        """Return the link to the process at `ip` and `port`."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ContractStatus:
    """Status of the contracts at one instance, for operators.

    Parameters
    ----------
    outdated_count
        Customers refused here until their newest contract arrives.
    view_age_s
        Time since any process last read the configuration service, as far
        as this one knows; ``None`` if none did.
    is_settled
        Whether this process has asked its peers since its start.
    is_watcher
        Whether this instance is elected to watch the service.
    """

    contract_count: int
    customer_count: int
    outdated_count: int
    rejected_count: int
    conflict_count: int
    view_age_s: float | None
    is_settled: bool
    is_watcher: bool


class ContractGossip:
    """Spreads contracts and versions between the processes.

    A process settles at its start: it reconciles with peers before it
    serves requests.  A few elected entry instances per availability zone,
    the watchers, watch the configuration service for the others.

    Parameters
    ----------
    registry
        The contracts in force here.
    membership
        The other processes.
    links
        Connects to them.
    clock
        Source of time.
    instance
        Name of this instance.
    seed
        Seeds the random choice of peers.
    settle_timeout_s
        The longest that a process waits for its peers at its start.
    """

    def __init__(
        self,
        registry: contract_registry.ContractRegistry,
        membership: membership_module.Membership,
        links: Links,
        clock: clock_module.Clock,
        instance: str,
        seed: int | None = None,
        settle_timeout_s: float = SETTLE_TIMEOUT_S,
    ) -> None:
        self._registry = registry
        self._settle_timeout_s = settle_timeout_s
        self._membership = membership
        self._links = links
        self._clock = clock
        self._instance = instance
        self._random = random.Random(seed)
        self._pending: set[str] = set()
        self._changed = asyncio.Event()
        self._settled = asyncio.Event()
        self._watcher_read_at_s: float | None = None
        self._last_read_at_s: float | None = None
        self._started_at_s = clock.monotonic_s()
        self.sent_count = 0

    def register(self, control: link.ControlServer) -> None:
        """Register the handlers of messages from other processes."""
        control.handle(DigestRequest, self.answer_digest)
        control.handle(VersionsRequest, self.answer_versions)
        control.handle(ContractsRequest, self.answer_contracts)
        control.handle(ContractsPush, self.answer_push)

    async def run(self) -> None:
        """Settle, then push changes and reconcile until cancelled."""
        with self._registry.changes.subscribe(self._on_change):
            await self.settle()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._push_changes())
                tasks.create_task(self._reconcile_forever())

    async def wait_until_settled(self) -> None:
        """Wait until the peers were asked, or none of them answers."""
        await self._settled.wait()

    @property
    def is_settled(self) -> bool:
        """Whether the peers were asked, or none of them answered."""
        return self._settled.is_set()

    @property
    def status(self) -> ContractStatus:
        """Return the status for operators."""
        return ContractStatus(
            contract_count=len(self._registry),
            customer_count=len(self._registry.versions),
            outdated_count=len(self._registry.outdated),
            rejected_count=len(self._registry.rejected),
            conflict_count=len(self._registry.conflicts),
            view_age_s=self._age_s(self._last_read_at_s),
            is_settled=self.is_settled,
            is_watcher=self.is_watcher,
        )

    @property
    def is_watcher(self) -> bool:
        """Whether this instance is elected to watch the service."""
        own = self._membership.instance(self._instance)
        if own is None:
            return False
        same_zone = [
            instance
            for instance in self._membership.instances
            if instance.role is live_list.Role.ENTRY
            and instance.state is live_list.InstanceState.LIVE
            and (instance.region, instance.availability_zone)
            == (own.region, own.availability_zone)
        ]
        elected = placement.rank_by_hash(_WATCHER_ELECTION_KEY, same_zone)[
            :WATCHERS_PER_ZONE
        ]
        return own in elected

    @property
    def must_watch(self) -> bool:
        """Whether this instance must watch the configuration service.

        It must if it is elected, if it isn't listed, or if no elected
        watcher read the service lately.
        """
        is_listed = self._membership.instance(self._instance) is not None
        if self.is_watcher or not is_listed:
            return True
        # All elected watchers may be dead or unreachable while the list
        # that elects them is out of date.  Changes would then reach no
        # process.
        age_s = self._age_s(self._watcher_read_at_s)
        if age_s is None:
            age_s = self._clock.monotonic_s() - self._started_at_s
        return age_s > WATCHER_TIMEOUT_S

    def record_read(self, read_at_s: float | None) -> None:
        """Record when this process read the configuration service."""
        if read_at_s is None:
            return
        self._last_read_at_s = max(
            self._last_read_at_s or read_at_s, read_at_s
        )
        if self.is_watcher:
            self._watcher_read_at_s = max(
                self._watcher_read_at_s or read_at_s, read_at_s
            )

    async def settle(self) -> None:
        """Reconcile with peers before this process serves requests."""
        # A process that starts while the configuration service has an old
        # state would put revoked contracts in force again.  Its peers know
        # the newer versions, so they are asked first.  Peers that have just
        # started count only if there are no others.
        try:
            async with asyncio.timeout(self._settle_timeout_s):
                while not await self._reconcile_with_peers():
                    await asyncio.sleep(_SETTLE_RETRY_S)
        except TimeoutError:
            log.warning('no peer reported the contracts in force')
        self._settled.set()

    async def reconcile(self, peer: live_list.Instance) -> bool:
        """Exchange the contracts and versions that differ with a peer.

        Returns
        -------
        bool
            Whether the peer has itself settled.

        Raises
        ------
        LinkError
            The peer did not answer.
        """
        request = DigestRequest(
            root=self._registry.versions.root,
            watch_age_s=self._age_s(self._watcher_read_at_s),
            view_age_s=self._age_s(self._last_read_at_s),
        )
        reply = await self._ask(peer, request, DigestReply)
        self._merge_ages(reply)
        if reply.root != self._registry.versions.root:
            leaves = self._registry.versions.differing_leaves(reply.leaves)
            for batch in _batches(leaves, _LEAVES_PER_MESSAGE):
                await self._reconcile_leaves(peer, batch)
        await self._fetch_outdated(peer)
        return reply.is_settled

    async def catch_up(
        self, customer: str, known_by: live_list.Instance
    ) -> None:
        """Fetch a contract of which `known_by` knows a newer revision."""
        # The sidecar that refused the request knows the revision, but
        # stores only recently changed contracts; entries store all.  If
        # none of them answers, the customer stays refused, which is safe.
        peers = [known_by, *self._shuffled_entries()[:_CATCH_UP_PEERS]]
        for peer in peers:
            try:
                await self._fetch(peer, (customer,))
            except errors.LinkError as error:
                log.warning(
                    'contract not fetched', peer=peer.name, error=str(error)
                )
            known = self._registry.contract(customer)
            if known is not None and customer not in self._registry.outdated:
                if known.revision >= self._registry.revision(customer):
                    break

    async def answer_digest(self, request: DigestRequest) -> DigestReply:
        """Answer with hashes of the known versions."""
        self._merge_ages(request)
        versions = self._registry.versions
        root = versions.root
        return DigestReply(
            root=root,
            leaves=b'' if root == request.root else versions.leaves(),
            is_settled=self.is_settled,
            watch_age_s=self._age_s(self._watcher_read_at_s),
            view_age_s=self._age_s(self._last_read_at_s),
        )

    async def answer_versions(self, request: VersionsRequest) -> VersionsReply:
        """Answer with the known versions in some leaves."""
        leaves = request.leaves[:_LEAVES_PER_MESSAGE]
        return VersionsReply(
            versions=self._registry.versions.in_leaves(leaves)
        )

    async def answer_contracts(
        self, request: ContractsRequest
    ) -> ContractsReply:
        """Answer with as many contracts as fit in a message."""
        customers = request.customers[:_CONTRACTS_PER_MESSAGE]
        return ContractsReply(
            versions=self._versions_of(customers),
            contracts=_within_size_limit(self._registry.encoded(customers)),
        )

    async def answer_push(self, push: ContractsPush) -> PushReply:
        """Apply contracts that came into force elsewhere."""
        self._apply(push.contracts, push.versions)
        return PushReply()

    def _on_change(self, contract: contract_module.Contract) -> None:
        if not self.is_settled:
            return
        self._pending.add(contract.customer)
        self._changed.set()

    async def _push_changes(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._push_pending()

    async def _push_pending(self) -> None:
        customers, self._pending = sorted(self._pending), set()
        # Pushing thousands of contracts at once would cost each process
        # some megabytes per peer.  Reconciling transfers each only once.
        if len(customers) > _CONTRACTS_PER_MESSAGE:
            return
        push = self._make_push(customers)
        peers = self._choose_peers(FANOUT_PEERS)
        async with asyncio.TaskGroup() as tasks:
            for peer in peers:
                tasks.create_task(self._push(peer, push))

    async def _push(
        self, peer: live_list.Instance, push: ContractsPush
    ) -> None:
        try:
            await self._ask(peer, push, PushReply)
        except errors.LinkError as error:
            log.info('push failed', peer=peer.name, error=str(error))

    async def _reconcile_forever(self) -> None:
        while True:
            await asyncio.sleep(
                _ROUND_INTERVAL_S * self._random.uniform(0.5, 1.5)
            )
            for peer in self._choose_peers(1):
                try:
                    await self.reconcile(peer)
                except errors.LinkError as error:
                    log.info(
                        'reconciliation failed',
                        peer=peer.name,
                        error=str(error),
                    )

    async def _reconcile_with_peers(self) -> bool:
        if not self._membership.instances:
            return False
        peers = self._choose_peers(_SETTLE_PEERS)
        answers = await asyncio.gather(
            *(self.reconcile(peer) for peer in peers), return_exceptions=True
        )
        for error in answers:
            if isinstance(error, BaseException) and not isinstance(
                error, errors.LinkError
            ):
                raise error
        return True in answers or all(a is False for a in answers)

    async def _reconcile_leaves(
        self, peer: live_list.Instance, leaves: Sequence[int]
    ) -> None:
        reply = await self._ask(
            peer, VersionsRequest(leaves=tuple(leaves)), VersionsReply
        )
        theirs = {found.customer: found.version for found in reply.versions}
        newer = [c for c in theirs if theirs[c] > self._version(c)]
        if self._registry.holds_all or self._is_small_change(newer):
            for batch in _batches(newer, _CONTRACTS_PER_MESSAGE):
                await self._fetch(peer, batch)
        for customer in newer:
            self._registry.record_version(customer, theirs[customer])
        older = [
            found.customer
            for found in self._registry.versions.in_leaves(leaves)
            if found.version
            > theirs.get(found.customer, contract_versions.NO_VERSION)
        ]
        if older:
            first = older[:_CONTRACTS_PER_MESSAGE]
            await self._ask(peer, self._make_push(first), PushReply)

    def _is_small_change(self, customers: Sequence[str]) -> bool:
        return self.is_settled and len(customers) <= _CONTRACTS_PER_MESSAGE

    async def _fetch_outdated(self, peer: live_list.Instance) -> None:
        outdated = sorted(self._registry.outdated)
        if outdated:
            self._random.shuffle(outdated)
            await self._fetch(peer, outdated[:_CONTRACTS_PER_MESSAGE])

    async def _fetch(
        self, peer: live_list.Instance, customers: Sequence[str]
    ) -> None:
        missing = list(customers)
        while missing:
            request = ContractsRequest(customers=tuple(missing))
            reply = await self._ask(peer, request, ContractsReply)
            self._apply(reply.contracts, reply.versions)
            # A reply contains as much as fits in a message.  The rest is
            # requested again, unless a reply contains nothing that is
            # missing.
            received = {
                contract_module.customer_of(raw) for raw in reply.contracts
            }
            rest = [c for c in missing if c not in received]
            if len(rest) == len(missing):
                return
            missing = rest

    def _apply(
        self,
        contracts: Iterable[bytes],
        versions: Iterable[contract_versions.CustomerVersion],
    ) -> None:
        for raw in contracts:
            self._registry.accept_json(
                raw, f'peer:{contract_module.customer_of(raw)}'
            )
        for found in versions:
            self._registry.record_version(found.customer, found.version)

    def _make_push(self, customers: Sequence[str]) -> ContractsPush:
        return ContractsPush(
            contracts=_within_size_limit(self._registry.encoded(customers)),
            versions=self._versions_of(customers),
        )

    def _version(self, customer: str) -> contract_versions.ContractVersion:
        return self._registry.versions.version(customer)

    def _versions_of(
        self, customers: Iterable[str]
    ) -> tuple[contract_versions.CustomerVersion, ...]:
        return tuple(
            contract_versions.CustomerVersion(c, self._version(c))
            for c in customers
        )

    def _choose_peers(self, count: int) -> list[live_list.Instance]:
        """Return random peers, on average 3 of 4 in the own region."""
        own = self._membership.instance(self._instance)
        peers = self._other_instances()
        near = [p for p in peers if own and p.region == own.region]
        far = [p for p in peers if not own or p.region != own.region]
        self._random.shuffle(near)
        self._random.shuffle(far)
        chosen: list[live_list.Instance] = []
        while len(chosen) < count and (near or far):
            prefers_near = self._random.random() < 0.75
            source = near if near and (prefers_near or not far) else far
            chosen.append(source.pop())
        return chosen

    def _shuffled_entries(self) -> list[live_list.Instance]:
        entries = [
            i
            for i in self._other_instances()
            if i.role is live_list.Role.ENTRY
        ]
        self._random.shuffle(entries)
        return entries

    def _other_instances(self) -> list[live_list.Instance]:
        return [
            instance
            for instance in self._membership.instances
            if instance.name != self._instance
        ]

    async def _ask(
        self,
        peer: live_list.Instance,
        message: msgspec.Struct,
        kind: type[Reply],
    ) -> Reply:
        self.sent_count += 1
        found = self._links.peer(peer.ip, peer.control_port)
        return await found.ask(message, kind, _ASK_TIMEOUT_S)

    def _merge_ages(self, message: DigestRequest | DigestReply) -> None:
        now_s = self._clock.monotonic_s()
        if message.watch_age_s is not None:
            watcher_read_at_s = now_s - message.watch_age_s
            self._watcher_read_at_s = max(
                self._watcher_read_at_s or watcher_read_at_s, watcher_read_at_s
            )
        if message.view_age_s is not None:
            last_read_at_s = now_s - message.view_age_s
            self._last_read_at_s = max(
                self._last_read_at_s or last_read_at_s, last_read_at_s
            )

    def _age_s(self, at_s: float | None) -> float | None:
        if at_s is None:
            return None
        return max(0.0, self._clock.monotonic_s() - at_s)


def _within_size_limit(contracts: Iterable[bytes]) -> tuple[bytes, ...]:
    selected: list[bytes] = []
    size_bytes = 0
    for data in contracts:
        size_bytes += len(data)
        if selected and size_bytes > _MAX_REPLY_BYTES:
            break
        selected.append(data)
    return tuple(selected)


def _batches(items: Sequence[_Item], count: int) -> Iterable[Sequence[_Item]]:
    for start in range(0, len(items), count):
        yield items[start : start + count]
