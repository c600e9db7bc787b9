"""Forwarding of requests to backend servers, with retries."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import contextlib
import itertools
import random

import structlog

from lacewingpitch import abandoned_runs
from lacewingpitch import adapter_versions
from lacewingpitch import answer_reading
from lacewingpitch import attempt_failure
from lacewingpitch import attempt_refusals
from lacewingpitch import attempt_turns
from lacewingpitch import backend_call
from lacewingpitch import clock as clock_module
from lacewingpitch import crash_evidence
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import event_splitter
from lacewingpitch import plain_server_selector
from lacewingpitch import request_end
from lacewingpitch import request_history
from lacewingpitch import retry_charges
from lacewingpitch import server_gate
from lacewingpitch import server_limits
from lacewingpitch import service_admission
from lacewingpitch import service_balancer
from lacewingpitch import service_budgets
from lacewingpitch import standby_turn
from lacewingpitch import stream_sources
from lacewingpitch import suspects as suspects_module
from lacewingpitch import turn_client
from lacewingpitch import turn_spec

# Servers that accept no connection do not count as attempts.  More than these
# would only use up the caller's time.
_MAX_UNREACHED = 3
# Bounds the length of a log line.
_MAX_LOGGED_PARTS = 16
_MS_PER_S = 1000
_OK = 200
log = structlog.get_logger(__name__)


class RequestForwarder:
    """Sends each request to backend servers until it has a final answer.

    A request that may run at most once is retried only if the last backend
    server reported that it did not run the request.

    Parameters
    ----------
    versions
        Minimum versions of adapters that requests must run on.
    suspects
        Tracks requests that crash backend servers.
    limits
        Limits that the backend servers name.
    gate
        Tells which servers must get no requests of this entry now.
    admission
        Decides which requests may be sent to a plain service; without it,
        all may.
    streams
        Reads the events of streams; directly if ``None``.
    wait_until_informed
        Waits until this process knows the crashes that others have seen;
        it knows them always if ``None``.
    abandoned
        Follows attempts whose callers leave; nobody does if ``None``.
    """

    def __init__(
        self,
        client: backend_call.BackendClient,
        turns: turn_client.TurnClient,
        services: service_balancer.ServiceBalancer,
        ejector: ejection.Ejector,
        budgets: service_budgets.ServiceBudgets,
        versions: adapter_versions.AdapterVersions,
        clock: clock_module.Clock,
        source: random.Random,
        suspects: suspects_module.Suspects,
        limits: server_limits.ServerLimits,
        gate: server_gate.ServerGate,
        admission: service_admission.ServiceAdmission | None = None,
        streams: stream_sources.StreamSource | None = None,
        wait_until_informed: Callable[[], Awaitable[None]] | None = None,
        abandoned: abandoned_runs.AbandonedRuns | None = None,
    ) -> None:
        self._streams = streams or stream_sources.DirectStreams()
        self._crash_evidence = crash_evidence.CrashEvidence(
            suspects, clock, abandoned
        )
        self._gate = gate
        self._plain_servers = plain_server_selector.PlainServerSelector(
            services,
            suspects.record,
            limits,
            gate,
            admission,
        )
        self._clock = clock
        self._client = client
        self._turns = attempt_turns.AttemptTurns(
            turns,
            self._plain_servers,
            versions,
            ejector,
            clock,
            wait_until_informed or _is_informed,
            gate,
        )
        self._services = services
        self._ejector = ejector
        self._budgets = budgets
        self._random = source
        self._retry_counts: collections.Counter[str] = collections.Counter()

    @property
    def retry_counts(self) -> collections.Counter[str]:
        """Return how often requests were sent again, by service."""
        return self._retry_counts + self._turns.moved_counts

    async def forward(
        self,
        request: backend_call.CallerRequest,
        delivery: backend_call.Delivery,
    ) -> request_history.RequestHistory:
        """Deliver the answer to a request.

        Raises
        ------
        RefusalError
            There is no complete answer; the refusal says whether the
            request may have run.  If `delivery` has begun, its kind is
            ``ANSWER_CUT``.
        """
        history = request_history.RequestHistory(
            event_splitter.EventSplitter(request.last_event_id),
            retry_charges.RetryCharges(self._budgets, request.request_id),
        )
        services = request.route.service_order(self._random)
        self._budgets.deposit(services[0])
        left_s = request.deadline_at_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self._attempt_until_done(
                    request, services, history, delivery
                )
        except TimeoutError as error:
            refusal = errors.RefusalError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                'the deadline of the request has passed',
                retry_after_s=attempt_refusals.TRANSIENT_RETRY_S,
            )
            raise history.combined_refusal(
                refusal, delivery.has_begun
            ) from error
        except errors.RefusalError as error:
            self._crash_evidence.log_if_barred(request, error)
            raise history.combined_refusal(
                error, delivery.has_begun
            ) from error
        except asyncio.CancelledError as error:
            log.info(
                request_end.cancellation_event(error),
                request_id=request.request_id,
                backend_servers=history.servers,
                turn_wait_ms=round(history.turn_wait_s * _MS_PER_S),
                events=history.splitter.event_count,
                longest_gap_ms=round(history.longest_gap_s * _MS_PER_S),
            )
            raise
        finally:
            history.charges.refund()
        return history

    async def _attempt_until_done(
        self,
        request: backend_call.CallerRequest,
        services: tuple[str, ...],
        history: request_history.RequestHistory,
        delivery: backend_call.Delivery,
    ) -> None:
        failure: attempt_failure.AttemptFailure | None = None
        standby: standby_turn.StandbyTurn | None = None
        async with contextlib.AsyncExitStack() as standbys:
            while True:
                async with contextlib.AsyncExitStack() as exits:
                    turn = await self._turns.next_turn(
                        request, services, history, standby, exits
                    )
                    service = turn.server.service
                    if failure is None and service != services[0]:
                        self._budgets.deposit(service)
                    if failure and not history.charges.try_move(service):
                        raise failure.refusal
                    standby = self._turns.new_standby(
                        request, services, history, turn
                    )
                    standbys.push_async_callback(standby.close)
                    failure = await self._attempt(
                        request, turn, history, delivery, standby
                    )
                if failure is None:
                    return
                # The turn has ended, and its slot is free for others.
                if standby.is_left or self._should_retry(
                    request, services[0], history, failure
                ):
                    history.splitter.drop_partial_event()
                    continue
                if failure.answer is None or delivery.has_begun:
                    raise self._final_refusal(services, failure.refusal)
                history.status = failure.answer.status
                await delivery.send_whole(failure.answer, failure.body)
                return

    def _final_refusal(
        self, services: tuple[str, ...], refusal: errors.RefusalError
    ) -> errors.RefusalError:
        """Return a refusal whose caller does not return to closed servers."""
        if refusal.kind is not errors.ErrorKind.QUEUE_FULL:
            return refusal
        servers = [
            server
            for service in services
            for server in self._services.servers(service)
        ]
        if any(self._gate.is_open(server) for server in servers):
            return refusal
        return self._gate.refusal(servers) or refusal

    async def _attempt(
        self,
        request: backend_call.CallerRequest,
        turn: turn_spec.Turn,
        history: request_history.RequestHistory,
        delivery: backend_call.Delivery,
        standby: standby_turn.StandbyTurn,
    ) -> attempt_failure.AttemptFailure | None:
        """Send the request once; return ``None`` if it is answered."""
        name = turn.server.name
        history.servers.append(name)
        history.sent_count += 1
        history.run_began_at_s = 0.0
        history.is_run_recorded = False
        history.charges.start_attempt()
        self._ejector.record_start(name)
        call = backend_call.BackendCall(
            request=request,
            server=turn.server,
            adapter_version=turn.version,
            last_event_id=history.splitter.last_id,
            deadline_at_s=request.deadline_at_s,
            is_isolated=turn.is_isolated,
            is_retry=history.may_have_run,
        )
        started_s = self._clock.monotonic_s()
        may_have_run_before = history.may_have_run
        # From here on the request may run, also if its deadline passes or
        # its caller disconnects before the answer arrives.
        history.may_have_run = True
        delivery.record_sent()
        try:
            await self._call(call, history, delivery, standby)
        except (
            backend_call.NotSentError,
            backend_call.WithheldError,
            backend_call.NotRunError,
        ) as error:
            history.may_have_run = may_have_run_before
            if not isinstance(error, backend_call.NotRunError):
                history.charges.record_not_arrived()
            return self._record_failure(request, turn, history, error)
        except errors.PlatformError as error:
            return self._record_failure(request, turn, history, error)
        except asyncio.CancelledError:
            self._crash_evidence.record_abandoned(
                request, turn.server, history
            )
            raise
        finally:
            self._ejector.record_end(name)
        self._ejector.record_success(name)
        self._crash_evidence.record_answer(request, turn.server, history)
        self._plain_servers.record_answer(
            turn.server, self._clock.monotonic_s() - started_s
        )
        return None

    async def _call(
        self,
        call: backend_call.BackendCall,
        history: request_history.RequestHistory,
        delivery: backend_call.Delivery,
        standby: standby_turn.StandbyTurn,
    ) -> None:
        request = call.request
        with contextlib.closing(
            answer_reading.first_byte_timeout(request, standby)
        ) as timeout:
            async with contextlib.AsyncExitStack() as exits:
                with answer_reading.raise_on_timeout(timeout):
                    answer = await exits.enter_async_context(
                        self._client.send(call)
                    )
                history.is_framed = answer.is_framed
                if request.route.is_stream and answer.status == _OK:
                    await self._forward_stream(
                        call, answer, history, delivery, standby
                    )
                    return
                await delivery.make_room(answer.body_bytes)
                with answer_reading.raise_on_timeout(timeout):
                    body = await answer_reading.read_whole(answer)
        attempt_failure.check_status(answer, body, delivery)
        history.status = answer.status
        await delivery.send_whole(answer, body)

    async def _forward_stream(
        self,
        call: backend_call.BackendCall,
        answer: backend_call.BackendAnswer,
        history: request_history.RequestHistory,
        delivery: backend_call.Delivery,
        standby: standby_turn.StandbyTurn,
    ) -> None:
        if history.first_answer is None or not delivery.has_begun:
            history.first_answer = answer
        splitter = history.splitter
        async with self._streams.open(
            call, answer, history, standby
        ) as stream:
            async for events in stream:
                history.record_events(call.request, self._clock.monotonic_s())
                self._crash_evidence.record_events(call, history)
                if not delivery.has_begun:
                    await delivery.begin(history.first_answer)
                await delivery.write(events)
        if not splitter.is_at_event_end:
            raise backend_call.AnswerLostError('the last event is incomplete')
        if not answer.is_framed and not _has_begun(call, history):
            raise backend_call.AnswerLostError('the stream has no event')
        if not delivery.has_begun:
            await delivery.begin(history.first_answer)
        history.status = history.first_answer.status
        await delivery.finish()

    def _record_failure(
        self,
        request: backend_call.CallerRequest,
        turn: turn_spec.Turn,
        history: request_history.RequestHistory,
        error: errors.PlatformError,
    ) -> attempt_failure.AttemptFailure:
        """Record a failed attempt; return the failure to report.

        A broken reused connection and a request that did not run are not
        counted against the backend server.  A timeout was counted when the
        search for another one began.
        """
        name = turn.server.name
        log.info(
            'attempt failed',
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            backend_server=name,
            attempt=history.sent_count,
            error=type(error).__name__,
            detail=str(error),
            events=history.splitter.event_count,
            shared_parts=list(
                itertools.islice(request.shared_parts, _MAX_LOGGED_PARTS)
            ),
        )
        self._crash_evidence.record_failure(
            request, turn.server, history, error
        )
        refusal = attempt_refusals.refusal_of(error)
        if isinstance(error, backend_call.NotSentError):
            history.sent_count -= 1
            history.unreached_count += 1
            self._ejector.record_unresponsive(name)
        elif isinstance(error, backend_call.WithheldError):
            history.sent_count -= 1
        elif isinstance(error, backend_call.NotRunError):
            self._plain_servers.record_full(turn.server)
        elif not isinstance(
            error, backend_call.StaleConnectionError
        ) and not backend_call.is_timeout(error):
            self._ejector.record_failure(name)
        if isinstance(error, attempt_failure.FailedAnswerError):
            return attempt_failure.AttemptFailure(
                refusal, error.answer, error.body
            )
        return attempt_failure.AttemptFailure(refusal)

    def _should_retry(
        self,
        request: backend_call.CallerRequest,
        service: str,
        history: request_history.RequestHistory,
        failure: attempt_failure.AttemptFailure,
    ) -> bool:
        """Whether to send the request to another backend server."""
        route = request.route
        refusal = failure.refusal
        if refusal.outcome is not errors.Outcome.NOT_RUN:
            if not route.is_idempotent:
                return False
        if history.sent_count >= route.max_attempts:
            return False
        if refusal.kind is errors.ErrorKind.SERVER_BACKOFF:
            # Nothing was sent, and this server is not chosen again.
            return True
        if refusal.kind is errors.ErrorKind.NO_BACKEND_SERVER:
            return history.unreached_count < _MAX_UNREACHED
        if not history.charges.try_charge(service, history.sent_count + 1):
            return False
        self._retry_counts[service] += 1
        return True


async def _is_informed() -> None:
    """Return at once."""


def _has_begun(
    call: backend_call.BackendCall, history: request_history.RequestHistory
) -> bool:
    """Whether the current attempt has brought an event, or needs none."""
    return bool(history.run_began_at_s or call.last_event_id)
