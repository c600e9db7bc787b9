"""Claims on idempotency keys.

A claim collects the votes of a quorum of a key's voters before its
request is sent to the backend server, so that at most one attempt with
the key runs.  Attempts that lose return the winner's answer.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

import structlog

from lacewingpitch import ballot as ballot_module
from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import idempotency
from lacewingpitch import live_list
from lacewingpitch import membership as membership_module
from lacewingpitch import runs
from lacewingpitch import voter as voter_module
from lacewingpitch import voter_link
from lacewingpitch import work

_WITHDRAW_TIMEOUT_S = 0.5
_MAX_WITHDRAW_ATTEMPTS = 3
_INITIAL_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.2
_MAX_ROUNDS = 12
_OUTCOME_POLL_S = 0.1
# Delay after which the voters beyond the quorum are asked as well.
_SPARE_VOTER_DELAY_S = 0.025
MAX_CACHED_ANSWER_BYTES = 64 << 10
MAX_CACHED_BYTES = 16 << 20
log = structlog.get_logger(__name__)

Verdict = voter_module.Verdict


class KeptAnswerError(errors.LacewingpitchError):
    """Ends an attempt with the answer of another one with the same key."""

    def __init__(self, answer: runs.WholeAnswer) -> None:
        super().__init__('answered by another attempt')
        self.answer = answer


@dataclasses.dataclass(frozen=True, slots=True)
class _ClaimRecord:
    state: voter_link.ClaimState
    changed_at_s: float


class Claims:
    """The claims that this sidecar has made, and their outcomes.

    Parameters
    ----------
    name
        Name of this instance.
    links
        Sends messages to voters and to the holders of other claims.
    window_s
        How long an outcome is kept, in seconds.
    """

    def __init__(
        self,
        name: str,
        links: voter_link.VoterLinks,
        membership: membership_module.Membership,
        clock: clock_module.Clock,
        window_s: float,
    ) -> None:
        self.name = name
        self.links = links
        self._membership = membership
        self._clock = clock
        self._window_s = window_s
        self._indexed_instances = membership.instances
        self._index = voter_module.VoterIndex(membership.instances)
        self._records: collections.OrderedDict[str, _ClaimRecord] = (
            collections.OrderedDict()
        )
        self._answers: collections.OrderedDict[str, runs.WholeAnswer] = (
            collections.OrderedDict()
        )
        self._cached_bytes = 0
        self._withdrawals: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def claim(
        self, order: work.WorkOrder, body: bytes
    ) -> AsyncIterator['Claim']:
        """Hold the claim of an attempt; withdraw it if it did not run."""
        claim = Claim(self, order, body)
        try:
            yield claim
        except errors.RefusalError as error:
            # "Not run" is reliable here: only this sidecar sends the
            # request to the backend server, and a withdrawn claim cannot
            # start.
            if error.outcome is errors.Outcome.NOT_RUN:
                claim.mark_not_run()
            raise
        finally:
            await claim.close()

    async def report_outcome(
        self, message: voter_link.OutcomeRequest
    ) -> voter_link.OutcomeReply:
        """Return the state of a claim, and its answer if it is cached."""
        record = self._records.get(message.claim_id)
        if record is None:
            return voter_link.OutcomeReply(
                state=voter_link.ClaimState.NOT_HELD
            )
        return voter_link.OutcomeReply(
            state=record.state, answer=self._answers.get(message.claim_id)
        )

    def voters(self, order: work.WorkOrder) -> voter_module.VoterSet:
        """Return the voters of an order's key in the newest list."""
        instances = self._membership.instances
        if instances is not self._indexed_instances:
            self._indexed_instances = instances
            self._index = voter_module.VoterIndex(instances)
        return self._index.select_voters(
            order.customer, order.idempotency_key, order.region
        )

    def record_state(
        self,
        claim_id: str,
        state: voter_link.ClaimState,
        answer: runs.WholeAnswer | None = None,
    ) -> None:
        """Record the state of a claim, and its answer unless it is large.

        A claim in state ``NOT_HELD`` is removed.
        """
        self._drop(claim_id)
        if state is voter_link.ClaimState.NOT_HELD:
            return
        self._records[claim_id] = _ClaimRecord(
            state, self._clock.monotonic_s()
        )
        if answer is not None and len(answer.body) <= MAX_CACHED_ANSWER_BYTES:
            self._answers[claim_id] = answer
            self._cached_bytes += len(answer.body)
        self._evict()

    async def withdraw(
        self, order: work.WorkOrder, ballot: ballot_module.Ballot
    ) -> None:
        """Release the votes of a round.

        Waits at most `_WITHDRAW_TIMEOUT_S`.  Withdrawals that take longer
        continue in the background.
        """
        voters = ballot.close()
        self.record_state(ballot.claim_id, voter_link.ClaimState.NOT_HELD)
        message = voter_module.WithdrawRequest(
            customer=order.customer,
            key=order.idempotency_key,
            claim_id=ballot.claim_id,
        )
        tasks = {
            asyncio.create_task(self._withdraw_from(instance, message))
            for instance in voters
        }
        self._withdrawals |= tasks
        for task in tasks:
            task.add_done_callback(self._withdrawals.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=_WITHDRAW_TIMEOUT_S)

    async def close(self) -> None:
        """Cancel the withdrawals in progress."""
        for task in self._withdrawals:
            task.cancel()

    async def _withdraw_from(
        self,
        instance: live_list.Instance,
        message: voter_module.WithdrawRequest,
    ) -> None:
        # A lost withdrawal blocks the key at one voter until the key
        # expires.  It cannot cause a request to run twice.
        for _ in range(_MAX_WITHDRAW_ATTEMPTS):
            try:
                await self.links.withdraw(instance, message)
                return
            except errors.LinkError as error:
                log.info(
                    'withdrawal not confirmed',
                    instance=instance.name,
                    error=str(error),
                )

    def _drop(self, claim_id: str) -> None:
        self._records.pop(claim_id, None)
        answer = self._answers.pop(claim_id, None)
        if answer is not None:
            self._cached_bytes -= len(answer.body)

    def _evict(self) -> None:
        oldest_s = self._clock.monotonic_s() - self._window_s
        while self._records:
            claim_id, record = next(iter(self._records.items()))
            if record.changed_at_s >= oldest_s:
                break
            self._drop(claim_id)
            if record.state is not voter_link.ClaimState.FINISHED:
                self._records[claim_id] = _ClaimRecord(
                    record.state, self._clock.monotonic_s()
                )
        while self._cached_bytes > MAX_CACHED_BYTES:
            _, answer = self._answers.popitem(last=False)
            self._cached_bytes -= len(answer.body)


