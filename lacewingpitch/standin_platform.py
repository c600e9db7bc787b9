"""Small stand-ins for the configuration service and the live list."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses

from aiohttp import web
import msgspec

from lacewingpitch import config_service
from lacewingpitch import contract
from lacewingpitch import http_server
from lacewingpitch import live_list
from lacewingpitch import published_contracts

_MAX_VALUE_BYTES = 8 << 20


@dataclasses.dataclass(slots=True)
class PlatformFaults:
    """What the stand-in does wrong on command.

    Parameters
    ----------
    config_down, list_down
        Whether every read is refused with status 503.
    config_stale, list_stale
        Whether readers see what was published when the fault began.
    config_jump_back, list_jump_back
        How many publishings readers see undone; the numbers of revisions
        go back with them.
    """

    config_down: bool = False
    list_down: bool = False
    config_stale: bool = False
    list_stale: bool = False
    config_jump_back: int = 0
    list_jump_back: int = 0


class PlatformCalls(msgspec.Struct, frozen=True):
    """Calls that the stand-in counted.

    Parameters
    ----------
    config_waiting
        Watches that wait now.
    """

    config: int
    list: int
    config_waiting: int


_Values = dict[str, config_service.Value]


class StandinPlatform:
    """Publishes values and instances, to be read and watched."""

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._values: list[_Values] = [{}]
        self._lists = [live_list.InstanceList(0, ())]
        self._seen_values: _Values = {}
        self._seen_list = self._lists[0]
        self._revision = 0
        self._config_waiting = 0
        self._changed = asyncio.Condition()
        self._server = http_server.HttpServer(_MAX_VALUE_BYTES)

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
        server.route('GET', '/calls', self._calls)
        await server.start(ip, port)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def publish(self, name: str, content: bytes) -> int:
        """Publish a value as an operator would; return its revision."""
        self._revision += 1
        value = config_service.Value(
            name, self._revision, msgspec.Raw(content)
        )
        self._values.append(self._values[-1] | {name: value})
        await self._show()
        return self._revision

    async def publish_contracts(
        self, contracts: tuple[contract.Contract, ...]
    ) -> None:
        """Publish contracts as one shard with its index."""
        raw = tuple(msgspec.Raw(msgspec.json.encode(c)) for c in contracts)
        shard = published_contracts.ContractShard(contracts=raw)
        revision = await self.publish(
            'contracts.0', msgspec.json.encode(shard)
        )
        index = published_contracts.ContractIndex(
            shards=(
                published_contracts.ShardRevision(
                    name='contracts.0', revision=revision
                ),
            )
        )
        await self.publish(
            published_contracts.INDEX_NAME, msgspec.json.encode(index)
        )

    async def publish_instances(
        self, instances: tuple[live_list.Instance, ...]
    ) -> None:
        """Publish a list of instances."""
        await self._publish_list(msgspec.json.encode(instances))

    async def _publish_list(self, content: bytes) -> None:
        instances = msgspec.json.decode(
            content, type=tuple[live_list.Instance, ...]
        )
        revision = self._lists[-1].revision + 1
        self._lists.append(live_list.InstanceList(revision, instances))
        await self._show()

    async def _show(self) -> None:
        """Let readers see what the faults allow."""
        async with self._changed:
            if not self.faults.config_stale:
                back = min(self.faults.config_jump_back, len(self._values) - 1)
                self._seen_values = self._values[-1 - back]
            if not self.faults.list_stale:
                back = min(self.faults.list_jump_back, len(self._lists) - 1)
                self._seen_list = self._lists[-1 - back]
            self._changed.notify_all()

    async def _value(self, request: web.Request) -> web.Response:
        self.calls['config'] += 1
        if self.faults.config_down:
            return web.Response(status=503)
        name = request.match_info['name']
        after, timeout_s = _watch_of(request)

        def is_newer() -> bool:
            found = self._seen_values.get(name)
            return found is not None and found.revision > after

        self._config_waiting += 1
        try:
            is_found = await self._wait(is_newer, timeout_s)
        finally:
            self._config_waiting -= 1
        if self.faults.config_down:
            return web.Response(status=503)
        if not is_found:
            return web.Response(status=404 if not timeout_s else 204)
        return _json(self._seen_values[name])

    async def _instances(self, request: web.Request) -> web.Response:
        self.calls['list'] += 1
        if self.faults.list_down:
            return web.Response(status=503)
        if any(
            tag.value == str(self._seen_list.revision)
            for tag in request.if_none_match or ()
        ):
            return web.Response(status=304)
        after, timeout_s = _watch_of(request)
        if not await self._wait(
            lambda: self._seen_list.revision > after, timeout_s
        ):
            return web.Response(status=204)
        return _json(self._seen_list)

    async def _wait(
        self, predicate: Callable[[], bool], timeout_s: float
    ) -> bool:
        if predicate() or not timeout_s:
            return predicate()
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(
                    lambda: predicate() or self.faults.config_down
                )
        except TimeoutError:
            return predicate()
        return predicate()

    async def _put_value(self, request: web.Request) -> web.Response:
        await self.publish(request.match_info['name'], await request.read())
        return web.Response()

    async def _put_instances(self, request: web.Request) -> web.Response:
        await self._publish_list(await request.read())
        return web.Response()

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(
            await request.read(), type=PlatformFaults
        )
        await self._show()
        return web.Response()

    async def _calls(self, _request: web.Request) -> web.Response:
        return _json(
            PlatformCalls(
                config=self.calls['config'],
                list=self.calls['list'],
                config_waiting=self._config_waiting,
            )
        )


def _watch_of(request: web.Request) -> tuple[int, float]:
    after = int(request.query.get('after_revision', '0'))
    return after, float(request.query.get('timeout_s', '0'))


def _json(value: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type='application/json'
    )
