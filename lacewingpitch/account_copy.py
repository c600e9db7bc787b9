"""Copies of the account at peers, so that it survives an instance.

Each entry sends the counters that changed to a few others.  They are
absolute counts, and a holder keeps the greater of two, so that a copy
may be lost, late or repeated.  Nothing is agreed on: a holder only
remembers, and a report merges what it reaches.
"""

import asyncio
import collections
from collections.abc import Iterable, Iterator, Mapping
import dataclasses
import itertools
import secrets
import zlib

import msgspec
import structlog

from lacewingpitch import account as account_module
from lacewingpitch import account_holders
from lacewingpitch import account_rows
from lacewingpitch import burn
from lacewingpitch import errors
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import node as node_module

COPY_INTERVAL_S = 2.0
# Before compression, which leaves about 0.4 of it: with two holders and
# a message each interval, 1.6 KB/s at most.
MAX_BATCH_BYTES = 4096
MAX_ENDED_BATCH_BYTES = 1024
MAX_HELD_ACCOUNTS = 1024
MAX_HELD_ROWS = 120_000
_REQUEST_TIMEOUT_S = 1.0
_ROW_OVERHEAD_BYTES = 3
_MAX_UNPACKED_BYTES = 1 << 20
_ROWS_DECODER = msgspec.msgpack.Decoder(dict[str, dict[int, int]])
_ROWS_PER_SWEEP = 256
_MAX_DEPARTED_ENTRIES = 1024
log = structlog.get_logger(__name__)


class AccountHead(link.Message, frozen=True):
    """What a process knows of one account, but for its rows.

    Parameters
    ----------
    complete_until_s
        The rows lack nothing that was counted before, by the clock of
        the account's own instance; 0 while they are being filled.
    is_final
        Whether the instance ended gracefully, with nothing left out.
    copy_id
        Identifies the holder's copy; it changes when the copy is lost.
    """

    account_id: account_module.AccountId
    complete_until_s: float = 0.0
    is_final: bool = False
    copy_id: str = ''


class AccountCopy(link.Message, frozen=True):
    """Counters of one account that changed, for one holder.

    ``head.copy_id`` is the copy that the sender believes to add to.
    The rows are compressed: their counter numbers repeat from customer
    to customer, and control messages have few bytes a second.
    """

    head: AccountHead
    packed_rows: bytes

    @property
    def rows(self) -> dict[str, account_rows.Row]:
        """Return the rows.

        Raises
        ------
        LinkError
            They cannot be decoded, or are larger than any sender's.
        """
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(
                self.packed_rows, _MAX_UNPACKED_BYTES
            )
            return _ROWS_DECODER.decode(data)
        except (zlib.error, msgspec.DecodeError) as error:
            raise errors.LinkError(f'rows cannot be read: {error}') from error


def make_copy(
    head: AccountHead, rows: Mapping[str, account_rows.Row]
) -> AccountCopy:
    """Return the message that carries these rows."""
    data = msgspec.msgpack.encode(rows)
    return AccountCopy(head=head, packed_rows=zlib.compress(data))


class AccountCopied(link.Message, frozen=True):
    """Confirms a copy, and says to which copy it was added."""

    copy_id: str


class HeldAccount:
    """The copy of an account, as one holder has it."""

    def __init__(self, account_id: account_module.AccountId) -> None:
        self.account_id = account_id
        self.rows = account_rows.RowTable()
        self.generation = 0
        self.copy_id = secrets.token_hex(4)
        self.complete_until_s = 0.0
        self.is_final = False

    @property
    def head(self) -> AccountHead:
        """Return what is known but for the rows."""
        return AccountHead(
            account_id=self.account_id,
            complete_until_s=self.complete_until_s,
            is_final=self.is_final,
            copy_id=self.copy_id,
        )

    def merge(self, message: AccountCopy) -> None:
        """Take over a copy; it may come late or twice."""
        for customer, row in message.rows.items():
            if account_rows.merge(self.rows.writable_row(customer), row):
                self.generation += 1
        # A holder that restarted, or dropped the copy, has only what came
        # since.  If it took over the sender's claim of completeness, a
        # report would show too little and state no gap.  The claim is
        # made of one copy, so it is void for any other.
        head = message.head
        if head.copy_id != self.copy_id:
            return
        before = self.head
        self.complete_until_s = max(
            self.complete_until_s, head.complete_until_s
        )
        self.is_final = self.is_final or head.is_final
        if self.head != before:
            self.generation += 1


