"""Cession of limits: an entry asks the owners before to stop granting."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Set
import dataclasses
from typing import Protocol

import structlog

from lacewingpitch import errors
from lacewingpitch import limit_tenure

# An owner before may name another one, and that one a third.
_MAX_ROUNDS = 3
log = structlog.get_logger(__name__)


class Owners(Protocol):
    """Finds the owners of limits by this entry's list."""

    def claim(self, name: str) -> limit_tenure.Claim:
        """Return the claim that names the position of the list."""
        ...

    def owner(self, name: str) -> str:
        """Return the owner's address; empty if there is no owner."""
        ...

    def previous_owners(self, name: str) -> frozenset[str]:
        """Return the addresses of those that may have owned it before."""
        ...

    def record_owner(
        self, name: str, ip: str, position: limit_tenure.Position
    ) -> None:
        """Record the owner by a list at least as new as this entry's."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Ceded:
    """The answer of an owner before.

    Parameters
    ----------
    denial
        Why it does not cede the limit, or which owner to ask besides.
    level
        What it had left in its bucket; ``None`` if unknown.
    """

    denial: limit_tenure.Denial | None
    level: float | None = None


Cede = Callable[[str, limit_tenure.Claim], Awaitable[Ceded]]


class Cessions:
    """Follows the denials of processes that were asked for a limit.

    Requests that wait for the same cession share its messages.
    """

    def __init__(self, owners: Owners) -> None:
        self._owners = owners
        self._pending: dict[
            tuple[str, str], asyncio.Task[limit_tenure.Claim | None]
        ] = {}

    async def follow(
        self, name: str, owner: str, denial: limit_tenure.Denial, cede: Cede
    ) -> limit_tenure.Claim | None:
        """Do what a denial asks for, so that the limit can be asked for.

        Parameters
        ----------
        owner
            Address of the process that denied it.
        cede
            Asks the process at an address to cede the limit.

        Returns
        -------
        limit_tenure.Claim or None
            The claim with which to ask the same process again; ``None`` if
            another process is the owner, by a newer list.
        """
        if not denial.needs_hand_over:
            self._owners.record_owner(name, denial.owner, denial.position)
            return None
        key = name, owner
        task = self._pending.get(key)
        if task is None:
            task = asyncio.create_task(
                self._hand_over(name, owner, denial.previous, cede)
            )
            self._pending[key] = task
            task.add_done_callback(lambda _task: self._pending.pop(key))
        # A caller that leaves must not cancel what others wait for.
        return await asyncio.shield(task)

    async def _hand_over(
        self, name: str, owner: str, previous: str, cede: Cede
    ) -> limit_tenure.Claim | None:
        position = self._owners.claim(name).position
        claim = limit_tenure.Claim(*position, successor=owner)
        known = self._owners.previous_owners(name) | {previous}
        levels: list[float] = []
        asked = {'', owner}
        for _ in range(_MAX_ROUNDS):
            found = await _ask_all(name, known - asked, claim, cede)
            asked |= known
            newer = _newer_owner(found)
            if newer is not None:
                await self._refer(name, owner, newer, cede)
                return None
            answers = found.values()
            levels += [a.level for a in answers if a.level is not None]
            known = frozenset(a.denial.previous for a in answers if a.denial)
            if known <= asked:
                break
        return limit_tenure.Claim(
            *position,
            is_handed_over=True,
            level=min(levels, default=None),
        )

    async def _refer(
        self,
        name: str,
        owner: str,
        newer: tuple[str, limit_tenure.Position],
        cede: Cede,
    ) -> None:
        """Record the owner by a newer list, here and at the one asked.

        Those that have ceded to the one asked would otherwise lead nobody
        to the owner.
        """
        ip, position = newer
        self._owners.record_owner(name, ip, position)
        if ip != owner:
            claim = limit_tenure.Claim(*position, successor=ip)
            await _ask(name, owner, claim, cede)


def _newer_owner(
    found: Mapping[str, Ceded],
) -> tuple[str, limit_tenure.Position] | None:
    """Return the owner that an answer names, and the position of its list."""
    for ip, answer in found.items():
        denial = answer.denial
        if denial is not None and not denial.needs_hand_over:
            return denial.owner or ip, denial.position
    return None


async def _ask_all(
    name: str, ips: Set[str], claim: limit_tenure.Claim, cede: Cede
) -> dict[str, Ceded]:
    """Return the answers of the owners before, of those that answer."""
    asked = sorted(ips)
    answers = await asyncio.gather(
        *(_ask(name, ip, claim, cede) for ip in asked)
    )
    return {
        ip: answer
        for ip, answer in zip(asked, answers, strict=True)
        if answer is not None
    }


async def _ask(
    name: str, ip: str, claim: limit_tenure.Claim, cede: Cede
) -> Ceded | None:
    """Return the answer of an owner before; ``None`` if it is silent."""
    try:
        return await cede(ip, claim)
    except errors.LinkError as error:
        # It has ended, or is cut off.  Waiting for it would refuse callers
        # for as long.
        log.info('limit not ceded', limit=name, ip=ip, error=str(error))
        return None