class Claim:
    """The claim of one attempt on the idempotency key of its request.

    An order without a key needs no claim and may always start.
    """

    def __init__(
        self, claims: Claims, order: work.WorkOrder, body: bytes
    ) -> None:
        self._claims = claims
        self._order = order
        self._digest = idempotency.request_digest(
            order.method, order.path, body
        )
        self._ballot: ballot_module.Ballot | None = None
        self._has_started = False

    @contextlib.asynccontextmanager
    async def collecting_votes(self) -> AsyncIterator[None]:
        """Collect the votes while the body of the context waits for a turn.

        The context ends without an error only when the quorum is reached.

        Raises
        ------
        RefusalError
            Another attempt holds the key or may hold it, or the quorum
            cannot be reached.
        KeptAnswerError
            Another attempt has run, and its answer is known.
        """
        if not self._order.idempotency_key:
            yield
            return
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._collect())
                yield
        except BaseExceptionGroup as group_error:
            raise group_error.exceptions[0] from None

    def start(self) -> None:
        """Record that the request is sent to the backend server now.

        Raises
        ------
        RefusalError
            The claim does not have the votes of a quorum.
        """
        if not self._order.idempotency_key:
            return
        # A process that was frozen may get here long after the votes were
        # granted.  No voter grants the key to another claim unless this
        # one withdraws, so the claim holds while its round has not ended.
        if self._ballot is None or not self._ballot.is_won:
            raise errors.RefusalError(
                errors.ErrorKind.CLAIM_UNAVAILABLE, 'the claim is incomplete'
            )
        self._has_started = True
        self._claims.record_state(
            self._ballot.claim_id, voter_link.ClaimState.RUNNING
        )

    def record_answer(self, answer: runs.WholeAnswer | None) -> None:
        """Cache the answer for retries with the same key."""
        if self._ballot is None or answer is None:
            return
        self._claims.record_state(
            self._ballot.claim_id, voter_link.ClaimState.FINISHED, answer
        )

    def mark_not_run(self) -> None:
        """Record proof that the request did not run."""
        self._has_started = False

    async def close(self) -> None:
        """Withdraw the claim unless the request may have run."""
        if self._ballot is None:
            return
        if not self._has_started:
            await self._claims.withdraw(self._order, self._ballot)
            return
        reported = await self._claims.report_outcome(
            voter_link.OutcomeRequest(claim_id=self._ballot.claim_id)
        )
        if reported.state is voter_link.ClaimState.RUNNING:
            self._claims.record_state(
                self._ballot.claim_id, voter_link.ClaimState.FINISHED
            )

    async def _collect(self) -> None:
        try:
            async with asyncio.timeout(self._order.deadline_s):
                await self._run_rounds()
        except TimeoutError as error:
            raise _key_in_use_error(
                'a request with this key is running'
            ) from error

    async def _run_rounds(self) -> None:
        for number in range(_MAX_ROUNDS):
            ballot = await self._run_round()
            if ballot.is_won:
                log.info(
                    'claimed',
                    request_id=self._order.request_id,
                    round=number + 1,
                )
                return
            competing = ballot.competing_claim()
            self._ballot = None
            await self._claims.withdraw(self._order, ballot)
            if competing is None:
                raise ballot.refusal()
            await self._check_competing_claim(competing)
            # If claims retried at the same time, they would split the
            # votes again.
            longest_s = min(_INITIAL_BACKOFF_S * 2**number, _MAX_BACKOFF_S)
            await asyncio.sleep(random.uniform(0, longest_s))
        raise _key_in_use_error('another attempt holds this key')

    async def _run_round(self) -> ballot_module.Ballot:
        voters = self._claims.voters(self._order)
        ballot = self._ballot = ballot_module.Ballot(voters)
        self._claims.record_state(
            ballot.claim_id, voter_link.ClaimState.CLAIMING
        )
        request = voter_module.VoteRequest(
            customer=self._order.customer,
            key=self._order.idempotency_key,
            region=self._order.region,
            claim_id=ballot.claim_id,
            holder=self._claims.name,
            digest=self._digest,
            voters=tuple(i.name for i in voters.instances),
            quorum=voters.quorum,
        )
        await self._collect_votes(ballot, request)
        return ballot

    async def _collect_votes(
        self, ballot: ballot_module.Ballot, request: voter_module.VoteRequest
    ) -> None:
        # This sidecar's own vote needs no message, so it is asked first.
        voters = sorted(
            ballot.voters.instances, key=lambda i: i.name != self._claims.name
        )
        quorum = ballot.voters.quorum
        to_ask, reserve = voters[:quorum], voters[quorum:]
        ballot.mark_unasked(reserve)
        tasks: set[asyncio.Task[None]] = set()
        try:
            while not (ballot.is_won or ballot.is_lost):
                tasks |= {
                    asyncio.create_task(
                        self._request_vote(ballot, instance, request)
                    )
                    for instance in to_ask
                }
                to_ask = []
                done, tasks = await asyncio.wait(
                    tasks,
                    timeout=_SPARE_VOTER_DELAY_S if reserve else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    task.result()
                # If a voter is slow, unreachable or refuses, the voters in
                # reserve are asked too, so that the claim does not depend
                # on it.
                if not done or ballot.has_failed_reply:
                    ballot.mark_unasked(())
                    to_ask, reserve = reserve, []
        finally:
            for task in tasks:
                task.cancel()

    async def _request_vote(
        self,
        ballot: ballot_module.Ballot,
        instance: live_list.Instance,
        request: voter_module.VoteRequest,
    ) -> None:
        try:
            reply = await self._claims.links.vote(instance, request)
        except errors.LinkError:
            ballot.record_reply(instance.name, None)
            return
        ballot.record_reply(instance.name, reply)

    async def _check_competing_claim(
        self, competing: voter_module.VoteReply
    ) -> None:
        """Wait while the competing claim's request runs.

        Returns if that claim has been withdrawn or may still fail.

        Raises
        ------
        RefusalError
            The request of the competing claim ran, or may have run.
        KeptAnswerError
            It ran, and its answer is known.
        """
        while True:
            try:
                reply = await self._claims.links.outcome(
                    competing.holder, competing.claim_id
                )
            except errors.LinkError as error:
                raise _key_in_use_error(
                    'the instance that holds this key does not answer'
                ) from error
            if reply.answer is not None:
                raise KeptAnswerError(reply.answer)
            if reply.state is voter_link.ClaimState.FINISHED:
                raise _key_in_use_error(
                    'a request with this key has already run'
                )
            if reply.state is not voter_link.ClaimState.RUNNING:
                return
            await asyncio.sleep(_OUTCOME_POLL_S)


def _key_in_use_error(reason: str) -> errors.RefusalError:
    return errors.RefusalError(
        errors.ErrorKind.KEY_IN_USE,
        f'{reason}; its outcome is not known here',
    )
