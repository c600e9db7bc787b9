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
        self._known: dict[
            str,
            tuple[
                tuple[backend_list.BackendServer, ...],
                tuple[live_list.Instance, ...],
            ],
        ] = {}

    def serving(self, service: str) -> Sequence[live_list.Instance]:
        """Return the instances that serve a service."""
        servers = self._servers.serving(service)
        known = self._known.get(service)
        if known is not None and known[0] is servers:
            return known[1]
        found = tuple(map(_instance, servers))
        if known is not None and known[1] == found:
            # A new object would make placement compute the costs of all
            # engines again whenever one of them loads an adapter.
            found = known[1]
        else:
            self._retain(service, found)
        self._apply_listed_adapters(known[0] if known else (), servers)
        self._known[service] = (servers, found)
        return found

    def _apply_listed_adapters(
        self,
        before: Sequence[backend_list.BackendServer],
        servers: Sequence[backend_list.BackendServer],
    ) -> None:
        known = {server.name: server.adapters for server in before}
        for server in servers:
            if known.get(server.name) is not server.adapters:
                self._placement.apply_listed_adapters(
                    server.name, _slot_names(server.adapters)
                )

    def _retain(
        self, service: str, instances: tuple[live_list.Instance, ...]
    ) -> None:
        others = [
            instance
            for name, (_, found) in self._known.items()
            if name != service
            for instance in found
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
