"""Which engines hold an adapter, by all that an entry knows."""

import collections
from collections.abc import Iterable, Iterator
import contextlib

from lacewingpitch import cached_copies
from lacewingpitch import hint as hint_module


class AdapterHolders:
    """Who holds an adapter, who gets it, and who kept a copy.

    Parameters
    ----------
    copies
        Where engines keep copies of adapters that they held; ``None``
        where they keep none.
    """

    def __init__(
        self, copies: cached_copies.CachedCopies | None = None
    ) -> None:
        self._copies = copies
        # By what sidecars told on their answers.
        self._told: dict[bytes, set[str]] = {}
        # By the published list, which tells of all, though late.
        self._listed: dict[str, frozenset[bytes]] = {}
        self._listed_names: dict[bytes, set[str]] = {}
        # By the requests of this entry that are on their way.
        self._targets: dict[str, collections.Counter[str]] = {}

    def __len__(self) -> int:
        """Return of how many adapters sidecars have told."""
        return len(self._told)

    def names(self, key: str) -> set[str]:
        """Return the engines that hold an adapter, or are about to."""
        # A request that is on its way there brings the adapter, also
        # before a hint can tell of it.
        adapter = hint_module.fingerprint(key)
        told = self._told.get(adapter, set())
        listed = self._listed_names.get(adapter, set())
        return told.union(listed, self._targets.get(key, ()))

    def names_with_copy(self, key: str) -> set[str]:
        """Return the engines that may have kept a copy of an adapter."""
        if self._copies is None:
            return set()
        return self._copies.names(hint_module.fingerprint(key))

    @contextlib.contextmanager
    def track_request(self, key: str, instance: str) -> Iterator[None]:
        """Count a request as on its way while the context is open."""
        self._targets.setdefault(key, collections.Counter())[instance] += 1
        try:
            yield
        finally:
            self._forget_target(key, instance)

    def apply_hint(self, instance: str, hint: hint_module.Hint) -> None:
        """Take over what a sidecar told."""
        for adapter in hint.fingerprints:
            self._told.setdefault(adapter, set()).add(instance)
        if self._copies is not None:
            self._copies.limit(instance, hint.copy_count)

    def forget_hint(self, instance: str, hint: hint_module.Hint) -> None:
        """Take back what a sidecar told before."""
        for adapter in hint.fingerprints:
            _drop(self._told, adapter, instance)
        if self._copies is not None:
            self._copies.note(instance, hint.fingerprints)

    def apply_listed_adapters(
        self, instance: str, keys: Iterable[str]
    ) -> None:
        """Take over what the published list says that one holds."""
        found = frozenset(map(hint_module.fingerprint, keys))
        before = self._listed.get(instance, frozenset())
        for adapter in before - found:
            _drop(self._listed_names, adapter, instance)
        for adapter in found - before:
            self._listed_names.setdefault(adapter, set()).add(instance)
        if self._copies is not None:
            self._copies.note(instance, before - found)
        self._listed[instance] = found

    def reset_instance(self, instance: str) -> None:
        """Forget what the list said of one, and its copies."""
        for adapter in self._listed.pop(instance, ()):
            _drop(self._listed_names, adapter, instance)
        if self._copies is not None:
            self._copies.forget(instance)

    def retain(self, names: set[str]) -> None:
        """Forget engines that are listed no more."""
        for name in self._listed.keys() - names:
            self.reset_instance(name)

    def _forget_target(self, key: str, instance: str) -> None:
        targets = self._targets[key]
        targets[instance] -= 1
        if not targets[instance]:
            del targets[instance]
        if not targets:
            del self._targets[key]


def _drop(names: dict[bytes, set[str]], adapter: bytes, instance: str) -> None:
    names[adapter].discard(instance)
    if not names[adapter]:
        del names[adapter]
