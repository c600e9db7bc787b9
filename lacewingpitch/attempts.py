"""Execution of attempts at a sidecar, from claim to answer.

An attempt is one try to execute a request at a sidecar.  Its entry
instance sends it as a `WorkOrder`.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib

import msgspec

from lacewingpitch import claim as claim_module
from lacewingpitch import errors
from lacewingpitch import fair_queue
from lacewingpitch import ledger
from lacewingpitch import node as node_module
from lacewingpitch import runner as runner_module
from lacewingpitch import runs
from lacewingpitch import settings as settings_module
from lacewingpitch import turn_queue
from lacewingpitch import voiding
from lacewingpitch import voter as voter_module
from lacewingpitch import voter_link
from lacewingpitch import work

# Queued requests whose adapters may be loaded ahead of their turn, as a
# ratio to the requests that an engine runs at once.
LOOKAHEAD_RATIO = 1.0


class Attempts:
    """Claims the key, waits for a turn and runs the request of each attempt.

    It records whether each attempt has run, and answers the requests of
    entry instances and other sidecars for these records.

    Parameters
    ----------
    settings
        Validated settings of the sidecar.
    node
        Links, peers and contracts of the process.
    """

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        node: node_module.Node,
    ) -> None:
        self._settings = settings
        self._node = node
        self._ledger = ledger.RunLedger(node.clock)
        self._runs = runs.Runs()
        self._answers = runs.AnswerCache(node.clock)
        self._voter = _make_voter(settings, node)
        self._claims = _make_claims(settings, node, self._voter)
        self.queue = self._make_queue()
        self._runner: runner_module.Runner

    def serve(self, runner: runner_module.Runner) -> None:
        """Execute attempts with `runner`, and handle messages of peers."""
        self._runner = runner
        control = self._node.control
        control.handle(voiding.VoidRequest, self._void)
        control.handle(voiding.CancelRequest, self._cancel)
        control.handle(voter_link.OutcomeRequest, self._claims.report_outcome)
        voter_module.serve_votes(
            self._voter, control, self._node.membership.changes
        )

    async def close(self) -> None:
        """Cancel the withdrawals of claims in progress."""
        await self._claims.close()

    async def wait_idle(self) -> None:
        """Wait until no run is in progress."""
        await self._runs.wait_idle()

    async def run(
        self,
        order: work.WorkOrder,
        delivery: runs.Delivery,
        check_open: Callable[[], None],
    ) -> runs.WholeAnswer | None:
        """Run an attempt; deliver a stream, or return a complete answer.

        Parameters
        ----------
        check_open
            Raises if the sidecar no longer accepts attempts.

        Raises
        ------
        RefusalError
            There is no complete answer.  The error says whether the
            attempt ran.
        """
        attempt_id = voiding.attempt_id(order.request_id, order.attempt)
        self._ledger.admit(attempt_id)
        try:
            check_open()
            self._node.contract_registry.check_revision(
                order.customer, order.contract_revision
            )
            body = await delivery.read_body(self._settings.body_timeout_s)
        except BaseException:
            self._ledger.close(attempt_id)
            raise
        task = self._runs.start(
            attempt_id,
            order.repeatable,
            self._execute(attempt_id, order, body, delivery),
        )
        try:
            return await self._wait_for_run(attempt_id, task, delivery)
        except asyncio.CancelledError:
            if self._ledger.state(attempt_id) is ledger.RunState.QUEUED:
                task.cancel()
            raise

    async def resume(
        self, order: work.WorkOrder, delivery: runs.Delivery
    ) -> runs.WholeAnswer | None:
        """Deliver the answer of an attempt whose connection broke.

        Raises
        ------
        RefusalError
            The answer is no longer available.
        """
        attempt_id = voiding.attempt_id(order.request_id, order.attempt)
        answer = self._answers.get(attempt_id)
        run = self._runs.find(attempt_id)
        if answer is None and not order.stream and run is not None:
            run.cancel_expiry()
            answer = await self._runs.wait_for(attempt_id, run.tasks[0])
        if answer is not None:
            return answer
        if not order.stream:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                'the answer is no longer available',
            )
        self._ledger.resume(attempt_id)
        task = self._runs.start(
            attempt_id, order.repeatable, self._resume_stream(order, delivery)
        )
        return await self._wait_for_run(attempt_id, task, delivery)

    async def _wait_for_run(
        self,
        attempt_id: str,
        task: asyncio.Task[runs.WholeAnswer | None],
        delivery: runs.Delivery,
    ) -> runs.WholeAnswer | None:
        task.add_done_callback(lambda _: self._ledger.close(attempt_id))
        try:
            return await self._runs.wait_for(attempt_id, task)
        except asyncio.CancelledError:
            delivery.is_broken = True
            raise

    async def _execute(
        self,
        attempt_id: str,
        order: work.WorkOrder,
        body: bytes,
        delivery: runs.Delivery,
    ) -> runs.WholeAnswer | None:
        try:
            answer = await self._claim_and_run(
                attempt_id, order, body, delivery
            )
        except claim_module.KeptAnswerError as error:
            self._ledger.close(attempt_id, did_not_run=True)
            return error.answer
        except errors.RefusalError as error:
            did_not_run = error.outcome is errors.Outcome.NOT_RUN
            self._ledger.close(attempt_id, did_not_run)
            raise
        if answer is not None:
            self._answers.put(attempt_id, answer)
        return answer

    async def _claim_and_run(
        self,
        attempt_id: str,
        order: work.WorkOrder,
        body: bytes,
        delivery: runs.Delivery,
    ) -> runs.WholeAnswer | None:
        async with (
            self._claims.claim(order, body) as claim,
            contextlib.AsyncExitStack() as exits,
        ):
            async with claim.collecting_votes():
                await exits.enter_async_context(self._hold_turn(order))
            # The contract may have been revoked while the request waited.
            # The request must not run then.
            self._node.contract_registry.check_revoked(order.customer)
            claim.start()
            self._ledger.start(attempt_id)
            answer = await self._runner.run(order, body, delivery)
            claim.record_answer(answer)
            return answer

    async def _resume_stream(
        self, order: work.WorkOrder, delivery: runs.Delivery
    ) -> runs.WholeAnswer | None:
        try:
            async with self._runner.prepare(order):
                await self._runner.resume(order, delivery)
        except errors.RefusalError as error:
            # The engine may have restarted without the adapter, and its
            # load be refused as "not run".  Since the attempt has started,
            # passing that outcome on would let it run again elsewhere.
            if error.outcome is not errors.Outcome.NOT_RUN:
                raise
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f'the stream cannot be resumed: {error.detail}',
            ) from error
        return None

    @contextlib.asynccontextmanager
    async def _hold_turn(self, order: work.WorkOrder) -> AsyncIterator[None]:
        async with contextlib.AsyncExitStack() as exits:
            await self._acquire_turn(exits, order)
            yield

    async def _acquire_turn(
        self, exits: contextlib.AsyncExitStack, order: work.WorkOrder
    ) -> None:
        # The queue reservation is made before the adapter is loaded, so
        # that a request without a reservation does not keep an adapter
        # from eviction, and adapters are loaded in the order of the queue.
        start_by_s = self._node.clock.monotonic_s() + order.deadline_s
        try:
            async with asyncio.timeout(order.deadline_s):
                reservation = await exits.enter_async_context(
                    self.queue.reserve(order)
                )
                left_s = start_by_s - self._node.clock.monotonic_s()
                order = msgspec.structs.replace(order, deadline_s=left_s)
                await exits.enter_async_context(self._runner.prepare(order))
                await exits.enter_async_context(reservation.turn())
        except TimeoutError as error:
            raise errors.RefusalError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                'no turn before the deadline',
            ) from error

    def _make_queue(self) -> turn_queue.TurnQueue:
        backend = self._settings.backend_server
        lookahead_count = 0
        if isinstance(backend, settings_module.EngineSettings):
            lookahead_count = round(backend.max_running * LOOKAHEAD_RATIO)
        return turn_queue.TurnQueue(
            backend.max_running,
            lookahead_count,
            self._settings.max_queued,
            fair_queue.FairQueue(
                backend.max_running,
                lambda order: self._runner.is_prepared(order),
                self._node.clock,
            ),
            self._node.clock,
            lambda order: self._runner.expected_wait_s(order),
        )

    async def _void(self, message: voiding.VoidRequest) -> voiding.VoidReply:
        # An erroneous list may pair the work port of another sidecar with
        # the control port of this one.  If this sidecar voided an attempt
        # that the other one has, the caller would receive "not run" for a
        # request that runs.
        if message.instance not in ('', self._settings.instance):
            return voiding.VoidReply(state=ledger.RunState.FORGOTTEN)
        if message.only_asks:
            known = self._ledger.state(message.attempt_id)
            return voiding.VoidReply(state=known or ledger.RunState.FORGOTTEN)
        state = self._ledger.void(message.attempt_id)
        return voiding.VoidReply(state=state)

    async def _cancel(
        self, message: voiding.CancelRequest
    ) -> voiding.CancelReply:
        return voiding.CancelReply(
            cancelled=self._runs.cancel(message.attempt_id)
        )


def _make_voter(
    settings: settings_module.SidecarSettings, node: node_module.Node
) -> voter_module.Voter:
    return voter_module.Voter(
        settings.instance,
        node.clock,
        window_s=settings.key_window_s,
        skew_s=settings.clock_skew_s,
        list_lag_s=settings.list_lag_s,
        list_age_s=lambda: node.membership.age_s,
        max_votes=settings.max_votes,
    )


def _make_claims(
    settings: settings_module.SidecarSettings,
    node: node_module.Node,
    voter: voter_module.Voter,
) -> claim_module.Claims:
    links = voter_link.PeerVoterLinks(
        settings.instance, voter, node.peers, node.membership
    )
    return claim_module.Claims(
        settings.instance,
        links,
        node.membership,
        node.clock,
        settings.key_window_s,
    )
