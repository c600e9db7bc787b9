"""Follows all values under a prefix of the platform's store."""

import asyncio
from collections.abc import Callable
import dataclasses
import math
import random

import aiohttp
import reactivex
import reactivex.subject
import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch.platform import store as store_module
from lacewingpitch import read_backoff
from lacewingpitch import unlisted_servers

# Each watch that ends without changes costs a call.  A dead connection is
# detected only when the watch times out.  What was published in the meantime
# must be in force once the instance counts as connected again, 3 s later, so
# that the idle time of a connection, a watch and its timeout together must
# take less than that.
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
_CONNECTION_LOST = (
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    aiohttp.ServerDisconnectedError,
)
log = structlog.get_logger(__name__)


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

    items: tuple[store_module.Item, ...] = ()
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
        store: store_module.Store,
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
            except store_module.HistoryGoneError:
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
    if isinstance(error, store_module.RejectedError):
        return False
    is_cut = isinstance(error.__cause__, _CONNECTION_LOST) and not isinstance(
        error.__cause__, aiohttp.ClientConnectorError
    )
    return not is_cut or took_s < _MIN_CUT_WATCH_S
