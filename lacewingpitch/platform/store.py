"""Client of the platform's key-value store: single reads and watches.

The store has a revision, which rises with each change, and an epoch, which
rises each time that the store is restored from a backup.  A restored store
uses revisions again, so that a revision is only unique within an epoch.
"""

import asyncio
from collections.abc import Iterable
from typing import TypeVar

import aiohttp
import msgspec

from lacewingpitch import errors
from lacewingpitch import guarded_connection
from lacewingpitch.platform import names
from lacewingpitch import platform_call
from lacewingpitch import single_sending

# Longest time without a byte.  Even a slow store answers within it, so that
# a longer silence means that the response is lost.
_READ_TIMEOUT_S = 0.8
# Longest time from an answer to the next read on the same connection.  After
# a longer pause the read dials anew.
_MAX_IDLE_S = 0.1
# Allowed on top of the wait; a long list takes seconds over a slow link.
_MAX_TRANSFER_S = 20.0
MAX_RESPONSE_BYTES = 8 << 20
# Of the keys and values of all pages of a list.
_MAX_LIST_BYTES = 64 << 20
_MAX_LIST_ITEMS = 200_000
# Longest time for all pages of a list.
_MAX_LIST_S = 60.0
# Larger numbers are no epochs.
_MAX_EPOCH_DIGITS = 18
_MIN_ERROR_STATUS = 300
_STATUS_TOO_MANY = 429
_STATUS_GONE = 410
_Answer = TypeVar('_Answer')


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


class HistoryGoneError(errors.PlatformError):
    """The store no longer has the changes since a revision.

    Everything must be read again.
    """


class EarlierEpochError(errors.PlatformError):
    """The response is from before the last restore of the store."""


class RejectedError(errors.PlatformError):
    """The store is up, and rejected a read."""


def new_session() -> aiohttp.ClientSession:
    """Return a session that reads on connections that answered just now.

    A silent connection shows only by the time-out of a read.  If it could
    have been silent since long before the read, the pause between the reads
    would add to the time-out.
    """
    return single_sending.new_session(
        connector=guarded_connection.new_connector(
            keepalive_timeout=_MAX_IDLE_S
        )
    )


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
        with platform_call.platform_errors('store'):
            async with asyncio.timeout(_MAX_LIST_S):
                return await self._read_pages(prefix)

    async def _read_pages(self, prefix: str) -> tuple[int, tuple[Item, ...]]:
        items: list[Item] = []
        size_bytes = 0
        query = {'pathPrefix': prefix}
        first_revision = 0
        epoch = 0
        while True:
            page = await self._get(
                names.RANGE_PATH, query, _READ_TIMEOUT_S, _Page
            )
            epoch = epoch or self.epoch
            if self.epoch != epoch:
                raise HistoryGoneError('store: pages from two epochs')
            first_revision = first_revision or page.at
            items += page.items
            size_bytes += _size_bytes(page.items)
            if size_bytes > _MAX_LIST_BYTES or len(items) > _MAX_LIST_ITEMS:
                raise errors.PlatformError('store: the list is too long')
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
            raise HistoryGoneError('store: revision from another epoch')
        return response.at, response.events

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        read_timeout_s: float,
        response_type: type[_Answer],
    ) -> _Answer:
        # The timeout applies to each read from the socket: with a limit on
        # the whole response, a list of thousands of servers could never be
        # read over a slow link.
        timeout = aiohttp.ClientTimeout(
            total=read_timeout_s + _MAX_TRANSFER_S,
            sock_connect=_READ_TIMEOUT_S,
            sock_read=read_timeout_s,
        )

        async def read(trace: single_sending.SendingTrace) -> _Answer:
            self.call_count += 1
            async with self._session.get(
                f'{self._url}{path}',
                params=query,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                self._update_epoch(response.headers.get(names.STORE_ERA, ''))
                if response.status == _STATUS_GONE:
                    raise HistoryGoneError('store: revision out of history')
                if response.status == _STATUS_TOO_MANY:
                    raise RejectedError('store: too many reads')
                if response.status >= _MIN_ERROR_STATUS:
                    raise errors.PlatformError(
                        f'store: status {response.status}'
                    )
                data = await platform_call.read_limited(
                    response, MAX_RESPONSE_BYTES
                )
                return msgspec.json.decode(data, type=response_type)

        with platform_call.platform_errors('store'):
            return await single_sending.read_twice_if_stale(read, 'store')

    def _update_epoch(self, text: str) -> None:
        if not text.isdecimal():
            return
        if len(text) > _MAX_EPOCH_DIGITS:
            raise errors.PlatformError('store: the epoch is too long')
        epoch = int(text)
        if epoch < self.epoch:
            raise EarlierEpochError(
                f'store: response from the earlier epoch {epoch}'
            )
        self.epoch = epoch


def _size_bytes(items: Iterable[Item]) -> int:
    return sum(len(item.key) + len(item.value) for item in items)
