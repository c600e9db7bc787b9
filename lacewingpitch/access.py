"""Decides who may call a route, by the caller's API key."""

import math
import random

from lacewingpitch import configuration_age
from lacewingpitch import errors
from lacewingpitch import organisation
from lacewingpitch import routing

# Share of the time in which a key that was taken away must be void, for
# which a configuration that nobody confirms is trusted.  The rest is for a
# store whose watches hear of changes late, and for clocks that drift.
_TRUSTED_RATIO = 0.75
# Share of that time within which a configuration is confirmed anew while the
# store can be read: an instance that is cut off then serves on for a while.
_CONFIRM_RATIO = 0.4
# Another instance that the caller is sent to is likely to be in touch.
_RETRY_S = (0.2, 0.8)
_MS_PER_S = 1000


class Access:
    """Finds out whose request it is, and refuses those of strangers.

    Failure it answers: a key is taken away while this process is cut off
    from the store, frozen, or has just started from what another one knew.
    A key counts only where the configuration was confirmed so short a time
    before the request arrived that the key's end would have to be known.

    Parameters
    ----------
    age
        How old the configuration in force may be.
    keys_void_within_s
        Time in which a key that was taken away must be void everywhere;
        0 where processes that are out of touch may take it for longer.
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
        self._void_within_s = keys_void_within_s
        self._random = source

    @property
    def confirm_within_s(self) -> float:
        """Return how often the configuration is to be confirmed.

        0 where nobody needs it.
        """
        return _CONFIRM_RATIO * self._void_within_s

    @property
    def is_outdated(self) -> bool:
        """Whether requests with a key are refused at present."""
        return self._table.api_keys is not None and not self._is_trusted(
            self._age.age_s
        )

    def age_ms(self, at_s: float) -> int | None:
        """Return how old the configuration was at a moment, for logs.

        ``None`` where it has never been confirmed.
        """
        age_s = self._age.age_at_s(at_s)
        return None if math.isinf(age_s) else round(age_s * _MS_PER_S)

    def organisation(
        self, route: routing.Route, key: str, arrived_at_s: float
    ) -> organisation.Organisation | None:
        """Return the organisation of a request; ``None`` if it has none.

        Parameters
        ----------
        key
            The caller's API key; empty if it sent none.
        arrived_at_s
            Time of boot at which the request had arrived.

        Raises
        ------
        RefusalError
            The route needs a key, and this one is unknown or may have been
            taken away.
        """
        keys = self._table.api_keys
        if keys is None:
            return None
        if not self._is_trusted(self._age.age_at_s(arrived_at_s)):
            if route.is_public:
                return None
            raise self._outdated()
        found = keys.holder(key) if key else None
        if found is not None or route.is_public:
            return found
        if self._table.is_store_unreachable:
            # A newer configuration may hold the key, and its caller would
            # take "unknown" as final.
            raise self._outdated()
        raise errors.RefusalError(
            errors.ErrorKind.UNAUTHENTICATED, 'no such API key'
        )

    def _is_trusted(self, age_s: float) -> bool:
        return not self._void_within_s or (
            age_s <= _TRUSTED_RATIO * self._void_within_s
        )

    def _outdated(self) -> errors.RefusalError:
        return errors.RefusalError(
            errors.ErrorKind.CONFIGURATION_OUTDATED,
            'the API key cannot be checked here at present',
            retry_after_s=self._random.uniform(*_RETRY_S),
        )
