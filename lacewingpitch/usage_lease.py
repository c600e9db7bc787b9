"""Leases of what an organisation may use: their messages and their owner.

One process owns the limit of an organisation.  Entries lease parts of it
ahead of the requests that will use them.
"""

import dataclasses

from lacewingpitch import clock as clock_module
from lacewingpitch import link
from lacewingpitch import token_bucket

# What is leased and not used by then goes back.
LEASE_S = 1.0
# A new owner does not know what its predecessor has leased.
_FIRST_LEVEL_RATIO = 0.5
# Entries that asked in this time count as users of the limit.
_USERS_S = 10.0
# While the owner is silent, entries use no more than this ratio of the rate
# together: those that the owner still hears use all of it.
UNREACHED_RATIO = 0.5
# Above any number of organisations that call at once.
_MAX_ORGANISATIONS = 4096


class UsageWant(link.Message, frozen=True):
    """What an entry wants of one organisation's limit.

    Parameters
    ----------
    rate_per_s, burst
        The limit, as the entry knows it.
    costs
        Of the requests that wait, in their order.
    ahead
        What it expects to need soon.
    unused
        What it leased before, and gives back.
    used_per_s
        What it used of late.
    """

    organisation: str
    rate_per_s: float
    burst: float
    costs: tuple[float, ...]
    ahead: float
    unused: float = 0.0
    used_per_s: float = 0.0


class UsageAsk(link.Message, frozen=True):
    """Asks an owner for parts of limits.

    Parameters
    ----------
    sequence
        Rises with each ask of the entry, also over its restarts.
    version
        Version of the configuration that the limits are from.
    """

    entry: str
    sequence: int
    version: int
    wants: tuple[UsageWant, ...]


class UsageGrant(link.Message, frozen=True):
    """What an entry gets of one organisation's limit.

    Parameters
    ----------
    admitted
        For each request that waits, whether there was enough for it.
    ahead
        Units leased for requests to come.
    left
        Units that nobody has leased; negative for a debt.
    unreached_per_s
        What the entry may use in a second while the owner is silent.
    """

    organisation: str
    admitted: tuple[bool, ...] = ()
    ahead: float = 0.0
    left: float = 0.0
    unreached_per_s: float = 0.0


class UsageReply(link.Message, frozen=True):
    """Answers `UsageAsk`."""

    grants: tuple[UsageGrant, ...] = ()


@dataclasses.dataclass(slots=True)
class _User:
    """One entry that uses a limit."""

    sequence: int
    asked_at_s: float
    used_per_s: float


@dataclasses.dataclass(slots=True)
class _Limit:
    """The limit of one organisation."""

    version: int
    bucket: token_bucket.TokenBucket
    users: dict[str, _User] = dataclasses.field(default_factory=dict)
    asked_at_s: float = 0.0


class UsageOwner:
    """Leases the limits of the organisations that it is asked for.

    A limit is a token bucket here, and nowhere else.  An owner that starts
    anew begins with part of a burst: what its predecessor leased is not
    known, and full bursts one after the other would be far above the limit.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._started_at_s = clock.boot_s()
        self._limits: dict[str, _Limit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    async def grant(self, ask: UsageAsk) -> UsageReply:
        """Lease what is wanted, as far as it is there."""
        return UsageReply(
            grants=tuple(self._grant(ask, want) for want in ask.wants)
        )

    def _grant(self, ask: UsageAsk, want: UsageWant) -> UsageGrant:
        now_s = self._clock.boot_s()
        limit = self._limit(ask, want, now_s)
        self._note_user(limit, ask, want, now_s)
        bucket = limit.bucket
        admitted = tuple(_take(bucket, cost, now_s) for cost in want.costs)
        # When tokens are scarce, none may lie unused at one entry while
        # another refuses callers.
        spare = max(0.0, bucket.level(now_s)) / 2.0
        ahead = min(want.ahead, spare) if all(admitted) else 0.0
        bucket.add(-ahead, now_s)
        return UsageGrant(
            organisation=want.organisation,
            admitted=admitted,
            ahead=ahead,
            left=bucket.level(now_s),
            unreached_per_s=self._unreached_per_s(limit, ask.entry),
        )

    def _limit(self, ask: UsageAsk, want: UsageWant, now_s: float) -> _Limit:
        found = self._limits.get(want.organisation)
        if found is None:
            self._make_room()
            bucket = token_bucket.TokenBucket(
                want.rate_per_s,
                want.burst,
                _FIRST_LEVEL_RATIO * want.burst,
                self._started_at_s,
            )
            found = _Limit(ask.version, bucket)
            self._limits[want.organisation] = found
        elif ask.version > found.version:
            found.version = ask.version
            found.bucket.change(want.rate_per_s, want.burst, now_s)
        found.asked_at_s = now_s
        return found

    def _note_user(
        self, limit: _Limit, ask: UsageAsk, want: UsageWant, now_s: float
    ) -> None:
        before = limit.users.pop(ask.entry, None)
        # A message that comes twice gives back once.
        if before is not None and ask.sequence > before.sequence:
            limit.bucket.add(want.unused, now_s)
        sequence = max(ask.sequence, before.sequence if before else 0)
        limit.users[ask.entry] = _User(sequence, now_s, want.used_per_s)
        oldest = next(iter(limit.users.values()))
        if now_s - oldest.asked_at_s > _USERS_S:
            limit.users = {
                name: user
                for name, user in limit.users.items()
                if now_s - user.asked_at_s <= _USERS_S
            }

    def _unreached_per_s(self, limit: _Limit, entry: str) -> float:
        used_per_s = sum(user.used_per_s for user in limit.users.values())
        share = 1.0 / len(limit.users)
        if used_per_s > 0.0:
            share = limit.users[entry].used_per_s / used_per_s
        return UNREACHED_RATIO * share * limit.bucket.rate_per_s

    def _make_room(self) -> None:
        if len(self._limits) < _MAX_ORGANISATIONS:
            return
        # The one that nobody asked for longest has the fullest bucket.
        idle = min(
            self._limits, key=lambda name: self._limits[name].asked_at_s
        )
        del self._limits[idle]


def _take(bucket: token_bucket.TokenBucket, cost: float, now_s: float) -> bool:
    """Take the cost of a request if the bucket holds it.

    A request that is larger than the burst waits for a full bucket, and
    leaves a debt.
    """
    if bucket.level(now_s) < min(cost, bucket.capacity):
        return False
    bucket.add(-cost, now_s)
    return True
