"""Leases of organisations' usage limits: messages and the owner's side.

One process owns the limit of an organisation.  Entries lease parts of it in
advance, for requests to come.  Units are tokens or requests, as the limit
counts them.
"""

import dataclasses

from lacewingpitch import clock as clock_module
from lacewingpitch import limit_tenure
from lacewingpitch import link
from lacewingpitch import token_bucket

# After this time, the unused part of a lease can't be used any more and is
# returned to the owner.
LEASE_S = 1.0
# Level of a new owner's bucket, relative to the burst: the owner doesn't
# know what its predecessor has leased.
_INITIAL_LEVEL_RATIO = 0.5
# Entries that asked within this time share the limit while the owner is
# unreachable.
_ENTRY_RETENTION_S = 10.0
# While the owner is unreachable, entries together use at most this ratio of
# the rate, as entries that still reach the owner can use all of it.
UNREACHABLE_RATIO = 0.5
# More than the organisations that send requests at the same time.
_MAX_ORGANISATIONS = 4096


class UsageWant(link.Message, frozen=True):
    """An entry's request for a part of one organisation's limit.

    Parameters
    ----------
    rate_per_s, burst
        The limit in the entry's configuration.
    costs
        Units needed by each waiting request, in the order of arrival.
    ahead
        Units that the entry expects to need soon.
    unused
        Units leased before and returned now.
    used_per_s
        Moving average of the units that the entry uses.
    claim
        By which list the receiver is the owner of the limit.
    """

    organisation: str
    rate_per_s: float
    burst: float
    costs: tuple[float, ...]
    ahead: float
    unused: float = 0.0
    used_per_s: float = 0.0
    claim: limit_tenure.Claim = limit_tenure.Claim()


class UsageAsk(link.Message, frozen=True):
    """Requests parts of several organisations' limits from one owner.

    Parameters
    ----------
    sequence
        Rises with each message of the entry, also across its restarts.
    version
        Version of the configuration that contains the limits.
    """

    entry: str
    sequence: int
    version: int
    wants: tuple[UsageWant, ...]


class UsageGrant(link.Message, frozen=True):
    """The part of one organisation's limit that an entry gets.

    Parameters
    ----------
    admitted
        For each waiting request, whether its cost was available.
    ahead
        Units leased for requests to come.
    left
        Units that remain in the owner's bucket; negative for a debt.
    unreached_per_s
        Units per second that the entry may use while the owner is
        unreachable.
    denial
        Why the process grants nothing of that limit now.
    """

    organisation: str
    admitted: tuple[bool, ...] = ()
    ahead: float = 0.0
    left: float = 0.0
    unreached_per_s: float = 0.0
    denial: limit_tenure.Denial | None = None


class UsageReply(link.Message, frozen=True):
    """Answers `UsageAsk`, with one grant for each want."""

    grants: tuple[UsageGrant, ...] = ()


@dataclasses.dataclass(slots=True)
class _EntryUsage:
    """The last message of one entry about a limit."""

    sequence: int
    asked_at_s: float
    used_per_s: float


@dataclasses.dataclass(slots=True)
class _Limit:
    """The limit of one organisation."""

    version: int
    bucket: token_bucket.TokenBucket
    entries: dict[str, _EntryUsage] = dataclasses.field(default_factory=dict)
    asked_at_s: float = 0.0


