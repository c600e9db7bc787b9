"""Promises, kept in memory, that back one attempt per idempotency key."""

from collections.abc import Callable, Iterable, Sequence
import dataclasses
import enum
import heapq
import math

import reactivex
import xxhash

from lacewingpitch import clock as clock_module
from lacewingpitch import idempotency
from lacewingpitch import link
from lacewingpitch import live_list

MAX_VOTERS = 5
ANY_REGION = 'default'
_SMALLEST_SPARING_ONE = 4
_MAX_VIEWS = 32
_MAX_WITHDRAWN = 16
_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class VoterSet:
    """The voters of one key by one list, and how many must agree."""

    instances: tuple[live_list.Instance, ...]

    @property
    def names(self) -> frozenset[str]:
        """Return the voters' names."""
        return frozenset(instance.name for instance in self.instances)

    @property
    def quorum(self) -> int:
        """Return how many votes a claim needs."""
        return quorum_size(len(self.instances))


def quorum_size(voter_count: int) -> int:
    """Return the votes needed of so many voters.

    From four voters on, one may be down; fewer must all agree.
    """
    if voter_count >= _SMALLEST_SPARING_ONE:
        return voter_count - 1
    return voter_count


def select_voters(
    customer: str,
    key: str,
    region: str,
    instances: Iterable[live_list.Instance],
) -> VoterSet:
    """Return the voters of one key, where no list is kept."""
    return VoterIndex(instances).select_voters(customer, key, region)


class _Members:
    """The sidecars of one region in one list, by availability zone."""

    def __init__(self, members: Sequence[live_list.Instance]) -> None:
        zones: dict[str, list[live_list.Instance]] = {}
        for instance in members:
            zones.setdefault(instance.availability_zone, []).append(instance)
        self.zones = [
            (instances, [instance.name.encode() for instance in instances])
            for instances in zones.values()
        ]
        # A zone too small for its turns leaves them to the others.
        turns = math.ceil(MAX_VOTERS / max(1, len(zones)))
        is_small = any(len(zone) < turns for zone in zones.values())
        self.turns = MAX_VOTERS if is_small else turns


class VoterIndex:
    """Finds the voters of keys by one list.

    What does not depend on the key is found once: the list holds the
    sidecars of all regions, and each vote asks for a key's voters.
    """

    def __init__(self, instances: Iterable[live_list.Instance]) -> None:
        self._sidecars = tuple(
            instance
            for instance in instances
            if instance.role is live_list.Role.SIDECAR
        )
        self._members: dict[str, _Members] = {}

    def select_voters(self, customer: str, key: str, region: str) -> VoterSet:
        """Return the voters of a key, the same for equal lists everywhere.

        Zones take turns, each with its best by hash, so that the loss of
        a zone costs no more voters than need be.  One instance more or
        less in the list changes one voter at most.

        Notes
        -----
        Instances that leave still vote until the list drops them: they
        keep their promises until they end.
        """
        seed = xxhash.xxh3_64_intdigest(f'{customer}/{key}'.encode())
        members = self._members_of(region)
        digest = xxhash.xxh3_64_intdigest
        found: list[tuple[int, int, live_list.Instance]] = []
        for instances, names in members.zones:
            scores = [digest(name, seed) for name in names]
            best = heapq.nlargest(members.turns, scores)
            found.extend(
                (turn, -score, instances[scores.index(score)])
                for turn, score in enumerate(best)
            )
        found.sort(key=lambda item: item[:2])
        return VoterSet(tuple(item[2] for item in found[:MAX_VOTERS]))

    def _members_of(self, region: str) -> _Members:
        known = self._members.get(region)
        if known is not None:
            return known
        made = _Members(
            [
                instance
                for instance in self._sidecars
                if region in (ANY_REGION, '', instance.region)
            ]
        )
        # Names of regions come from messages: only real ones are kept.
        if made.zones:
            self._members[region] = made
        return made


class Verdict(enum.StrEnum):
    """What a voter says to a claim."""

    GRANTED = 'granted'
    TAKEN = 'taken'
    OTHER_BODY = 'other-body'
    WITHDRAWN = 'withdrawn'
    TOO_OLD = 'too-old'
    FROM_FUTURE = 'from-future'
    LISTS_DIFFER = 'lists-differ'
    LIST_STALE = 'list-stale'
    TABLE_FULL = 'table-full'


