"""Soft permits for loads, so that the weight store is not overrun.

One sidecar, found by rendezvous hash, keeps the permits in memory.  The
others ask it by control message before a load.  Permits are soft: a
sidecar that gets no answer paces itself at its equal share.  What is
lost with the keeper, or given twice by two of them, costs speed; the
store refuses or slows a load too many, and no request is harmed.
"""

import asyncio
import bisect
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import heapq
import itertools
import math
from typing import Protocol
import uuid

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import node as node_module
from lacewingpitch import placement
from lacewingpitch import settings as settings_module

PERMIT_LEASE_S = 10.0
RETRY_INTERVAL_S = 2.0
_ASK_AGAIN_RATIO = 0.8
_LATE_S = 1.0
_LAPSE_S = 4.0
_RANKING_S = 1.0
_GROWTH_RATIO = 1.25
_HURRY_RATIO = 2.0
_RENEW_S = 3.0
_ASK_TIMEOUT_S = 0.5
_KEEPER_PAUSE_S = 5.0
_AGING_S = 5.0
_MAX_WAITING = 4096
_MAX_LOADS_PER_KEEPER_PER_S = 10.0


class PermitRequest(link.Message, frozen=True):
    """Asks for a permit, or renews one, for one load.

    Parameters
    ----------
    weight
        What waiting costs the asker; the highest goes first.
    """

    permit_id: str
    asker: str
    weight: float = 1.0


class PermitReply(link.Message, frozen=True):
    """Whether the permit is given; if not, a grant follows.

    Parameters
    ----------
    ask_again_s
        When to ask again at the latest, by the place in the queue.
    """

    granted: bool
    ask_again_s: float = RETRY_INTERVAL_S


class PermitGrant(link.Message, frozen=True):
    """Tells an asker that its permit is now given."""

    permit_id: str


class PermitReturn(link.Message, frozen=True):
    """Gives a permit back, or takes a request for one back."""

    permit_id: str


class PermitAck(link.Message, frozen=True):
    """Confirms a grant or a return."""


class PermitLink(Protocol):
    """Way to the sidecar that keeps the permits."""

    async def ask(self, request: PermitRequest) -> PermitReply:
        """Ask for a permit or renew one."""
        ...

    async def release(self, message: PermitReturn) -> None:
        """Give a permit back."""
        ...

    def sidecar_count(self) -> int:
        """Return how many sidecars share the store."""
        ...


@dataclasses.dataclass(slots=True)
class _Asking:
    asker: str
    weight: float
    since_s: float
    due_s: float

    def cost(self, now_s: float) -> float:
        """Return what waiting costs; the highest goes first."""
        waited_s = now_s - self.since_s
        return self.weight * (1.0 + waited_s / _AGING_S)


