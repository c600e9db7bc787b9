"""Claiming an idempotency key before its request is passed on."""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import enum
import random
from typing import Protocol

import structlog
import uuid_utils

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import idempotency
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import membership as membership_module
from lacewingpitch import runs
from lacewingpitch import voter as voter_module
from lacewingpitch import work

_ASK_TIMEOUT_S = 1.0
_WITHDRAW_WAIT_S = 0.5
_WITHDRAW_TRIES = 3
_FIRST_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.2
_MAX_ROUNDS = 12
_RUN_POLL_S = 0.1
MAX_KEPT_ANSWER_BYTES = 64 << 10
MAX_KEPT_BYTES = 16 << 20
log = structlog.get_logger(__name__)

Verdict = voter_module.Verdict


class ClaimState(enum.StrEnum):
    """How far a claim got at the sidecar that made it."""

    CLAIMING = 'claiming'
    RUNNING = 'running'
    FINISHED = 'finished'
    NOT_HELD = 'not-held'


class OutcomeRequest(link.Message, frozen=True):
    """Asks the holder of a claim what came of it."""

    claim_id: str


class OutcomeReply(link.Message, frozen=True):
    """What came of a claim; the answer where it was kept."""

    state: ClaimState
    answer: runs.WholeAnswer | None = None


class KeptAnswerError(errors.LacewingpitchError):
    """Ends an attempt whose key was won, and answered, by another."""

    def __init__(self, answer: runs.WholeAnswer) -> None:
        super().__init__('answered by another attempt')
        self.answer = answer


class VoterLinks(Protocol):
    """How a claim reaches voters and holders of claims."""

    async def vote(
        self,
        instance: live_list.Instance,
        request: voter_module.VoteRequest,
    ) -> voter_module.VoteReply:
        """Ask for a vote."""
        ...

    async def withdraw(
        self,
        instance: live_list.Instance,
        request: voter_module.WithdrawRequest,
    ) -> voter_module.WithdrawReply:
        """Give a vote back."""
        ...

    async def outcome(self, holder: str, claim_id: str) -> OutcomeReply:
        """Ask what came of a claim."""
        ...


class PeerVoters:
    """Voters over control links; this instance's own is called directly."""

    def __init__(
        self,
        name: str,
        voter: voter_module.Voter,
        peers: link.PeerPool,
        membership: membership_module.Membership,
    ) -> None:
        self._name = name
        self._voter = voter
        self._peers = peers
        self._membership = membership

    async def vote(
        self,
        instance: live_list.Instance,
        request: voter_module.VoteRequest,
    ) -> voter_module.VoteReply:
        """Ask for a vote.

        Raises
        ------
        LinkError
            No reply; the vote may have been given.
        """
        if instance.name == self._name:
            return self._voter.vote(request)
        return await self._peer(instance).ask(
            request, voter_module.VoteReply, _ASK_TIMEOUT_S
        )

    async def withdraw(
        self,
        instance: live_list.Instance,
        request: voter_module.WithdrawRequest,
    ) -> voter_module.WithdrawReply:
        """Give a vote back.

        Raises
        ------
        LinkError
            No reply.
        """
        if instance.name == self._name:
            return self._voter.withdraw(request)
        return await self._peer(instance).ask(
            request, voter_module.WithdrawReply, _ASK_TIMEOUT_S
        )

    async def outcome(self, holder: str, claim_id: str) -> OutcomeReply:
        """Ask what came of a claim.

        Raises
        ------
        LinkError
            The holder does not answer, or is not in the list.
        """
        for instance in self._membership.instances:
            if instance.name == holder:
                return await self._peer(instance).ask(
                    OutcomeRequest(claim_id=claim_id),
                    OutcomeReply,
                    _ASK_TIMEOUT_S,
                )
        raise errors.LinkError(f'{holder} is not in the list')

    def _peer(self, instance: live_list.Instance) -> link.Peer:
        return self._peers.peer(instance.ip, instance.control_port)


