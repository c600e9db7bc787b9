"""Sends a request to sidecars until one answers, and never twice."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import dataclasses

import aiohttp
import msgspec
import structlog

from lacewingpitch import errors
from lacewingpitch import ledger
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import membership as membership_module
from lacewingpitch import placement as placement_module
from lacewingpitch import settings
from lacewingpitch import voiding
from lacewingpitch import work

MAX_ATTEMPTS = 3
_CONNECT_TIMEOUT_S = 1.0
_VOID_TIMEOUT_S = 1.0
_ANSWER_GRACE_S = 2.0
log = structlog.get_logger(__name__)

OnOutdated = Callable[[str, live_list.Instance], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request on its way to one sidecar."""

    order: work.WorkOrder
    sidecar: live_list.Instance
    body: bytes
    content_type: str


class Dispatcher:
    """Chooses a sidecar for a request and brings back its answer.

    `on_outdated` is awaited with the customer and the sidecar when that
    one knows a newer revision of the customer's contract.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        sealer: link.Sealer,
        peers: link.PeerPool,
        membership: membership_module.Membership,
        placement: placement_module.Placement,
        on_outdated: OnOutdated | None = None,
    ) -> None:
        self._session = session
        self._sealer = sealer
        self._peers = peers
        self._membership = membership
        self._placement = placement
        self._on_outdated = on_outdated

    @contextlib.asynccontextmanager
    async def send(
        self, order: work.WorkOrder, body: bytes, content_type: str
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Bring back the head of an answer, its body still to be read.

        Raises
        ------
        RefusalError
            No sidecar answered; says whether the request may have run.
        """
        async with contextlib.AsyncExitStack() as held:
            yield await self._try_all(held, order, body, content_type)

    async def _try_all(
        self,
        held: contextlib.AsyncExitStack,
        order: work.WorkOrder,
        body: bytes,
        content_type: str,
    ) -> aiohttp.ClientResponse:
        last = errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER, 'none is known to be live'
        )
        for sidecar in (await self._candidates(order))[:MAX_ATTEMPTS]:
            order = msgspec.structs.replace(order, attempt=order.attempt + 1)
            attempt = Attempt(order, sidecar, body, content_type)
            try:
                return await self._try(held, attempt)
            except errors.RefusalError as error:
                log.info(
                    'attempt failed',
                    request_id=order.request_id,
                    instance=sidecar.name,
                    kind=error.kind,
                    detail=error.detail,
                )
                last = error
                if not error.retry_elsewhere:
                    raise
        raise last

    async def _candidates(
        self, order: work.WorkOrder
    ) -> list[live_list.Instance]:
        adapter = order.adapter
        if adapter is None:
            return self._placement.candidates(
                order.request_id, self._membership.sidecars(order.service)
            )
        return await self._placement.locate(
            adapter.engine_name, self._membership.sidecars(adapter.base_model)
        )

    async def _try(
        self, held: contextlib.AsyncExitStack, attempt: Attempt
    ) -> aiohttp.ClientResponse:
        order = attempt.order
        headers = {work.ORDER_HEADER: work.encode_order(order, self._sealer)}
        if attempt.content_type:
            headers['Content-Type'] = attempt.content_type
        sidecar = attempt.sidecar
        held.enter_context(
            self._placement.sent(_placement_key(order), sidecar.name)
        )
        url = settings.Address(ip=sidecar.ip, port=sidecar.work_port).url
        try:
            async with asyncio.timeout(order.deadline_s + _ANSWER_GRACE_S):
                response = await held.enter_async_context(
                    self._session.post(
                        f'{url}/run',
                        data=attempt.body,
                        headers=headers,
                        timeout=aiohttp.ClientTimeout(
                            total=None, sock_connect=_CONNECT_TIMEOUT_S
                        ),
                    )
                )
        except aiohttp.ClientConnectorError as error:
            self._membership.suspect(sidecar.name)
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING, f'not reached: {sidecar.name}'
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._membership.suspect(sidecar.name)
            await self._void(attempt)
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING, f'gave up on {sidecar.name}'
            ) from error
        self._placement.learn(
            sidecar.name, response.headers.get(work.HINT_HEADER, '')
        )
        if work.LEAVING_HEADER in response.headers:
            self._membership.note_leaving(sidecar.name)
        if work.KIND_HEADER in response.headers:
            await self._raise_refusal(response, attempt)
        return response

    async def _raise_refusal(
        self, response: aiohttp.ClientResponse, attempt: Attempt
    ) -> None:
        body = msgspec.json.decode(await response.read(), type=work.ErrorBody)
        kind = body.error.kind
        if kind is errors.ErrorKind.DRAINING:
            self._membership.note_leaving(attempt.sidecar.name)
        if kind is errors.ErrorKind.CONTRACT_OUTDATED and self._on_outdated:
            await self._on_outdated(attempt.order.customer, attempt.sidecar)
        raise work.error_of(body.error)

    async def _void(self, attempt: Attempt) -> None:
        """Return if the attempt did not run and never will.

        Raises
        ------
        RefusalError
            It ran, or nothing is known.
        """
        # A timeout proves nothing: a frozen sidecar may wake up and pass
        # the work on after the caller was told "not run".  Only its
        # promise not to does.
        sidecar = attempt.sidecar
        peer = self._peers.peer(sidecar.ip, sidecar.control_port)
        message = voiding.VoidRequest(
            attempt_id=voiding.attempt_id(
                attempt.order.request_id, attempt.order.attempt
            )
        )
        try:
            reply = await peer.ask(message, voiding.VoidReply, _VOID_TIMEOUT_S)
        except errors.LinkError as error:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                'the backend server does not say whether it ran',
            ) from error
        if reply.state is not ledger.RunState.VOID:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                'the answer was lost after the request had started',
            )


def _placement_key(order: work.WorkOrder) -> str:
    if order.adapter is None:
        return order.request_id
    return order.adapter.engine_name