class PermitIssuer:
    """The permits of the store, at the sidecar that keeps them.

    Parameters
    ----------
    notify
        Tells an asker of its grant.  It may fail: the asker asks again.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        settings: settings_module.StoreSettings,
        notify: Callable[[str, PermitGrant], None],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._notify = notify
        self._held_until_s: dict[str, float] = {}
        self._waiting: dict[str, _Asking] = {}
        self._lapses: list[tuple[float, str]] = []
        self._costs: list[float] = []
        self._places: dict[str, int] = {}
        self._ranked_at_s = -math.inf
        self._tokens = float(settings.loads_at_once)
        self._counted_at_s = clock.monotonic_s()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def held_count(self) -> int:
        """Return how many permits are given and not lapsed."""
        self._drop_lapsed()
        return len(self._held_until_s)

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait for a permit."""
        return len(self._waiting)

    def ask(self, request: PermitRequest) -> PermitReply:
        """Give, renew or queue a permit; idempotent."""
        now_s = self._clock.monotonic_s()
        permit_id = request.permit_id
        if permit_id in self._held_until_s:
            self._held_until_s[permit_id] = now_s + PERMIT_LEASE_S
            return PermitReply(granted=True)
        if permit_id not in self._waiting:
            self._queue(request, now_s)
        asking = self._waiting.get(permit_id)
        if asking is not None:
            asking.weight = request.weight
            asking.due_s = now_s + RETRY_INTERVAL_S
        self._serve(asked_by=permit_id)
        if permit_id in self._held_until_s:
            return PermitReply(granted=True)
        again_s = RETRY_INTERVAL_S
        if asking is not None:
            again_s = self._ask_again_s(permit_id, now_s)
            asking.due_s = now_s + again_s
        return PermitReply(granted=False, ask_again_s=again_s)

    def release(self, permit_id: str) -> None:
        """Take back a permit, or the wish for one; idempotent."""
        self._waiting.pop(permit_id, None)
        self._held_until_s.pop(permit_id, None)
        self._serve()

    def close(self) -> None:
        """Give no more permits."""
        if self._timer is not None:
            self._timer.cancel()

    def _queue(self, request: PermitRequest, now_s: float) -> None:
        if len(self._waiting) >= _MAX_WAITING:
            return
        due_s = now_s + RETRY_INTERVAL_S
        self._waiting[request.permit_id] = _Asking(
            request.asker, request.weight, now_s, due_s
        )
        entry = (due_s + _LAPSE_S, request.permit_id)
        heapq.heappush(self._lapses, entry)

    def _serve(self, asked_by: str = '') -> None:
        self._drop_lapsed()
        self._count_tokens()
        while self._has_room:
            permit_id = self._first()
            if permit_id is None:
                # Those that are late come back by asking again.
                self._stop_timer()
                return
            asking = self._waiting.pop(permit_id)
            self._tokens -= 1.0
            self._held_until_s[permit_id] = (
                self._clock.monotonic_s() + PERMIT_LEASE_S
            )
            if permit_id != asked_by:
                self._notify(asking.asker, PermitGrant(permit_id=permit_id))
        self._set_timer()

    @property
    def _has_room(self) -> bool:
        is_full = len(self._held_until_s) >= self._settings.loads_at_once
        return not is_full and self._tokens >= 1.0

    def _first(self) -> str | None:
        # Costs grow at different speeds, so no heap stays in order; all
        # are looked at once for each load, not for each message.
        now_s = self._clock.monotonic_s()
        # One that has not asked when it was to ask may be dead, and a
        # permit given to it would be idle to the end of its lease.
        return max(
            (
                permit_id
                for permit_id, asking in self._waiting.items()
                if now_s <= asking.due_s + _LATE_S
            ),
            key=lambda permit_id: self._waiting[permit_id].cost(now_s),
            default=None,
        )

    def _ask_again_s(self, permit_id: str, now_s: float) -> float:
        # Whoever is far back has nothing to win by asking often, and all
        # of them together would fill the keeper.  It asks again before
        # its turn can come, for grants may be lost and askers die.
        before = self._place(permit_id, now_s)
        turn_s = before / self._settings.loads_per_s
        return max(RETRY_INTERVAL_S, turn_s * _ASK_AGAIN_RATIO)

    def _place(self, permit_id: str, now_s: float) -> int:
        """Return how many go before, by a ranking made of late."""
        is_old = now_s - self._ranked_at_s > _RANKING_S
        if is_old or len(self._waiting) > _GROWTH_RATIO * len(self._places):
            self._rank(now_s)
        place = self._places.get(permit_id)
        if place is None:
            cost = self._waiting[permit_id].cost(self._ranked_at_s)
            place = bisect.bisect_right(self._costs, -cost)
        return place

    def _rank(self, now_s: float) -> None:
        self._ranked_at_s = now_s
        ranking = sorted(
            (-asking.cost(now_s), place, permit_id)
            for place, (permit_id, asking) in enumerate(self._waiting.items())
        )
        self._costs = [item[0] for item in ranking]
        self._places = {item[2]: place for place, item in enumerate(ranking)}

    def _count_tokens(self) -> None:
        now_s = self._clock.monotonic_s()
        self._tokens = min(
            float(self._settings.loads_at_once),
            self._tokens
            + (now_s - self._counted_at_s) * self._settings.loads_per_s,
        )
        self._counted_at_s = now_s

    def _drop_lapsed(self) -> None:
        # An asker that died or was cut off never gives its permit back;
        # without a lease the store would stand idle for good.
        now_s = self._clock.monotonic_s()
        for permit_id, until_s in list(self._held_until_s.items()):
            if until_s <= now_s:
                del self._held_until_s[permit_id]
        while self._lapses and self._lapses[0][0] <= now_s:
            _, permit_id = heapq.heappop(self._lapses)
            found = self._waiting.get(permit_id)
            if found is None:
                continue
            if found.due_s + _LAPSE_S <= now_s:
                del self._waiting[permit_id]
            else:
                entry = (found.due_s + _LAPSE_S, permit_id)
                heapq.heappush(self._lapses, entry)

    def _set_timer(self) -> None:
        self._stop_timer()
        if self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._next_chance_s(), self._serve)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _next_chance_s(self) -> float:
        if len(self._held_until_s) >= self._settings.loads_at_once:
            first_s = min(self._held_until_s.values())
            return max(first_s - self._clock.monotonic_s(), 0.0) + 1e-3
        return (1.0 - self._tokens) / self._settings.loads_per_s + 1e-3


