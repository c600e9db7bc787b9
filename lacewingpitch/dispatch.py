"""Sends a request to sidecars until one answers, and never twice."""

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
_REPEATABLE_KINDS = frozenset(
    {
        errors.ErrorKind.OUTCOME_UNKNOWN,
        errors.ErrorKind.WRONG_ADAPTER,
        errors.ErrorKind.INTERNAL,
    }
)
log = structlog.get_logger(__name__)


class Dispatcher:
    """Chooses a sidecar for a request and brings back its answer."""

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
        """Bring back the head of an answer, its body still to be read.

        Raises
        ------
        RefusalError
            No sidecar answered; says whether the request may have run.
        """
        self.budget.deposit()
        with contextlib.closing(
            await self._try_all(order, body, content_type)
        ) as reply:
            try:
                yield reply
            except BaseException:
                self._link.cancel(reply.attempt)
                raise

    async def _try_all(
        self, order: work.WorkOrder, body: bytes, content_type: str
    ) -> sidecar_link.Reply:
        until_s = time.monotonic() + order.deadline_s
        may_have_run = False
        last = errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER, 'none is known to be live'
        )
        candidates = await self._candidates(order)
        permit = retry_budget.RetryPermit(self.budget, False)
        for number, sidecar in enumerate(candidates):
            if number and not await self._may_retry(number, permit):
                break
            permit = retry_budget.RetryPermit(
                self.budget,
                order.repeatable and sidecar is not candidates[-1],
            )
            left_s = until_s - time.monotonic()
            if left_s <= 0.0:
                break
            order = msgspec.structs.replace(
                order, attempt=order.attempt + 1, deadline_s=left_s
            )
            attempt = sidecar_link.Attempt(
                order, sidecar, body, content_type, permit.acquire_early
            )
            try:
                return await self._try(attempt)
            except errors.RefusalError as error:
                log.info(
                    'attempt failed',
                    request_id=order.request_id,
                    instance=sidecar.name,
                    kind=error.kind,
                    detail=error.detail,
                )
                # An engine that restarts ends a run that may be repeated,
                # and the next attempt is refused before it runs.  That
                # refusal speaks of one attempt; "not run" is a promise
                # about the request, which the first has broken.
                last = _after_a_run(error) if may_have_run else error
                may_have_run |= error.outcome is not errors.Outcome.NOT_RUN
                if not _goes_again(error, order):
                    raise last from error
        raise last

    async def _may_retry(
        self, number: int, permit: retry_budget.RetryPermit
    ) -> bool:
        if not permit.acquire():
            return False
        delay_s = retry_budget.backoff_s(number, self._random)
        await asyncio.sleep(delay_s)
        return True

    async def _candidates(
        self, order: work.WorkOrder
    ) -> list[live_list.Instance]:
        adapter = order.adapter
        if adapter is None:
            found = self._placement.ranked_instances(
                order.request_id, self._membership.sidecars(order.service)
            )
        else:
            found = await self._placement.locate(
                adapter.engine_name,
                self._membership.sidecars(adapter.base_model),
            )
        names = [instance.name for instance in found]
        allowed = set(self.ejector.allowed(names))
        return [i for i in found if i.name in allowed][:MAX_ATTEMPTS]

    async def _try(self, attempt: sidecar_link.Attempt) -> sidecar_link.Reply:
        name = attempt.sidecar.name
        self.ejector.record_start(name)
        with contextlib.ExitStack() as held:
            held.callback(self.ejector.record_end, name)
            held.enter_context(
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
                if error.kind in _REPEATABLE_KINDS:
                    self.ejector.record_failure(name)
                raise
            self.ejector.record_success(name)
            return sidecar_link.Reply(
                self._link, attempt, response, held.pop_all()
            )


def _goes_again(error: errors.RefusalError, order: work.WorkOrder) -> bool:
    """Return whether another sidecar may get the request.

    Either it provably did not run, or it may run twice and nothing of
    its answer was delivered.
    """
    if error.retry_elsewhere:
        return True
    return order.repeatable and error.kind in _REPEATABLE_KINDS


def _after_a_run(error: errors.RefusalError) -> errors.RefusalError:
    """Return what to answer when an earlier attempt may have run."""
    return errors.RefusalError(
        errors.ErrorKind.OUTCOME_UNKNOWN,
        f'an earlier attempt may have run; the last: {error.detail}',
        retry_after_s=error.retry_after_s,
    )


def _placement_key(order: work.WorkOrder) -> str:
    if order.adapter is None:
        return order.request_id
    return order.adapter.engine_name
