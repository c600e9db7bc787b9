"""How an entry instance sends an attempt to a sidecar, and loses none."""

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
_SILENCE_S = 5.0
# Longer than a sidecar waits for a silent engine.
_MAX_SILENCES = 14
# When a sidecar is asked about an attempt that it has not answered.
_ASK_AFTER_S = 1.0
_MAX_ASK_AFTER_S = 8.0
_ASK_TIMEOUT_S = 0.75
_UNANSWERED_TO_LEAVE = 2
_FINISHED_TO_REATTACH = 2
_ABSENT_TO_VOID = 2
_REATTACH_DELAYS_S = (0.0, 0.1, 0.3, 0.6, 1.0, 1.5)
# The connection was never made, so not a byte of the request went out.
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_LOST = (aiohttp.ClientError, TimeoutError, OSError)
Found = TypeVar('Found')
log = structlog.get_logger(__name__)

OnOutdated = Callable[[str, live_list.Instance], Awaitable[None]]


def _never() -> bool:
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request on its way to one sidecar.

    Parameters
    ----------
    try_acquire_retry
        Whether the request may now go elsewhere although this attempt
        may run.
    """

    order: work.WorkOrder
    sidecar: live_list.Instance
    body: bytes
    content_type: str
    try_acquire_retry: Callable[[], bool] = _never

    @property
    def attempt_id(self) -> str:
        """Return the name of the attempt."""
        return voiding.attempt_id(self.order.request_id, self.order.attempt)


class Reply:
    """The answer of one attempt, as it comes from its sidecar."""

    def __init__(
        self,
        link: 'SidecarLink',
        attempt: Attempt,
        response: aiohttp.ClientResponse,
        held: contextlib.ExitStack,
    ) -> None:
        self._link = link
        self._held = held
        self.attempt = attempt
        self._response = response
        self._silence = idle_timeout.IdleTimeout(_SILENCE_S)

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
        """Return what came of the body; nothing at its end.

        Raises
        ------
        ClientError, LinkError
            It broke off, or the sidecar says nothing any more.
        """
        silences = 0
        while True:
            try:
                with self._silence:
                    return await self._response.content.readany()
            except TimeoutError:
                silences += 1
                await self._check_silence(silences)

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Give the body as it comes, by `read`."""
        while chunk := await self.read():
            yield chunk

    async def _check_silence(self, silences: int) -> None:
        # A frozen sidecar, or a link that is half open, keeps the
        # connection and sends nothing: the caller would wait for ever.
        # A sidecar that only waits for its engine answers at once, and
        # does not say for long that all was sent.
        state = await self._link.query_run_state(self.attempt)
        is_over = state is not ledger.RunState.STARTED
        if silences >= _MAX_SILENCES or (is_over and silences > 1):
            raise aiohttp.ClientPayloadError('the link is silent')

    async def resume(self, after_events: int) -> None:
        """Ask the sidecar for the rest, or again for a whole answer.

        Raises
        ------
        RefusalError
            It cannot be had.
        """
        self._response.close()
        self._response = await self._link.reattach(self.attempt, after_events)

    def close(self) -> None:
        """Close the connection."""
        self._silence.close()
        self._response.close()
        self._held.close()


