"""API keys and usage limits of the organisations in the soak test."""

import collections
import dataclasses
import time

# As in the settings of the platform's stand-in.
REVOKED_WITHIN_S = 5.0
WINDOW_S = 8.0
# Usage above the limit that the documentation allows: a share of the limit
# and a number of units.
OVERAGE_RATIO = 0.25
TOLERANCE_UNITS = 60.0
# Faults last at most 3 s, and an entry detects its own silent link in the
# rest of this time.
_MAX_PROPAGATION_S = 7.0
# Units of each request, since none declares its tokens.
UNITS_PER_REQUEST = 10
# Far above and far below the usage of the callers.
LARGE_PER_S = 100_000
SMALL_PER_S = 60


@dataclasses.dataclass
class Key:
    """An API key, with the times of its addition and revocation."""

    text: str
    organisation: str
    added_at_s: float = 0.0
    revoked_at_s: float | None = None

    def is_known(self):
        """Return whether all entries must know the key by now.

        Entries that a fault cuts off for a while learn of it late.
        """
        return time.monotonic() >= self.added_at_s + _MAX_PROPAGATION_S


class Keys:
    """The organisations and their keys, as they are published."""

    def __init__(self):
        self.by_organisation = {
            name: [Key(f'{name}-0', name), Key(f'{name}-1', name)]
            for name in ('balcony', 'garden', 'small')
        }
        self._count = 2

    def tenants(self):
        """Return the organisations as the configuration lists them."""
        return [
            {
                'name': name,
                'apiKeys': [k.text for k in keys if k.revoked_at_s is None],
                'unit': 'token_count',
                'uncachedTokens': UNITS_PER_REQUEST,
                'ratePerS': SMALL_PER_S if name == 'small' else LARGE_PER_S,
                'burst': SMALL_PER_S if name == 'small' else LARGE_PER_S,
            }
            for name, keys in self.by_organisation.items()
        ]

    def replace(self, rng):
        """Revoke one key, and give its organisation a new one."""
        keys = self.by_organisation[rng.choice(sorted(self.by_organisation))]
        valid = [key for key in keys if key.revoked_at_s is None]
        # Keep a key that all entries know.
        revoked = valid[0] if valid[-1].is_known() else valid[-1]
        # The time limit of its revocation starts when the store has
        # acknowledged the change.
        revoked.revoked_at_s = float('inf')
        keys.append(
            Key(
                f'{revoked.organisation}-{self._count}',
                revoked.organisation,
                added_at_s=time.monotonic(),
            )
        )
        self._count += 1
        return revoked

    def pick(self, rng):
        """Return a key for a caller to use; some are revoked."""
        keys = rng.choice(list(self.by_organisation.values()))
        return rng.choice([key for key in keys if key.is_known()][-3:])


def check(calls, ran):
    """Yield a text for each run that its caller's key did not permit.

    Parameters
    ----------
    ran
        The request ID, the time and the headers of each run.
    """
    by_id = {call.id: call for call in calls}
    times_s_by_organisation = collections.defaultdict(list)
    for request_id, at_s, headers in ran:
        call = by_id.get(request_id)
        if call is None:
            continue
        named = headers.get('Tenant')
        if named != call.key.organisation:
            yield f'{call.id} of {call.key.organisation} ran for {named}'
        if 'Authorization' in headers:
            yield f'{call.id} reached the backend server with its key'
        revoked_at_s = call.key.revoked_at_s
        if revoked_at_s and call.sent_at_s > revoked_at_s + REVOKED_WITHIN_S:
            late_s = call.sent_at_s - revoked_at_s
            yield f'{call.id} ran {late_s:.1f} s after its key was revoked'
        times_s_by_organisation[named].append(at_s)
    max_units = (1 + OVERAGE_RATIO) * (
        WINDOW_S + 1
    ) * SMALL_PER_S + TOLERANCE_UNITS
    units = (
        _most_in_window(times_s_by_organisation['small']) * UNITS_PER_REQUEST
    )
    if units > max_units:
        yield f'{units} units ran in {WINDOW_S} s, {max_units} are allowed'


def may_be_denied(call):
    """Return whether the key of a call may be refused."""
    return call.key.revoked_at_s is not None


def record_revocation(key):
    """Record that the store has accepted the revocation of a key."""
    key.revoked_at_s = time.monotonic()


def _most_in_window(times_s):
    times_s = sorted(times_s)
    first = 0
    max_units = 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] > WINDOW_S:
            first += 1
        max_units = max(max_units, last - first + 1)
    return max_units