class VoteRequest(link.Message, frozen=True):
    """Asks a voter to back one claim on a key, and no other.

    Parameters
    ----------
    claim_id
        Unique for each try of an attempt to claim the key.
    holder
        Instance whose sidecar claims.
    digest
        Tells whether another request carries the same key.
    voters, quorum
        The key's voters as the claiming sidecar knows them.
    """

    customer: str
    key: str
    region: str
    claim_id: str
    holder: str
    digest: str
    voters: tuple[str, ...]
    quorum: int


class VoteReply(link.Message, frozen=True):
    """A voter's answer; names who holds its vote if it is taken."""

    verdict: Verdict
    claim_id: str = ''
    holder: str = ''
    retry_after_s: float = _RETRY_S


class WithdrawRequest(link.Message, frozen=True):
    """Gives back the vote of a claim that did not and will not run."""

    customer: str
    key: str
    claim_id: str


class WithdrawReply(link.Message, frozen=True):
    """The voter will never again back that claim."""


@dataclasses.dataclass(slots=True)
class _Vote:
    claim_id: str = ''
    holder: str = ''
    digest: str = ''
    withdrawn: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    taken_at_s: float
    index: VoterIndex


class Voter:
    """Backs at most one claim per key, for as long as the key is valid.

    Parameters
    ----------
    name
        This instance.
    window_s
        Age up to which keys are backed.
    skew_s
        Most that two clocks, a caller's or an instance's, may differ.
    list_lag_s
        Longest that two instances may hold different lists; a voter
        whose list is older backs nothing.
    list_age_s
        Tells how long ago the list was last known to be current.
    max_votes
        Bound of the table.
    """

    def __init__(
        self,
        name: str,
        clock: clock_module.Clock,
        *,
        window_s: float,
        skew_s: float,
        list_lag_s: float,
        list_age_s: Callable[[], float],
        max_votes: int,
    ) -> None:
        self._name = name
        self._clock = clock
        self._window_s = window_s
        self._skew_s = skew_s
        self._list_lag_s = list_lag_s
        self._list_age_s = list_age_s
        # How long before a key was made a list may have been in force
        # that a claim on the key still goes by.
        self._reach_s = skew_s + list_lag_s
        self._max_votes = max_votes
        self._votes: dict[tuple[str, str], _Vote] = {}
        self._by_age: list[tuple[float, tuple[str, str]]] = []
        self._views: list[_View] = []
        # Keys from before this are refused.  It never goes back, so what
        # was forgotten once is never backed again, whatever the clock.
        self._oldest_s = math.inf

    def __len__(self) -> int:
        """Return the number of keys remembered."""
        return len(self._votes)

    def apply_list(self, instances: tuple[live_list.Instance, ...]) -> None:
        """Take over a published list."""
        now_s = self._clock.wall_s()
        if self._views:
            # A clock that jumps back must not hide a list that was in
            # force after a key was made.
            now_s = max(now_s, self._views[-1].taken_at_s)
        else:
            # A voter that restarted has forgotten its promises, and which
            # lists were in force before.  The caller would see its work
            # done twice when a second sending is backed by voters that
            # lost the first.  Keys that an earlier life, or a claim with
            # an earlier list, can have met are refused.
            self._oldest_s = now_s + self._reach_s
        self._views.append(_View(now_s, VoterIndex(instances)))
        self._drop_views(now_s)

    def vote(self, request: VoteRequest) -> VoteReply:
        """Back a claim, or say why not.  Asking again changes nothing."""
        refusal = self._check_time(request) or self._check_lists(request)
        if refusal is not None:
            return refusal
        name = (request.customer, request.key)
        vote = self._votes.get(name)
        if vote is None:
            if len(self._votes) >= self._max_votes:
                # Forgetting a vote to make room would let a second
                # sending run; refusing costs only a later retry.
                return VoteReply(
                    verdict=Verdict.TABLE_FULL,
                    retry_after_s=self._room_in_s(),
                )
            vote = self._remember(name)
        return self._decide(vote, request)

    def withdraw(self, request: WithdrawRequest) -> WithdrawReply:
        """Free the vote of a claim, and never back that claim again."""
        name = (request.customer, request.key)
        self._forget_old()
        if idempotency.created_at_s(request.key) < self._oldest_s:
            return WithdrawReply()
        vote = self._votes.get(name)
        if vote is None:
            if len(self._votes) >= self._max_votes:
                return WithdrawReply()
            vote = self._remember(name)
        # The request for the vote may arrive after this, or once more.
        # Backing it then would block the key for a claim that is over.
        if len(vote.withdrawn) < _MAX_WITHDRAWN:
            vote.withdrawn = (*vote.withdrawn, request.claim_id)
        if vote.claim_id == request.claim_id:
            vote.claim_id = vote.holder = ''
        return WithdrawReply()

    def _decide(self, vote: _Vote, request: VoteRequest) -> VoteReply:
        if request.claim_id in vote.withdrawn:
            return VoteReply(verdict=Verdict.WITHDRAWN)
        if vote.digest and vote.claim_id and vote.digest != request.digest:
            return VoteReply(verdict=Verdict.OTHER_BODY)
        if vote.claim_id not in ('', request.claim_id):
            return VoteReply(
                verdict=Verdict.TAKEN,
                claim_id=vote.claim_id,
                holder=vote.holder,
            )
        if vote.claim_id:
            return VoteReply(verdict=Verdict.GRANTED)
        if len(vote.withdrawn) >= _MAX_WITHDRAWN:
            return VoteReply(verdict=Verdict.TABLE_FULL)
        vote.claim_id = request.claim_id
        vote.holder = request.holder
        vote.digest = request.digest
        return VoteReply(verdict=Verdict.GRANTED)

    def _check_time(self, request: VoteRequest) -> VoteReply | None:
        created_s = idempotency.created_at_s(request.key)
        self._forget_old()
        if created_s > self._clock.wall_s() + self._skew_s:
            # Backed now, it could outlive a restart of this voter.
            return VoteReply(verdict=Verdict.FROM_FUTURE)
        if created_s < self._oldest_s:
            return VoteReply(verdict=Verdict.TOO_OLD)
        return None

    def _check_lists(self, request: VoteRequest) -> VoteReply | None:
        # Claims with very different lists choose voters that need not
        # meet, and both would win.  A voter whose lists, since a lag
        # before the key was made, give such voters cannot tell who else
        # claims; one cut off from the list cannot tell how far the others
        # have moved on.  Both abstain, so that no claim gets its quorum.
        if self._list_age_s() > self._list_lag_s:
            return VoteReply(verdict=Verdict.LIST_STALE)
        since_s = idempotency.created_at_s(request.key) - self._reach_s
        asked = frozenset(request.voters)
        ends_s = [view.taken_at_s for view in self._views[1:]] + [math.inf]
        for view, end_s in zip(self._views, ends_s, strict=True):
            if end_s <= since_s:
                continue
            own = view.index.select_voters(
                request.customer, request.key, request.region
            )
            if own.quorum + request.quorum <= len(own.names | asked):
                return VoteReply(verdict=Verdict.LISTS_DIFFER)
        return None

    def _remember(self, name: tuple[str, str]) -> _Vote:
        vote = self._votes[name] = _Vote()
        heapq.heappush(self._by_age, (idempotency.created_at_s(name[1]), name))
        return vote

    def _forget_old(self) -> None:
        self._oldest_s = max(
            self._oldest_s, self._clock.wall_s() - self._window_s
        )
        while self._by_age and self._by_age[0][0] < self._oldest_s:
            del self._votes[heapq.heappop(self._by_age)[1]]

    def _room_in_s(self) -> float:
        oldest_s = self._by_age[0][0] + self._window_s
        return max(_RETRY_S, oldest_s - self._clock.wall_s())

    def _drop_views(self, now_s: float) -> None:
        while len(self._views) > 1:
            end_s = self._views[1].taken_at_s
            is_needed = end_s > now_s - self._window_s - self._reach_s
            if is_needed and len(self._views) <= _MAX_VIEWS:
                return
            del self._views[0]
            # What is not known of older lists is made up for by
            # refusing the keys that they could have concerned.
            self._oldest_s = max(self._oldest_s, end_s + self._reach_s)


def serve_votes(
    voter: Voter,
    control: link.ControlServer,
    changes: reactivex.Observable[live_list.InstanceList],
) -> None:
    """Let peers ask a voter, and keep it informed of the lists."""

    async def vote(message: VoteRequest) -> VoteReply:
        return voter.vote(message)

    async def withdraw(message: WithdrawRequest) -> WithdrawReply:
        return voter.withdraw(message)

    control.handle(VoteRequest, vote)
    control.handle(WithdrawRequest, withdraw)
    changes.subscribe(lambda published: voter.apply_list(published.instances))
