"""Which server of a plain service one request goes to, suspects included."""

from collections.abc import Collection, Iterator, Sequence
import contextlib

from lacewingpitch import backend_list
from lacewingpitch import crash_record
from lacewingpitch import errors
from lacewingpitch import isolation
from lacewingpitch import service_balancer

_NO_SERVER_RETRY_S = 0.5
_SUSPECT_RETRY_S = 0.5


class PlainServerSelector:
    """Sends requests to plain services, and suspects one by one.

    No process beside a plain server counts for all entries: each sends one
    suspect at a time, and all send them to the same server.

    Parameters
    ----------
    record
        What is known of suspect requests.
    """

    def __init__(
        self,
        services: service_balancer.ServiceBalancer,
        record: crash_record.CrashRecord,
    ) -> None:
        self._services = services
        self._record = record
        self._is_isolating = False

    @contextlib.contextmanager
    def select(
        self,
        fingerprint: str,
        services: Sequence[str],
        excluded: Collection[str],
    ) -> Iterator[backend_list.BackendServer]:
        """Choose a server, and count the request there while it lasts.

        Parameters
        ----------
        services
            In the order in which they are tried.

        Raises
        ------
        RefusalError
            There is none now; the request did not run.
        """
        handling = self._record.handling(fingerprint)
        if handling is crash_record.Handling.REFUSED:
            raise isolation.barred_refusal(self._record, fingerprint)
        is_isolated = handling is crash_record.Handling.ISOLATED
        with contextlib.ExitStack() as exits:
            if is_isolated:
                exits.enter_context(self._isolating())
            server = self._choose(services, excluded, is_isolated)
            exits.enter_context(self._services.track_request(server))
            yield server

    @contextlib.contextmanager
    def _isolating(self) -> Iterator[None]:
        if self._is_isolating:
            raise errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL,
                'another suspect request runs',
                retry_after_s=_SUSPECT_RETRY_S,
            )
        self._is_isolating = True
        try:
            yield
        finally:
            self._is_isolating = False

    def _choose(
        self,
        services: Sequence[str],
        excluded: Collection[str],
        is_isolated: bool,
    ) -> backend_list.BackendServer:
        for service in services:
            if is_isolated:
                server = self._services.choose_isolated(service, excluded)
            else:
                server = self._services.choose(service, excluded)
            if server is not None:
                return server
        raise errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER,
            'no backend server of the service can be reached',
            retry_after_s=_NO_SERVER_RETRY_S,
        )
