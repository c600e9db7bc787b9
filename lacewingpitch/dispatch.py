"""Dispatch of requests to sidecars: server selection and retries."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import time

import msgspec
import structlog

from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import live_list
from lacewingpitch import membership as membership_module
from lacewingpitch import placement as placement_module
from lacewingpitch import retry_budget
from lacewingpitch import sidecar_link
from lacewingpitch import work

MAX_ATTEMPTS = 3
# The request may have run: only a repeatable one may be sent again.
_POSSIBLY_RUN_KINDS = frozenset(
    {
        errors.ErrorKind.OUTCOME_UNKNOWN,
        errors.ErrorKind.WRONG_ADAPTER,
        errors.ErrorKind.INTERNAL,
    }
)
log = structlog.get_logger(__name__)


class Dispatcher:
    """Selects a sidecar for each request, and retries failed attempts.

    A request is sent again only if no earlier attempt can have run, or if
    its contract lets it run twice.

    Parameters
    ----------
    link
        Sends attempts to sidecars.
    membership
        The sidecars that are live.
    placement
        Ranks the sidecars for a request.
    ejector
        Excludes sidecars that fail or do not respond.
    """

    def __init__(
        self,
        link: sidecar_link.SidecarLink,
        membership: membership_module.Membership,
        placement: placement_module.Placement,
        ejector: ejection.Ejector,
    ) -> None:
        self._link = link
        self._membership = membership
        self._placement = placement
        self.ejector = ejector
        self.budget = retry_budget.RetryBudget()
        self._random = random.Random()

    @contextlib.asynccontextmanager
    async def send(
        self, order: work.WorkOrder, body: bytes, content_type: str
    ) -> AsyncIterator[sidecar_link.Reply]:
        """Yield the reply to a request once its headers have arrived.

        The body is still to be read.  An exception in the block cancels the
        attempt.

        Raises
        ------
        RefusalError
            No sidecar answered; says whether the request may have run.
        """
        self.budget.deposit()
        with contextlib.closing(
            await self._send_with_retries(order, body, content_type)
        ) as reply:
            try:
                yield reply
            except BaseException:
                self._link.cancel(reply.attempt)
                raise

    async def _send_with_retries(
        self, order: work.WorkOrder, body: bytes, content_type: str
    ) -> sidecar_link.Reply:
        deadline_at_s = time.monotonic() + order.deadline_s
        may_have_run = False
        last_error = errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER,
            'no live backend server is known',
        )
        candidates = await self._candidates(order)
        permit = retry_budget.RetryPermit(self.budget, False)
        for index, sidecar in enumerate(candidates):
            if index and not await self._acquire_retry(index, permit):
                break
            permit = retry_budget.RetryPermit(
                self.budget,
                order.repeatable and sidecar is not candidates[-1],
            )
            left_s = deadline_at_s - time.monotonic()
            if left_s <= 0.0:
                break
            order = msgspec.structs.replace(
                order, attempt=order.attempt + 1, deadline_s=left_s
            )
            attempt = sidecar_link.Attempt(
                order, sidecar, body, content_type, permit.acquire_early
            )
            try:
                return await self._send_attempt(attempt)
            except errors.RefusalError as error:
                log.info(
                    'attempt failed',
                    request_id=order.request_id,
                    instance=sidecar.name,
                    kind=error.kind,
                    detail=error.detail,
                )
                # The outcome "not run" is a promise about the whole request.
                # A retry that was refused before it ran says nothing about
                # an earlier attempt, which an engine's restart may have
                # ended in the middle of its run.
                last_error = _outcome_unknown(error) if may_have_run else error
                may_have_run |= error.outcome is not errors.Outcome.NOT_RUN
                if not _is_retryable(error, order):
                    raise last_error from error
        raise last_error

    async def _acquire_retry(
        self, retry: int, permit: retry_budget.RetryPermit
    ) -> bool:
        """Wait for the backoff; return ``False`` if no retry is left."""
        if not permit.acquire():
            return False
        delay_s = retry_budget.backoff_s(retry, self._random)
        await asyncio.sleep(delay_s)
        return True

    async def _candidates(
        self, order: work.WorkOrder
    ) -> list[live_list.Instance]:
        """Return the sidecars to try, in order of preference."""
        adapter = order.adapter
        if adapter is None:
            ranked = self._placement.ranked_instances(
                order.request_id, self._membership.sidecars(order.service)
            )
        else:
            ranked = await self._placement.locate(
                adapter.engine_name,
                self._membership.sidecars(adapter.base_model),
            )
        names = [instance.name for instance in ranked]
        allowed = set(self.ejector.allowed(names))
        return [i for i in ranked if i.name in allowed][:MAX_ATTEMPTS]

    async def _send_attempt(
        self, attempt: sidecar_link.Attempt
    ) -> sidecar_link.Reply:
        name = attempt.sidecar.name
        self.ejector.record_start(name)
        with contextlib.ExitStack() as exits:
            exits.callback(self.ejector.record_end, name)
            exits.enter_context(
                self._placement.track_request(
                    _placement_key(attempt.order), name
                )
            )
            try:
                response = await self._link.run(attempt)
            except asyncio.CancelledError:
                self._link.cancel(attempt)
                raise
            except errors.RefusalError as error:
                if error.kind in _POSSIBLY_RUN_KINDS:
                    self.ejector.record_failure(name)
                raise
            self.ejector.record_success(name)
            return sidecar_link.Reply(
                self._link, attempt, response, exits.pop_all()
            )


def _is_retryable(error: errors.RefusalError, order: work.WorkOrder) -> bool:
    """Return whether another sidecar may get the request.

    That is so if it certainly did not run, or if it may run twice and no
    part of its answer was delivered.
    """
    if error.retry_elsewhere:
        return True
    return order.repeatable and error.kind in _POSSIBLY_RUN_KINDS


def _outcome_unknown(error: errors.RefusalError) -> errors.RefusalError:
    """Return the refusal to send if an earlier attempt may have run."""
    return errors.RefusalError(
        errors.ErrorKind.OUTCOME_UNKNOWN,
        f'an earlier attempt may have run; the last: {error.detail}',
        retry_after_s=error.retry_after_s,
    )


def _placement_key(order: work.WorkOrder) -> str:
    """Return the key that requests for the same adapter share."""
    if order.adapter is None:
        return order.request_id
    return order.adapter.engine_name
