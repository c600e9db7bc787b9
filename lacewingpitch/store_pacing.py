"""Limits the rate of adapter loads, to protect the weight store.

One sidecar, chosen by rendezvous hash, is the issuer: it grants permits
for loads and keeps them in memory.  The others request a permit from it
by control message before each load.  Permits are advisory: a sidecar
that gets no answer limits itself to an equal share of the store's rate.
If permits are lost with the issuer, or granted twice by two issuers,
loads become slower.  The store refuses or slows down excess loads, and
no request fails because of it.
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
# A request is retried after this share of its expected wait.
_RETRY_RATIO = 0.8
# A request is passed over while its retry is overdue by more than this.
_RETRY_GRACE_S = 1.0
# A request whose retry is overdue by this is dropped.
_REQUEST_EXPIRY_S = 4.0
# The ranking of the queue is rebuilt at this age, or after this growth.
_MAX_RANKING_AGE_S = 1.0
_RERANK_GROWTH_RATIO = 1.25
# A request is sent again once its weight has grown by this factor.
_WEIGHT_UPDATE_RATIO = 2.0
_RENEW_INTERVAL_S = 3.0
_REQUEST_TIMEOUT_S = 0.5
# How long an unreachable issuer is not asked again.
_ISSUER_BACKOFF_S = 5.0
# The cost of a request doubles after this wait and grows further.
_AGING_S = 5.0
_MAX_WAITING = 4096
_MAX_LOADS_PER_ISSUER_PER_S = 10.0


class PermitRequest(link.Message, frozen=True):
    """Requests a permit for one load, or renews it.

    Parameters
    ----------
    asker
        Name of the sidecar that requests the permit.
    weight
        Cost of waiting; the request with the highest cost goes first.
    """

    permit_id: str
    asker: str
    weight: float = 1.0


class PermitReply(link.Message, frozen=True):
    """Whether the permit is granted; if not, a grant may follow.

    Parameters
    ----------
    ask_again_s
        After how long to retry at the latest, by the queue position.
    """

    granted: bool
    ask_again_s: float = RETRY_INTERVAL_S


class PermitGrant(link.Message, frozen=True):
    """Informs a requester that its permit is granted."""

    permit_id: str


class PermitReturn(link.Message, frozen=True):
    """Releases a permit, or cancels a request for one."""

    permit_id: str


class PermitAck(link.Message, frozen=True):
    """Confirms a grant or a return."""


class PermitLink(Protocol):
    """Sends messages to the sidecar that issues the permits."""

    async def ask(self, request: PermitRequest) -> PermitReply:
        """Request or renew a permit."""
        ...

    async def release(self, message: PermitReturn) -> None:
        """Release a permit."""
        ...

    def sidecar_count(self) -> int:
        """Return how many sidecars load from the store."""
        ...


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    requester: str
    weight: float
    since_s: float
    due_s: float

    def cost(self, now_s: float) -> float:
        """Return the cost of waiting, which grows with time."""
        waited_s = now_s - self.since_s
        return self.weight * (1.0 + waited_s / _AGING_S)


class PermitIssuer:
    """Grants permits for loads from the store.

    It limits both the rate of loads, by a token bucket, and the number
    of concurrent ones.

    Parameters
    ----------
    notify
        Sends a grant to a requester.  It may fail, because the requester
        retries.
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
        self._waiting: dict[str, _PendingRequest] = {}
        self._expirations: list[tuple[float, str]] = []
        self._ranked_costs: list[float] = []
        self._positions: dict[str, int] = {}
        self._ranked_at_s = -math.inf
        self._tokens = float(settings.loads_at_once)
        self._refilled_at_s = clock.monotonic_s()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def held_count(self) -> int:
        """Return how many permits are granted and not expired."""
        self._drop_expired()
        return len(self._held_until_s)

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait for a permit."""
        return len(self._waiting)

    def ask(self, request: PermitRequest) -> PermitReply:
        """Grant or renew a permit, or queue the request; idempotent."""
        now_s = self._clock.monotonic_s()
        permit_id = request.permit_id
        if permit_id in self._held_until_s:
            self._held_until_s[permit_id] = now_s + PERMIT_LEASE_S
            return PermitReply(granted=True)
        if permit_id not in self._waiting:
            self._enqueue(request, now_s)
        pending = self._waiting.get(permit_id)
        if pending is not None:
            pending.weight = request.weight
            pending.due_s = now_s + RETRY_INTERVAL_S
        self._grant_permits(requested_by=permit_id)
        if permit_id in self._held_until_s:
            return PermitReply(granted=True)
        retry_s = RETRY_INTERVAL_S
        if pending is not None:
            retry_s = self._retry_in_s(permit_id, now_s)
            pending.due_s = now_s + retry_s
        return PermitReply(granted=False, ask_again_s=retry_s)

    def release(self, permit_id: str) -> None:
        """Release a permit, or cancel a request for one; idempotent."""
        self._waiting.pop(permit_id, None)
        self._held_until_s.pop(permit_id, None)
        self._grant_permits()

    def close(self) -> None:
        """Stop granting permits."""
        if self._timer is not None:
            self._timer.cancel()

    def _enqueue(self, request: PermitRequest, now_s: float) -> None:
        if len(self._waiting) >= _MAX_WAITING:
            return
        due_s = now_s + RETRY_INTERVAL_S
        self._waiting[request.permit_id] = _PendingRequest(
            request.asker, request.weight, now_s, due_s
        )
        expiration = (due_s + _REQUEST_EXPIRY_S, request.permit_id)
        heapq.heappush(self._expirations, expiration)

    def _grant_permits(self, requested_by: str = '') -> None:
        self._drop_expired()
        self._refill_tokens()
        while self._can_grant:
            permit_id = self._next_request()
            if permit_id is None:
                # Overdue requests are served when they are retried.
                self._stop_timer()
                return
            pending = self._waiting.pop(permit_id)
            self._tokens -= 1.0
            self._held_until_s[permit_id] = (
                self._clock.monotonic_s() + PERMIT_LEASE_S
            )
            if permit_id != requested_by:
                self._notify(
                    pending.requester, PermitGrant(permit_id=permit_id)
                )
        self._set_timer()

    @property
    def _can_grant(self) -> bool:
        is_full = len(self._held_until_s) >= self._settings.loads_at_once
        return not is_full and self._tokens >= 1.0

    def _next_request(self) -> str | None:
        # Costs grow at different rates, so no heap would stay ordered.
        # All requests are compared, once per load and not per message.
        now_s = self._clock.monotonic_s()
        # A requester whose retry is overdue may be dead, and its permit
        # would stay unused until the lease ends.
        return max(
            (
                permit_id
                for permit_id, pending in self._waiting.items()
                if now_s <= pending.due_s + _RETRY_GRACE_S
            ),
            key=lambda permit_id: self._waiting[permit_id].cost(now_s),
            default=None,
        )

    def _retry_in_s(self, permit_id: str, now_s: float) -> float:
        # Requests far back in the queue gain nothing by frequent retries,
        # which would overload the issuer.  Each retries before its turn
        # can come, because grants may be lost and requesters may die.
        ahead = self._position(permit_id, now_s)
        turn_s = ahead / self._settings.loads_per_s
        return max(RETRY_INTERVAL_S, turn_s * _RETRY_RATIO)

    def _position(self, permit_id: str, now_s: float) -> int:
        """Return how many requests go first, by a recent ranking."""
        is_old = now_s - self._ranked_at_s > _MAX_RANKING_AGE_S
        if is_old or len(self._waiting) > _RERANK_GROWTH_RATIO * len(
            self._positions
        ):
            self._rank(now_s)
        position = self._positions.get(permit_id)
        if position is None:
            cost = self._waiting[permit_id].cost(self._ranked_at_s)
            position = bisect.bisect_right(self._ranked_costs, -cost)
        return position

    def _rank(self, now_s: float) -> None:
        self._ranked_at_s = now_s
        ranking = sorted(
            (-pending.cost(now_s), position, permit_id)
            for position, (permit_id, pending) in enumerate(
                self._waiting.items()
            )
        )
        self._ranked_costs = [item[0] for item in ranking]
        self._positions = {
            item[2]: position for position, item in enumerate(ranking)
        }

    def _refill_tokens(self) -> None:
        now_s = self._clock.monotonic_s()
        self._tokens = min(
            float(self._settings.loads_at_once),
            self._tokens
            + (now_s - self._refilled_at_s) * self._settings.loads_per_s,
        )
        self._refilled_at_s = now_s

    def _drop_expired(self) -> None:
        # A requester that died or was cut off never releases its permit.
        # Without a lease, the permit would be lost for ever.
        now_s = self._clock.monotonic_s()
        for permit_id, until_s in list(self._held_until_s.items()):
            if until_s <= now_s:
                del self._held_until_s[permit_id]
        while self._expirations and self._expirations[0][0] <= now_s:
            _, permit_id = heapq.heappop(self._expirations)
            pending = self._waiting.get(permit_id)
            if pending is None:
                continue
            if pending.due_s + _REQUEST_EXPIRY_S <= now_s:
                del self._waiting[permit_id]
            else:
                expiration = (pending.due_s + _REQUEST_EXPIRY_S, permit_id)
                heapq.heappush(self._expirations, expiration)

    def _set_timer(self) -> None:
        self._stop_timer()
        if self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                self._next_grant_in_s(), self._grant_permits
            )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _next_grant_in_s(self) -> float:
        if len(self._held_until_s) >= self._settings.loads_at_once:
            first_s = min(self._held_until_s.values())
            return max(first_s - self._clock.monotonic_s(), 0.0) + 1e-3
        return (1.0 - self._tokens) / self._settings.loads_per_s + 1e-3


class StorePacer:
    """Obtains a permit for each load of this sidecar."""

    def __init__(
        self,
        clock: clock_module.Clock,
        settings: settings_module.StoreSettings,
        permits: PermitLink,
        requester: str,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._permits = permits
        self._requester = requester
        self._prefix = uuid.uuid4().hex[:8]
        self._numbers = itertools.count(1)
        self._grant_events: dict[str, asyncio.Event] = {}
        self._fallback_until_s = 0.0
        self._next_fallback_load_s = 0.0
        self._release_tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def permit(self, weight: Callable[[], float]) -> AsyncIterator[None]:
        """Wait for a permit and hold it while the context is open."""
        permit_id = f'{self._requester}/{self._prefix}/{next(self._numbers)}'
        self._grant_events[permit_id] = asyncio.Event()
        try:
            await self._acquire(permit_id, weight)
            renewal = asyncio.create_task(self._renew(permit_id, weight))
            try:
                yield
            finally:
                renewal.cancel()
        finally:
            del self._grant_events[permit_id]
            self._release(permit_id)

    def apply_grant(self, grant: PermitGrant) -> PermitAck:
        """Apply a grant; release the permit if it is no longer needed."""
        event = self._grant_events.get(grant.permit_id)
        if event is None:
            self._release(grant.permit_id)
        else:
            event.set()
        return PermitAck()

    async def _acquire(
        self, permit_id: str, weight: Callable[[], float]
    ) -> None:
        event = self._grant_events[permit_id]
        while not event.is_set():
            sent_weight = weight()
            reply = await self._ask(permit_id, sent_weight)
            if reply.granted:
                return
            await self._wait(event, reply.ask_again_s, weight, sent_weight)

    async def _wait(
        self,
        event: asyncio.Event,
        max_wait_s: float,
        weight: Callable[[], float],
        sent_weight: float,
    ) -> None:
        """Wait for a grant, or until it is time to retry."""
        until_s = self._clock.monotonic_s() + max_wait_s
        while not event.is_set():
            left_s = until_s - self._clock.monotonic_s()
            # The issuer only knows the weight that was sent.  If many
            # requests have joined since, the new weight must be sent.
            if left_s <= 0 or weight() > _WEIGHT_UPDATE_RATIO * sent_weight:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(RETRY_INTERVAL_S, left_s)):
                    await event.wait()

    async def _ask(self, permit_id: str, weight: float) -> PermitReply:
        if self._clock.monotonic_s() < self._fallback_until_s:
            await self._wait_for_fallback_share()
            return PermitReply(granted=True)
        request = PermitRequest(
            permit_id=permit_id, asker=self._requester, weight=weight
        )
        try:
            return await self._permits.ask(request)
        except errors.LinkError:
            # The issuer is gone, frozen or cut off.  Loads continue at a
            # rate that is safe even if no sidecar reaches the issuer.
            self._fallback_until_s = (
                self._clock.monotonic_s() + _ISSUER_BACKOFF_S
            )
            await self._wait_for_fallback_share()
            return PermitReply(granted=True)

    async def _wait_for_fallback_share(self) -> None:
        now_s = self._clock.monotonic_s()
        start_s = max(now_s, self._next_fallback_load_s)
        self._next_fallback_load_s = start_s + (
            self._permits.sidecar_count() / self._settings.loads_per_s
        )
        await asyncio.sleep(start_s - now_s)

    async def _renew(
        self, permit_id: str, weight: Callable[[], float]
    ) -> None:
        while True:
            await asyncio.sleep(_RENEW_INTERVAL_S)
            with contextlib.suppress(errors.LinkError):
                await self._permits.ask(
                    PermitRequest(
                        permit_id=permit_id,
                        asker=self._requester,
                        weight=weight(),
                    )
                )

    def _release(self, permit_id: str) -> None:
        task = asyncio.create_task(self._send_release(permit_id))
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    async def _send_release(self, permit_id: str) -> None:
        with contextlib.suppress(errors.LinkError):
            await self._permits.release(PermitReturn(permit_id=permit_id))


class StorePacing:
    """Limits the loads of one sidecar, and issues permits if chosen.

    Every sidecar has an issuer, but only the one that is chosen by hash
    receives requests.  If the store allows more loads than one issuer
    can handle, several issuers each get a share of the rate.
    """

    def __init__(
        self,
        node: node_module.Node,
        settings: settings_module.StoreSettings,
    ) -> None:
        self._node = node
        self._issuer_count = _issuer_count(settings)
        share = settings_module.StoreSettings(
            loads_per_s=settings.loads_per_s / self._issuer_count,
            loads_at_once=max(1, settings.loads_at_once // self._issuer_count),
        )
        self.issuer = PermitIssuer(node.clock, share, self._notify)
        self.pacer = StorePacer(
            node.clock, settings, self, node.settings.instance
        )
        self._send_tasks: set[asyncio.Task[None]] = set()
        node.control.handle(PermitRequest, self._handle_request)
        node.control.handle(PermitGrant, self._handle_grant)
        node.control.handle(PermitReturn, self._handle_return)

    async def ask(self, request: PermitRequest) -> PermitReply:
        """Request a permit from the issuer.

        Raises
        ------
        LinkError
            The issuer does not answer.
        """
        return await self._peer_of(self._issuer_instance()).ask(
            request, PermitReply, _REQUEST_TIMEOUT_S
        )

    async def release(self, message: PermitReturn) -> None:
        """Release a permit at the issuer.

        Raises
        ------
        LinkError
            The issuer does not answer.
        """
        await self._peer_of(self._issuer_instance()).ask(
            message, PermitAck, _REQUEST_TIMEOUT_S
        )

    def sidecar_count(self) -> int:
        """Return how many sidecars load from the store, at least 1."""
        return max(1, len(self._sidecars()))

    def _sidecars(self) -> list[live_list.Instance]:
        return [
            instance
            for instance in self._node.membership.instances
            if instance.role is live_list.Role.SIDECAR
            and instance.region == self._node.settings.region
        ]

    def _issuer_instance(self) -> live_list.Instance:
        share = placement.hash_bucket(
            self._node.settings.instance, self._issuer_count
        )
        ranked = placement.rank_by_hash(f'store/{share}', self._sidecars())
        if not ranked:
            raise errors.LinkError('no sidecar is listed')
        return ranked[0]

    def _peer_of(self, instance: live_list.Instance) -> link.Peer:
        return self._node.peers.peer(instance.ip, instance.control_port)

    async def _handle_request(self, message: PermitRequest) -> PermitReply:
        return self.issuer.ask(message)

    async def _handle_grant(self, message: PermitGrant) -> PermitAck:
        return self.pacer.apply_grant(message)

    async def _handle_return(self, message: PermitReturn) -> PermitAck:
        self.issuer.release(message.permit_id)
        return PermitAck()

    def _notify(self, requester: str, grant: PermitGrant) -> None:
        for instance in self._sidecars():
            if instance.name == requester:
                task = asyncio.create_task(self._send_grant(instance, grant))
                self._send_tasks.add(task)
                task.add_done_callback(self._send_tasks.discard)

    async def _send_grant(
        self, instance: live_list.Instance, grant: PermitGrant
    ) -> None:
        with contextlib.suppress(errors.LinkError):
            await self._peer_of(instance).ask(
                grant, PermitAck, _REQUEST_TIMEOUT_S
            )


def _issuer_count(settings: settings_module.StoreSettings) -> int:
    wanted = settings.loads_per_s // _MAX_LOADS_PER_ISSUER_PER_S + 1
    return int(min(wanted, settings.loads_at_once))
