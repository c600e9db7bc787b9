"""Handlers that apply changes of the store in this process."""

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
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import store as store_module
from lacewingpitch.platform import wire

# Entries for which the reason of the rejection is kept.
_MAX_REJECTIONS = 1024
log = structlog.get_logger(__name__)


class UpdateHandler(Protocol):
    """Applies the changes under one prefix."""

    prefix: str

    def apply(self, change: prefix_watcher.Change) -> None:
        """Apply a change."""
        ...


async def dispatch_changes(
    watcher: prefix_watcher.PrefixWatcher,
    handlers: Sequence[UpdateHandler],
    is_done: Callable[[], bool] = lambda: False,
) -> None:
    """Pass each change to the handlers of its prefix until `is_done`."""

    def apply(change: prefix_watcher.Change) -> None:
        for handler in handlers:
            handler.apply(change.restrict_to(handler.prefix))

    with watcher.changes.subscribe(apply):
        await watcher.run(is_done)


def common_prefix(handlers: Sequence[UpdateHandler]) -> str:
    """Return the longest prefix that covers the prefixes of all handlers.

    One watch serves all handlers: the list of backend servers changes
    almost constantly, and a separate watch for the operator's values would
    add a third to the calls.
    """
    return os.path.commonprefix([handler.prefix for handler in handlers])


class OperatorUpdates:
    """Applies the operator's configuration and adapter versions."""

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
        # Whether the newest configuration cannot be decoded.  It may revoke
        # API keys.
        self._is_unreadable = False
        # Version in the store.  A restored store may hold an older version
        # than the one in force; it cannot confirm the newer one.
        self._stored_version = 0

    def apply(self, change: prefix_watcher.Change) -> None:
        """Apply a change, and confirm the configuration if it is newest."""
        self._exchange.record_store_state(change.is_read_failure)
        if change.is_new_epoch:
            self._stored_version = 0
        for item in change.items:
            try:
                self._apply_item(item)
            except errors.PlatformError as error:
                # One malformed value must not block the others, and the
                # value in force before stays in force.
                log.error('value rejected', key=item.key, error=str(error))
                self._record_rejection(item)
            except Exception:
                # A value that no decoder foresees must not stop the others.
                log.exception('value rejected', key=item.key)
                self._record_rejection(item)
        if change.current_at_s is not None and self._is_newest:
            self._age.confirm(change.current_at_s)

    def _record_rejection(self, item: store_module.Item) -> None:
        if item.key == names.CONFIGURATION_KEY:
            self._is_unreadable = True

    @property
    def _is_newest(self) -> bool:
        """Whether the store holds the newest known configuration."""
        if self._is_unreadable:
            return False
        return self._stored_version >= self._exchange.version

    def _apply_item(self, item: store_module.Item) -> None:
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
    """Applies changes of the list of backend servers.

    Attributes
    ----------
    rejected_count
        Number of entries that could not be decoded.
    """

    prefix = names.BACKEND_SERVER_PREFIX

    def __init__(self, servers: backend_list.BackendList) -> None:
        self._servers = servers
        # By key, so that a rejection is logged only once and not with every
        # change of the entry.
        self._rejection_reasons: dict[str, str] = {}
        self.rejected_count = 0

    def apply(self, change: prefix_watcher.Change) -> None:
        """Apply a change of the list, or record that it cannot be read."""
        if change.is_read_failure:
            self._servers.record_read_failure(
                change.requested_at_s, change.is_unreachable
            )
            return
        self._servers.record_read(
            is_new_epoch=change.is_new_epoch,
            epoch=change.epoch,
            revision=change.revision,
        )
        if change.is_full_read:
            listed = []
            undecoded = set()
            for item in change.items:
                server = self._decode(item)
                if server is None:
                    undecoded.add(_name_of(item))
                else:
                    listed.append(server)
            self._servers.replace_all(listed, undecoded)
            return
        # In the order of the store: if a server was updated and then
        # removed within one change, it must not be listed again.
        for item in change.items:
            if item.is_deleted:
                self._servers.remove(_name_of(item))
                continue
            server = self._decode(item)
            if server is None:
                self._servers.discard(_name_of(item))
            else:
                self._servers.put(server)
        self._servers.finish_update()

    def _decode(
        self, item: store_module.Item
    ) -> backend_list.BackendServer | None:
        try:
            server = wire.decode_backend_server(
                _name_of(item), item.value, item.created_revision
            )
        except errors.PlatformError as error:
            self._log_rejection(item.key, str(error))
            return None
        except Exception as error:
            # An entry that no decoder foresees must not stop the others.
            self._log_rejection(item.key, repr(error))
            return None
        self._rejection_reasons.pop(item.key, None)
        return server

    def _log_rejection(self, key: str, reason: str) -> None:
        self.rejected_count += 1
        if self._rejection_reasons.get(key) == reason:
            return
        if len(self._rejection_reasons) >= _MAX_REJECTIONS:
            self._rejection_reasons.clear()
        self._rejection_reasons[key] = reason
        log.error('entry rejected', key=key, error=reason)


def _name_of(item: store_module.Item) -> str:
    return item.key.removeprefix(names.BACKEND_SERVER_PREFIX)