class StorePacer:
    """Gets a permit for each load of this sidecar."""

    def __init__(
        self,
        clock: clock_module.Clock,
        settings: settings_module.StoreSettings,
        permits: PermitLink,
        asker: str,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._permits = permits
        self._asker = asker
        self._prefix = uuid.uuid4().hex[:8]
        self._numbers = itertools.count(1)
        self._granted: dict[str, asyncio.Event] = {}
        self._alone_until_s = 0.0
        self._next_alone_s = 0.0
        self._returning: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def permit(self, weight: Callable[[], float]) -> AsyncIterator[None]:
        """Wait for a permit and keep it for the length of a load."""
        permit_id = f'{self._asker}/{self._prefix}/{next(self._numbers)}'
        self._granted[permit_id] = asyncio.Event()
        try:
            await self._obtain(permit_id, weight)
            renewing = asyncio.create_task(self._renew(permit_id, weight))
            try:
                yield
            finally:
                renewing.cancel()
        finally:
            del self._granted[permit_id]
            self._give_back(permit_id)

    def apply_grant(self, grant: PermitGrant) -> PermitAck:
        """Take a grant; one that comes late is given back again."""
        event = self._granted.get(grant.permit_id)
        if event is None:
            self._give_back(grant.permit_id)
        else:
            event.set()
        return PermitAck()

    async def _obtain(
        self, permit_id: str, weight: Callable[[], float]
    ) -> None:
        event = self._granted[permit_id]
        while not event.is_set():
            asked_weight = weight()
            reply = await self._ask(permit_id, asked_weight)
            if reply.granted:
                return
            await self._wait(event, reply.ask_again_s, weight, asked_weight)

    async def _wait(
        self,
        event: asyncio.Event,
        longest_s: float,
        weight: Callable[[], float],
        asked_weight: float,
    ) -> None:
        """Wait for a grant, or until it is time to ask again."""
        until_s = self._clock.monotonic_s() + longest_s
        while not event.is_set():
            left_s = until_s - self._clock.monotonic_s()
            # The keeper goes by the weight that it was told; a load that
            # many have come to wait for must not wait as one of few.
            if left_s <= 0 or weight() > _HURRY_RATIO * asked_weight:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(RETRY_INTERVAL_S, left_s)):
                    await event.wait()

    async def _ask(self, permit_id: str, weight: float) -> PermitReply:
        if self._clock.monotonic_s() < self._alone_until_s:
            await self._wait_alone()
            return PermitReply(granted=True)
        request = PermitRequest(
            permit_id=permit_id, asker=self._asker, weight=weight
        )
        try:
            return await self._permits.ask(request)
        except errors.LinkError:
            # The keeper is gone, frozen or cut off.  Loads go on at the
            # share that is safe if every sidecar is as alone as this.
            self._alone_until_s = self._clock.monotonic_s() + _KEEPER_PAUSE_S
            await self._wait_alone()
            return PermitReply(granted=True)

    async def _wait_alone(self) -> None:
        now_s = self._clock.monotonic_s()
        start_s = max(now_s, self._next_alone_s)
        self._next_alone_s = start_s + (
            self._permits.sidecar_count() / self._settings.loads_per_s
        )
        await asyncio.sleep(start_s - now_s)

    async def _renew(
        self, permit_id: str, weight: Callable[[], float]
    ) -> None:
        while True:
            await asyncio.sleep(_RENEW_S)
            with contextlib.suppress(errors.LinkError):
                await self._permits.ask(
                    PermitRequest(
                        permit_id=permit_id,
                        asker=self._asker,
                        weight=weight(),
                    )
                )

    def _give_back(self, permit_id: str) -> None:
        task = asyncio.create_task(self._send_back(permit_id))
        self._returning.add(task)
        task.add_done_callback(self._returning.discard)

    async def _send_back(self, permit_id: str) -> None:
        with contextlib.suppress(errors.LinkError):
            await self._permits.release(PermitReturn(permit_id=permit_id))


