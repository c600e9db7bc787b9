"""Leases, after the owner before this one has handed over."""

import asyncio
from typing import Protocol

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import limit_lease
from lacewingpitch import limit_ownership
from lacewingpitch import live_list

_SILENT_S = 3.0
log = structlog.get_logger(__name__)


class HandOverLink(Protocol):
    """How another entry instance is asked to hand over."""

    async def hand_over(
        self, owner: live_list.Instance, message: limit_lease.HandOver
    ) -> limit_lease.HandedOver:
        """Return the reply of the owner before.

        Raises
        ------
        LinkError
            It did not answer in time.
        """
        ...


class LeaseGranter:
    """Answers for an owner, new or old.

    Parameters
    ----------
    clock
        Source of time.
    ownership
        The live entry instances.
    owner
        Leases what this instance owns.
    hand_over_link
        Reaches the owners before it.
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
        self._adopting = asyncio.Lock()
        self._silent_until_s: dict[str, float] = {}

    async def grant(self, ask: limit_lease.LeaseAsk) -> limit_lease.LeaseReply:
        """Lease what is there."""
        if self._owner.pending_handovers(ask.wants):
            # One at a time: an owner hands over once, and a second ask
            # must not start from nothing while that reply is under way.
            async with self._adopting:
                await self._adopt(ask)
        return self._owner.grant(ask)

    async def hand_over(
        self, message: limit_lease.HandOver
    ) -> limit_lease.HandedOver:
        """Stop leasing what another instance owns now."""
        return self._owner.hand_over(message)

    async def _adopt(self, ask: limit_lease.LeaseAsk) -> None:
        for previous, customers in self._owner.pending_handovers(
            ask.wants
        ).items():
            reply = await self._ask(previous, customers)
            self._owner.apply_handover(customers, reply)

    async def _ask(
        self, previous: live_list.Instance, customers: list[str]
    ) -> limit_lease.HandedOver:
        nothing = limit_lease.HandedOver()
        now_s = self._clock.monotonic_s()
        if now_s < self._silent_until_s.get(previous.name, 0.0):
            return nothing
        this = self._ownership.this_instance()
        if this is None:
            return nothing
        message = limit_lease.HandOver(
            owner=this,
            revision=self._ownership.revision,
            customers=tuple(customers),
        )
        try:
            return await self._link.hand_over(previous, message)
        except errors.LinkError as error:
            log.info('not handed over', owner=previous.name, error=str(error))
        self._silent_until_s = {
            name: until_s
            for name, until_s in self._silent_until_s.items()
            if until_s > now_s
        }
        self._silent_until_s[previous.name] = now_s + _SILENT_S
        return nothing