class SidecarLink:
    """Sends attempts to sidecars, asks about them, takes them up again.

    `on_outdated` is awaited with the customer and the sidecar when that
    one knows a newer revision of the customer's contract.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        signer: link_module.MessageSigner,
        peers: link_module.PeerPool,
        membership: membership_module.Membership,
        placement: placement_module.Placement,
        ejector: ejection.Ejector,
        on_outdated: OnOutdated | None = None,
    ) -> None:
        self._session = session
        self._signer = signer
        self._peers = peers
        self._membership = membership
        self._placement = placement
        self._ejector = ejector
        self._cancelling: set[asyncio.Task[None]] = set()
        self._on_outdated = on_outdated

    async def run(self, attempt: Attempt) -> aiohttp.ClientResponse:
        """Send an attempt and return the head of its answer.

        Raises
        ------
        RefusalError
            There is none; says whether the attempt may have run.
        """
        order = attempt.order
        name = attempt.sidecar.name
        if self._ejector.is_unresponsive(name):
            await self._check_answers(attempt)
        try:
            async with asyncio.timeout(order.deadline_s + _ANSWER_GRACE_S):
                return await self._post_and_ask(attempt)
        except _NOT_SENT as error:
            self._ejector.record_failure(name)
            self._membership.mark_suspect(name)
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING, f'not reached: {name}'
            ) from error
        except _LOST as error:
            # The connection is closed by now: what the sidecar does not
            # know of yet cannot arrive at a later process on its port.
            await self._void(attempt, error)
        # A whole answer may take longer than its deadline to start, and
        # a connection that broke does not end the run.
        return await self.reattach(attempt, 0)

    async def query_run_state(
        self,
        attempt: Attempt,
        *,
        only_asks: bool = False,
        timeout_s: float = _VOID_TIMEOUT_S,
    ) -> ledger.RunState:
        """Return how far an attempt got; void it if it did not start.

        With `only_asks` it is not voided.

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
        """Take up the answer of an attempt that has started.

        Raises
        ------
        RefusalError
            It cannot be had.
        """
        order = msgspec.structs.replace(
            attempt.order, after_events=after_events
        )
        attempt = dataclasses.replace(attempt, order=order, body=b'')
        for delay_s in _REATTACH_DELAYS_S:
            await asyncio.sleep(delay_s)
            try:
                return await self._while_alive(
                    attempt, self._post('/resume', attempt)
                )
            except errors.LinkError:
                break
            except errors.RefusalError as error:
                # A sidecar that has just taken its port is not ready.
                if error.kind is not errors.ErrorKind.QUEUE_FULL:
                    raise
            except _LOST as error:
                log.info(
                    'not resumed',
                    request_id=order.request_id,
                    instance=attempt.sidecar.name,
                    error=repr(error),
                )
        raise _unknown('the answer was lost after the request had started')

    def cancel(self, attempt: Attempt) -> None:
        """Tell the sidecar that nobody waits for the answer."""
        if not attempt.order.repeatable:
            return
        task = asyncio.create_task(self._send_cancel(attempt))
        self._cancelling.add(task)
        task.add_done_callback(self._cancelling.discard)

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
            # The list lags: another program may have the port by now,
            # and its answer would pass for that of the request.
            response.close()
            raise aiohttp.ClientPayloadError('not the answer of the attempt')
        return response

    async def _raise_refusal(
        self, response: aiohttp.ClientResponse, attempt: Attempt
    ) -> None:
        try:
            body = msgspec.json.decode(
                await response.read(), type=work.ErrorBody
            )
        except msgspec.DecodeError as error:
            raise aiohttp.ClientPayloadError('unusable refusal') from error
        kind = body.error.kind
        is_noted = work.LEAVING_HEADER in response.headers
        if kind is errors.ErrorKind.DRAINING and not is_noted:
            self._membership.mark_leaving(attempt.sidecar.name)
        if kind is errors.ErrorKind.CONTRACT_OUTDATED and self._on_outdated:
            await self._on_outdated(attempt.order.customer, attempt.sidecar)
        raise work.error_from_refusal(body.error)

    async def _post_and_ask(self, attempt: Attempt) -> aiohttp.ClientResponse:
        """Wait for the head of an answer, and ask where it stays.

        Raises
        ------
        RefusalError
            The attempt did not arrive, or the sidecar is silent and the
            request may leave it.
        """
        posting = asyncio.create_task(self._post('/run', attempt))
        wait_s = _ASK_AFTER_S
        finished = absent = 0
        try:
            while True:
                await asyncio.wait({posting}, timeout=wait_s)
                state = None
                if not posting.done():
                    state = await self._ask_progress(
                        attempt, only_asks=absent < _ABSENT_TO_VOID
                    )
                if posting.done():
                    return posting.result()
                if state is None:
                    self._leave_silent(attempt)
                if state is ledger.RunState.VOID:
                    raise self._not_arrived(attempt)
                finished += state is ledger.RunState.FINISHED
                if finished >= _FINISHED_TO_REATTACH:
                    raise aiohttp.ClientPayloadError('the link is silent')
                if state is ledger.RunState.FORGOTTEN:
                    absent += 1
                else:
                    wait_s = min(2 * wait_s, _MAX_ASK_AFTER_S)
        finally:
            posting.cancel()
            # Whoever asks for a void next relies on a closed connection.
            await asyncio.wait({posting})

    async def _ask_progress(
        self, attempt: Attempt, only_asks: bool
    ) -> ledger.RunState | None:
        """Return how far an attempt got; nothing from a silent sidecar."""
        # One question without a reply may be this process's own pause, in
        # which the time for the reply ran out; a second follows it.
        for _ in range(_UNANSWERED_TO_LEAVE):
            try:
                return await self.query_run_state(
                    attempt, only_asks=only_asks, timeout_s=_ASK_TIMEOUT_S
                )
            except errors.NoReplyError:
                continue
            except errors.LinkError:
                return ledger.RunState.FORGOTTEN
        return None

    def _leave_silent(self, attempt: Attempt) -> None:
        # A frozen sidecar keeps its connections and answers nothing, so
        # each request sent to it would wait until its deadline.  One that
        # may run twice goes elsewhere; any other waits on, as it may run
        # when the sidecar wakes up.
        name = attempt.sidecar.name
        self._ejector.record_unresponsive(name)
        if attempt.try_acquire_retry():
            self.cancel(attempt)
            raise _unknown(f'{name} is silent')

    def _not_arrived(self, attempt: Attempt) -> errors.RefusalError:
        # A link that is half open takes the request and passes nothing
        # on.  The sidecar's promise holds also if it arrives after all.
        name = attempt.sidecar.name
        self._ejector.record_failure(name)
        return errors.RefusalError(
            errors.ErrorKind.ATTEMPT_WITHDRAWN, f'has not arrived at {name}'
        )

    async def _check_answers(self, attempt: Attempt) -> None:
        # The first request after an ejection tries the sidecar.  To one
        # that was silent a question goes first: what is sent to a frozen
        # process may run later, and so could not go elsewhere.
        name = attempt.sidecar.name
        try:
            await self._ask_cancel(attempt)
        except errors.NoReplyError as error:
            self._ejector.record_unresponsive(name)
            raise errors.RefusalError(
                errors.ErrorKind.ATTEMPT_WITHDRAWN, f'{name} is silent'
            ) from error
        except errors.LinkError:
            return

    async def _void(self, attempt: Attempt, cause: Exception) -> None:
        """Return if the attempt has started; it can be taken up then.

        Raises
        ------
        RefusalError
            It did not run and never will, or nothing is known.
        """
        # A timeout proves nothing: a frozen sidecar may wake up and pass
        # the work on after the caller was told "not run".  Only its
        # promise not to does.
        name = attempt.sidecar.name
        try:
            state = await self.query_run_state(attempt)
        except errors.LinkError as error:
            self._membership.mark_suspect(name)
            raise _unknown(
                'the backend server does not say whether it ran'
            ) from error
        if state is ledger.RunState.VOID:
            self._ejector.record_failure(name)
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING, f'gave up on {name}'
            ) from cause
        if state is ledger.RunState.FORGOTTEN:
            raise _unknown('the sidecar was replaced') from cause

    async def _while_alive(
        self, attempt: Attempt, waiting: Coroutine[None, None, Found]
    ) -> Found:
        """Wait for as long as the sidecar has something to wait for.

        Raises
        ------
        LinkError
            It does not answer, or its answer does not come through.
        """
        # A link that takes bytes and passes none on would keep a caller
        # waiting for ever, as the sidecar itself is there.  The head of
        # a stream comes at once, that of a whole answer when its run is
        # over; after that silence can only be the link's.
        task = asyncio.create_task(waiting)
        silences = 0
        try:
            while True:
                done, _ = await asyncio.wait({task}, timeout=_SILENCE_S)
                if done:
                    return task.result()
                state = await self.query_run_state(attempt)
                if (
                    attempt.order.stream
                    or state is not ledger.RunState.STARTED
                ):
                    silences += 1
                if silences > 1:
                    raise errors.LinkError('the link is silent')
        finally:
            task.cancel()

    async def _send_cancel(self, attempt: Attempt) -> None:
        with contextlib.suppress(errors.LinkError):
            await self._ask_cancel(attempt)

    async def _ask_cancel(self, attempt: Attempt) -> None:
        sidecar = attempt.sidecar
        peer = self._peers.peer(sidecar.ip, sidecar.control_port)
        message = voiding.CancelRequest(attempt_id=attempt.attempt_id)
        await peer.ask(message, voiding.CancelReply, _CANCEL_TIMEOUT_S)


def _unknown(detail: str) -> errors.RefusalError:
    return errors.RefusalError(errors.ErrorKind.OUTCOME_UNKNOWN, detail)