class Ballot:
    """One round of votes for one claim."""

    def __init__(self, voters: voter_module.VoterSet) -> None:
        self.claim_id = str(uuid_utils.uuid7())
        self.voters = voters
        self._pending = set(voters.names)
        self._granted: set[str] = set()
        self._refused: dict[str, voter_module.VoteReply] = {}
        self._is_over = False

    @property
    def is_won(self) -> bool:
        """Whether the quorum backs this claim and no other."""
        return not self._is_over and 0 < self.voters.quorum <= len(
            self._granted
        )

    @property
    def is_lost(self) -> bool:
        """Whether the quorum cannot be reached any more."""
        possible = len(self._granted) + len(self._pending)
        return self._is_over or possible < max(1, self.voters.quorum)

    def count(self, name: str, reply: voter_module.VoteReply | None) -> None:
        """Take one voter's reply; ``None`` where it gave none."""
        # A voter's reply counts once, and only for this round: one that
        # comes late, or twice, must not stand for a second voter.
        if name not in self._pending:
            return
        self._pending.discard(name)
        if reply is None:
            return
        if reply.verdict is Verdict.GRANTED:
            self._granted.add(name)
        else:
            self._refused[name] = reply

    def end(self) -> list[live_list.Instance]:
        """Give the round up; return the voters that may back it."""
        # Votes are about to be given back, so replies that are still
        # under way must not complete the claim any more.
        self._is_over = True
        return [
            instance
            for instance in self.voters.instances
            if instance.name not in self._refused
        ]

    def holder(self) -> voter_module.VoteReply | None:
        """Return the reply that names another claim, if one does."""
        return self._first(Verdict.TAKEN)

    def refusal(self) -> errors.RefusalError:
        """Return what the caller is told of a claim that failed."""
        if self._first(Verdict.OTHER_BODY):
            return errors.RefusalError(
                errors.ErrorKind.BAD_IDEMPOTENCY_KEY,
                'Idempotency-Key was used for another request',
            )
        if self._first(Verdict.TOO_OLD):
            return idempotency.too_old('voters may have forgotten it')
        if self._first(Verdict.FROM_FUTURE):
            return errors.RefusalError(
                errors.ErrorKind.KEY_OUT_OF_WINDOW,
                'Idempotency-Key was made in the future',
            )
        return errors.RefusalError(
            errors.ErrorKind.CLAIM_UNAVAILABLE,
            f'{len(self._granted)} of {self.voters.quorum} votes; this '
            'sending did not run, send again with the same key',
            retry_after_s=max(
                (reply.retry_after_s for reply in self._refused.values()),
                default=None,
            ),
        )

    def _first(self, verdict: Verdict) -> voter_module.VoteReply | None:
        return next(
            (r for r in self._refused.values() if r.verdict is verdict), None
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    state: ClaimState
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
        links: VoterLinks,
        membership: membership_module.Membership,
        clock: clock_module.Clock,
        window_s: float,
    ) -> None:
        self.name = name
        self.links = links
        self._membership = membership
        self._clock = clock
        self._window_s = window_s
        self._held: collections.OrderedDict[str, _Held] = (
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
                found.did_not_run()
            raise
        finally:
            await found.close()

    async def tell(self, message: OutcomeRequest) -> OutcomeReply:
        """Answer what came of a claim."""
        found = self._held.get(message.claim_id)
        if found is None:
            return OutcomeReply(state=ClaimState.NOT_HELD)
        return OutcomeReply(
            state=found.state, answer=self._answers.get(message.claim_id)
        )

    def voters(self, order: work.WorkOrder) -> voter_module.VoterSet:
        """Return the voters of an order's key by the newest list."""
        return voter_module.voters_of(
            order.customer,
            order.idempotency_key,
            order.region,
            self._membership.instances,
        )

    def note(
        self,
        claim_id: str,
        state: ClaimState,
        answer: runs.WholeAnswer | None = None,
    ) -> None:
        """Remember how far a claim got."""
        self._drop(claim_id)
        if state is ClaimState.NOT_HELD:
            return
        self._held[claim_id] = _Held(state, self._clock.monotonic_s())
        if answer is not None and len(answer.body) <= MAX_KEPT_ANSWER_BYTES:
            self._answers[claim_id] = answer
            self._kept_bytes += len(answer.body)
        self._forget()

    async def withdraw(self, order: work.WorkOrder, ballot: Ballot) -> None:
        """Give the votes of a round back; wait for a short while only."""
        voters = ballot.end()
        self.note(ballot.claim_id, ClaimState.NOT_HELD)
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
            await asyncio.wait(tasks, timeout=_WITHDRAW_WAIT_S)

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
        for _ in range(_WITHDRAW_TRIES):
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
        self._held.pop(claim_id, None)
        answer = self._answers.pop(claim_id, None)
        if answer is not None:
            self._kept_bytes -= len(answer.body)

    def _forget(self) -> None:
        oldest_s = self._clock.monotonic_s() - self._window_s
        while self._held:
            claim_id, found = next(iter(self._held.items()))
            if found.changed_at_s >= oldest_s:
                break
            self._drop(claim_id)
            if found.state is not ClaimState.FINISHED:
                self._held[claim_id] = _Held(
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
        self._digest = idempotency.digest(order.method, order.path, body)
        self._ballot: Ballot | None = None
        self._has_started = False

    @contextlib.asynccontextmanager
    async def collecting(self) -> AsyncIterator[None]:
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
        self._claims.note(self._ballot.claim_id, ClaimState.RUNNING)

    def keep(self, answer: runs.WholeAnswer | None) -> None:
        """Keep the answer for a caller that asks again."""
        if self._ballot is None or answer is None:
            return
        self._claims.note(self._ballot.claim_id, ClaimState.FINISHED, answer)

    def did_not_run(self) -> None:
        """Take note of proof that the request did not run."""
        self._has_started = False

    async def close(self) -> None:
        """Give the votes back unless the request was passed on."""
        if self._ballot is None:
            return
        if not self._has_started:
            await self._claims.withdraw(self._order, self._ballot)
            return
        held = await self._claims.tell(
            OutcomeRequest(claim_id=self._ballot.claim_id)
        )
        if held.state is ClaimState.RUNNING:
            self._claims.note(self._ballot.claim_id, ClaimState.FINISHED)

    async def _collect(self) -> None:
        try:
            async with asyncio.timeout(self._order.deadline_s):
                await self._try_rounds()
        except TimeoutError as error:
            raise _key_in_use('a request with this key is running') from error

    async def _try_rounds(self) -> None:
        for number in range(_MAX_ROUNDS):
            ballot = await self._round()
            if ballot.is_won:
                log.info(
                    'claimed',
                    request_id=self._order.request_id,
                    round=number + 1,
                )
                return
            holder = ballot.holder()
            self._ballot = None
            await self._claims.withdraw(self._order, ballot)
            if holder is None:
                raise ballot.refusal()
            await self._learn(holder)
            # Claims that split the votes try again at random times, else
            # they would split them again.
            longest_s = min(_FIRST_BACKOFF_S * 2**number, _MAX_BACKOFF_S)
            await asyncio.sleep(random.uniform(0, longest_s))
        raise _key_in_use('another sending holds this key')

    async def _round(self) -> Ballot:
        voters = self._claims.voters(self._order)
        ballot = self._ballot = Ballot(voters)
        self._claims.note(ballot.claim_id, ClaimState.CLAIMING)
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
        asking = [
            asyncio.create_task(self._ask(ballot, instance, request))
            for instance in voters.instances
        ]
        try:
            for asked in asyncio.as_completed(asking):
                await asked
                if ballot.is_won or ballot.is_lost:
                    break
        finally:
            for task in asking:
                task.cancel()
        return ballot

    async def _ask(
        self,
        ballot: Ballot,
        instance: live_list.Instance,
        request: voter_module.VoteRequest,
    ) -> None:
        try:
            reply = await self._claims.links.vote(instance, request)
        except errors.LinkError:
            ballot.count(instance.name, None)
            return
        ballot.count(instance.name, reply)

    async def _learn(self, holder: voter_module.VoteReply) -> None:
        """Return if the other claim came to nothing, or still may."""
        while True:
            try:
                reply = await self._claims.links.outcome(
                    holder.holder, holder.claim_id
                )
            except errors.LinkError as error:
                raise _key_in_use(
                    'the holder of this key does not answer'
                ) from error
            if reply.answer is not None:
                raise KeptAnswerError(reply.answer)
            if reply.state is ClaimState.FINISHED:
                raise _key_in_use('a request with this key ran before')
            if reply.state is not ClaimState.RUNNING:
                return
            await asyncio.sleep(_RUN_POLL_S)


def _key_in_use(reason: str) -> errors.RefusalError:
    return errors.RefusalError(
        errors.ErrorKind.KEY_IN_USE,
        f'{reason}; its outcome is not known here',
    )