class UsageOwner:
    """Grants leases of organisations' limits.

    Only the owner has the token bucket of a limit.  A new owner starts with
    part of a burst: it doesn't know what its predecessor leased, and full
    bursts one after the other would far exceed the limit.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._started_at_s = clock.boot_s()
        self._limits: dict[str, _Limit] = {}
        self._tenures = limit_tenure.Tenures()

    def __len__(self) -> int:
        return len(self._limits)

    async def grant(self, ask: UsageAsk) -> UsageReply:
        """Grant the available part of what is asked for."""
        return UsageReply(
            grants=tuple(self._answer(ask, want) for want in ask.wants)
        )

    def _answer(self, ask: UsageAsk, want: UsageWant) -> UsageGrant:
        if want.claim.successor:
            return self._cede(want)
        denial = self._tenures.check(want.organisation, want.claim)
        if denial is None:
            return self._grant(ask, want)
        # For entries that don't read the denial, it is a refusal.
        return UsageGrant(
            organisation=want.organisation,
            admitted=(False,) * len(want.costs),
            denial=denial,
        )

    def _cede(self, want: UsageWant) -> UsageGrant:
        denial = self._tenures.cede(want.organisation, want.claim)
        limit = self._limits.get(want.organisation)
        left = want.burst
        if limit is not None:
            left = limit.bucket.level(self._clock.boot_s())
        return UsageGrant(
            organisation=want.organisation, left=left, denial=denial
        )

    def _grant(self, ask: UsageAsk, want: UsageWant) -> UsageGrant:
        now_s = self._clock.boot_s()
        limit = self._limit(ask, want, now_s)
        self._record_usage(limit, ask, want, now_s)
        bucket = limit.bucket
        admitted = tuple(
            _try_spend(bucket, cost, now_s) for cost in want.costs
        )
        # Scarce units must not be unused at one entry while another entry
        # refuses callers.
        spare = max(0.0, bucket.level(now_s)) / 2.0
        ahead = min(want.ahead, spare) if all(admitted) else 0.0
        bucket.add(-ahead, now_s)
        return UsageGrant(
            organisation=want.organisation,
            admitted=admitted,
            ahead=ahead,
            left=bucket.level(now_s),
            unreached_per_s=self._unreachable_rate_per_s(limit, ask.entry),
        )

    def _limit(self, ask: UsageAsk, want: UsageWant, now_s: float) -> _Limit:
        limit = self._limits.get(want.organisation)
        if limit is None:
            self._evict_least_recent()
            bucket = token_bucket.TokenBucket(
                want.rate_per_s,
                want.burst,
                _INITIAL_LEVEL_RATIO * want.burst,
                self._started_at_s,
            )
            limit = _Limit(ask.version, bucket)
            self._limits[want.organisation] = limit
        elif ask.version > limit.version:
            limit.version = ask.version
            limit.bucket.change(want.rate_per_s, want.burst, now_s)
        if want.claim.level is not None:
            # What the owner before has granted is not granted again.
            excess = limit.bucket.level(now_s) - want.claim.level
            limit.bucket.add(-max(0.0, excess), now_s)
        limit.asked_at_s = now_s
        return limit

    def _record_usage(
        self, limit: _Limit, ask: UsageAsk, want: UsageWant, now_s: float
    ) -> None:
        previous = limit.entries.pop(ask.entry, None)
        # A repeated message must not return its unused units twice.
        if previous is not None and ask.sequence > previous.sequence:
            limit.bucket.add(want.unused, now_s)
        sequence = max(ask.sequence, previous.sequence if previous else 0)
        limit.entries[ask.entry] = _EntryUsage(
            sequence, now_s, want.used_per_s
        )
        oldest = next(iter(limit.entries.values()))
        if now_s - oldest.asked_at_s > _ENTRY_RETENTION_S:
            limit.entries = {
                name: usage
                for name, usage in limit.entries.items()
                if now_s - usage.asked_at_s <= _ENTRY_RETENTION_S
            }

    def _unreachable_rate_per_s(self, limit: _Limit, entry: str) -> float:
        used_per_s = sum(usage.used_per_s for usage in limit.entries.values())
        share = 1.0 / len(limit.entries)
        if used_per_s > 0.0:
            share = limit.entries[entry].used_per_s / used_per_s
        return UNREACHABLE_RATIO * share * limit.bucket.rate_per_s

    def _evict_least_recent(self) -> None:
        if len(self._limits) < _MAX_ORGANISATIONS:
            return
        # The least recently requested limit has the fullest bucket, so its
        # removal loses the least.
        idle = min(
            self._limits, key=lambda name: self._limits[name].asked_at_s
        )
        del self._limits[idle]


def _try_spend(
    bucket: token_bucket.TokenBucket, cost: float, now_s: float
) -> bool:
    """Spend the cost of a request if the bucket holds it.

    A request above the burst is admitted only with a full bucket, and
    leaves a debt.
    """
    if bucket.level(now_s) < min(cost, bucket.capacity):
        return False
    bucket.add(-cost, now_s)
    return True
