"""Which instances take part, as far as this process knows."""

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

JUMP_BACK_S = 30.0
LEAVING_WORD_S = 60.0
_WATCH_S = 10.0
_RETRY_S = 1.0
_SUSPECT_S = 5.0
# A list reaches another instance within a retry of the watch.
_LIST_LAG_S = 1.0
log = structlog.get_logger(__name__)


class Membership:
    """Instances of the list, less those seen to fail or to leave.

    `changes` emits every list that is taken over.

    Parameters
    ----------
    clock
        Source of time.
    deployment
        Instances that the list names for another one are passed over.
    """

    def __init__(
        self, clock: clock_module.Clock, deployment: str = ''
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._list = live_list.InstanceList(0, ())
        self._by_name: dict[str, live_list.Instance] = {}
        self._live_by_serves: dict[str, list[live_list.Instance]] = {}
        self._usable_by_serves: dict[str, tuple[live_list.Instance, ...]] = {}
        self._usable_until_s = math.inf
        self._current_at_s = -math.inf
        self._suspect_until_s: dict[str, float] = {}
        self._leaving_until_s: dict[str, float] = {}
        # Revision of the list by which an instance said that it leaves;
        # 0 if it does so by itself.
        self._leaving_by: dict[str, int] = {}
        self._older_since_s: float | None = None
        self._changes: reactivex.subject.Subject[live_list.InstanceList] = (
            reactivex.subject.Subject()
        )
        self.passed_over_count = 0

    @property
    def changes(self) -> reactivex.Observable[live_list.InstanceList]:
        """Return the stream of lists that are taken over."""
        return self._changes

    @property
    def instances(self) -> tuple[live_list.Instance, ...]:
        """Return the list as it was last taken over."""
        return self._list.instances

    def instance(self, name: str) -> live_list.Instance | None:
        """Return the instance of a name, if it is listed."""
        return self._by_name.get(name)

    def is_leaving(self, name: str) -> bool:
        """Whether the list says that an instance leaves."""
        found = self._by_name.get(name)
        return (
            found is not None
            and found.state is live_list.InstanceState.LEAVING
        )

    @property
    def has_sidecars(self) -> bool:
        """Whether any backend server is listed."""
        return any(
            instance.role is live_list.Role.SIDECAR
            for instance in self._list.instances
        )

    @property
    def revision(self) -> int:
        """Return the revision of the list that was last taken over."""
        return self._list.revision

    @property
    def age_s(self) -> float:
        """Return how long ago the list was last known to be current."""
        return self._clock.monotonic_s() - self._current_at_s

    def update(self, published: live_list.InstanceList) -> None:
        """Take over a published list unless it is worse than none."""
        if published.revision == self._list.revision:
            self._confirm()
            return
        is_older = published.revision < self._list.revision
        if is_older and not self._is_older_for_good():
            return
        if not published.instances and self._list.instances:
            # A platform that lost its list publishes an empty one.  To
            # follow it would refuse every caller; instances that are
            # really gone are found by the calls to them that fail.
            self._pass_over('the list is empty')
            return
        self._older_since_s = None
        usable = self._usable(published.instances)
        if is_older:
            usable = [self._keep_leaving(instance) for instance in usable]
        self._take(live_list.InstanceList(published.revision, tuple(usable)))

    def suspect(self, instance: str, for_s: float = _SUSPECT_S) -> None:
        """Pass over an instance for a while: it failed, or is leaving."""
        self._suspect_until_s[instance] = self._clock.monotonic_s() + for_s
        self._usable_by_serves.clear()

    def note_leaving(self, instance: str, revision: int = 0) -> None:
        """Pass over an instance that says itself that it leaves.

        Its word comes before the list, which lags.  It holds until the
        list names another process by that name, or for `LEAVING_WORD_S`;
        a call after that is refused by the instance again.

        Parameters
        ----------
        revision
            Of the list by which it leaves; a newer one by which it stays
            ends its word.  0 if it leaves by itself.
        """
        # Operators can have an instance leave, and stay.  Its word would
        # hold for long after; with one such word for each instance, none
        # would seem live until the first of them ends.
        if revision and self._stays_by_newer(instance, revision):
            self.suspect(instance, _LIST_LAG_S)
            return
        self._leaving_by[instance] = revision
        until_s = self._clock.monotonic_s() + LEAVING_WORD_S
        self._leaving_until_s[instance] = until_s
        self._usable_by_serves.clear()

    def sidecars(self, serves: str) -> tuple[live_list.Instance, ...]:
        """Return the sidecars that take new work for a model or service.

        It is the same object until one of them comes, goes or is marked.
        """
        # What is kept may be older than a word of leaving: a request
        # would go there until the list says so.  Each new mark, each
        # list and the end of the first mark drop what is kept.
        if self._clock.monotonic_s() >= self._usable_until_s:
            self._usable_by_serves.clear()
        found = self._usable_by_serves.get(serves)
        if found is None and serves in self._live_by_serves:
            found = self._unmarked(self._live_by_serves[serves])
            self._usable_by_serves[serves] = found
        return found or ()

    def _stays_by_newer(self, instance: str, revision: int) -> bool:
        found = self._by_name.get(instance)
        return (
            self._list.revision > revision
            and found is not None
            and found.state is live_list.InstanceState.LIVE
        )

    def _end_words_by_lists(self) -> None:
        for name, revision in list(self._leaving_by.items()):
            if revision and self._stays_by_newer(name, revision):
                self._leaving_until_s.pop(name, None)
            if name not in self._leaving_until_s:
                del self._leaving_by[name]

    def _unmarked(
        self, instances: Iterable[live_list.Instance]
    ) -> tuple[live_list.Instance, ...]:
        for marks in (self._suspect_until_s, self._leaving_until_s):
            self._drop_ended(marks)
        marked = self._suspect_until_s.keys() | self._leaving_until_s.keys()
        self._usable_until_s = min(
            itertools.chain(
                self._suspect_until_s.values(), self._leaving_until_s.values()
            ),
            default=math.inf,
        )
        return tuple(i for i in instances if i.name not in marked)

    def _drop_ended(self, marks: dict[str, float]) -> None:
        now_s = self._clock.monotonic_s()
        for name in [n for n, until_s in marks.items() if until_s <= now_s]:
            del marks[name]

    async def follow(
        self, source: live_list.LiveList, watch_s: float = _WATCH_S
    ) -> None:
        """Follow the published list until cancelled."""
        while True:
            try:
                await self.follow_once(source, watch_s)
            except errors.PlatformError as error:
                log.warning('list not read', error=str(error))
                await asyncio.sleep(_RETRY_S)

    async def follow_once(
        self, source: live_list.LiveList, timeout_s: float = _WATCH_S
    ) -> None:
        """Wait for a newer list, and take it over.

        Raises
        ------
        PlatformError
            The list is down.
        """
        found = await source.watch(self._list.revision, timeout_s)
        if found is None and self._list.revision:
            # A platform that fell back to an old list answers no watch
            # above its own number; a plain read shows the lower one.
            found = await source.read(self._list.revision)
            if found is None:
                self._confirm()
        if found is not None:
            self.update(found)

    def _confirm(self) -> None:
        self._older_since_s = None
        self._current_at_s = self._clock.monotonic_s()

    def _is_older_for_good(self) -> bool:
        # One reader of a lagging copy sees an older list for a moment,
        # and would route to instances that are gone.  A platform that
        # was restored keeps it, and new instances show up only there.
        now_s = self._clock.monotonic_s()
        if self._older_since_s is None:
            self._older_since_s = now_s
        if now_s - self._older_since_s >= JUMP_BACK_S:
            log.error('list fell back, followed from now on')
            return True
        self._pass_over('the list is older')
        return False

    def _keep_leaving(
        self, instance: live_list.Instance
    ) -> live_list.Instance:
        known = self._by_name.get(instance.name)
        if known is None or not known.is_same_process(instance):
            return instance
        if known.state is live_list.InstanceState.LEAVING:
            return known
        return instance

    def _usable(
        self, instances: Iterable[live_list.Instance]
    ) -> list[live_list.Instance]:
        found: dict[str, live_list.Instance] = {}
        for instance in instances:
            if instance.deployment not in ('', self._deployment):
                self._pass_over('of another deployment', instance.name)
                continue
            twin = found.get(instance.name)
            if twin is not None:
                self._pass_over('listed twice', instance.name)
                instance = _newer(twin, instance)
            found[instance.name] = instance
        return list(found.values())

    def _take(self, taken: live_list.InstanceList) -> None:
        self._list = taken
        self._current_at_s = self._clock.monotonic_s()
        before = self._by_name
        self._by_name = {i.name: i for i in taken.instances}
        self._live_by_serves = _live_sidecars(taken.instances)
        self._usable_by_serves.clear()
        for name, instance in self._by_name.items():
            known = before.get(name)
            if known is not None and not known.is_same_process(instance):
                self._suspect_until_s.pop(name, None)
                self._leaving_until_s.pop(name, None)
        for marks in (self._suspect_until_s, self._leaving_until_s):
            for name in marks.keys() - self._by_name.keys():
                del marks[name]
        self._end_words_by_lists()
        self._changes.on_next(taken)

    def _pass_over(self, reason: str, instance: str = '') -> None:
        self.passed_over_count += 1
        log.warning('list passed over', reason=reason, instance=instance)


def _newer(
    one: live_list.Instance, other: live_list.Instance
) -> live_list.Instance:
    """Return the later process; of one process, what says it leaves."""
    if one.started_at_s != other.started_at_s:
        return max(one, other, key=lambda i: i.started_at_s)
    if one.state is live_list.InstanceState.LEAVING:
        return one
    return other


def _live_sidecars(
    instances: Iterable[live_list.Instance],
) -> dict[str, list[live_list.Instance]]:
    found: dict[str, list[live_list.Instance]] = {}
    for instance in instances:
        if (
            instance.role is live_list.Role.SIDECAR
            and instance.state is live_list.InstanceState.LIVE
        ):
            found.setdefault(instance.serves, []).append(instance)
    return found