class StorePacing:
    """Both ends of pacing at one sidecar: its loads, and the issuer.

    Every sidecar has a issuer; that of one of them is in use.  A store
    that bears more than a sidecar can hand out is split over several
    keepers, each with its share.
    """

    def __init__(
        self,
        node: node_module.Node,
        settings: settings_module.StoreSettings,
    ) -> None:
        self._node = node
        self._keeper_count = _keeper_count(settings)
        share = settings_module.StoreSettings(
            loads_per_s=settings.loads_per_s / self._keeper_count,
            loads_at_once=max(1, settings.loads_at_once // self._keeper_count),
        )
        self.issuer = PermitIssuer(node.clock, share, self._notify)
        self.pacer = StorePacer(
            node.clock, settings, self, node.settings.instance
        )
        self._sending: set[asyncio.Task[None]] = set()
        node.control.handle(PermitRequest, self._take_request)
        node.control.handle(PermitGrant, self._take_grant)
        node.control.handle(PermitReturn, self._take_return)

    async def ask(self, request: PermitRequest) -> PermitReply:
        """Ask the keeper for a permit.

        Raises
        ------
        LinkError
            It does not answer.
        """
        return await self._peer_of(self._keeper()).ask(
            request, PermitReply, _ASK_TIMEOUT_S
        )

    async def release(self, message: PermitReturn) -> None:
        """Give a permit back to the keeper.

        Raises
        ------
        LinkError
            It does not answer.
        """
        await self._peer_of(self._keeper()).ask(
            message, PermitAck, _ASK_TIMEOUT_S
        )

    def sidecar_count(self) -> int:
        """Return how many sidecars share the store."""
        return max(1, len(self._sidecars()))

    def _sidecars(self) -> list[live_list.Instance]:
        return [
            instance
            for instance in self._node.membership.instances
            if instance.role is live_list.Role.SIDECAR
            and instance.region == self._node.settings.region
        ]

    def _keeper(self) -> live_list.Instance:
        share = placement.hash_bucket(
            self._node.settings.instance, self._keeper_count
        )
        ranked = placement.rank_by_hash(f'store/{share}', self._sidecars())
        if not ranked:
            raise errors.LinkError('no sidecar is listed')
        return ranked[0]

    def _peer_of(self, instance: live_list.Instance) -> link.Peer:
        return self._node.peers.peer(instance.ip, instance.control_port)

    async def _take_request(self, message: PermitRequest) -> PermitReply:
        return self.issuer.ask(message)

    async def _take_grant(self, message: PermitGrant) -> PermitAck:
        return self.pacer.apply_grant(message)

    async def _take_return(self, message: PermitReturn) -> PermitAck:
        self.issuer.release(message.permit_id)
        return PermitAck()

    def _notify(self, asker: str, grant: PermitGrant) -> None:
        for instance in self._sidecars():
            if instance.name == asker:
                task = asyncio.create_task(self._send_grant(instance, grant))
                self._sending.add(task)
                task.add_done_callback(self._sending.discard)

    async def _send_grant(
        self, instance: live_list.Instance, grant: PermitGrant
    ) -> None:
        with contextlib.suppress(errors.LinkError):
            await self._peer_of(instance).ask(grant, PermitAck, _ASK_TIMEOUT_S)


def _keeper_count(settings: settings_module.StoreSettings) -> int:
    wanted = settings.loads_per_s // _MAX_LOADS_PER_KEEPER_PER_S + 1
    return int(min(wanted, settings.loads_at_once))
