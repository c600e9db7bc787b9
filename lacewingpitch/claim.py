"""Claiming an idempotency key before its request is passed on."""

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
_SPARE_VOTER_DELAY_S = 0.025
MAX_KEPT_ANSWER_BYTES = 64 << 10
MAX_KEPT_BYTES = 16 << 20
log = structlog.get_logger(__name__)

Verdict = voter_module.Verdict


class KeptAnswerError(errors.LacewingpitchError):
    """Ends an attempt whose key was won, and answered, by another."""

    def __init__(self, answer: runs.WholeAnswer) -> None:
        super().__init__('answered by another attempt')
        self.answer = answer


@dataclasses.dataclass(frozen=True, slots=True)
class _ClaimRecord:
    state: voter_link.ClaimState
    changed_at_s: float


class Claims:
    """The claims that this sidecar made, and what came of them.

    Parameters
    ----------
    name
        This instance.
    links
        Reaches voters and other holders.
    window_s
        How long an outcome is kept.
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
        self._kept_bytes = 0
        self._withdrawals: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def claim(
        self, order: work.WorkOrder, body: bytes
    ) -> AsyncIterator['Claim']:
        """Hold the claim of an attempt; give it back if it did not run."""
        found = Claim(self, order, body)
        try:
            yield found
        except errors.RefusalError as error:
            # "Not run" is proof only as this sidecar says it: it alone
            # passes the work on, and a claim given back cannot start.
            if error.outcome is errors.Outcome.NOT_RUN:
                found.mark_not_run()
            raise
        finally:
            await found.close()

    async def report_outcome(
        self, message: voter_link.OutcomeRequest
    ) -> voter_link.OutcomeReply:
        """Answer what came of a claim."""
        found = self._records.get(message.claim_id)
        if found is None:
            return voter_link.OutcomeReply(
                state=voter_link.ClaimState.NOT_HELD
            )
        return voter_link.OutcomeReply(
            state=found.state, answer=self._answers.get(message.claim_id)
        )

    def voters(self, order: work.WorkOrder) -> voter_module.VoterSet:
        """Return the voters of an order's key by the newest list."""
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
        """Remember how far a claim got."""
        self._drop(claim_id)
        if state is voter_link.ClaimState.NOT_HELD:
            return
        self._records[claim_id] = _ClaimRecord(
            state, self._clock.monotonic_s()
        )
        if answer is not None and len(answer.body) <= MAX_KEPT_ANSWER_BYTES:
            self._answers[claim_id] = answer
            self._kept_bytes += len(answer.body)
        self._evict()

    async def withdraw(
        self, order: work.WorkOrder, ballot: ballot_module.Ballot
    ) -> None:
        """Give the votes of a round back; wait for a short while only."""
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
        """Stop giving votes back."""
        for task in self._withdrawals:
            task.cancel()

    async def _withdraw_from(
        self,
        instance: live_list.Instance,
        message: voter_module.WithdrawRequest,
    ) -> None:
        # A lost withdrawal blocks the key at one voter until the window
        # has passed; it never lets anything run twice.
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
            self._kept_bytes -= len(answer.body)

    def _evict(self) -> None:
        oldest_s = self._clock.monotonic_s() - self._window_s
        while self._records:
            claim_id, found = next(iter(self._records.items()))
            if found.changed_at_s >= oldest_s:
                break
            self._drop(claim_id)
            if found.state is not voter_link.ClaimState.FINISHED:
                self._records[claim_id] = _ClaimRecord(
                    found.state, self._clock.monotonic_s()
                )
        while self._kept_bytes > MAX_KEPT_BYTES:
            _, answer = self._answers.popitem(last=False)
            self._kept_bytes -= len(answer.body)


class Claim:
    """The claim of one attempt on its request's idempotency key.

    An order without a key has nothing to claim and always may start.
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
        """Collect the votes while the block waits for its turn.

        Leaves only with the claim complete.

        Raises
        ------
        RefusalError
            Another attempt holds the key, or it cannot be known.
        KeptAnswerError
            Another attempt ran, and its answer is known.
        """
        if not self._order.idempotency_key:
            yield
            return
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._collect())
                yield
        except BaseExceptionGroup as found:
            raise found.exceptions[0] from None

    def start(self) -> None:
        """Record that the request is passed on now."""
        if not self._order.idempotency_key:
            return
        # A process that was frozen may come here long after; votes do
        # not lapse, so what counts is only that the round is not over.
        if self._ballot is None or not self._ballot.is_won:
            raise errors.RefusalError(
                errors.ErrorKind.CLAIM_UNAVAILABLE, 'the claim is incomplete'
            )
        self._has_started = True
        self._claims.record_state(
            self._ballot.claim_id, voter_link.ClaimState.RUNNING
        )

    def record_answer(self, answer: runs.WholeAnswer | None) -> None:
        """Keep the answer for a caller that asks again."""
        if self._ballot is None or answer is None:
            return
        self._claims.record_state(
            self._ballot.claim_id, voter_link.ClaimState.FINISHED, answer
        )

    def mark_not_run(self) -> None:
        """Take note of proof that the request did not run."""
        self._has_started = False

    async def close(self) -> None:
        """Give the votes back unless the request was passed on."""
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
            holder = ballot.competing_claim()
            self._ballot = None
            await self._claims.withdraw(self._order, ballot)
            if holder is None:
                raise ballot.refusal()
            await self._check_competing_claim(holder)
            # Claims that split the votes try again at random times, else
            # they would split them again.
            longest_s = min(_INITIAL_BACKOFF_S * 2**number, _MAX_BACKOFF_S)
            await asyncio.sleep(random.uniform(0, longest_s))
        raise _key_in_use_error('another sending holds this key')

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
        # This sidecar's own vote costs no message.
        voters = sorted(
            ballot.voters.instances, key=lambda i: i.name != self._claims.name
        )
        quorum = ballot.voters.quorum
        asking, spared = voters[:quorum], voters[quorum:]
        ballot.mark_unasked(spared)
        tasks: set[asyncio.Task[None]] = set()
        try:
            while not (ballot.is_won or ballot.is_lost):
                tasks |= {
                    asyncio.create_task(
                        self._request_vote(ballot, instance, request)
                    )
                    for instance in asking
                }
                asking = []
                done, tasks = await asyncio.wait(
                    tasks,
                    timeout=_SPARE_VOTER_DELAY_S if spared else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    task.result()
                # A voter that is frozen or refuses must not cost the
                # claim: the votes that were spared are asked for then.
                if not done or ballot.has_failed_reply:
                    ballot.mark_unasked(())
                    asking, spared = spared, []
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
        self, holder: voter_module.VoteReply
    ) -> None:
        """Return if the other claim came to nothing, or still may."""
        while True:
            try:
                reply = await self._claims.links.outcome(
                    holder.holder, holder.claim_id
                )
            except errors.LinkError as error:
                raise _key_in_use_error(
                    'the holder of this key does not answer'
                ) from error
            if reply.answer is not None:
                raise KeptAnswerError(reply.answer)
            if reply.state is voter_link.ClaimState.FINISHED:
                raise _key_in_use_error('a request with this key ran before')
            if reply.state is not voter_link.ClaimState.RUNNING:
                return
            await asyncio.sleep(_OUTCOME_POLL_S)


def _key_in_use_error(reason: str) -> errors.RefusalError:
    return errors.RefusalError(
        errors.ErrorKind.KEY_IN_USE,
        f'{reason}; its outcome is not known here',
    )
