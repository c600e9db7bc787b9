"""Which engines may have kept a copy of an adapter that they held."""

from collections.abc import Iterable

# Until an engine has told how many copies it keeps.
_FIRST_COPY_COUNT = 8


class CachedCopies:
    """What each engine held of late, and holds no more.

    Load it answers: more adapters in use than engines have places for.
    An engine loads what it held of late from a copy, much faster than from
    the store and at no cost to the loads of others.  An adapter that goes
    wherever there is room comes from the store again and again.
    """

    def __init__(self) -> None:
        # By instance, the adapter that it evicted last at the end.
        self._evicted: dict[str, dict[bytes, None]] = {}
        self._counts: dict[str, int] = {}

    def note(self, instance: str, adapters: Iterable[bytes]) -> None:
        """Take note that an instance has evicted adapters."""
        evicted = self._evicted.setdefault(instance, {})
        for adapter in adapters:
            evicted.pop(adapter, None)
            evicted[adapter] = None
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
            for name, evicted in self._evicted.items()
            if adapter in evicted
        }

    def forget(self, instance: str) -> None:
        """Forget an instance that is gone, or has started again."""
        self._evicted.pop(instance, None)
        self._counts.pop(instance, None)

    def _trim(self, instance: str) -> None:
        evicted = self._evicted.get(instance, {})
        limit = self._counts.get(instance, _FIRST_COPY_COUNT)
        while len(evicted) > limit:
            del evicted[next(iter(evicted))]