class CopyHolder:
    """The accounts of others that this process keeps, within a bound."""

    def __init__(
        self,
        capacity_accounts: int = MAX_HELD_ACCOUNTS,
        capacity_rows: int = MAX_HELD_ROWS,
    ) -> None:
        self._capacity_accounts = capacity_accounts
        self._capacity_rows = capacity_rows
        self._round_robin: Iterator[HeldAccount] = iter(())
        self._held: collections.OrderedDict[
            account_module.AccountId, HeldAccount
        ] = collections.OrderedDict()

    @property
    def accounts(self) -> tuple[HeldAccount, ...]:
        """Return the copies, least recently added to first."""
        return tuple(self._held.values())

    def account(
        self, account_id: account_module.AccountId
    ) -> HeldAccount | None:
        """Return the copy of one account."""
        return self._held.get(account_id)

    async def merge(self, message: AccountCopy) -> AccountCopied:
        """Take over a copy; when full, drop the one longest unused."""
        account_id = message.head.account_id
        held = self._held.get(account_id)
        if held is None:
            held = self._held[account_id] = HeldAccount(account_id)
        held.merge(message)
        self._held.move_to_end(account_id)
        while self._is_over_capacity():
            dropped, _ = self._held.popitem(last=False)
            log.warning('copy dropped', instance=dropped.instance)
        return AccountCopied(copy_id=held.copy_id)

    def iterate_round_robin(self) -> Iterator[HeldAccount]:
        """Return the copies that have not had their turn yet."""
        first = next(self._round_robin, None)
        if first is None:
            self._round_robin = iter(self.accounts)
        else:
            self._round_robin = itertools.chain((first,), self._round_robin)
        return self._round_robin

    def sweep(self, count: int, now_s: float) -> None:
        """Drop expired slots and pack idle rows, `count` of each copy."""
        for held in self._held.values():
            held.rows.sweep(count, now_s)

    def _is_over_capacity(self) -> bool:
        if len(self._held) <= 1:
            return False
        row_count = sum(len(held.rows) for held in self._held.values())
        return (
            len(self._held) > self._capacity_accounts
            or row_count > self._capacity_rows
        )


@dataclasses.dataclass(slots=True)
class _PendingCounters:
    """Counters of one customer that a holder may lack."""

    missing_since_s: float
    numbers: set[int]


class Backlog:
    """What one holder still lacks of one account.

    It is bounded by the account itself: a customer's counters that
    change again while they wait are sent once, with the newest counts.
    """

    def __init__(self, rows: account_rows.RowTable) -> None:
        self.generation = 0
        self.is_final = False
        self._rows = rows
        self._full_sync_customers: collections.deque[str]
        self._pending: dict[str, _PendingCounters] = {}
        self._recorded_until_s = 0.0
        self._copy_id = ''
        self.start_full_sync()

    @property
    def is_empty(self) -> bool:
        """Whether the holder has all that is known."""
        return not self._pending and not self._full_sync_customers

    def start_full_sync(self) -> None:
        """Begin again with every counter."""
        self._pending = {}
        self._full_sync_customers = collections.deque(self._rows)

    def record_changes(
        self, changed: Mapping[str, Iterable[int]], until_s: float
    ) -> None:
        """Note all that has changed until a time."""
        for customer, numbers in changed.items():
            # The first of them may have changed right after the last
            # time that this was called.
            pending = self._pending.setdefault(
                customer, _PendingCounters(self._recorded_until_s, set())
            )
            pending.numbers.update(numbers)
        self._recorded_until_s = until_s

    def next_copy(
        self, head: AccountHead, max_bytes: int = MAX_BATCH_BYTES
    ) -> AccountCopy:
        """Return the next message: what waits longest, then the refill.

        It claims to be complete until the oldest change that is left
        over, and for nothing while a refill goes on.  What it takes is
        gone from here; see `confirm` and `lost`.
        """
        rows = self._pop_pending(max_bytes)
        size = sum(_estimate_row_bytes(c, r) for c, r in rows.items())
        self._add_full_sync_rows(rows, max_bytes - size)
        sent = AccountHead(
            account_id=head.account_id,
            complete_until_s=self._complete_until_s(head),
            is_final=head.is_final and self.is_empty,
            copy_id=self._copy_id,
        )
        return make_copy(sent, rows)

    def confirm(self, message: AccountCopy, reply: AccountCopied) -> bool:
        """Note that a holder has a message; return if all is well.

        A reply of another copy means that the holder lost the one that
        was being filled, so everything is sent anew.
        """
        if reply.copy_id == message.head.copy_id:
            self.is_final = message.head.is_final
            return True
        self._copy_id = reply.copy_id
        self.start_full_sync()
        return False

    def requeue(self, message: AccountCopy) -> None:
        """Note that a message was not confirmed: it goes first again."""
        # Nobody knows since when its counters have been lacking, so that
        # nothing is claimed until they are through.
        requeued = {
            customer: _PendingCounters(0.0, set(row))
            for customer, row in message.rows.items()
        }
        for customer, pending in self._pending.items():
            found = requeued.setdefault(customer, pending)
            found.numbers.update(pending.numbers)
        self._pending = requeued

    def _complete_until_s(self, head: AccountHead) -> float:
        if self._full_sync_customers:
            return 0.0
        return min(
            (pending.missing_since_s for pending in self._pending.values()),
            default=head.complete_until_s,
        )

    def _pop_pending(self, max_bytes: int) -> dict[str, account_rows.Row]:
        rows: dict[str, account_rows.Row] = {}
        size = 0
        for customer in tuple(self._pending):
            source = self._rows.row(customer)
            numbers = self._pending[customer].numbers
            row = {n: source[n] for n in numbers if n in source}
            size += _estimate_row_bytes(customer, row)
            if rows and size > max_bytes:
                break
            del self._pending[customer]
            rows[customer] = row
        return rows

    def _add_full_sync_rows(
        self, rows: dict[str, account_rows.Row], max_bytes: int
    ) -> None:
        while self._full_sync_customers and max_bytes > 0:
            customer = self._full_sync_customers.popleft()
            row = {
                number: count
                for number, count in self._rows.row(customer).items()
                if burn.is_copied(number)
            }
            max_bytes -= _estimate_row_bytes(customer, row)
            rows[customer] = row


