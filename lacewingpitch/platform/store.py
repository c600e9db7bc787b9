"""The platform's store: reading it, and following what changes there."""

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

# A store that is silent for longer than this, also a slow one, has lost the
# answer.
_SILENCE_S = 0.8
# A long list takes some seconds to come over a slow link.
_TRANSFER_S = 20.0
# A watch costs one call each time it ends without news.  A connection
# can fall silent for good, which shows only when the watch is overdue.
# What was published meanwhile must be in force once instances count as in
# touch again, 3 s after: the watch and its timeout together are less.
_WATCH_S = 1.9
# Shorter watches would poll the store.
_LEAST_WATCH_S = 0.2
# Over which processes spread their reading anew; all are to know what is
# listed well before they count as in touch.
_EPOCH_SPREAD_S = 0.3
# A store may end a watch this much sooner than it was asked to.
_WATCH_TOLERANCE_S = 0.05
_MAX_BYTES = 8 << 20
_ERROR_STATUS = 300
_GONE = 410
_Answer = TypeVar('_Answer')
log = structlog.get_logger(__name__)


class Item(msgspec.Struct, frozen=True):
    """One value, or the news that there is none any more."""

    key: str
    # JSON text as base64, which the decoder takes off.
    value: bytes = b''
    # Of its last change.
    revision: int = 0
    created_revision: int = msgspec.field(name='createdAt', default=0)
    is_deleted: bool = msgspec.field(name='deleted', default=False)


class _Page(msgspec.Struct, frozen=True):
    # Revision of the store when it answered.
    at: int
    items: tuple[Item, ...] = ()
    has_more: bool = msgspec.field(name='hasMore', default=False)


class _Events(msgspec.Struct, frozen=True):
    at: int
    events: tuple[Item, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What is new under a prefix.

    Parameters
    ----------
    is_whole
        Whether `items` are all there are, rather than those that changed.
    is_away
        Whether the store could not be read; `items` says nothing then.
    current_at_s
        Time of boot up to which nothing else had changed; ``None`` if that
        is not known.
    asked_at_s
        Monotonic time at which a read began that failed.
    is_new_epoch
        Whether the store has come back from a copy since the last change.
    """

    items: tuple[Item, ...] = ()
    is_whole: bool = False
    is_away: bool = False
    current_at_s: float | None = None
    asked_at_s: float | None = None
    is_new_epoch: bool = False

    def under(self, prefix: str) -> 'Change':
        """Return the part of it under a prefix."""
        items = tuple(i for i in self.items if i.key.startswith(prefix))
        return dataclasses.replace(self, items=items)


class _HistoryGoneError(errors.PlatformError):
    """The store no longer has the changes since a revision."""


class _EarlierEpochError(errors.PlatformError):
    """The answer is of a history that the store has left since."""


class Store:
    """Reads the store over HTTP.

    Attributes
    ----------
    epoch
        The newest that any answer was of, also one that refused; 0 if none
        said.  A revision names a change only together with it.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self.call_count = 0
        self.epoch = 0

    async def read_all(self, prefix: str) -> tuple[int, tuple[Item, ...]]:
        """Return a revision and the items under a prefix.

        The pages are no snapshot: the revision is that of the first, so
        that changes between them come again by a watch.
        """
        items: list[Item] = []
        query = {'pathPrefix': prefix}
        first_at = 0
        epoch = 0
        while True:
            page = await self._get(names.RANGE_PATH, query, _SILENCE_S, _Page)
            epoch = epoch or self.epoch
            if self.epoch != epoch:
                raise _HistoryGoneError('store: pages of two epochs')
            first_at = first_at or page.at
            items += page.items
            if not page.has_more or not page.items:
                return first_at, tuple(items)
            query = {**query, 'after': page.items[-1].key}

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, tuple[Item, ...]]:
        """Return what has changed since a revision, and the new one."""
        query = {
            'pathPrefix': prefix,
            'after': str(after),
            'waitMs': str(int(wait_s * 1000)),
        }
        epoch = self.epoch
        found = await self._get(
            names.WATCH_PATH, query, wait_s + _SILENCE_S, _Events
        )
        if self.epoch != epoch:
            raise _HistoryGoneError('store: the revision is of another epoch')
        return found.at, found.events

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        silence_s: float,
        kind: type[_Answer],
    ) -> _Answer:
        self.call_count += 1
        # While bytes come the answer is not lost.  Limited as a whole, a
        # list of thousands of servers would never be read over a slow link.
        timeout = aiohttp.ClientTimeout(
            total=silence_s + _TRANSFER_S,
            sock_connect=_SILENCE_S,
            sock_read=silence_s,
        )
        with platform_call.platform_errors('store'):
            async with self._session.get(
                f'{self._url}{path}', params=query, timeout=timeout
            ) as response:
                self._note_epoch(response.headers.get(names.STORE_ERA, ''))
                if response.status == _GONE:
                    raise _HistoryGoneError('store: history gone')
                if response.status >= _ERROR_STATUS:
                    raise errors.PlatformError(
                        f'store: status {response.status}'
                    )
                data = await platform_call.read_limited(response, _MAX_BYTES)
                return msgspec.json.decode(data, type=kind)

    def _note_epoch(self, text: str) -> None:
        if not text.isdecimal():
            return
        epoch = int(text)
        if epoch < self.epoch:
            raise _EarlierEpochError(f'store: answer of epoch {epoch}')
        self.epoch = epoch


