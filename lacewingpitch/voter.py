"""Voters: each grants its vote on an idempotency key to one claim.

A claim is the attempt of one sidecar to become the only one that runs
the request with a key.  It succeeds with the votes of a quorum of the
key's voters, which are sidecars chosen by hash.  Votes are held in memory.
"""

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
_MIN_VOTERS_TO_SPARE_ONE = 4
_MAX_LISTS = 32
_MAX_WITHDRAWN_CLAIMS = 16
_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class VoterSet:
    """The voters of one key according to one list of instances."""

    instances: tuple[live_list.Instance, ...]

    @property
    def names(self) -> frozenset[str]:
        """Return the names of the voters."""
        return frozenset(instance.name for instance in self.instances)

    @property
    def quorum(self) -> int:
        """Return the number of votes that a claim needs."""
        return quorum_size(len(self.instances))


def quorum_size(voter_count: int) -> int:
    """Return the number of votes that a claim needs.

    With four voters or more, one may be unavailable.  Fewer voters must
    be unanimous.
    """
    if voter_count >= _MIN_VOTERS_TO_SPARE_ONE:
        return voter_count - 1
    return voter_count


def select_voters(
    customer: str,
    key: str,
    region: str,
    instances: Iterable[live_list.Instance],
) -> VoterSet:
    """Return the voters of one key, from a list that is used only once.

    Use a `VoterIndex` to look up many keys in one list.
    """
    return VoterIndex(instances).select_voters(customer, key, region)


class _RegionMembers:
    """Sidecars of one region in one list, by availability zone."""

    def __init__(self, members: Sequence[live_list.Instance]) -> None:
        zones: dict[str, list[live_list.Instance]] = {}
        for instance in members:
            zones.setdefault(instance.availability_zone, []).append(instance)
        self.zones = [
            (instances, [instance.name.encode() for instance in instances])
            for instances in zones.values()
        ]
        # If a zone has too few sidecars for its share of the votes, the
        # other zones provide the remaining voters.
        votes_per_zone = math.ceil(MAX_VOTERS / max(1, len(zones)))
        has_small_zone = any(
            len(zone) < votes_per_zone for zone in zones.values()
        )
        self.votes_per_zone = MAX_VOTERS if has_small_zone else votes_per_zone


class VoterIndex:
    """Finds the voters of keys in one list of instances.

    The list holds the sidecars of all regions, and every vote looks up
    the voters of a key.  The grouping of sidecars, which does not depend
    on the key, is therefore computed once.
    """

    def __init__(self, instances: Iterable[live_list.Instance]) -> None:
        self._sidecars = tuple(
            instance
            for instance in instances
            if instance.role is live_list.Role.SIDECAR
        )
        self._members_by_region: dict[str, _RegionMembers] = {}

    def select_voters(self, customer: str, key: str, region: str) -> VoterSet:
        """Return the voters of a key.

        All processes with equal lists find the same voters.  Zones
        contribute voters in rotation, each in order of rendezvous hash,
        so that the loss of a zone removes as few voters as possible.
        Adding or removing one instance changes at most one voter.

        Notes
        -----
        Leaving instances vote until they are removed from the list,
        since they hold their votes until they exit.
        """
        seed = xxhash.xxh3_64_intdigest(f'{customer}/{key}'.encode())
        members = self._region_members(region)
        digest = xxhash.xxh3_64_intdigest
        candidates: list[tuple[int, int, live_list.Instance]] = []
        for instances, names in members.zones:
            scores = [digest(name, seed) for name in names]
            best = heapq.nlargest(members.votes_per_zone, scores)
            candidates.extend(
                (rank, -score, instances[scores.index(score)])
                for rank, score in enumerate(best)
            )
        candidates.sort(key=lambda item: item[:2])
        return VoterSet(tuple(item[2] for item in candidates[:MAX_VOTERS]))

    def _region_members(self, region: str) -> _RegionMembers:
        cached = self._members_by_region.get(region)
        if cached is not None:
            return cached
        members = _RegionMembers(
            [
                instance
                for instance in self._sidecars
                if region in (ANY_REGION, '', instance.region)
            ]
        )
        # Region names come from messages.  Only regions with sidecars are
        # cached, so that unknown names cannot fill the cache.
        if members.zones:
            self._members_by_region[region] = members
        return members


