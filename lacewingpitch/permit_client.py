"""Requests permits to send to servers from the owners of their limits."""

from typing import Protocol

import structlog

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import limit_cession
from lacewingpitch import limit_tenure
from lacewingpitch import server_permits

_TIMEOUT_S = 0.25
# Time for which an owner that didn't answer is not asked again.
_UNRESPONSIVE_S = 1.0
# More than the owners of all limits.
_MAX_OWNERS = 1024
# An owner may refer to another, which has to take the limit over first.
_MAX_ATTEMPTS = 4
log = structlog.get_logger(__name__)


class PermitLink(Protocol):
    """Sends requests for permits."""

    async def request_permit(
        self, ip: str, message: server_permits.PermitRequest, timeout_s: float
    ) -> server_permits.PermitReply:
        """Request a permit to send to a server from its owner."""
        ...


class Owners(limit_cession.Owners, Protocol):
    """Finds the sidecars that own limits."""

    def mark_unresponsive(self, ip: str) -> None:
        """Record that a process did not answer."""
        ...


class PermitClient:
    """Requests permits from the process that owns a server's limit.

    Parameters
    ----------
    instance
        Name of this entry.
    """

    def __init__(
        self,
        instance: str,
        link: PermitLink,
        owners: Owners,
        clock: clock_module.Clock,
    ) -> None:
        self._instance = instance
        self._link = link
        self._owners = owners
        self._cessions = limit_cession.Cessions(owners)
        self._clock = clock
        self._unresponsive_until_s: dict[str, float] = {}

    async def request(
        self, server: backend_list.BackendServer, per_s: float
    ) -> server_permits.PermitReply | None:
        """Request a permit; return ``None`` if no owner answers.

        Parameters
        ----------
        per_s
            Permits per second that the owner grants to all entries.
        """
        name = server.start_id
        claim: limit_tenure.Claim | None = None
        for _ in range(_MAX_ATTEMPTS):
            owner = self._owners.owner(name)
            claim = claim or self._owners.claim(name)
            reply = await self._ask(owner, server, per_s, claim)
            if reply is None or reply.denial is None:
                return reply
            claim = await self._cessions.follow(
                name,
                owner,
                reply.denial,
                lambda ip, ceding: self._cede(ip, name, per_s, ceding),
            )
        log.warning('server limit owner unsettled', backend_server=server.name)
        return None

    async def _ask(
        self,
        owner: str,
        server: backend_list.BackendServer,
        per_s: float,
        claim: limit_tenure.Claim,
    ) -> server_permits.PermitReply | None:
        now_s = self._clock.boot_s()
        if not owner or now_s < self._unresponsive_until_s.get(owner, 0.0):
            return None
        try:
            return await self._send(owner, server.start_id, per_s, claim)
        except errors.LinkError as error:
            self._mark_unresponsive(owner)
            log.warning(
                'server limit owner unreachable',
                ip=owner,
                backend_server=server.name,
                error=str(error),
            )
            return None

    async def _send(
        self, ip: str, name: str, per_s: float, claim: limit_tenure.Claim
    ) -> server_permits.PermitReply:
        message = server_permits.PermitRequest(
            entry=self._instance,
            server_start_id=name,
            per_s=per_s,
            claim=claim,
        )
        return await self._link.request_permit(ip, message, _TIMEOUT_S)

    async def _cede(
        self, ip: str, name: str, per_s: float, claim: limit_tenure.Claim
    ) -> limit_cession.Ceded:
        reply = await self._send(ip, name, per_s, claim)
        return limit_cession.Ceded(reply.denial)

    def _mark_unresponsive(self, owner: str) -> None:
        self._owners.mark_unresponsive(owner)
        if len(self._unresponsive_until_s) >= _MAX_OWNERS:
            self._unresponsive_until_s.clear()
        self._unresponsive_until_s[owner] = (
            self._clock.boot_s() + _UNRESPONSIVE_S
        )
