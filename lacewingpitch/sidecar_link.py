"""Link from an entry to sidecars: sends, monitors and resumes attempts.

An attempt is one request sent to one sidecar.  If its connection fails or
stalls, the link asks the sidecar over the control link how far it got.  It
reports that the request did not run only if nothing was sent, the sidecar
refused the attempt, or the sidecar promised never to run it.
"""

import asyncio
from collections.abc import AsyncGenerator, Awaitable
from collections.abc import Callable, Coroutine, Mapping
import contextlib
import dataclasses
from typing import TypeVar

import aiohttp
import msgspec
import structlog

from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import idle_timeout
from lacewingpitch import ledger
from lacewingpitch import link as link_module
from lacewingpitch import live_list
from lacewingpitch import membership as membership_module
from lacewingpitch import placement as placement_module
from lacewingpitch import settings
from lacewingpitch import voiding
from lacewingpitch import work

_CONNECT_TIMEOUT_S = 1.0
_VOID_TIMEOUT_S = 2.0
_CANCEL_TIMEOUT_S = 1.0
_ANSWER_GRACE_S = 2.0
_IDLE_TIMEOUT_S = 5.0
# Together longer than a sidecar waits for an engine that sends nothing.
_MAX_IDLE_PERIODS = 14
# Delays after which the state of an unanswered attempt is polled.
_FIRST_POLL_DELAY_S = 1.0
_MAX_POLL_DELAY_S = 8.0
_POLL_TIMEOUT_S = 0.75
_MAX_UNANSWERED_POLLS = 2
_FINISHED_POLLS_TO_REATTACH = 2
_UNKNOWN_POLLS_TO_VOID = 2
_REATTACH_DELAYS_S = (0.0, 0.1, 0.3, 0.6, 1.0, 1.5)
# The connection was never made, so no part of the request was sent.
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_CONNECTION_LOST = (aiohttp.ClientError, TimeoutError, OSError)
Result = TypeVar('Result')
log = structlog.get_logger(__name__)

ContractOutdatedHandler = Callable[[str, live_list.Instance], Awaitable[None]]


