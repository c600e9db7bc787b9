"""Selects a server of a plain service for one request."""

from collections.abc import (
    AsyncIterator,
    Collection,
    Iterable,
    Iterator,
    Sequence,
)
import contextlib
import math

import structlog

from lacewingpitch import backend_list
from lacewingpitch import blame
from lacewingpitch import crash_record
from lacewingpitch import errors
from lacewingpitch import isolation
from lacewingpitch import server_gate
from lacewingpitch import server_limits
from lacewingpitch import service_admission
from lacewingpitch import service_balancer
from lacewingpitch import turn_spec

_NO_SERVER_RETRY_AFTER_S = 0.5
_SUSPECT_RETRY_AFTER_S = 0.5
log = structlog.get_logger(__name__)


class PlainServerSelector:
    """Selects servers of plain services, and isolates suspect requests.

    Plain servers have no sidecar that could count requests of all entries.
    Instead each entry sends one suspect request at a time, and all entries
    send them to the same server.

    Parameters
    ----------
    record
        Record of suspect requests.
    limits
        Limits that the servers name.
    gate
        Tells which servers must get no requests of this entry now.
    admission
        Decides which requests may be sent to a service; without it, all
        may.
    """

    def __init__(
        self,
        balancer: service_balancer.ServiceBalancer,
        record: crash_record.CrashRecord,
        limits: server_limits.ServerLimits,
        gate: server_gate.ServerGate,
        admission: service_admission.ServiceAdmission | None = None,
    ) -> None:
        self._admission = admission or service_admission.AdmitAll()
        self._gate = gate
        self._limits = limits
        self._balancer = balancer
        self._record = record
        self._is_isolating = False

    @contextlib.asynccontextmanager
    async def select(
        self,
        suspect_keys: Iterable[str],
        services: Sequence[str],
        excluded: Collection[str],
        target_s: float = math.inf,
    ) -> AsyncIterator[turn_spec.Turn]:
        """Select a server, and count the request while the context is open.

        Parameters
        ----------
        suspect_keys
            Keys under which crashes count against the request.
        services
            Names of services, in order of preference.
        excluded
            Servers that the request was sent to before.
        target_s
            Target time until its answer.

        Raises
        ------
        RefusalError
            There is no server now; the request did not run.
        """
        verdict = self._record.verdict(suspect_keys)
        if verdict.handling is blame.Handling.REFUSED:
            raise isolation.barred_refusal(self._record, verdict.key)
        is_isolated = verdict.handling is blame.Handling.ISOLATED
        with contextlib.ExitStack() as stack:
            if is_isolated:
                stack.enter_context(self._isolated_run())
            server = await self._choose(
                services, excluded, is_isolated, target_s
            )
            stack.enter_context(self._balancer.track_request(server))
            yield turn_spec.Turn(server, 0, is_isolated)

    def record_answer(
        self, server: backend_list.BackendServer, latency_s: float
    ) -> None:
        """Record the latency of an answer."""
        self._balancer.record_latency(server.name, latency_s)
        self._admission.record_answer(server.name, latency_s)

    def record_full(self, server: backend_list.BackendServer) -> None:
        """Record that a server had no room for a request."""
        self._admission.record_full(server.name)

    @contextlib.contextmanager
    def _isolated_run(self) -> Iterator[None]:
        if self._is_isolating:
            raise errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL,
                'another suspect request is running',
                retry_after_s=_SUSPECT_RETRY_AFTER_S,
            )
        self._is_isolating = True
        try:
            yield
        finally:
            self._is_isolating = False

    async def _choose(
        self,
        services: Sequence[str],
        excluded: Collection[str],
        is_isolated: bool,
        target_s: float,
    ) -> backend_list.BackendServer:
        limited: dict[str, errors.RefusalError] = {}
        for service in services:
            while True:
                server = self._candidate(
                    service, {*excluded, *limited}, is_isolated
                )
                if server is None:
                    break
                refusal = self._admission_refusal(server, excluded, target_s)
                refusal = refusal or await self._limits.try_acquire(server)
                if refusal is None:
                    return server
                limited[server.name] = refusal
        raise self._refusal(services, limited.values())

    def _admission_refusal(
        self,
        server: backend_list.BackendServer,
        excluded: Collection[str],
        target_s: float,
    ) -> errors.RefusalError | None:
        # A request that another server had no room for goes on at once.
        if excluded:
            return None
        refusal = self._admission.refusal(server.name, target_s)
        if refusal is not None:
            log.info(
                'request kept from a full server',
                backend_server=server.name,
                detail=refusal.detail,
            )
        return refusal

    def _candidate(
        self, service: str, excluded: Collection[str], is_isolated: bool
    ) -> backend_list.BackendServer | None:
        if not is_isolated:
            closed = self._closed_names(service)
            return self._balancer.choose(service, {*excluded, *closed})
        server = self._balancer.choose_isolation_server(service, excluded)
        # If it is closed, no other one may run the suspect request beside
        # those of entries that still use it.
        if server is None or not self._gate.is_open(server):
            return None
        return server

    def _closed_names(self, service: str) -> set[str]:
        return {
            server.name
            for server in self._balancer.servers(service)
            if not self._gate.is_open(server)
        }

    def _refusal(
        self,
        services: Sequence[str],
        refusals: Iterable[errors.RefusalError],
    ) -> errors.RefusalError:
        """Return the refusal that allows the earliest retry."""
        found = list(refusals)
        backoff = self._gate.refusal(
            server
            for service in services
            for server in self._balancer.servers(service)
        )
        if backoff is not None:
            found.append(backoff)
        if found:
            return min(found, key=_retry_after_s)
        return errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER,
            'no backend server of the service can be reached',
            retry_after_s=_NO_SERVER_RETRY_AFTER_S,
        )


def _retry_after_s(error: errors.RefusalError) -> float:
    return error.retry_after_s or 0.0
