"""Client of the platform's key-value store: reads and watches.

The store has a revision, which rises with each change, and an epoch, which
rises each time that the store is restored from a backup.  A restored store
uses revisions again, so that a revision is only unique within an epoch.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import math
import random
from typing import TypeVar

import aiohttp
import msgspec
import reactivex
import reactivex.subject
import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch.platform import names
from lacewingpitch import platform_call
from lacewingpitch import read_backoff
from lacewingpitch import unlisted_servers

# Longest time without a byte.  Even a slow store answers within it, so that
# a longer silence means that the response is lost.
_READ_TIMEOUT_S = 0.8
# Allowed on top of the wait; a long list takes seconds over a slow link.
_MAX_TRANSFER_S = 20.0
# Each watch that ends without changes costs a call.  A dead connection is
# detected only when the watch times out.  What was published in the meantime
# must be in force once the instance counts as connected again, 3 s later, so
# that a watch and its timeout together must take less than that.
_MAX_WATCH_S = 1.9
# The store may cut a watch that waits.  A connection that breaks sooner was
# refused.
_MIN_CUT_WATCH_S = 0.05
# Shorter watches would amount to polling.
_MIN_WATCH_S = 0.2
# While the store is out of reach, a watch only finds out whether it is back.
_PROBE_WATCH_S = 0.02
# After the store's return, servers write their entries again.
_REGISTRATION_BATCH_DELAY_S = 0.2
# Time over which processes spread their reads after a restore of the store.
# All must have the list well before they count as connected.
_EPOCH_JITTER_S = 0.3
# The store may end a watch this much earlier than requested.
_WATCH_TOLERANCE_S = 0.05
_MAX_RESPONSE_BYTES = 8 << 20
_MIN_ERROR_STATUS = 300
_STATUS_TOO_MANY = 429
_STATUS_GONE = 410
_CONNECTION_LOST = (
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    aiohttp.ServerDisconnectedError,
)
_Answer = TypeVar('_Answer')
log = structlog.get_logger(__name__)


class Item(msgspec.Struct, frozen=True):
    """A value, or the deletion of one."""

    key: str
    # JSON text.  It is sent as base64, which msgspec decodes.
    value: bytes = b''
    # Revision of its last change.
    revision: int = 0
    created_revision: int = msgspec.field(name='createdAt', default=0)
    is_deleted: bool = msgspec.field(name='deleted', default=False)


class _Page(msgspec.Struct, frozen=True):
    # Revision of the store at the time of the response.
    at: int
    items: tuple[Item, ...] = ()
    has_more: bool = msgspec.field(name='hasMore', default=False)


class _Events(msgspec.Struct, frozen=True):
    at: int
    events: tuple[Item, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Changes under a prefix, or the failure to read them.

    Parameters
    ----------
    is_full_read
        Whether `items` are all items, rather than those that changed.
    is_read_failure
        Whether the store could not be read; `items` has no meaning then.
    current_at_s
        Boot time up to which nothing else had changed; ``None`` if it is
        not known.
    requested_at_s
        Monotonic time at which the failed read started.
    is_unreachable
        Whether the failed read shows that the store was out of reach.
    is_new_epoch
        Whether the store was restored since the previous change.
    epoch
        Epoch of the store.
    revision
        Revision of the store up to which everything is known.
    """

    items: tuple[Item, ...] = ()
    is_full_read: bool = False
    is_read_failure: bool = False
    current_at_s: float | None = None
    requested_at_s: float | None = None
    is_unreachable: bool = False
    is_new_epoch: bool = False
    epoch: int = 0
    revision: int = 0

    def restrict_to(self, prefix: str) -> 'Change':
        """Return a copy with only the items under a prefix."""
        items = tuple(i for i in self.items if i.key.startswith(prefix))
        return dataclasses.replace(self, items=items)


class _HistoryGoneError(errors.PlatformError):
    """The store no longer has the changes since a revision.

    Everything must be read again.
    """


class _EarlierEpochError(errors.PlatformError):
    """The response is from before the last restore of the store."""


class _RejectedError(errors.PlatformError):
    """The store is up, and rejected a read."""


