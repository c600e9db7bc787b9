"""Authentication of requests by API key, and access to routes."""

import math
import random

from lacewingpitch import configuration_age
from lacewingpitch import errors
from lacewingpitch import organisation
from lacewingpitch import routing

# Share of `keys_void_within_s` for which an unconfirmed configuration is
# trusted.  The rest allows for late notifications of the store's watches and
# for clock drift.
_TRUST_RATIO = 0.75
# Share of `keys_void_within_s` after which the configuration is confirmed
# again while the store can be read.  It is below `_TRUST_RATIO`, so that an
# instance that loses the store continues to serve for a while.
_CONFIRM_RATIO = 0.4
# Short, because the instance that gets the retry can probably read the store.
_RETRY_AFTER_S = (0.2, 0.8)
_MS_PER_S = 1000


class Authenticator:
    """Finds the organisation of a request, and refuses unknown callers.

    A key may be revoked while this process cannot reach the store, is
    suspended, or has just started from the state of a peer.  A key is
    therefore accepted only if the configuration was confirmed so recently
    before the request arrived that a revocation which must be in force by
    then would be known.

    Parameters
    ----------
    age
        Age of the last confirmation of the configuration in force.
    keys_void_within_s
        Time within which a revoked key must be void at every instance; 0
        if instances without the store may accept it for longer.
    """

    def __init__(
        self,
        table: routing.RoutingTable,
        age: configuration_age.ConfigurationAge,
        keys_void_within_s: float,
        source: random.Random,
    ) -> None:
        self._table = table
        self._age = age
        self._keys_void_within_s = keys_void_within_s
        self._random = source

    @property
    def confirm_within_s(self) -> float:
        """Return the longest time between confirmations, in seconds.

        0 if the configuration need not be confirmed.
        """
        return _CONFIRM_RATIO * self._keys_void_within_s

    @property
    def is_outdated(self) -> bool:
        """Whether API keys cannot be checked at present."""
        return self._table.api_keys is not None and not self._is_recent_enough(
            self._age.age_s
        )

    def age_ms(self, at_s: float) -> int | None:
        """Return the age of the configuration at boot time `at_s`, for logs.

        ``None`` if it has never been confirmed.
        """
        age_s = self._age.age_at_s(at_s)
        return None if math.isinf(age_s) else round(age_s * _MS_PER_S)

    def authenticate(
        self, route: routing.Route, key: str, arrived_at_s: float
    ) -> organisation.Organisation | None:
        """Return the organisation of a request; ``None`` if it has none.

        Parameters
        ----------
        key
            API key of the caller; empty if it sent none.
        arrived_at_s
            Boot time at which the request arrived.

        Raises
        ------
        RefusalError
            The route needs a key, and this one is unknown or may have been
            revoked.
        """
        keys = self._table.api_keys
        if keys is None:
            return None
        if not self._is_recent_enough(self._age.age_at_s(arrived_at_s)):
            if route.is_public:
                return None
            raise self._outdated_refusal()
        holder = keys.holder(key) if key else None
        if holder is not None or route.is_public:
            return holder
        if self._table.is_store_unreachable:
            # A newer configuration may contain the key, and its caller
            # would not retry after an "unknown key" refusal.
            raise self._outdated_refusal()
        raise errors.RefusalError(
            errors.ErrorKind.UNAUTHENTICATED, 'no such API key'
        )

    def _is_recent_enough(self, age_s: float) -> bool:
        return not self._keys_void_within_s or (
            age_s <= _TRUST_RATIO * self._keys_void_within_s
        )

    def _outdated_refusal(self) -> errors.RefusalError:
        return errors.RefusalError(
            errors.ErrorKind.CONFIGURATION_OUTDATED,
            'the API key cannot be checked here at present',
            retry_after_s=self._random.uniform(*_RETRY_AFTER_S),
        )