class Verdict(enum.StrEnum):
    """A voter's reply to a claim.

    ``GRANTED`` is the vote; every other member is a reason to refuse it.
    """

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
    """Requests a voter's vote on a key, for one claim only.

    Parameters
    ----------
    claim_id
        Unique for each round of votes in which an attempt claims the key.
    holder
        Instance of the claiming sidecar.
    digest
        Digest of the request, which shows whether a key is used for two
        different requests.
    voters, quorum
        The key's voters, and the votes needed, according to the list of
        the claiming sidecar.
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
    """A voter's reply.

    If the verdict is ``TAKEN``, `claim_id` and `holder` name the claim
    that has the vote.
    """

    verdict: Verdict
    claim_id: str = ''
    holder: str = ''
    retry_after_s: float = _RETRY_S


class WithdrawRequest(link.Message, frozen=True):
    """Releases the vote of a claim whose request has not run and will not."""

    customer: str
    key: str
    claim_id: str


class WithdrawReply(link.Message, frozen=True):
    """Confirms that the voter will never grant that claim its vote."""


@dataclasses.dataclass(slots=True)
class _Vote:
    claim_id: str = ''
    holder: str = ''
    digest: str = ''
    withdrawn: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _AppliedList:
    applied_at_s: float
    index: VoterIndex


class Voter:
    """Grants its vote to at most one claim per key while the key is valid.

    Parameters
    ----------
    name
        This instance.
    window_s
        Maximum age of a key, in seconds.
    skew_s
        Maximum difference between two clocks, of callers or instances,
        in seconds.
    list_lag_s
        Maximum time for which two instances may have different lists, in
        seconds.  A voter whose list is older grants no votes.
    list_age_s
        Returns how long ago the list was last known to be current, in
        seconds.
    max_votes
        Maximum number of keys in the table.
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
        # A claim on a key may use a list that was replaced up to this
        # long before the key was created.
        self._list_history_s = skew_s + list_lag_s
        self._max_votes = max_votes
        self._votes: dict[tuple[str, str], _Vote] = {}
        self._keys_by_age: list[tuple[float, tuple[str, str]]] = []
        self._lists: list[_AppliedList] = []
        # Keys that were created before this time are refused, which are
        # all keys until the first list is in force.  From then on it never
        # decreases, so that a key whose vote has expired gets no new one,
        # even if the clock is set back.
        self._oldest_key_s = math.inf

    def __len__(self) -> int:
        """Return the number of keys in the table."""
        return len(self._votes)

    def apply_list(self, instances: tuple[live_list.Instance, ...]) -> None:
        """Put a published list in force."""
        now_s = self._clock.wall_s()
        if self._lists:
            # If the clock is set back, a list that was in force after a
            # key was created must still count as such.
            now_s = max(now_s, self._lists[-1].applied_at_s)
        else:
            # A restarted voter has lost its votes and the history of the
            # lists.  A request would run twice if voters that have lost
            # their votes for it voted for its retry.  Therefore all keys
            # are refused on which an earlier process may have voted, or
            # that may be claimed with an earlier list.
            self._oldest_key_s = now_s + self._list_history_s
        self._lists.append(_AppliedList(now_s, VoterIndex(instances)))
        self._drop_old_lists(now_s)

    def vote(self, request: VoteRequest) -> VoteReply:
        """Grant the vote to a claim, or return why not.

        The call is idempotent.
        """
        refusal = self._check_time(request) or self._check_lists(request)
        if refusal is not None:
            return refusal
        customer_key = (request.customer, request.key)
        vote = self._votes.get(customer_key)
        if vote is None:
            if len(self._votes) >= self._max_votes:
                # Evicting a vote to make room could let a request run
                # twice.  A refusal costs only a later retry.
                return VoteReply(
                    verdict=Verdict.TABLE_FULL,
                    retry_after_s=self._time_until_expiry_s(),
                )
            vote = self._add_vote(customer_key)
        return self._decide(vote, request)

    def withdraw(self, request: WithdrawRequest) -> WithdrawReply:
        """Release the vote of a claim, and never grant it one again."""
        customer_key = (request.customer, request.key)
        self._expire_old_keys()
        if idempotency.created_at_s(request.key) < self._oldest_key_s:
            return WithdrawReply()
        vote = self._votes.get(customer_key)
        if vote is None:
            if len(self._votes) >= self._max_votes:
                return WithdrawReply()
            vote = self._add_vote(customer_key)
        # The vote request may arrive after the withdrawal, or be repeated.
        # Granting it then would block the key for a claim that has ended.
        if len(vote.withdrawn) < _MAX_WITHDRAWN_CLAIMS:
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
        if len(vote.withdrawn) >= _MAX_WITHDRAWN_CLAIMS:
            return VoteReply(verdict=Verdict.TABLE_FULL)
        vote.claim_id = request.claim_id
        vote.holder = request.holder
        vote.digest = request.digest
        return VoteReply(verdict=Verdict.GRANTED)

    def _check_time(self, request: VoteRequest) -> VoteReply | None:
        created_s = idempotency.created_at_s(request.key)
        self._expire_old_keys()
        if created_s > self._clock.wall_s() + self._skew_s:
            # If this voter restarted and lost the vote, it would grant the
            # key again, because the key's time is after the restart.
            return VoteReply(verdict=Verdict.FROM_FUTURE)
        if created_s < self._oldest_key_s:
            return VoteReply(verdict=Verdict.TOO_OLD)
        return None

    def _check_lists(self, request: VoteRequest) -> VoteReply | None:
        # Claims with very different lists have quorums that need not
        # intersect, so that both could succeed.  A voter refuses if any of
        # its lists since `_list_history_s` before the key was created has
        # a quorum that need not intersect with the claim's, since another
        # claim may use that list.  A voter that no longer receives the
        # list cannot know which lists other claims use, and refuses too.
        if self._list_age_s() > self._list_lag_s:
            return VoteReply(verdict=Verdict.LIST_STALE)
        since_s = idempotency.created_at_s(request.key) - self._list_history_s
        requested = frozenset(request.voters)
        ends_s = [one.applied_at_s for one in self._lists[1:]] + [math.inf]
        for applied, end_s in zip(self._lists, ends_s, strict=True):
            if end_s <= since_s:
                continue
            own = applied.index.select_voters(
                request.customer, request.key, request.region
            )
            if own.quorum + request.quorum <= len(own.names | requested):
                return VoteReply(verdict=Verdict.LISTS_DIFFER)
        return None

    def _add_vote(self, customer_key: tuple[str, str]) -> _Vote:
        vote = self._votes[customer_key] = _Vote()
        heapq.heappush(
            self._keys_by_age,
            (idempotency.created_at_s(customer_key[1]), customer_key),
        )
        return vote

    def _expire_old_keys(self) -> None:
        self._oldest_key_s = max(
            self._oldest_key_s, self._clock.wall_s() - self._window_s
        )
        while (
            self._keys_by_age and self._keys_by_age[0][0] < self._oldest_key_s
        ):
            del self._votes[heapq.heappop(self._keys_by_age)[1]]

    def _time_until_expiry_s(self) -> float:
        oldest_s = self._keys_by_age[0][0] + self._window_s
        return max(_RETRY_S, oldest_s - self._clock.wall_s())

    def _drop_old_lists(self, now_s: float) -> None:
        while len(self._lists) > 1:
            end_s = self._lists[1].applied_at_s
            is_needed = end_s > now_s - self._window_s - self._list_history_s
            if is_needed and len(self._lists) <= _MAX_LISTS:
                return
            del self._lists[0]
            # Keys that could be claimed with the dropped list are refused
            # from now on.
            self._oldest_key_s = max(
                self._oldest_key_s, end_s + self._list_history_s
            )


def serve_votes(
    voter: Voter,
    control: link.ControlServer,
    changes: reactivex.Observable[live_list.InstanceList],
) -> None:
    """Serve vote requests of peers, and apply each published list."""

    async def vote(message: VoteRequest) -> VoteReply:
        return voter.vote(message)

    async def withdraw(message: WithdrawRequest) -> WithdrawReply:
        return voter.withdraw(message)

    control.handle(VoteRequest, vote)
    control.handle(WithdrawRequest, withdraw)
    changes.subscribe(lambda published: voter.apply_list(published.instances))
