"""The retry that one request has paid for and that has not arrived yet."""

import structlog

from lacewingpitch import service_budgets

log = structlog.get_logger(__name__)


class RetryCharges:
    """Charges the retries of one request to the services that get them.

    Arrivals count at the service of their server.  That is known only when
    the next attempt has a server, which may be of another service than the
    last one; and a retry that never arrives anywhere costs nothing.

    Parameters
    ----------
    request_id
        Request, for the log.
    """

    def __init__(
        self, budgets: service_budgets.ServiceBudgets, request_id: str
    ) -> None:
        self._budgets = budgets
        self._request_id = request_id
        # Service that is charged for the next attempt; empty if none is.
        self._service = ''
        # The same for the attempt in progress.
        self._in_progress = ''

    def refund(self) -> None:
        """Refund a retry that was not sent."""
        if self._service:
            self._budgets.refund(self._service)
            self._service = ''

    def try_charge(self, service: str, attempt: int) -> bool:
        """Charge the next attempt, after one that may have arrived."""
        if not self._try_withdraw(service):
            return False
        self._record_charge(service, attempt)
        return True

    def try_charge_early(
        self, service: str, attempt: int, keeps_part: bool
    ) -> bool:
        """Charge the next attempt while the current one goes on.

        Parameters
        ----------
        keeps_part
            Whether a part of the budget is kept for other retries.
        """
        if not self._budgets.try_withdraw(service, keeps_part=keeps_part):
            return False
        self._record_charge(service, attempt)
        return True

    def _record_charge(self, service: str, attempt: int) -> None:
        self._service = service
        log.info(
            'retry charged',
            request_id=self._request_id,
            service=service,
            attempt=attempt,
            tokens_left=round(self._budgets.tokens(service), 2),
        )

    def try_move(self, service: str) -> bool:
        """Charge the next attempt to the service that gets it."""
        if self._service in ('', service):
            return True
        if not self._try_withdraw(service):
            return False
        self._budgets.refund(self._service)
        self._service = service
        return True

    def start_attempt(self) -> None:
        """Spend the charge, as the attempt may arrive from here on."""
        self._in_progress, self._service = self._service, ''

    def record_not_arrived(self) -> None:
        """Keep the charge of the last attempt for the next one."""
        self.refund()
        self._service = self._in_progress

    def _try_withdraw(self, service: str) -> bool:
        if self._budgets.try_withdraw(service):
            return True
        log.info(
            'retry budget exhausted',
            request_id=self._request_id,
            service=service,
        )
        return False
