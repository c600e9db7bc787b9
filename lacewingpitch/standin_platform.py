"""Small stand-ins for the configuration service and the live list."""

import asyncio
import collections
import dataclasses

from aiohttp import web
import msgspec

from lacewingpitch import config_service
from lacewingpitch import contract
from lacewingpitch import contract_book
from lacewingpitch import http_server
from lacewingpitch import live_list


@dataclasses.dataclass(slots=True)
class PlatformFaults:
    """What the stand-in does wrong on command.

    Parameters
    ----------
    config_down, list_down
        Whether every read is refused with status 503.
    """

    config_down: bool = False
    list_down: bool = False


class StandinPlatform:
    """Publishes values and instances, to be read and watched."""

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._values: dict[str, config_service.Value] = {}
        self._list = live_list.InstanceList(0, ())
        self._revision = 0
        self._changed = asyncio.Condition()
        self._server = http_server.HttpServer(1 << 20)

    @property
    def port(self) -> int:
        """Return the port it listens on."""
        return self._server.port

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen on `ip`."""
        server = self._server
        server.route('GET', '/v1/values/{name}', self._value)
        server.route('PUT', '/v1/values/{name}', self._put_value)
        server.route('GET', '/v1/instances', self._instances)
        server.route('PUT', '/v1/instances', self._put_instances)
        server.route('POST', '/faults', self._set_faults)
        await server.start(ip, port)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def publish(self, name: str, content: bytes) -> int:
        """Publish a value as an operator would; return its revision."""
        async with self._changed:
            self._revision += 1
            self._values[name] = config_service.Value(
                name, self._revision, msgspec.Raw(content)
            )
            self._changed.notify_all()
        return self._revision

    async def publish_contracts(
        self, contracts: tuple[contract.Contract, ...]
    ) -> None:
        """Publish contracts as one shard with its index."""
        raw = tuple(msgspec.Raw(msgspec.json.encode(c)) for c in contracts)
        shard = contract_book.ContractShard(contracts=raw)
        revision = await self.publish(
            'contracts.0', msgspec.json.encode(shard)
        )
        index = contract_book.ContractIndex(
            shards=(
                contract_book.ShardRevision(
                    name='contracts.0', revision=revision
                ),
            )
        )
        await self.publish(
            contract_book.INDEX_NAME, msgspec.json.encode(index)
        )

    async def publish_instances(
        self, instances: tuple[live_list.Instance, ...]
    ) -> None:
        """Publish a list of instances."""
        async with self._changed:
            self._list = live_list.InstanceList(
                self._list.revision + 1, instances
            )
            self._changed.notify_all()

    async def _value(self, request: web.Request) -> web.Response:
        self.calls['config'] += 1
        if self.faults.config_down:
            return web.Response(status=503)
        name = request.match_info['name']
        after, timeout_s = _watch_of(request)

        def is_newer() -> bool:
            found = self._values.get(name)
            return found is not None and found.revision > after

        if not await self._wait(is_newer, timeout_s):
            return web.Response(status=404 if not timeout_s else 204)
        return _json(self._values[name])

    async def _instances(self, request: web.Request) -> web.Response:
        self.calls['list'] += 1
        if self.faults.list_down:
            return web.Response(status=503)
        after, timeout_s = _watch_of(request)
        if not await self._wait(
            lambda: self._list.revision > after, timeout_s
        ):
            return web.Response(status=204)
        return _json(self._list)

    async def _wait(
        self, predicate: collections.abc.Callable[[], bool], timeout_s: float
    ) -> bool:
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(predicate)
        except TimeoutError:
            return predicate()
        return True

    async def _put_value(self, request: web.Request) -> web.Response:
        await self.publish(request.match_info['name'], await request.read())
        return web.Response()

    async def _put_instances(self, request: web.Request) -> web.Response:
        await self.publish_instances(
            msgspec.json.decode(
                await request.read(), type=tuple[live_list.Instance, ...]
            )
        )
        return web.Response()

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(
            await request.read(), type=PlatformFaults
        )
        return web.Response()


def _watch_of(request: web.Request) -> tuple[int, float]:
    after = int(request.query.get('after_revision', '0'))
    return after, float(request.query.get('timeout_s', '0'))


def _json(value: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type='application/json'
    )
