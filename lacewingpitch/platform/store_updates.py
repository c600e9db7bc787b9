"""What is published in the store, put in force in this process."""

from collections.abc import Callable, Sequence
import os.path
from typing import Protocol

import structlog

from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import configuration_age
from lacewingpitch import configuration_exchange
from lacewingpitch import errors
from lacewingpitch.platform import names
from lacewingpitch.platform import store as store_module
from lacewingpitch.platform import wire

# Entries whose rejection is remembered.
_MAX_REJECTED = 1024
log = structlog.get_logger(__name__)


class UpdateHandler(Protocol):
    """Takes what is new under one prefix."""

    prefix: str

    def apply(self, change: store_module.Change) -> None:
        """Take over a change."""
        ...


async def dispatch_changes(
    watcher: store_module.PrefixWatcher,
    handlers: Sequence[UpdateHandler],
    is_enough: Callable[[], bool] = lambda: False,
) -> None:
    """Hand on what is published, by prefix, until it is enough."""

    def apply(change: store_module.Change) -> None:
        for handler in handlers:
            handler.apply(change.under(handler.prefix))

    with watcher.changes.subscribe(apply):
        await watcher.run(is_enough)


def common_prefix(handlers: Sequence[UpdateHandler]) -> str:
    """Return the prefix under which all news come by one watch.

    The list of backend servers changes nearly all the time, so that a
    watch of its own for the operator's values would add a third to the
    calls.
    """
    return os.path.commonprefix([handler.prefix for handler in handlers])


class OperatorUpdates:
    """Puts the operator's configuration and adapter versions in force."""

    prefix = names.OPERATOR_PREFIX

    def __init__(
        self,
        versions: adapter_versions.AdapterVersions,
        exchange: configuration_exchange.ConfigurationExchange,
        age: configuration_age.ConfigurationAge,
    ) -> None:
        self._versions = versions
        self._exchange = exchange
        self._age = age
        # The newest configuration may take keys away, and cannot be read.
        self._is_unreadable = False
        # The version that the store holds.  One that came back from a copy
        # holds less than is known, and proves nothing of what it lost.
        self._stored_version = 0

    def apply(self, change: store_module.Change) -> None:
        """Put a change in force."""
        self._exchange.record_store_state(change.is_away)
        if change.is_new_epoch:
            self._stored_version = 0
        for item in change.items:
            try:
                self._take_item(item)
            except errors.PlatformError as error:
                # One value that can't be read must not keep the others
                # from being in force; what was in force before stays.
                log.error('value rejected', key=item.key, error=str(error))
                if item.key == names.CONFIGURATION_KEY:
                    self._is_unreadable = True
        if change.current_at_s is not None and self._is_newest:
            self._age.confirm(change.current_at_s)

    @property
    def _is_newest(self) -> bool:
        """Whether what the store holds is all that is known."""
        if self._is_unreadable:
            return False
        return self._stored_version >= self._exchange.version

    def _take_item(self, item: store_module.Item) -> None:
        if item.is_deleted:
            return
        if item.key == names.CONFIGURATION_KEY:
            self._stored_version = self._exchange.apply(
                item.value, source='store'
            )
            self._is_unreadable = False
        elif item.key.startswith(names.ADAPTER_VERSION_PREFIX):
            self._versions.record(*wire.decode_adapter_version(item.value))


class BackendUpdates:
    """Follows the list of backend servers."""

    prefix = names.BACKEND_SERVER_PREFIX

    def __init__(self, servers: backend_list.BackendList) -> None:
        self._servers = servers
        # Why entries were rejected, so that each is told once and not with
        # every change of it.
        self._rejected: dict[str, str] = {}

    def apply(self, change: store_module.Change) -> None:
        """Take over a change of the list."""
        if change.is_away:
            self._servers.record_read_failure(change.asked_at_s)
            return
        self._servers.record_read(is_new_epoch=change.is_new_epoch)
        if change.is_whole:
            found = []
            for item in change.items:
                server = self._decoded(item)
                if server is None:
                    self._servers.discard(_name_of(item))
                else:
                    found.append(server)
            self._servers.replace_all(found)
            return
        # In the order in which they were made: a change that holds a
        # server's last entry and then its end must not bring it back.
        for item in change.items:
            if item.is_deleted:
                self._servers.remove(_name_of(item))
                continue
            server = self._decoded(item)
            if server is None:
                self._servers.discard(_name_of(item))
            else:
                self._servers.put(server)
        self._servers.finish_update()

    def _decoded(
        self, item: store_module.Item
    ) -> backend_list.BackendServer | None:
        try:
            found = wire.decode_backend_server(
                _name_of(item), item.value, item.created_revision
            )
        except errors.PlatformError as error:
            self._reject(item.key, str(error))
            return None
        self._rejected.pop(item.key, None)
        return found

    def _reject(self, key: str, reason: str) -> None:
        if self._rejected.get(key) == reason:
            return
        if len(self._rejected) >= _MAX_REJECTED:
            self._rejected.clear()
        self._rejected[key] = reason
        log.error('entry rejected', key=key, error=reason)


def _name_of(item: store_module.Item) -> str:
    return item.key.removeprefix(names.BACKEND_SERVER_PREFIX)
