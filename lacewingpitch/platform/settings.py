"""Settings of the daemons on the platform, in the product's names.

`deploy/settings.json` is the template from which the platform writes the
file, at each start and whenever a setting changes.
"""

from lacewingpitch import contract
from lacewingpitch import decoding
from lacewingpitch import link
from lacewingpitch import settings as settings_module

Endpoint = str
_DEPLOYMENT = 'lacewingpitch'
# The control messages cross the platform's internal network, which only
# the system's own instances reach.  The signature tells damaged messages
# and those of another version apart; it is no secret.
_SEAL = 'lacewingpitch-internal-network'


class DaemonSettings(decoding.Record, frozen=True, kw_only=True):
    """What a process is told of itself and of its bounds.

    Parameters
    ----------
    store
        Address of the platform's store, as IP:PORT.
    internal_port
        Port of control messages, the same at every instance.
    callers
        Where an entry listens for callers.
    ready
        Where an entry is asked whether it is ready.
    engine
        Address of the engine beside a sidecar.
    service
        Service that this engine belongs to.
    drain_s
        Time between the signal to end and the end by force.
    retry_ratio
        Retries allowed per request of a service, over all entries.
    retry_allowance
        Further retries in a window, over all entries.
    """

    instance: contract.Name
    availability_zone: contract.Name
    ip: settings_module.Ip
    internal_port: settings_module.Port
    store: Endpoint
    callers: Endpoint = ''
    ready: Endpoint = ''
    engine: Endpoint = ''
    service: str = ''
    drain_s: contract.PositiveFloat
    retry_ratio: float
    retry_allowance: float

    def __post_init__(self) -> None:
        """Refuse what only looks like an address."""
        settings_module.check_ip(self.ip)
        for endpoint in (self.store, self.callers, self.ready, self.engine):
            if endpoint:
                split_endpoint(endpoint)


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return IP number and port of IP:PORT.

    Raises
    ------
    ValueError
        It is no such address.
    """
    ip, _, port = endpoint.rpartition(':')
    settings_module.check_ip(ip)
    number = int(port)
    if not 0 < number < 1 << 16:
        raise ValueError(f'no port: {port}')
    return ip, number


def sealer(settings: DaemonSettings) -> link.Sealer:
    """Return what signs the control messages of a process."""
    return link.Sealer(_DEPLOYMENT, _SEAL, settings.instance)


def url_of(endpoint: str) -> str:
    """Return the HTTP URL of IP:PORT."""
    ip, port = split_endpoint(endpoint)
    return settings_module.Address(ip=ip, port=port).url
