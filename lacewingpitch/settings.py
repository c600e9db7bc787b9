"""Settings of the daemons, read from JSON files."""

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
    """A TCP endpoint, by IP number."""

    ip: Ip
    port: Port

    def __post_init__(self) -> None:
        """Refuse what only looks like an IP number."""
        check_ip(self.ip)

    @property
    def url(self) -> str:
        """Return the HTTP URL of the endpoint."""
        host = f'[{self.ip}]' if ':' in self.ip else self.ip
        return f'http://{host}:{self.port}'


class ProcessSettings(decoding.Record, frozen=True, kw_only=True):
    """What every daemon must know of itself and of the platform.

    Parameters
    ----------
    deployment
        Processes of another deployment are refused.
    secret
        Signs what the processes of a deployment send each other.
    work_port
        HTTP port; callers' at an entry, entries' at a sidecar.
    control_port
        Port for control messages.
    drain_s
        How long a graceful shutdown waits for work in progress.
    key_window_s
        Age up to which an idempotency key is accepted.
    clock_skew_s
        Most that two clocks, a caller's or an instance's, may differ.
    list_lag_s
        Longest that two instances may hold different lists; a sidecar
        whose list is older backs no claims.
    body_timeout_s
        Time within which a request's body must have come.
    stall_timeout_s
        How long the other end may take no byte of an answer.
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

    def __post_init__(self) -> None:
        """Refuse what only looks like an IP number."""
        check_ip(self.ip)


class ObjectiveSettings(decoding.Record, frozen=True):
    """What the operator wants most of the engines.

    Parameters
    ----------
    stall_weight
        Weight of load stalls against batch efficiency.  At 1 requests
        spread over all engines and their slots; towards 0 they are
        packed on as few engines as hold them.
    """

    stall_weight: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5


class StoreSettings(decoding.Record, frozen=True):
    """What the weight store bears, from all sidecars together."""

    loads_per_s: contract.PositiveFloat = 2.0
    loads_at_once: contract.PositiveInt = 1


class EntrySettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of an entry instance.

    Parameters
    ----------
    operator_token_digest
        SHA-256 of the token that opens the report of all customers, in
        lower-case hexadecimal; without it that report is closed.
    """

    objective: ObjectiveSettings = ObjectiveSettings()

    max_body_bytes: contract.PositiveInt = 4 << 20
    max_requests: contract.PositiveInt = 4096
    operator_token_digest: contract.Digest | None = None


class EngineSettings(decoding.Record, frozen=True, tag='engine'):
    """The model engine beside a sidecar.

    Parameters
    ----------
    base_model
        Model that the engine serves.
    adapter_slots
        Adapters that the engine holds at once.
    max_running
        Requests that the engine batches at once.
    """

    address: Address
    base_model: contract.Name
    adapter_slots: contract.PositiveInt
    max_running: contract.PositiveInt


class ServiceSettings(decoding.Record, frozen=True, tag='service'):
    """The plain service beside a sidecar."""

    address: Address
    name: contract.Name
    max_running: contract.PositiveInt


class SidecarSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of a sidecar.

    Parameters
    ----------
    max_queued
        Requests that may wait here.
    max_votes
        Idempotency keys whose votes are remembered.
    """

    backend_server: EngineSettings | ServiceSettings
    objective: ObjectiveSettings = ObjectiveSettings()
    store: StoreSettings = StoreSettings()
    max_queued: contract.PositiveInt = 1024
    max_votes: contract.PositiveInt = 100_000


def check_ip(text: str) -> None:
    """Raise ``ValueError`` unless `text` is an IP number."""
    ipaddress.ip_address(text)


def load_settings(
    path: pathlib.Path, kind: type[SettingsType]
) -> SettingsType:
    """Read settings of one kind from a JSON file.

    Raises
    ------
    SettingsError
        The file cannot be read, or a field is wrong.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(f'{path}: {error.strerror}') from error
    return decoding.decode_json(data, kind, str(path))
