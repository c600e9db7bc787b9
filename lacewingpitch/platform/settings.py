"""Settings of the daemons on the platform, under the project's own names.

The platform writes the settings file from the template
`deploy/settings.json`, at each start and whenever a setting changes.
"""

import asyncio
import pathlib

import structlog

from lacewingpitch import contract
from lacewingpitch import decoding
from lacewingpitch import errors
from lacewingpitch import link
from lacewingpitch import parts as parts_module
from lacewingpitch import settings as settings_module

# IP:PORT; empty if the process has none.
Endpoint = str

# Settings change only a few times a day.
_CHECK_INTERVAL_S = 1.0
_MS_PER_S = 1000
_DEPLOYMENT = 'lacewingpitch'
# Control messages use the platform's internal network, which only instances
# of this system can reach.  The signature detects damaged messages and those
# of another version; the key is not a secret.
_SIGNING_KEY = 'lacewingpitch-internal-network'
log = structlog.get_logger(__name__)


class DaemonSettings(decoding.Record, frozen=True, kw_only=True):
    """Addresses and time limits of one process.

    Parameters
    ----------
    internal_port
        Port of control messages, the same at every instance.
    metrics_port
        Port of ``/metrics``.
    store
        Address of the platform's store.
    callers
        Address at which an entry listens for callers.
    ready
        Address at which an entry answers readiness checks.
    control
        Address at which an entry listens for other entries that start.
    seeds
        Control addresses of some entries, which may include this one.
    engine
        Address of the engine beside a sidecar.
    service
        Service that this engine belongs to.
    configuration_within_ms
        Time within which a published configuration must be in force.
    leaving_within_ms
        Time after which a leaving server must get no new requests.
    contact_ms
        Time after the end of an outage from which a process must act on
        everything that it can read again.
    keys_void_within_ms
        Time within which a revoked API key must be void at every instance,
        also without the store; ``None`` if there is no such limit.
    drain_s
        Time between SIGTERM and the forced end of the process.
    retry_ratio
        Retries allowed per request of a service, over all entries.
    retry_allowance
        Further retries in a window, over all entries.
    retry_window_s
        Window in which retries are counted.
    released_fingerprints
        Keys of requests, or of parts of prompts, that are allowed although
        backend servers crashed when they started to run them.
    parts
        Optional parts of the system that are on, as of the process's start.
    memory_mb
        Memory of the machine; by default what the operating system reports.
    max_descriptors
        Largest number of open file descriptors; by default the limit of the
        operating system.
    """

    instance: contract.Name
    availability_zone: contract.Name
    ip: settings_module.Ip
    internal_port: settings_module.Port
    metrics_port: settings_module.Port
    store: Endpoint
    callers: Endpoint = ''
    ready: Endpoint = ''
    control: Endpoint = ''
    seeds: tuple[Endpoint, ...] = ()
    engine: Endpoint = ''
    service: str = ''
    configuration_within_ms: contract.PositiveFloat
    leaving_within_ms: contract.PositiveFloat
    contact_ms: contract.PositiveFloat
    keys_void_within_ms: contract.PositiveFloat | None = None
    drain_s: contract.PositiveFloat
    retry_ratio: float
    retry_allowance: float
    retry_window_s: contract.PositiveFloat = 10.0
    released_fingerprints: tuple[str, ...] = ()
    parts: tuple[parts_module.Part, ...] = ()
    memory_mb: contract.PositiveFloat | None = None
    max_descriptors: contract.PositiveInt | None = None

    @property
    def propagation_limit_s(self) -> float:
        """Return the time within which any change must be in force."""
        within_ms = min(self.configuration_within_ms, self.leaving_within_ms)
        return within_ms / _MS_PER_S

    @property
    def leaving_within_s(self) -> float:
        """Return `leaving_within_ms` in seconds."""
        return self.leaving_within_ms / _MS_PER_S

    @property
    def contact_s(self) -> float:
        """Return `contact_ms` in seconds."""
        return self.contact_ms / _MS_PER_S

    @property
    def keys_void_within_s(self) -> float:
        """Return `keys_void_within_ms` in seconds; 0 if there is none."""
        return (self.keys_void_within_ms or 0.0) / _MS_PER_S

    def __post_init__(self) -> None:
        """Reject malformed addresses."""
        settings_module.check_ip(self.ip)
        endpoints = (self.store, self.callers, self.ready, self.control)
        for endpoint in (*endpoints, self.engine, *self.seeds):
            if endpoint:
                split_endpoint(endpoint)
        if len(set(self.parts)) < len(self.parts):
            raise ValueError('parts: a part is named twice')


def port_of(endpoint: Endpoint) -> int:
    """Return the port of IP:PORT."""
    return split_endpoint(endpoint)[1]


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return the IP address and the port of IP:PORT.

    Raises
    ------
    ValueError
        The text is not IP:PORT.
    """
    ip, _, port = endpoint.rpartition(':')
    settings_module.check_ip(ip)
    number = int(port)
    if not 0 < number < 1 << 16:
        raise ValueError(f'not a port: {port}')
    return ip, number


def signer(settings: DaemonSettings) -> link.MessageSigner:
    """Return the signer of a process's control messages."""
    return link.MessageSigner(_DEPLOYMENT, _SIGNING_KEY, settings.instance)


def address_of(endpoint: Endpoint) -> settings_module.Address:
    """Convert IP:PORT to an address."""
    ip, port = split_endpoint(endpoint)
    return settings_module.Address(ip=ip, port=port)


def url_of(endpoint: Endpoint) -> str:
    """Return the HTTP URL of IP:PORT."""
    return address_of(endpoint).url


class SettingsFile:
    """The settings of this process, reloaded when their file changes."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self.settings = settings_module.load_settings(path, DaemonSettings)
        self._modified_ns = path.stat().st_mtime_ns

    def require(self, *names: str) -> None:
        """Check that the named fields are set.

        Raises
        ------
        SettingsError
            Some are missing; the message names them.
        """
        missing = [n for n in names if not getattr(self.settings, n)]
        if missing:
            raise errors.SettingsError(
                f'{self._path}: {", ".join(missing)} needed here'
            )

    def reload(self) -> None:
        """Read the file again; keep the current settings if it is invalid."""
        try:
            self._modified_ns = self._path.stat().st_mtime_ns
            reloaded = settings_module.load_settings(
                self._path, DaemonSettings
            )
        except (errors.SettingsError, OSError) as error:
            log.error('settings rejected', error=str(error))
            return
        before, self.settings = self.settings, reloaded
        fields = [
            name
            for name in DaemonSettings.__struct_fields__
            if getattr(before, name) != getattr(reloaded, name)
        ]
        log.info('settings reloaded', changed=fields)

    def reload_if_changed(self) -> None:
        """Read the file again if it has been modified."""
        try:
            modified_ns = self._path.stat().st_mtime_ns
        except OSError as error:
            log.error('settings file not readable', error=str(error))
            return
        if modified_ns != self._modified_ns:
            self.reload()

    async def follow(self) -> None:
        """Check the file in an endless loop; it may change without SIGHUP."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.reload_if_changed()
