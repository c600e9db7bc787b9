"""Membership: the instances of the system that this process knows."""

import asyncio
from collections.abc import Iterable
import itertools
import math

import reactivex
import reactivex.subject
import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import live_list

ROLLBACK_ACCEPT_S = 30.0
LEAVING_MARK_S = 60.0
_WATCH_S = 10.0
_RETRY_S = 1.0
_SUSPECT_S = 5.0
# An instance that misses a list gets it with the next retry of its watch.
_LIST_LAG_S = 1.0
log = structlog.get_logger(__name__)


class Membership:
    """The published instance list, with local marks on top of it.

    A mark excludes an instance from new work until the mark expires.  An
    instance is marked when calls to it fail, or when it reports that it
    is leaving.

    Parameters
    ----------
    clock
        Source of time.
    deployment
        Name of this deployment; listed instances of another one are
        ignored.

    Attributes
    ----------
    ignored_count
        Number of lists and list entries that were not applied.
    """

    def __init__(
        self, clock: clock_module.Clock, deployment: str = ''
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._list = live_list.InstanceList(0, ())
        self._by_name: dict[str, live_list.Instance] = {}
        self._live_by_serves: dict[str, list[live_list.Instance]] = {}
        self._available_by_serves: dict[
            str, tuple[live_list.Instance, ...]
        ] = {}
        self._cache_valid_until_s = math.inf
        self._confirmed_at_s = -math.inf
        self._suspect_until_s: dict[str, float] = {}
        self._leaving_until_s: dict[str, float] = {}
        # Revision of the list that made an instance leave; 0 if it leaves
        # for another reason, such as a signal.
        self._leaving_revisions: dict[str, int] = {}
        self._older_list_since_s: float | None = None
        self._changes: reactivex.subject.Subject[live_list.InstanceList] = (
            reactivex.subject.Subject()
        )
        self.ignored_count = 0

    @property
    def changes(self) -> reactivex.Observable[live_list.InstanceList]:
        """Return the stream of lists, each emitted once it is applied."""
        return self._changes

    @property
    def instances(self) -> tuple[live_list.Instance, ...]:
        """Return the instances of the list in use."""
        return self._list.instances

    def instance(self, name: str) -> live_list.Instance | None:
        """Return the instance with a name, or ``None`` if not listed."""
        return self._by_name.get(name)

    def is_leaving(self, name: str) -> bool:
        """Whether the list shows an instance as leaving."""
        instance = self._by_name.get(name)
        return (
            instance is not None
            and instance.state is live_list.InstanceState.LEAVING
        )

    @property
    def has_sidecars(self) -> bool:
        """Whether the list contains any sidecar."""
        return any(
            instance.role is live_list.Role.SIDECAR
            for instance in self._list.instances
        )

    @property
    def revision(self) -> int:
        """Return the revision of the list in use."""
        return self._list.revision

    @property
    def age_s(self) -> float:
        """Return the seconds since the list was last known to be current."""
        return self._clock.monotonic_s() - self._confirmed_at_s

    def update(self, published: live_list.InstanceList) -> None:
        """Apply a published list.

        An empty list is ignored, and an older one is until it has been
        seen for `ROLLBACK_ACCEPT_S`.
        """
        if published.revision == self._list.revision:
            self._mark_current()
            return
        is_older = published.revision < self._list.revision
        if is_older and not self._has_older_list_persisted():
            return
        if not published.instances and self._list.instances:
            # A platform that lost its list publishes an empty one.
            # Applying it would refuse every caller; calls to instances
            # that are really gone fail and mark them.
            self._ignore('the list is empty')
            return
        self._older_list_since_s = None
        accepted = self._filter_instances(published.instances)
        if is_older:
            accepted = [
                self._keep_leaving_state(instance) for instance in accepted
            ]
        self._apply(
            live_list.InstanceList(published.revision, tuple(accepted))
        )

    def mark_suspect(self, instance: str, for_s: float = _SUSPECT_S) -> None:
        """Exclude an instance from new work for `for_s` seconds.

        Used after a call to it has failed, or when it may be leaving.
        """
        self._suspect_until_s[instance] = self._clock.monotonic_s() + for_s
        self._available_by_serves.clear()

    def mark_leaving(self, instance: str, revision: int = 0) -> None:
        """Exclude an instance that has reported that it is leaving.

        The report is newer than the list, which lags.  The mark lasts
        until the list shows another process under that name, and for
        `LEAVING_MARK_S` at most.  If the instance is still leaving then,
        it refuses the next call, which marks it again.

        Parameters
        ----------
        revision
            Revision of the list that made it leave; a newer list that
            shows it as live removes the mark.  0 if it leaves for another
            reason.
        """
        # Operators can make an instance leave and then cancel that.  A
        # mark that outlived the cancellation, on every instance in turn,
        # would leave no instance available until the first mark expired.
        if revision and self._is_live_in_newer_list(instance, revision):
            self.mark_suspect(instance, _LIST_LAG_S)
            return
        self._leaving_revisions[instance] = revision
        until_s = self._clock.monotonic_s() + LEAVING_MARK_S
        self._leaving_until_s[instance] = until_s
        self._available_by_serves.clear()

    def sidecars(self, serves: str) -> tuple[live_list.Instance, ...]:
        """Return the sidecars that take new work for a model or service.

        The same tuple is returned until the list or a mark changes.
        """
        # The cache must not outlive a mark, or a request would go to an
        # instance that is leaving.  Each new mark, each list and the
        # expiry of the first mark clear it.
        if self._clock.monotonic_s() >= self._cache_valid_until_s:
            self._available_by_serves.clear()
        available = self._available_by_serves.get(serves)
        if available is None and serves in self._live_by_serves:
            available = self._exclude_marked(self._live_by_serves[serves])
            self._available_by_serves[serves] = available
        return available or ()

    def _is_live_in_newer_list(self, instance: str, revision: int) -> bool:
        listed = self._by_name.get(instance)
        return (
            self._list.revision > revision
            and listed is not None
            and listed.state is live_list.InstanceState.LIVE
        )

    def _clear_outdated_leaving_marks(self) -> None:
        for name, revision in list(self._leaving_revisions.items()):
            if revision and self._is_live_in_newer_list(name, revision):
                self._leaving_until_s.pop(name, None)
            if name not in self._leaving_until_s:
                del self._leaving_revisions[name]

    def _exclude_marked(
        self, instances: Iterable[live_list.Instance]
    ) -> tuple[live_list.Instance, ...]:
        for marks in (self._suspect_until_s, self._leaving_until_s):
            self._drop_expired(marks)
        marked = self._suspect_until_s.keys() | self._leaving_until_s.keys()
        self._cache_valid_until_s = min(
            itertools.chain(
                self._suspect_until_s.values(), self._leaving_until_s.values()
            ),
            default=math.inf,
        )
        return tuple(i for i in instances if i.name not in marked)

    def _drop_expired(self, marks: dict[str, float]) -> None:
        now_s = self._clock.monotonic_s()
        for name in [n for n, until_s in marks.items() if until_s <= now_s]:
            del marks[name]

    async def follow(
        self, source: live_list.LiveList, watch_s: float = _WATCH_S
    ) -> None:
        """Watch the published list and apply it until cancelled."""
        while True:
            try:
                await self.follow_once(source, watch_s)
            except errors.PlatformError as error:
                log.warning('instance list not read', error=str(error))
                await asyncio.sleep(_RETRY_S)

    async def follow_once(
        self, source: live_list.LiveList, timeout_s: float = _WATCH_S
    ) -> None:
        """Wait up to `timeout_s` for a newer list, and apply it.

        Raises
        ------
        PlatformError
            The list cannot be read.
        """
        published = await source.watch(self._list.revision, timeout_s)
        if published is None and self._list.revision:
            # A platform that rolled back to an older list never answers a
            # watch for revisions above its own; a plain read returns the
            # lower revision.
            published = await source.read(self._list.revision)
            if published is None:
                self._mark_current()
        if published is not None:
            self.update(published)

    def _mark_current(self) -> None:
        self._older_list_since_s = None
        self._confirmed_at_s = self._clock.monotonic_s()

    def _has_older_list_persisted(self) -> bool:
        # A read from a lagging replica returns an older list for a moment;
        # applying it would route requests to instances that are gone.  A
        # platform restored from a backup keeps publishing the older list,
        # and only that one shows new instances.
        now_s = self._clock.monotonic_s()
        if self._older_list_since_s is None:
            self._older_list_since_s = now_s
        if now_s - self._older_list_since_s >= ROLLBACK_ACCEPT_S:
            log.error('instance list rolled back, older list accepted')
            return True
        self._ignore('the list is older')
        return False

    def _keep_leaving_state(
        self, instance: live_list.Instance
    ) -> live_list.Instance:
        previous = self._by_name.get(instance.name)
        if previous is None or not previous.is_same_process(instance):
            return instance
        if previous.state is live_list.InstanceState.LEAVING:
            return previous
        return instance

    def _filter_instances(
        self, instances: Iterable[live_list.Instance]
    ) -> list[live_list.Instance]:
        by_name: dict[str, live_list.Instance] = {}
        for instance in instances:
            if instance.deployment not in ('', self._deployment):
                self._ignore('another deployment', instance.name)
                continue
            duplicate = by_name.get(instance.name)
            if duplicate is not None:
                self._ignore('listed twice', instance.name)
                instance = _newer(duplicate, instance)
            by_name[instance.name] = instance
        return list(by_name.values())

    def _apply(self, applied: live_list.InstanceList) -> None:
        self._list = applied
        self._confirmed_at_s = self._clock.monotonic_s()
        before = self._by_name
        self._by_name = {i.name: i for i in applied.instances}
        self._live_by_serves = _live_sidecars(applied.instances)
        self._available_by_serves.clear()
        for name, instance in self._by_name.items():
            previous = before.get(name)
            if previous is not None and not previous.is_same_process(instance):
                self._suspect_until_s.pop(name, None)
                self._leaving_until_s.pop(name, None)
        for marks in (self._suspect_until_s, self._leaving_until_s):
            for name in marks.keys() - self._by_name.keys():
                del marks[name]
        self._clear_outdated_leaving_marks()
        self._changes.on_next(applied)

    def _ignore(self, reason: str, instance: str = '') -> None:
        self.ignored_count += 1
        log.warning(
            'instance list not applied in full',
            reason=reason,
            instance=instance,
        )


def _newer(
    one: live_list.Instance, other: live_list.Instance
) -> live_list.Instance:
    """Return the entry of the later process.

    If both are of the same process, return the one that is leaving.
    """
    if one.started_at_s != other.started_at_s:
        return max(one, other, key=lambda i: i.started_at_s)
    if one.state is live_list.InstanceState.LEAVING:
        return one
    return other


def _live_sidecars(
    instances: Iterable[live_list.Instance],
) -> dict[str, list[live_list.Instance]]:
    by_serves: dict[str, list[live_list.Instance]] = {}
    for instance in instances:
        if (
            instance.role is live_list.Role.SIDECAR
            and instance.state is live_list.InstanceState.LIVE
        ):
            by_serves.setdefault(instance.serves, []).append(instance)
    return by_serves
