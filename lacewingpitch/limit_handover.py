"""Handover of limits: a new owner takes them over before it grants leases."""

import asyncio
from typing import Protocol

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import limit_lease
from lacewingpitch import limit_ownership
from lacewingpitch import live_list

_UNRESPONSIVE_S = 3.0
log = structlog.get_logger(__name__)


class HandOverLink(Protocol):
    """Sends a handover request to another entry instance."""

    async def hand_over(
        self, owner: live_list.Instance, message: limit_lease.HandOver
    ) -> limit_lease.HandedOver:
        """Return the reply of the previous owner.

        Raises
        ------
        LinkError
            The previous owner did not answer in time.
        """
        ...


class LeaseGranter:
    """Answers lease requests, and handover requests of new owners.

    Parameters
    ----------
    clock
        Source of time.
    ownership
        The live entry instances, and which limits they own.
    owner
        Grants leases of the limits that this instance owns.
    hand_over_link
        Connects to previous owners.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        ownership: limit_ownership.LimitOwnership,
        owner: limit_lease.LimitOwner,
        hand_over_link: HandOverLink,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._owner = owner
        self._link = hand_over_link
        self._handover_lock = asyncio.Lock()
        self._unresponsive_until_s: dict[str, float] = {}

    async def grant(self, ask: limit_lease.LeaseAsk) -> limit_lease.LeaseReply:
        """Grant leases, after the handover of limits that are new here."""
        if self._owner.pending_handovers(ask.wants):
            # Handovers are serialized: a previous owner hands over only
            # once, and a second request must not start with new state
            # while that reply is pending.
            async with self._handover_lock:
                await self._request_handovers(ask)
        return self._owner.grant(ask)

    async def hand_over(
        self, message: limit_lease.HandOver
    ) -> limit_lease.HandedOver:
        """Stop granting leases of limits that another instance owns now."""
        return self._owner.hand_over(message)

    async def _request_handovers(self, ask: limit_lease.LeaseAsk) -> None:
        for previous, customers in self._owner.pending_handovers(
            ask.wants
        ).items():
            reply = await self._ask(previous, customers)
            self._owner.apply_handover(customers, reply)

    async def _ask(
        self, previous: live_list.Instance, customers: list[str]
    ) -> limit_lease.HandedOver:
        no_states = limit_lease.HandedOver()
        now_s = self._clock.monotonic_s()
        if now_s < self._unresponsive_until_s.get(previous.name, 0.0):
            return no_states
        this_instance = self._ownership.this_instance()
        if this_instance is None:
            return no_states
        message = limit_lease.HandOver(
            owner=this_instance,
            revision=self._ownership.revision,
            customers=tuple(customers),
        )
        try:
            return await self._link.hand_over(previous, message)
        except errors.LinkError as error:
            log.info('handover failed', owner=previous.name, error=str(error))
        self._unresponsive_until_s = {
            name: until_s
            for name, until_s in self._unresponsive_until_s.items()
            if until_s > now_s
        }
        self._unresponsive_until_s[previous.name] = now_s + _UNRESPONSIVE_S
        return no_states
