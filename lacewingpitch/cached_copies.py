"""Which engines may have cached a copy of an adapter they evicted."""

from collections.abc import Iterable

# Assumed until an engine reports how many copies it caches.
_INITIAL_COPY_COUNT = 8


class CachedCopies:
    """The adapters that each engine evicted recently.

    An engine loads such an adapter from its cached copy, much faster
    than from the store and without slowing down other loads.  This
    matters when more adapters are in use than the engines have slots:
    an adapter that goes wherever a slot is free is loaded from the store
    again and again.
    """

    def __init__(self) -> None:
        # By instance, in the order of eviction, the most recent last.
        self._evicted: dict[str, dict[bytes, None]] = {}
        self._counts: dict[str, int] = {}

    def record_evictions(
        self, instance: str, adapters: Iterable[bytes]
    ) -> None:
        """Record that an instance has evicted adapters."""
        evicted = self._evicted.setdefault(instance, {})
        for adapter in adapters:
            evicted.pop(adapter, None)
            evicted[adapter] = None
        self._trim(instance)

    def set_copy_count(self, instance: str, copy_count: int) -> None:
        """Set how many copies an instance caches."""
        if copy_count != self._counts.get(instance):
            self._counts[instance] = copy_count
            self._trim(instance)

    def holders(self, adapter: bytes) -> set[str]:
        """Return the instances that may have cached a copy of an adapter."""
        return {
            name
            for name, evicted in self._evicted.items()
            if adapter in evicted
        }

    def forget(self, instance: str) -> None:
        """Forget an instance that is gone or has restarted."""
        self._evicted.pop(instance, None)
        self._counts.pop(instance, None)

    def _trim(self, instance: str) -> None:
        evicted = self._evicted.get(instance, {})
        limit = self._counts.get(instance, _INITIAL_COPY_COUNT)
        while len(evicted) > limit:
            del evicted[next(iter(evicted))]
