"""Keeps the crash record of an entry in step with those of the others.

Crash records ride on the messages about turns.  Requests of plain services
need no turn, and a process that has just started has heard nothing yet: a
few sidecars, which every entry knows, pass crashes on without any turn.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import math
import random

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import crash_record
from lacewingpitch import errors
from lacewingpitch import suspect_exchange
from lacewingpitch import suspects as suspects_module

# A fifth of the time after which a process counts as connected, so that
# crashes reach all by two sidecars on the way.
_POLL_INTERVAL_S = 0.6
# Crashes of one moment go out together.
_CHANGE_CHECK_S = 0.05
_MESSAGE_TIMEOUT_S = 0.5
# A request waits for no longer than this for the first reply after a start.
_START_TIMEOUT_S = 0.6
# Relays are as many as a part of the entries, so that the messages that one
# gets do not grow with the deployment.
_ENTRIES_PER_RELAY = 2
_MIN_RELAYS = 2
# Messages to one relay in a row, if the changes do not fit into one.
_MAX_MESSAGES = 8
# Relays that are told of a new crash at once.
_MAX_TOLD = 4
log = structlog.get_logger(__name__)

SendNews = Callable[
    [str, suspect_exchange.CrashNews, float],
    Awaitable[suspect_exchange.CrashNews],
]


def _is_full(news: suspect_exchange.SuspectNews | None) -> bool:
    """Whether a message may have had no room for all changes."""
    if news is None:
        return False
    return len(news.states) >= crash_record.MAX_STATES_PER_MESSAGE


class SuspectSync:
    """Exchanges crash records with relays, at intervals and at each change.

    Parameters
    ----------
    owner
        Returns the IP address of the sidecar that a name is mapped to;
        empty without any.
    send
        Sends news to a sidecar and returns its reply; raises `LinkError`.
    entry_count
        Returns the number of entries, as far as it is known.
    is_list_known
        Returns whether the list of backend servers has been read.

    Attributes
    ----------
    message_count
        Number of messages sent.
    """

    def __init__(
        self,
        suspects: suspects_module.Suspects,
        owner: Callable[[str], str],
        send: SendNews,
        entry_count: Callable[[], int],
        is_list_known: Callable[[], bool],
        clock: clock_module.Clock,
        source: random.Random,
    ) -> None:
        self._record = suspects.record
        self._exchange = suspects.exchange
        self._owner = owner
        self._send = send
        self._entry_count = entry_count
        self._is_list_known = is_list_known
        self._clock = clock
        self._random = source
        self._started_at_s = clock.monotonic_s()
        self._is_informed = asyncio.Event()
        self._told_revision = 0
        self.message_count = 0

    async def wait_until_informed(self) -> None:
        """Wait a moment for what others know, just after the start.

        Guards against a process that starts and sends a request on which
        servers crash, as it has heard of no crash yet.
        """
        if self._is_informed.is_set():
            return
        age_s = self._clock.monotonic_s() - self._started_at_s
        try:
            async with asyncio.timeout(max(0.0, _START_TIMEOUT_S - age_s)):
                await self._is_informed.wait()
        except TimeoutError:
            self._is_informed.set()
            log.warning('crashes not known after the start')

    async def run(self) -> None:
        """Exchange records until cancelled."""
        while not self._is_list_known():
            await asyncio.sleep(_CHANGE_CHECK_S)
        await self._exchange_with(self._some(_MAX_TOLD))
        self._is_informed.set()
        polled_at_s = self._clock.monotonic_s()
        while True:
            await asyncio.sleep(_CHANGE_CHECK_S)
            now_s = self._clock.monotonic_s()
            if self._record.revision != self._told_revision:
                await self._exchange_with(self._some(_MAX_TOLD))
            elif now_s - polled_at_s >= _POLL_INTERVAL_S:
                polled_at_s = now_s
                await self._exchange_with(self._some(1))

    def _relays(self) -> list[str]:
        """Return the addresses of the relays; all entries find the same."""
        count = math.ceil(self._entry_count() / _ENTRIES_PER_RELAY)
        found = (
            self._owner(f'suspects/{number}')
            for number in range(max(_MIN_RELAYS, count))
        )
        return list(dict.fromkeys(ip for ip in found if ip))

    def _some(self, count: int) -> Sequence[str]:
        relays = self._relays()
        return self._random.sample(relays, min(count, len(relays)))

    async def _exchange_with(self, ips: Sequence[str]) -> None:
        told = self._record.revision
        await asyncio.gather(*map(self._exchange_once, ips))
        self._told_revision = told

    async def _exchange_once(self, ip: str) -> None:
        for _ in range(_MAX_MESSAGES):
            update = self._exchange.update_for(
                ip, crash_record.MAX_STATES_PER_MESSAGE
            )
            self.message_count += 1
            try:
                reply = await self._send(
                    ip, suspect_exchange.CrashNews(update), _MESSAGE_TIMEOUT_S
                )
            except errors.LinkError as error:
                log.info('crashes not exchanged', ip=ip, error=str(error))
                return
            self._exchange.apply_reply(ip, update, reply.news)
            if not (_is_full(update) or _is_full(reply.news)):
                return
