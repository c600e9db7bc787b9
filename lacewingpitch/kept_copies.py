"""Which engines may have kept a copy of an adapter that they held."""

from collections.abc import Iterable

# Until an engine has told how many copies it keeps.
_FIRST_COPY_COUNT = 8


class KeptCopies:
    """What each engine held of late, and holds no more.

    Load it answers: more adapters in use than engines have places for.
    An engine loads what it held of late from a copy, ten times as fast as
    from the store and at no cost to the loads of others.  An adapter that
    goes wherever there is room comes from the store again and again.
    """

    def __init__(self) -> None:
        # By instance, the adapter that it gave up last at the end.
        self._given_up: dict[str, dict[bytes, None]] = {}
        self._counts: dict[str, int] = {}

    def note(self, instance: str, adapters: Iterable[bytes]) -> None:
        """Take note that an instance has given up adapters."""
        given_up = self._given_up.setdefault(instance, {})
        for adapter in adapters:
            given_up.pop(adapter, None)
            given_up[adapter] = None
        self._trim(instance)

    def limit(self, instance: str, copy_count: int) -> None:
        """Take note of how many copies an instance keeps."""
        if copy_count != self._counts.get(instance):
            self._counts[instance] = copy_count
            self._trim(instance)

    def names(self, adapter: bytes) -> set[str]:
        """Return the instances that may have a copy of an adapter."""
        return {
            name
            for name, given_up in self._given_up.items()
            if adapter in given_up
        }

    def forget(self, instance: str) -> None:
        """Forget an instance that is gone, or has started again."""
        self._given_up.pop(instance, None)
        self._counts.pop(instance, None)

    def _trim(self, instance: str) -> None:
        given_up = self._given_up.get(instance, {})
        limit = self._counts.get(instance, _FIRST_COPY_COUNT)
        while len(given_up) > limit:
            del given_up[next(iter(given_up))]
