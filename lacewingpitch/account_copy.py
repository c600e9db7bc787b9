"""Replication of accounts to peers, so that they survive an instance.

Each entry sends the counters that changed to a few other entries, the
holders.  The counters are absolute, and a holder keeps the greater of
two counts, so messages may be lost, delayed or repeated.  There is no
consensus: a holder only stores copies, and a report merges the copies
that it can read.
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
# Size before compression, which reduces it to about 0.4.  With two
# holders and one message to each per interval, that is 1.6 KB/s at most.
MAX_BATCH_BYTES = 4096
# For accounts of instances that have ended.
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
    """Metadata of one account, or of a copy of it.

    Parameters
    ----------
    account_id
        Identifies the account.
    complete_until_s
        The rows include everything that was counted before this time,
        by the clock of the account's own instance; 0 during a full sync.
    is_final
        Whether the instance ended gracefully and the rows are complete.
    copy_id
        Identifies the holder's copy; a holder that lost its copy starts
        one with a new identifier.
    """

    account_id: account_module.AccountId
    complete_until_s: float = 0.0
    is_final: bool = False
    copy_id: str = ''


class AccountCopy(link.Message, frozen=True):
    """Changed counters of one account, sent to one holder.

    ``head.copy_id`` identifies the copy that the sender expects the
    holder to have.  The rows are compressed, because the same counter
    numbers recur for every customer and the bandwidth of control
    messages is limited.
    """

    head: AccountHead
    packed_rows: bytes

    @property
    def rows(self) -> dict[str, account_rows.Row]:
        """Decompress and decode the rows.

        Raises
        ------
        LinkError
            The rows cannot be decoded, or exceed the size that any
            sender produces.
        """
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(
                self.packed_rows, _MAX_UNPACKED_BYTES
            )
            return _ROWS_DECODER.decode(data)
        except (zlib.error, msgspec.DecodeError) as error:
            raise errors.LinkError(f'cannot decode rows: {error}') from error


def make_copy(
    head: AccountHead, rows: Mapping[str, account_rows.Row]
) -> AccountCopy:
    """Return the message that carries rows, compressed."""
    data = msgspec.msgpack.encode(rows)
    return AccountCopy(head=head, packed_rows=zlib.compress(data))


class AccountCopied(link.Message, frozen=True):
    """Acknowledges an `AccountCopy`, with the copy that it was merged into."""

    copy_id: str


class HeldAccount:
    """A holder's copy of one account.

    ``generation`` increases with every change of the copy.
    """

    def __init__(self, account_id: account_module.AccountId) -> None:
        self.account_id = account_id
        self.rows = account_rows.RowTable()
        self.generation = 0
        self.copy_id = secrets.token_hex(4)
        self.complete_until_s = 0.0
        self.is_final = False

    @property
    def head(self) -> AccountHead:
        """Return the metadata of this copy."""
        return AccountHead(
            account_id=self.account_id,
            complete_until_s=self.complete_until_s,
            is_final=self.is_final,
            copy_id=self.copy_id,
        )

    def merge(self, message: AccountCopy) -> None:
        """Merge a message, which may be delayed or repeated."""
        for customer, row in message.rows.items():
            if account_rows.merge(self.rows.writable_row(customer), row):
                self.generation += 1
        # A holder that restarted or evicted the copy has only the rows
        # that arrived since.  If it adopted the sender's completeness
        # time, a report would lack counts without stating a gap.  The
        # time is valid only for the copy that the message names.
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
    """Copies of other instances' accounts, held up to a capacity.

    Parameters
    ----------
    capacity_accounts
        Maximum number of copies.
    capacity_rows
        Maximum number of rows over all copies.
    """

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
        """Return the copies, least recently updated first."""
        return tuple(self._held.values())

    def account(
        self, account_id: account_module.AccountId
    ) -> HeldAccount | None:
        """Return the copy of one account, or ``None``."""
        return self._held.get(account_id)

    async def merge(self, message: AccountCopy) -> AccountCopied:
        """Merge a message; evict the least recently updated copies if full."""
        account_id = message.head.account_id
        held = self._held.get(account_id)
        if held is None:
            held = self._held[account_id] = HeldAccount(account_id)
        held.merge(message)
        self._held.move_to_end(account_id)
        while self._is_over_capacity():
            evicted, _ = self._held.popitem(last=False)
            log.warning('account copy evicted', instance=evicted.instance)
        return AccountCopied(copy_id=held.copy_id)

    def iterate_round_robin(self) -> Iterator[HeldAccount]:
        """Return an iterator that resumes where the last one stopped.

        A new pass over all copies begins when the last one is exhausted.
        """
        first = next(self._round_robin, None)
        if first is None:
            self._round_robin = iter(self.accounts)
        else:
            self._round_robin = itertools.chain((first,), self._round_robin)
        return self._round_robin

    def sweep(self, count: int, now_s: float) -> None:
        """Drop expired slots and pack idle rows, `count` rows per copy."""
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
    """Counters of one customer that a holder may lack.

    Parameters
    ----------
    missing_since_s
        The holder has every change before this time; 0 where unknown.
    numbers
        Numbers of the counters.
    """

    missing_since_s: float
    numbers: set[int]


class Backlog:
    """Counters of one account that one holder has not acknowledged.

    The size is bounded by that of the account: a counter that changes
    again while it is pending is sent once, with its newest count.

    Parameters
    ----------
    rows
        Rows of the account.
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
        """Whether nothing is left to send."""
        return not self._pending and not self._full_sync_customers

    def start_full_sync(self) -> None:
        """Send every row again."""
        self._pending = {}
        self._full_sync_customers = collections.deque(self._rows)

    def record_changes(
        self, changed: Mapping[str, Iterable[int]], until_s: float
    ) -> None:
        """Add the counters that changed since the last call.

        Parameters
        ----------
        changed
            Numbers of the changed counters, by customer.
        until_s
            All changes up to this time are included.
        """
        for customer, numbers in changed.items():
            # The counters may have changed at any time since the last
            # call, so they count as missing from then on.
            pending = self._pending.setdefault(
                customer, _PendingCounters(self._recorded_until_s, set())
            )
            pending.numbers.update(numbers)
        self._recorded_until_s = until_s

    def next_copy(
        self, head: AccountHead, max_bytes: int = MAX_BATCH_BYTES
    ) -> AccountCopy:
        """Return the next message: oldest changes, then the full sync.

        The message is complete until the oldest change that remains, or
        states no completeness while a full sync is in progress.  Its
        counters leave the backlog; pass the message to `confirm` or
        `requeue` afterwards.
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
        """Apply an acknowledgement; return whether the copy is intact.

        A reply that names another copy means that the holder lost the
        earlier one, so a full sync starts.
        """
        if reply.copy_id == message.head.copy_id:
            self.is_final = message.head.is_final
            return True
        self._copy_id = reply.copy_id
        self.start_full_sync()
        return False

    def requeue(self, message: AccountCopy) -> None:
        """Put an unacknowledged message's counters first in the backlog."""
        # It is unknown since when the holder lacks these counters, so no
        # completeness is stated until they are sent.
        requeued = {
            customer: _PendingCounters(0.0, set(row))
            for customer, row in message.rows.items()
        }
        for customer, pending in self._pending.items():
            merged = requeued.setdefault(customer, pending)
            merged.numbers.update(pending.numbers)
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
    """Replicates this process's account to its holders.

    Parameters
    ----------
    node
        The process, its peers and its view of the membership.
    account
        The account to copy.
    holder
        Copies of other instances' accounts that this process holds.
        Those of ended instances are copied to new holders when one of
        their holders is lost.
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
        """Start a task that copies the account once per interval."""
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            try:
                await self.copy_once()
            except Exception:
                # An error in one round must not stop the replication:
                # everything counted afterwards would be lost with this
                # instance.
                log.exception('copy round failed')

    def age_s(self) -> float:
        """Return the seconds since the account was last copied completely."""
        return self._node.clock.wall_s() - self._copied_until_s

    def own_head(self, *, is_final: bool = False) -> AccountHead:
        """Return the metadata of this process's own account."""
        return AccountHead(
            account_id=self._account.account_id,
            complete_until_s=self._node.clock.wall_s(),
            is_final=is_final,
        )

    async def copy_once(self, *, is_final: bool = False) -> None:
        """Send one message to each holder, and sweep the rows.

        Also sends on the copy of at most one ended instance.
        """
        self._record_departed()
        self._account.sweep(_ROWS_PER_SWEEP)
        self._holder.sweep(_ROWS_PER_SWEEP, self._node.clock.wall_s())
        await self._copy_own_account(is_final)
        await self._copy_ended_account()

    async def close(self, timeout_s: float) -> None:
        """Stop; send the rest of the account and mark it as final.

        Gives up after `timeout_s`, with a warning.
        """
        self._task.cancel()
        # A cancelled wait on a link may fail to return; the last copies
        # must not wait for it.
        await asyncio.wait({self._task}, timeout=_REQUEST_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._is_all_copied():
                    await asyncio.sleep(0)
        except TimeoutError:
            log.warning('account not copied completely')

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
        # An ended instance cannot renew its copies: each replaced holder
        # would lose one, until the account is gone.  So every holder
        # sends its copy to the holders that the hash now selects; merging
        # makes several senders harmless.  Each round sends one account,
        # round-robin, even without changes, because only the reply shows
        # that a holder has lost its copy.
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
    entry = listed.get(account_id.instance)
    if entry is None:
        return True
    return entry.started_at_s > account_id.started_at_s


def _estimate_row_bytes(customer: str, row: account_rows.Row) -> int:
    return (
        _ROW_OVERHEAD_BYTES + len(customer) + len(msgspec.msgpack.encode(row))
    )