class AccountCopier:
    """Keeps the copies of this process's account up to date.

    Parameters
    ----------
    node
        The process, its peers and its view of others.
    account
        The account to copy.
    holder
        Copies that others keep here; those of ended instances are sent
        on when one of their holders is lost.
    """

    def __init__(
        self,
        node: node_module.Node,
        account: account_module.Account,
        holder: CopyHolder,
    ) -> None:
        self._node = node
        self._account = account
        self._holder = holder
        self._backlogs: dict[
            tuple[account_module.AccountId, str], Backlog
        ] = {}
        self._copied_until_s = account.account_id.started_at_s
        self.sent_bytes = 0
        self.sent_count = 0
        self.departed: collections.OrderedDict[
            str, tuple[live_list.Instance, float]
        ] = collections.OrderedDict()
        self._listed_entries: dict[str, live_list.Instance] = {}
        self._task: asyncio.Task[None]

    def start(self) -> None:
        """Copy from now on."""
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            try:
                await self.copy_once()
            except Exception:
                # A fault in one round must not end the copies: the next
                # loss of this instance would lose all since.
                log.exception('copy round failed')

    def age_s(self) -> float:
        """Return how long ago the account was last copied whole."""
        return self._node.clock.wall_s() - self._copied_until_s

    def own_head(self, *, is_final: bool = False) -> AccountHead:
        """Return what is known of this process's own account now."""
        return AccountHead(
            account_id=self._account.account_id,
            complete_until_s=self._node.clock.wall_s(),
            is_final=is_final,
        )

    async def copy_once(self, *, is_final: bool = False) -> None:
        """Send one message to each holder."""
        self._record_departed()
        self._account.sweep(_ROWS_PER_SWEEP)
        self._holder.sweep(_ROWS_PER_SWEEP, self._node.clock.wall_s())
        await self._copy_own_account(is_final)
        await self._copy_ended_account()

    async def close(self, timeout_s: float) -> None:
        """Stop; send what is left, and say that it is all."""
        self._task.cancel()
        # A cancelled wait on a link has been seen not to return; the
        # last copies must not wait for it.
        await asyncio.wait({self._task}, timeout=_REQUEST_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._is_all_copied():
                    await asyncio.sleep(0)
        except TimeoutError:
            log.warning('account not copied whole')

    async def _is_all_copied(self) -> bool:
        await self.copy_once(is_final=True)
        return all(
            backlog.is_final
            for (account_id, _), backlog in self._backlogs.items()
            if account_id == self._account.account_id
        )

    async def _copy_own_account(self, is_final: bool) -> None:
        account = self._account
        changed = account.pop_changes()
        head = self.own_head(is_final=is_final)
        holders = self._holders(account.account_id)
        self._drop_other_backlogs(account.account_id, holders)
        backlogs = [
            self._backlog(account.account_id, account.rows, peer)
            for peer in holders
        ]
        for backlog in backlogs:
            backlog.record_changes(changed, head.complete_until_s)
        await asyncio.gather(
            *map(self._send, holders, backlogs, itertools.repeat(head))
        )

    async def _copy_ended_account(self) -> None:
        # The copies of an ended instance have no owner left to renew
        # them: with each holder that is replaced one would go, until the
        # account is lost.  So a holder sends its copy on to whoever the
        # hash now names; merging makes a second sender harmless.  One
        # account a round, in turn, also when nothing is due: only the
        # reply tells that a holder has lost its copy.
        listed = {entry.name: entry for entry in self._entries()}
        for held in self._holder.iterate_round_robin():
            if _has_ended(held.account_id, listed):
                await self._copy_held_account(held)
                return

    async def _copy_held_account(self, held: HeldAccount) -> None:
        holders = self._holders(held.account_id)
        self._drop_other_backlogs(held.account_id, holders)
        for peer in holders:
            backlog = self._backlog(held.account_id, held.rows, peer)
            if backlog.generation != held.generation:
                backlog.generation = held.generation
                backlog.start_full_sync()
            await self._send(peer, backlog, held.head, MAX_ENDED_BATCH_BYTES)

    async def _send(
        self,
        peer: live_list.Instance,
        backlog: Backlog,
        head: AccountHead,
        max_bytes: int = MAX_BATCH_BYTES,
    ) -> None:
        message = backlog.next_copy(head, max_bytes)
        self.sent_count += 1
        self.sent_bytes += len(self._node.signer.sign(message))
        try:
            reply = await self._node.peers.peer(
                peer.ip, peer.control_port
            ).ask(message, AccountCopied, _REQUEST_TIMEOUT_S)
        except errors.LinkError as error:
            backlog.requeue(message)
            log.debug('copy failed', holder=peer.name, error=str(error))
            return
        except asyncio.CancelledError:
            backlog.requeue(message)
            raise
        if not backlog.confirm(message, reply):
            return
        if head.account_id == self._account.account_id:
            self._copied_until_s = max(
                self._copied_until_s, message.head.complete_until_s
            )

    def _backlog(
        self,
        account_id: account_module.AccountId,
        rows: account_rows.RowTable,
        peer: live_list.Instance,
    ) -> Backlog:
        key = (account_id, peer.name)
        if key not in self._backlogs:
            self._backlogs[key] = Backlog(rows)
        return self._backlogs[key]

    def _drop_other_backlogs(
        self,
        account_id: account_module.AccountId,
        holders: list[live_list.Instance],
    ) -> None:
        names = {holder.name for holder in holders}
        for key in tuple(self._backlogs):
            if key[0] == account_id and key[1] not in names:
                del self._backlogs[key]

    def _holders(
        self, account_id: account_module.AccountId
    ) -> list[live_list.Instance]:
        others = [
            entry
            for entry in self._entries()
            if entry.name not in (self._name, account_id.instance)
        ]
        return account_holders.choose_holders(
            account_id, self._node.settings.region, others
        )

    @property
    def _name(self) -> str:
        return self._account.account_id.instance

    def _entries(self) -> list[live_list.Instance]:
        return [
            instance
            for instance in self._node.membership.instances
            if instance.role is live_list.Role.ENTRY
        ]

    def _record_departed(self) -> None:
        listed = {entry.name: entry for entry in self._entries()}
        for name, entry in self._listed_entries.items():
            if name not in listed:
                self.departed[name] = (entry, self._node.clock.wall_s())
        for name in listed:
            self.departed.pop(name, None)
        while len(self.departed) > _MAX_DEPARTED_ENTRIES:
            self.departed.popitem(last=False)
        self._listed_entries = listed


def _has_ended(
    account_id: account_module.AccountId,
    listed: Mapping[str, live_list.Instance],
) -> bool:
    found = listed.get(account_id.instance)
    if found is None:
        return True
    return found.started_at_s > account_id.started_at_s


def _estimate_row_bytes(customer: str, row: account_rows.Row) -> int:
    return (
        _ROW_OVERHEAD_BYTES + len(customer) + len(msgspec.msgpack.encode(row))
    )