def _no_retry() -> bool:
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request to one sidecar.

    Parameters
    ----------
    try_acquire_retry
        Called when the sidecar does not respond.  Returns whether the
        request may be sent to another one although this attempt may run.
    """

    order: work.WorkOrder
    sidecar: live_list.Instance
    body: bytes
    content_type: str
    try_acquire_retry: Callable[[], bool] = _no_retry

    @property
    def attempt_id(self) -> str:
        """Return the identifier of the attempt."""
        return voiding.attempt_id(self.order.request_id, self.order.attempt)


class Reply:
    """The reply to one attempt, read as it arrives from the sidecar.

    Parameters
    ----------
    link
        Link that sent the attempt.
    attempt
        What the reply answers.
    response
        Response whose headers have arrived.
    exits
        Closed with the reply.
    """

    def __init__(
        self,
        link: 'SidecarLink',
        attempt: Attempt,
        response: aiohttp.ClientResponse,
        exits: contextlib.ExitStack,
    ) -> None:
        self._link = link
        self._exits = exits
        self.attempt = attempt
        self._response = response
        self._idle_timeout = idle_timeout.IdleTimeout(_IDLE_TIMEOUT_S)

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self._response.status

    @property
    def content_type(self) -> str:
        """Return the media type without its parameters."""
        return self._response.content_type

    @property
    def headers(self) -> Mapping[str, str]:
        """Return the headers."""
        return self._response.headers

    async def read(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        Raises
        ------
        ClientError, LinkError
            The body broke off, or the sidecar no longer responds.
        """
        idle_count = 0
        while True:
            try:
                with self._idle_timeout:
                    return await self._response.content.readany()
            except TimeoutError:
                idle_count += 1
                await self._check_run_state(idle_count)

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body as it arrives; raises the errors of `read`."""
        while chunk := await self.read():
            yield chunk

    async def _check_run_state(self, idle_count: int) -> None:
        # A frozen sidecar or a half-open link keeps the connection but
        # sends nothing, and the caller would wait forever.  A sidecar that
        # waits for its engine answers this question at once, and reports
        # the run as finished only just before the rest of the body arrives.
        state = await self._link.query_run_state(self.attempt)
        has_ended = state is not ledger.RunState.STARTED
        if idle_count >= _MAX_IDLE_PERIODS or (has_ended and idle_count > 1):
            raise aiohttp.ClientPayloadError('no data from the sidecar')

    async def resume(self, after_events: int) -> None:
        """Request the rest of a stream, or a whole answer again.

        Raises
        ------
        RefusalError
            The sidecar cannot provide it.
        """
        self._response.close()
        self._response = await self._link.reattach(self.attempt, after_events)

    def close(self) -> None:
        """Close the connection."""
        self._idle_timeout.close()
        self._response.close()
        self._exits.close()


class SidecarLink:
    """Sends attempts to sidecars, queries their state and resumes them.

    Parameters
    ----------
    session
        HTTP session of the entry.
    signer
        Signs orders.
    peers
        Control links to the sidecars.
    membership
        Receives which sidecars are leaving or unreachable.
    placement
        Receives the hints that answers carry.
    ejector
        Receives which sidecars fail or do not respond.
    on_contract_outdated
        Awaited with the customer and the sidecar if the sidecar knows a
        newer revision of the customer's contract.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        signer: link_module.MessageSigner,
        peers: link_module.PeerPool,
        membership: membership_module.Membership,
        placement: placement_module.Placement,
        ejector: ejection.Ejector,
        on_contract_outdated: ContractOutdatedHandler | None = None,
    ) -> None:
        self._session = session
        self._signer = signer
        self._peers = peers
        self._membership = membership
        self._placement = placement
        self._ejector = ejector
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self._on_contract_outdated = on_contract_outdated

    async def run(self, attempt: Attempt) -> aiohttp.ClientResponse:
        """Send an attempt and return its response, the body unread.

        Raises
        ------
        RefusalError
            There is no response; says whether the attempt may have run.
        """
        order = attempt.order
        name = attempt.sidecar.name
        if self._ejector.is_unresponsive(name):
            await self._check_responsive(attempt)
        try:
            async with asyncio.timeout(order.deadline_s + _ANSWER_GRACE_S):
                return await self._post_and_poll(attempt)
        except _NOT_SENT as error:
            self._ejector.record_failure(name)
            self._membership.mark_suspect(name)
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING, f'cannot connect to {name}'
            ) from error
        except _CONNECTION_LOST as error:
            # The connection is closed, so an order that the sidecar has not
            # received cannot reach a later process on the same port.
            await self._void_attempt(attempt, error)
        # The attempt has started: a whole answer may begin only after the
        # deadline, and a broken connection does not end the run.
        return await self.reattach(attempt, 0)

    async def query_run_state(
        self,
        attempt: Attempt,
        *,
        only_asks: bool = False,
        timeout_s: float = _VOID_TIMEOUT_S,
    ) -> ledger.RunState:
        """Return the state of an attempt; void it if it has not started.

        Parameters
        ----------
        only_asks
            Whether to leave the attempt as it is instead of voiding it.

        Raises
        ------
        LinkError
            The sidecar does not answer.
        """
        sidecar = attempt.sidecar
        peer = self._peers.peer(sidecar.ip, sidecar.control_port)
        message = voiding.VoidRequest(
            attempt_id=attempt.attempt_id,
            instance=sidecar.name,
            only_asks=only_asks,
        )
        reply = await peer.ask(message, voiding.VoidReply, timeout_s)
        return reply.state

    async def reattach(
        self, attempt: Attempt, after_events: int
    ) -> aiohttp.ClientResponse:
        """Connect again to the answer of an attempt that has started.

        Raises
        ------
        RefusalError
            The sidecar cannot provide it.
        """
        order = msgspec.structs.replace(
            attempt.order, after_events=after_events
        )
        attempt = dataclasses.replace(attempt, order=order, body=b'')
        for delay_s in _REATTACH_DELAYS_S:
            await asyncio.sleep(delay_s)
            try:
                return await self._wait_while_responsive(
                    attempt, self._post('/resume', attempt)
                )
            except errors.LinkError:
                break
            except errors.RefusalError as error:
                # A sidecar refuses with this kind while it is starting.
                if error.kind is not errors.ErrorKind.QUEUE_FULL:
                    raise
            except _CONNECTION_LOST as error:
                log.info(
                    'answer not resumed',
                    request_id=order.request_id,
                    instance=attempt.sidecar.name,
                    error=repr(error),
                )
        raise _outcome_unknown(
            'the answer was lost after the request had started'
        )

    def cancel(self, attempt: Attempt) -> None:
        """Ask the sidecar to stop a repeatable attempt; do not wait."""
        if not attempt.order.repeatable:
            return
        task = asyncio.create_task(self._cancel_attempt(attempt))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _post(
        self, path: str, attempt: Attempt
    ) -> aiohttp.ClientResponse:
        headers = {
            work.ORDER_HEADER: work.encode_order(attempt.order, self._signer)
        }
        if attempt.content_type:
            headers['Content-Type'] = attempt.content_type
        sidecar = attempt.sidecar
        url = settings.Address(ip=sidecar.ip, port=sidecar.work_port).url
        response = await self._session.post(
            url + path,
            data=attempt.body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_TIMEOUT_S
            ),
            allow_redirects=False,
        )
        self._placement.apply_hint_header(
            sidecar.name, response.headers.get(work.HINT_HEADER, '')
        )
        leaving = response.headers.get(work.LEAVING_HEADER, '')
        if leaving:
            self._membership.mark_leaving(
                sidecar.name, int(leaving) if leaving.isdecimal() else 0
            )
        if work.KIND_HEADER in response.headers:
            await self._raise_refusal(response, attempt)
        if response.headers.get(work.ATTEMPT_HEADER) != attempt.attempt_id:
            # The list lags behind: another program may listen on the port
            # by now, and its answer must not be taken for the request's.
            response.close()
            raise aiohttp.ClientPayloadError('answer to another attempt')
        return response

    async def _raise_refusal(
        self, response: aiohttp.ClientResponse, attempt: Attempt
    ) -> None:
        try:
            body = msgspec.json.decode(
                await response.read(), type=work.ErrorBody
            )
        except msgspec.DecodeError as error:
            raise aiohttp.ClientPayloadError('malformed refusal') from error
        kind = body.error.kind
        is_marked = work.LEAVING_HEADER in response.headers
        if kind is errors.ErrorKind.DRAINING and not is_marked:
            self._membership.mark_leaving(attempt.sidecar.name)
        if (
            kind is errors.ErrorKind.CONTRACT_OUTDATED
            and self._on_contract_outdated
        ):
            await self._on_contract_outdated(
                attempt.order.customer, attempt.sidecar
            )
        raise work.error_from_refusal(body.error)

    async def _post_and_poll(self, attempt: Attempt) -> aiohttp.ClientResponse:
        """Send an attempt, and poll its state until it is answered.

        Raises
        ------
        RefusalError
            The attempt did not arrive, or the sidecar does not respond and
            the request may be sent to another one.
        """
        post_task = asyncio.create_task(self._post('/run', attempt))
        delay_s = _FIRST_POLL_DELAY_S
        finished_polls = unknown_polls = 0
        try:
            while True:
                await asyncio.wait({post_task}, timeout=delay_s)
                state = None
                if not post_task.done():
                    state = await self._poll_state(
                        attempt,
                        only_asks=unknown_polls < _UNKNOWN_POLLS_TO_VOID,
                    )
                if post_task.done():
                    return post_task.result()
                if state is None:
                    self._handle_unresponsive(attempt)
                if state is ledger.RunState.VOID:
                    raise self._not_arrived_refusal(attempt)
                finished_polls += state is ledger.RunState.FINISHED
                if finished_polls >= _FINISHED_POLLS_TO_REATTACH:
                    raise aiohttp.ClientPayloadError(
                        'no data from the sidecar'
                    )
                if state is ledger.RunState.FORGOTTEN:
                    unknown_polls += 1
                else:
                    delay_s = min(2 * delay_s, _MAX_POLL_DELAY_S)
        finally:
            post_task.cancel()
            # `_void_attempt` relies on the connection being closed.
            await asyncio.wait({post_task})

    async def _poll_state(
        self, attempt: Attempt, only_asks: bool
    ) -> ledger.RunState | None:
        """Return the state of an attempt; ``None`` without a reply."""
        # A single timeout may be due to a pause of this process, in which
        # the time for the reply ran out, so the sidecar is polled again.
        for _ in range(_MAX_UNANSWERED_POLLS):
            try:
                return await self.query_run_state(
                    attempt, only_asks=only_asks, timeout_s=_POLL_TIMEOUT_S
                )
            except errors.NoReplyError:
                continue
            except errors.LinkError:
                return ledger.RunState.FORGOTTEN
        return None

    def _handle_unresponsive(self, attempt: Attempt) -> None:
        # A frozen sidecar keeps its connections and answers nothing, so
        # every request sent to it would wait until its deadline.  A request
        # that may run twice is sent to another sidecar.  Any other keeps
        # waiting, as it may run once the sidecar resumes.
        name = attempt.sidecar.name
        self._ejector.record_unresponsive(name)
        if attempt.try_acquire_retry():
            self.cancel(attempt)
            raise _outcome_unknown(f'{name} is not responding')

    def _not_arrived_refusal(self, attempt: Attempt) -> errors.RefusalError:
        # A half-open link accepts the request and does not deliver it.  The
        # sidecar's promise holds even if the request arrives later.
        name = attempt.sidecar.name
        self._ejector.record_failure(name)
        return errors.RefusalError(
            errors.ErrorKind.ATTEMPT_WITHDRAWN,
            f'the request did not arrive at {name}',
        )

    async def _check_responsive(self, attempt: Attempt) -> None:
        # The first request after an ejection is a trial.  A sidecar that was
        # unresponsive gets a control message first: a request sent to a
        # process that is still frozen may run later, so it could not be
        # retried elsewhere.
        name = attempt.sidecar.name
        try:
            await self._request_cancel(attempt)
        except errors.NoReplyError as error:
            self._ejector.record_unresponsive(name)
            raise errors.RefusalError(
                errors.ErrorKind.ATTEMPT_WITHDRAWN, f'{name} is not responding'
            ) from error
        except errors.LinkError:
            return

    async def _void_attempt(self, attempt: Attempt, cause: Exception) -> None:
        """Void an attempt that has not started; return if it has.

        Raises
        ------
        RefusalError
            The attempt did not run and never will, or its state is unknown.
        """
        # A timeout does not prove that the attempt will not run: a frozen
        # sidecar may resume and start it after the caller has received "not
        # run".  Only the sidecar's promise proves it.
        name = attempt.sidecar.name
        try:
            state = await self.query_run_state(attempt)
        except errors.LinkError as error:
            self._membership.mark_suspect(name)
            raise _outcome_unknown(
                'the backend server did not report whether the request ran'
            ) from error
        if state is ledger.RunState.VOID:
            self._ejector.record_failure(name)
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING,
                f'the attempt at {name} was withdrawn',
            ) from cause
        if state is ledger.RunState.FORGOTTEN:
            raise _outcome_unknown('the sidecar was replaced') from cause

    async def _wait_while_responsive(
        self, attempt: Attempt, waiting: Coroutine[None, None, Result]
    ) -> Result:
        """Await `waiting` while the sidecar reports that the run goes on.

        Raises
        ------
        LinkError
            The sidecar does not respond, or its answer does not arrive.
        """
        # A link that accepts bytes and delivers none would keep the caller
        # waiting forever, as the sidecar itself is well.  The headers of a
        # stream arrive at once, those of a whole answer at the end of its
        # run.  If nothing arrives after that, the link has failed.
        task = asyncio.create_task(waiting)
        idle_count = 0
        try:
            while True:
                done, _ = await asyncio.wait({task}, timeout=_IDLE_TIMEOUT_S)
                if done:
                    return task.result()
                state = await self.query_run_state(attempt)
                if (
                    attempt.order.stream
                    or state is not ledger.RunState.STARTED
                ):
                    idle_count += 1
                if idle_count > 1:
                    raise errors.LinkError('no data from the sidecar')
        finally:
            task.cancel()

    async def _cancel_attempt(self, attempt: Attempt) -> None:
        with contextlib.suppress(errors.LinkError):
            await self._request_cancel(attempt)

    async def _request_cancel(self, attempt: Attempt) -> None:
        sidecar = attempt.sidecar
        peer = self._peers.peer(sidecar.ip, sidecar.control_port)
        message = voiding.CancelRequest(attempt_id=attempt.attempt_id)
        await peer.ask(message, voiding.CancelReply, _CANCEL_TIMEOUT_S)


def _outcome_unknown(detail: str) -> errors.RefusalError:
    return errors.RefusalError(errors.ErrorKind.OUTCOME_UNKNOWN, detail)
