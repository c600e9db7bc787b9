"""Which instances take part, as far as this process knows."""

import asyncio
import math

import reactivex
import reactivex.subject
import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import live_list

_WATCH_S = 30.0
_RETRY_S = 1.0
_SUSPECT_S = 5.0
log = structlog.get_logger(__name__)


class Membership:
    """Instances of the list, less those seen to fail or to leave.

    `changes` emits every list that is taken over.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._list = live_list.InstanceList(0, ())
        self._current_at_s = -math.inf
        self._suspect_until_s: dict[str, float] = {}
        self._changes: reactivex.subject.Subject[live_list.InstanceList] = (
            reactivex.subject.Subject()
        )

    @property
    def changes(self) -> reactivex.Observable[live_list.InstanceList]:
        """Return the stream of lists that are taken over."""
        return self._changes

    @property
    def instances(self) -> tuple[live_list.Instance, ...]:
        """Return the list as it was last published."""
        return self._list.instances

    @property
    def age_s(self) -> float:
        """Return how long ago the list was last known to be current."""
        return self._clock.monotonic_s() - self._current_at_s

    def update(self, published: live_list.InstanceList) -> None:
        """Take over a published list unless it is an older one."""
        if published.revision <= self._list.revision:
            return
        self._list = published
        self._changes.on_next(published)

    def suspect(self, instance: str, for_s: float = _SUSPECT_S) -> None:
        """Pass over an instance for a while: it failed, or is leaving."""
        self._suspect_until_s[instance] = self._clock.monotonic_s() + for_s

    def sidecars(self, serves: str) -> list[live_list.Instance]:
        """Return the sidecars that take new work for a model or service."""
        return [
            instance
            for instance in self._list.instances
            if instance.role is live_list.Role.SIDECAR
            and instance.serves == serves
            and instance.state is live_list.InstanceState.LIVE
            and not self._is_suspect(instance.name)
        ]

    async def follow(
        self, source: live_list.LiveList, watch_s: float = _WATCH_S
    ) -> None:
        """Follow the published list until cancelled."""
        while True:
            try:
                found = await source.watch(self._list.revision, watch_s)
            except errors.PlatformError as error:
                log.warning('list not read', error=str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            self._current_at_s = self._clock.monotonic_s()
            if found is not None:
                self.update(found)

    def _is_suspect(self, instance: str) -> bool:
        until_s = self._suspect_until_s.get(instance)
        if until_s is None:
            return False
        if until_s > self._clock.monotonic_s():
            return True
        del self._suspect_until_s[instance]
        return False