class PrefixWatcher:
    """Follows what is published under one prefix.

    Parameters
    ----------
    pause_s
        Time after a change in which further ones gather.
    current_within_s
        How old the proof that nothing has changed may get where the store
        can be read; 0 where nobody needs it.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        pause_s: float,
        current_within_s: float,
        clock: clock_module.Clock,
        source: random.Random,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._pause_s = pause_s
        self._current_within_s = current_within_s
        self._current_at_s = -math.inf
        self._clock = clock
        self._backoff = read_backoff.ReadBackoff(source)
        self._changes: reactivex.subject.Subject[Change] = (
            reactivex.subject.Subject()
        )
        self._is_away = False
        self._random = source
        # Of the last list that was read whole.
        self._epoch = 0

    @property
    def changes(self) -> reactivex.Observable[Change]:
        """Return what changes, from the first read on."""
        return self._changes

    async def run(self, is_enough: Callable[[], bool]) -> None:
        """Follow until what is known is enough."""
        revision = 0
        while not is_enough():
            if self._is_new_epoch:
                revision = 0
                await self._spread()
            asked_at_s = self._clock.monotonic_s()
            try:
                if not revision:
                    revision = await self._read()
                    continue
                revision, has_changed = await self._watch(revision)
                if has_changed:
                    await asyncio.sleep(self._pause_s)
            except _HistoryGoneError:
                log.info('history gone, reading anew', prefix=self._prefix)
                revision = 0
            except errors.PlatformError as error:
                took_s = self._clock.monotonic_s() - asked_at_s
                pause_s = self._backoff.record_failure(took_s)
                self._failed(error, asked_at_s)
                await asyncio.sleep(pause_s)

    @property
    def _is_new_epoch(self) -> bool:
        return self._epoch not in (0, self._store.epoch)

    async def _spread(self) -> None:
        """Wait, so that not all processes read anew in one moment."""
        log.warning(
            'store came back from a copy',
            prefix=self._prefix,
            epoch=self._store.epoch,
            epoch_before=self._epoch,
        )
        await asyncio.sleep(self._random.uniform(0.0, _EPOCH_SPREAD_S))

    async def _read(self) -> int:
        asked_at_s = self._clock.boot_s()
        revision, items = await self._store.read_all(self._prefix)
        self._returned()
        self._current_at_s = asked_at_s
        is_new_epoch = self._is_new_epoch
        self._epoch = self._store.epoch
        self._changes.on_next(
            Change(
                items,
                is_whole=True,
                current_at_s=asked_at_s,
                is_new_epoch=is_new_epoch,
            )
        )
        return revision

    async def _watch(self, after: int) -> tuple[int, bool]:
        """Return the new revision, and whether there were changes."""
        wait_s = self._wait_s()
        asked_at_s = self._clock.boot_s()
        revision, events = await self._store.watch(self._prefix, after, wait_s)
        self._returned()
        # When the store answered is not known where there are changes; a
        # watch that ends without any has waited for all of its time.
        self._current_at_s = asked_at_s
        waited_s = self._clock.boot_s() - asked_at_s
        least_wait_s = wait_s - _WATCH_TOLERANCE_S
        if not events and waited_s >= least_wait_s:
            self._current_at_s += least_wait_s
        self._changes.on_next(Change(events, current_at_s=self._current_at_s))
        return revision, bool(events)

    def _wait_s(self) -> float:
        if self._is_away:
            # Shows at once that the store is back.
            return _LEAST_WATCH_S
        if not self._current_within_s:
            return _WATCH_S
        age_s = self._clock.boot_s() - self._current_at_s
        left_s = self._current_within_s - age_s
        return min(_WATCH_S, max(_LEAST_WATCH_S, left_s))

    def _returned(self) -> None:
        if self._is_away:
            log.info(
                'dependency regained',
                dependency='store',
                prefix=self._prefix,
                failures=self._backoff.failure_count,
            )
        self._is_away = False
        self._backoff.record_success()

    def _failed(self, error: errors.PlatformError, asked_at_s: float) -> None:
        if not self._is_away:
            log.warning(
                'dependency lost',
                dependency='store',
                prefix=self._prefix,
                error=str(error),
            )
            self._is_away = True
        self._changes.on_next(Change(is_away=True, asked_at_s=asked_at_s))
