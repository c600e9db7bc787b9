"""Which engines hold an adapter, as far as an entry instance knows."""

import collections
from collections.abc import Iterable, Iterator
import contextlib

from lacewingpitch import cached_copies
from lacewingpitch import hint as hint_module


class AdapterHolders:
    """Tracks which engines hold, receive or cached an adapter.

    Parameters
    ----------
    copies
        The copies that engines cache of adapters that they evicted;
        ``None`` if they cache none.
    """

    def __init__(
        self, copies: cached_copies.CachedCopies | None = None
    ) -> None:
        self._copies = copies
        # From the hints on the answers of sidecars.
        self._hinted: dict[bytes, set[str]] = {}
        # From the published list, which covers all engines but lags.
        self._listed: dict[str, frozenset[bytes]] = {}
        self._listed_holders: dict[bytes, set[str]] = {}
        # From requests of this entry instance that are in progress.
        self._in_progress: dict[str, collections.Counter[str]] = {}

    def __len__(self) -> int:
        """Return how many adapters the current hints name."""
        return len(self._hinted)

    def holders(self, key: str) -> set[str]:
        """Return the engines that hold an adapter or are about to load it."""
        # A request in progress has its adapter loaded before a hint can
        # report it.
        adapter = hint_module.fingerprint(key)
        hinted = self._hinted.get(adapter, set())
        listed = self._listed_holders.get(adapter, set())
        return hinted.union(listed, self._in_progress.get(key, ()))

    def copy_holders(self, key: str) -> set[str]:
        """Return the engines that may have cached a copy of an adapter."""
        if self._copies is None:
            return set()
        return self._copies.holders(hint_module.fingerprint(key))

    @contextlib.contextmanager
    def track_request(self, key: str, instance: str) -> Iterator[None]:
        """Count a request as in progress while the context is open."""
        self._in_progress.setdefault(key, collections.Counter())[instance] += 1
        try:
            yield
        finally:
            self._end_request(key, instance)

    def apply_hint(self, instance: str, hint: hint_module.Hint) -> None:
        """Apply the hint of a sidecar."""
        for adapter in hint.fingerprints:
            self._hinted.setdefault(adapter, set()).add(instance)
        if self._copies is not None:
            self._copies.set_copy_count(instance, hint.copy_count)

    def revoke_hint(self, instance: str, hint: hint_module.Hint) -> None:
        """Revoke an earlier hint of a sidecar."""
        for adapter in hint.fingerprints:
            _drop(self._hinted, adapter, instance)
        if self._copies is not None:
            self._copies.record_evictions(instance, hint.fingerprints)

    def apply_listed_adapters(
        self, instance: str, keys: Iterable[str]
    ) -> None:
        """Apply the adapters that an engine holds by the published list."""
        current = frozenset(map(hint_module.fingerprint, keys))
        previous = self._listed.get(instance, frozenset())
        for adapter in previous - current:
            _drop(self._listed_holders, adapter, instance)
        for adapter in current - previous:
            self._listed_holders.setdefault(adapter, set()).add(instance)
        if self._copies is not None:
            self._copies.record_evictions(instance, previous - current)
        self._listed[instance] = current

    def reset_instance(self, instance: str) -> None:
        """Forget the listed adapters and the copies of an engine."""
        for adapter in self._listed.pop(instance, ()):
            _drop(self._listed_holders, adapter, instance)
        if self._copies is not None:
            self._copies.forget(instance)

    def retain(self, names: set[str]) -> None:
        """Forget the engines that are no longer listed."""
        for name in self._listed.keys() - names:
            self.reset_instance(name)

    def _end_request(self, key: str, instance: str) -> None:
        counts = self._in_progress[key]
        counts[instance] -= 1
        if not counts[instance]:
            del counts[instance]
        if not counts:
            del self._in_progress[key]


def _drop(names: dict[bytes, set[str]], adapter: bytes, instance: str) -> None:
    names[adapter].discard(instance)
    if not names[adapter]:
        del names[adapter]
