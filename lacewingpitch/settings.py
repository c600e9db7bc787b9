"""Settings of the daemons, loaded from JSON files."""

import ipaddress
import pathlib
from typing import Annotated, TypeVar

import msgspec

from lacewingpitch import contract
from lacewingpitch import decoding
from lacewingpitch import errors

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Secret = Annotated[str, msgspec.Meta(min_length=16)]
Ip = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-fA-F.:]+\Z')]

SettingsType = TypeVar('SettingsType')


class Address(decoding.Record, frozen=True):
    """The IP address and port of a TCP endpoint."""

    ip: Ip
    port: Port

    def __post_init__(self) -> None:
        """Reject text that matches the pattern but is no IP address."""
        check_ip(self.ip)

    @property
    def url(self) -> str:
        """Return the HTTP URL of the endpoint."""
        host = f'[{self.ip}]' if ':' in self.ip else self.ip
        return f'http://{host}:{self.port}'


class ProcessSettings(decoding.Record, frozen=True, kw_only=True):
    """Settings that entries and sidecars share.

    Parameters
    ----------
    deployment
        Name of the deployment.  Messages and orders of processes of
        another deployment are refused.
    secret
        Key that signs the messages between the processes of a
        deployment.
    work_port
        HTTP port for requests: of callers at an entry, of entries at a
        sidecar.
    control_port
        Port for control messages.
    drain_s
        Maximum time that a graceful shutdown waits for work in progress.
    key_window_s
        Maximum age of an idempotency key.
    clock_skew_s
        Maximum difference between two clocks, of callers or instances.
    list_lag_s
        Maximum time for which two instances may have different instance
        lists.  A sidecar whose list is older votes for no claims.
    body_timeout_s
        Time limit for receiving the body of a request.
    stall_timeout_s
        Maximum time for which the receiver of an answer may accept no
        data.
    memory_mb
        Memory of the machine; by default what the operating system reports.
    max_descriptors
        Largest number of open file descriptors; by default the limit of the
        operating system.
    """

    deployment: contract.Name
    secret: Secret
    instance: contract.Name
    availability_zone: contract.Name
    region: contract.Name
    ip: Ip
    work_port: Port
    control_port: Port
    config_service: Address
    live_list: Address
    drain_s: contract.PositiveFloat = 600.0
    key_window_s: contract.PositiveFloat = 600.0
    clock_skew_s: contract.PositiveFloat = 5.0
    list_lag_s: contract.PositiveFloat = 60.0
    body_timeout_s: contract.PositiveFloat = 30.0
    stall_timeout_s: contract.PositiveFloat = 30.0
    memory_mb: contract.PositiveFloat | None = None
    max_descriptors: contract.PositiveInt | None = None

    def __post_init__(self) -> None:
        """Reject text that matches the pattern but is no IP address."""
        check_ip(self.ip)


class ObjectiveSettings(decoding.Record, frozen=True):
    """The operator's trade-off between load stalls and batching.

    Parameters
    ----------
    stall_weight
        Weight of avoiding load stalls against batch efficiency.  At 1
        requests spread over all engines and their adapter slots; towards
        0 they are packed onto as few engines as can hold them.
    """

    stall_weight: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5


class StoreSettings(decoding.Record, frozen=True):
    """Limits on loads from the weight store, for all sidecars together.

    Parameters
    ----------
    loads_per_s
        Maximum rate of loads.
    loads_at_once
        Maximum number of concurrent loads.
    """

    loads_per_s: contract.PositiveFloat = 2.0
    loads_at_once: contract.PositiveInt = 1


class EntrySettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of an entry instance.

    Parameters
    ----------
    operator_token_digest
        SHA-256 of the token that grants access to the report of all
        customers, in lower-case hexadecimal.  ``None`` disables that
        report.
    """

    objective: ObjectiveSettings = ObjectiveSettings()

    max_body_bytes: contract.PositiveInt = 4 << 20
    max_requests: contract.PositiveInt = 4096
    operator_token_digest: contract.Digest | None = None


class EngineSettings(decoding.Record, frozen=True, tag='engine'):
    """The model engine that a sidecar serves.

    Parameters
    ----------
    base_model
        Name of the model that the engine serves.
    adapter_slots
        Number of adapters that the engine can hold at the same time.
    max_running
        Maximum number of requests that the engine runs in one batch.
    """

    address: Address
    base_model: contract.Name
    adapter_slots: contract.PositiveInt
    max_running: contract.PositiveInt


class ServiceSettings(decoding.Record, frozen=True, tag='service'):
    """The plain service, one without adapters, that a sidecar serves.

    Parameters
    ----------
    max_running
        Maximum number of requests that the service runs concurrently.
    """

    address: Address
    name: contract.Name
    max_running: contract.PositiveInt


class SidecarSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of a sidecar.

    Parameters
    ----------
    max_queued
        Maximum number of requests that wait in the queue.
    max_votes
        Maximum number of idempotency keys for which votes are stored.
    """

    backend_server: EngineSettings | ServiceSettings
    objective: ObjectiveSettings = ObjectiveSettings()
    store: StoreSettings = StoreSettings()
    max_queued: contract.PositiveInt = 1024
    max_votes: contract.PositiveInt = 100_000


def check_ip(text: str) -> None:
    """Raise ``ValueError`` unless `text` is an IP address."""
    ipaddress.ip_address(text)


def load_settings(
    path: pathlib.Path, kind: type[SettingsType]
) -> SettingsType:
    """Load settings of type `kind` from a JSON file.

    Raises
    ------
    SettingsError
        The file cannot be read, or a field is invalid.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(f'{path}: {error.strerror}') from error
    return decoding.decode_json(data, kind, str(path))
