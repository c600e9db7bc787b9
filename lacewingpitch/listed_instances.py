"""The published backend servers as instances that placement ranks."""

from collections.abc import Iterator, Mapping, Sequence

from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import live_list
from lacewingpitch import placement as placement_module


class ListedInstances:
    """Converts the published list and passes its changes to placement.

    Placement caches by the identity of a list, so an unchanged list must
    stay the same object.
    """

    def __init__(
        self,
        servers: backend_list.BackendList,
        placement: placement_module.Placement,
    ) -> None:
        self._servers = servers
        self._placement = placement
        self._cache: dict[
            str,
            tuple[
                tuple[backend_list.BackendServer, ...],
                tuple[live_list.Instance, ...],
            ],
        ] = {}

    def serving(self, service: str) -> Sequence[live_list.Instance]:
        """Return the instances that serve a service."""
        servers = self._servers.serving(service)
        cached = self._cache.get(service)
        if cached is not None and cached[0] is servers:
            return cached[1]
        instances = tuple(map(_instance, servers))
        if cached is not None and cached[1] == instances:
            # A new object would make placement compute the costs of all
            # engines again whenever one of them loads an adapter.
            instances = cached[1]
        else:
            self._retain(service, instances)
        self._apply_listed_adapters(cached[0] if cached else (), servers)
        self._cache[service] = (servers, instances)
        return instances

    def _apply_listed_adapters(
        self,
        previous: Sequence[backend_list.BackendServer],
        servers: Sequence[backend_list.BackendServer],
    ) -> None:
        adapters_by_name = {
            server.name: server.adapters for server in previous
        }
        for server in servers:
            if adapters_by_name.get(server.name) is not server.adapters:
                self._placement.apply_listed_adapters(
                    server.name, _slot_names(server.adapters)
                )

    def _retain(
        self, service: str, instances: tuple[live_list.Instance, ...]
    ) -> None:
        others = [
            instance
            for name, (_, cached) in self._cache.items()
            if name != service
            for instance in cached
        ]
        self._placement.retain([*others, *instances])


def _slot_names(adapters: Mapping[str, int]) -> Iterator[str]:
    # Requests name a version only after a newer one has been published,
    # so the adapter is listed with and without its version.
    for key, version in adapters.items():
        model, _, adapter = key.partition('/')
        yield adapter_versions.slot_name(model, adapter, 0)
        yield adapter_versions.slot_name(model, adapter, version)


def _instance(server: backend_list.BackendServer) -> live_list.Instance:
    return live_list.Instance(
        name=server.name,
        role=live_list.Role.SIDECAR,
        region='',
        availability_zone=server.availability_zone,
        ip=server.ip,
        work_port=server.port,
        control_port=0,
        serves=server.service,
    )