class Store:
    """Reads the store over HTTP.

    All methods raise `errors.PlatformError` if the store cannot be read.

    Attributes
    ----------
    epoch
        Highest epoch of any response, including refusals; 0 if no response
        has stated one.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self.call_count = 0
        self.epoch = 0

    async def read_all(self, prefix: str) -> tuple[int, tuple[Item, ...]]:
        """Return a revision and all items under a prefix.

        The pages do not form a consistent snapshot.  The revision is that
        of the first page, so that a watch repeats the changes made between
        the pages.
        """
        items: list[Item] = []
        query = {'pathPrefix': prefix}
        first_revision = 0
        epoch = 0
        while True:
            page = await self._get(
                names.RANGE_PATH, query, _READ_TIMEOUT_S, _Page
            )
            epoch = epoch or self.epoch
            if self.epoch != epoch:
                raise _HistoryGoneError('store: pages from two epochs')
            first_revision = first_revision or page.at
            items += page.items
            if not page.has_more or not page.items:
                return first_revision, tuple(items)
            query = {**query, 'after': page.items[-1].key}

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, tuple[Item, ...]]:
        """Wait up to `wait_s` for changes after a revision.

        Returns the new revision and the changes.
        """
        query = {
            'pathPrefix': prefix,
            'after': str(after),
            'waitMs': str(int(wait_s * 1000)),
        }
        epoch = self.epoch
        response = await self._get(
            names.WATCH_PATH, query, wait_s + _READ_TIMEOUT_S, _Events
        )
        if self.epoch != epoch:
            raise _HistoryGoneError('store: revision from another epoch')
        return response.at, response.events

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        read_timeout_s: float,
        response_type: type[_Answer],
    ) -> _Answer:
        self.call_count += 1
        # The timeout applies to each read from the socket: with a limit on
        # the whole response, a list of thousands of servers could never be
        # read over a slow link.
        timeout = aiohttp.ClientTimeout(
            total=read_timeout_s + _MAX_TRANSFER_S,
            sock_connect=_READ_TIMEOUT_S,
            sock_read=read_timeout_s,
        )
        with platform_call.platform_errors('store'):
            async with self._session.get(
                f'{self._url}{path}', params=query, timeout=timeout
            ) as response:
                self._update_epoch(response.headers.get(names.STORE_ERA, ''))
                if response.status == _STATUS_GONE:
                    raise _HistoryGoneError('store: revision out of history')
                if response.status == _STATUS_TOO_MANY:
                    raise _RejectedError('store: too many reads')
                if response.status >= _MIN_ERROR_STATUS:
                    raise errors.PlatformError(
                        f'store: status {response.status}'
                    )
                data = await platform_call.read_limited(
                    response, _MAX_RESPONSE_BYTES
                )
                return msgspec.json.decode(data, type=response_type)

    def _update_epoch(self, text: str) -> None:
        if not text.isdecimal():
            return
        epoch = int(text)
        if epoch < self.epoch:
            raise _EarlierEpochError(
                f'store: response from the earlier epoch {epoch}'
            )
        self.epoch = epoch


class PrefixWatcher:
    """Watches all values under one prefix, and recovers from failures.

    Parameters
    ----------
    batch_delay_s
        Wait after a change, so that further changes come with one call.
    max_confirmation_age_s
        Longest time between confirmations that nothing has changed, while
        the store can be read; 0 if they are not needed.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        batch_delay_s: float,
        max_confirmation_age_s: float,
        clock: clock_module.Clock,
        source: random.Random,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._batch_delay_s = batch_delay_s
        self._max_confirmation_age_s = max_confirmation_age_s
        self._confirmed_at_s = -math.inf
        self._clock = clock
        self._backoff = read_backoff.ReadBackoff(source)
        self._changes: reactivex.subject.Subject[Change] = (
            reactivex.subject.Subject()
        )
        self._is_unreachable = False
        self._regained_at_s = -math.inf
        self._random = source
        # Epoch of the last full read.
        self._epoch = 0

    @property
    def changes(self) -> reactivex.Observable[Change]:
        """Return the stream of changes; the first is a full read."""
        return self._changes

    async def run(self, is_done: Callable[[], bool]) -> None:
        """Read everything, then watch for changes until `is_done`."""
        revision = 0
        while not is_done():
            if self._is_new_epoch:
                revision = 0
                await self._wait_jitter()
            requested_at_s = self._clock.monotonic_s()
            try:
                if not revision:
                    revision = await self._read()
                    continue
                revision, has_changed = await self._watch(revision)
                if has_changed:
                    await asyncio.sleep(self._current_batch_delay_s)
            except _HistoryGoneError:
                log.info(
                    'store history lost, reading all again',
                    prefix=self._prefix,
                )
                revision = 0
            except errors.PlatformError as error:
                took_s = self._clock.monotonic_s() - requested_at_s
                retry_delay_s = self._backoff.record_failure(took_s)
                self._record_failure(error, requested_at_s)
                await asyncio.sleep(retry_delay_s)

    @property
    def _is_new_epoch(self) -> bool:
        return self._epoch not in (0, self._store.epoch)

    @property
    def _current_batch_delay_s(self) -> float:
        returned_s = self._clock.monotonic_s() - self._regained_at_s
        if returned_s < unlisted_servers.RELISTED_WITHIN_S:
            return min(self._batch_delay_s, _REGISTRATION_BATCH_DELAY_S)
        return self._batch_delay_s

    async def _wait_jitter(self) -> None:
        """Wait a random time, so that processes do not all read at once."""
        log.warning(
            'store restored from a backup',
            prefix=self._prefix,
            epoch=self._store.epoch,
            epoch_before=self._epoch,
        )
        await asyncio.sleep(self._random.uniform(0.0, _EPOCH_JITTER_S))

    async def _read(self) -> int:
        requested_at_s = self._clock.boot_s()
        revision, items = await self._store.read_all(self._prefix)
        self._record_success()
        self._confirmed_at_s = requested_at_s
        is_new_epoch = self._is_new_epoch
        self._epoch = self._store.epoch
        self._changes.on_next(
            Change(
                items,
                is_full_read=True,
                current_at_s=requested_at_s,
                is_new_epoch=is_new_epoch,
                epoch=self._epoch,
                revision=revision,
            )
        )
        return revision

    async def _watch(self, after: int) -> tuple[int, bool]:
        """Return the new revision and whether there were changes."""
        wait_s = self._wait_s()
        requested_at_s = self._clock.boot_s()
        revision, events = await self._store.watch(self._prefix, after, wait_s)
        self._record_success()
        # If there were changes, the time at which the store answered is
        # unknown.  A watch without changes has lasted for its whole wait.
        self._confirmed_at_s = requested_at_s
        waited_s = self._clock.boot_s() - requested_at_s
        min_wait_s = max(0.0, wait_s - _WATCH_TOLERANCE_S)
        if not events and waited_s >= min_wait_s:
            self._confirmed_at_s += min_wait_s
        self._changes.on_next(
            Change(
                events,
                current_at_s=self._confirmed_at_s,
                epoch=self._epoch,
                revision=revision,
            )
        )
        return revision, bool(events)

    def _wait_s(self) -> float:
        if self._is_unreachable:
            return _PROBE_WATCH_S
        if not self._max_confirmation_age_s:
            return _MAX_WATCH_S
        age_s = self._clock.boot_s() - self._confirmed_at_s
        left_s = self._max_confirmation_age_s - age_s
        return min(_MAX_WATCH_S, max(_MIN_WATCH_S, left_s))

    def _record_success(self) -> None:
        if self._is_unreachable:
            self._regained_at_s = self._clock.monotonic_s()
            log.info(
                'dependency regained',
                dependency='store',
                prefix=self._prefix,
                failures=self._backoff.failure_count,
            )
        self._is_unreachable = False
        self._backoff.record_success()

    def _record_failure(
        self, error: errors.PlatformError, requested_at_s: float
    ) -> None:
        if not self._is_unreachable:
            log.warning(
                'dependency lost',
                dependency='store',
                prefix=self._prefix,
                error=str(error),
            )
            self._is_unreachable = True
        took_s = self._clock.monotonic_s() - requested_at_s
        is_unreachable = _shows_unreachable(error, took_s)
        log.info(
            'store read failed',
            prefix=self._prefix,
            error=str(error),
            failures=self._backoff.failure_count,
            is_unreachable=is_unreachable,
            took_s=round(took_s, 3),
        )
        self._changes.on_next(
            Change(
                is_read_failure=True,
                requested_at_s=requested_at_s,
                is_unreachable=is_unreachable,
            )
        )


def _shows_unreachable(error: errors.PlatformError, took_s: float) -> bool:
    """Whether a failed read shows that the store was out of reach.

    Parameters
    ----------
    took_s
        Time from the start of the read to its failure.
    """
    if isinstance(error, _RejectedError):
        return False
    is_cut = isinstance(error.__cause__, _CONNECTION_LOST) and not isinstance(
        error.__cause__, aiohttp.ClientConnectorError
    )
    return not is_cut or took_s < _MIN_CUT_WATCH_S
