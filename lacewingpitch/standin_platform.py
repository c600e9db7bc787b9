"""Stand-in for the configuration service and the live list of instances."""

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
    """Faults that the stand-in injects.

    Parameters
    ----------
    config_down, list_down
        Whether every read is refused with status 503.
    config_stale, list_stale
        Whether readers get the content from before the fault began.
    config_jump_back, list_jump_back
        Number of publications that are rolled back for readers, with
        their revision numbers.
    """

    config_down: bool = False
    list_down: bool = False
    config_stale: bool = False
    list_stale: bool = False
    config_jump_back: int = 0
    list_jump_back: int = 0


class PlatformCalls(msgspec.Struct, frozen=True):
    """Numbers of the calls that the stand-in received.

    Parameters
    ----------
    config, list
        Number of reads and watches since the start.
    config_waiting
        Number of watches of values in progress.
    """

    config: int
    list: int
    config_waiting: int


_Values = dict[str, config_service.Value]


class StandinPlatform:
    """Publishes values and instances that clients read and watch."""

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._values: list[_Values] = [{}]
        self._lists = [live_list.InstanceList(0, ())]
        self._visible_values: _Values = {}
        self._visible_list = self._lists[0]
        self._revision = 0
        self._config_waiting = 0
        self._changed = asyncio.Condition()
        self._server = http_server.HttpServer(_MAX_VALUE_BYTES)

    @property
    def port(self) -> int:
        """Return the port on which it listens."""
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
        """Publish a value, as an operator does; return its revision."""
        self._revision += 1
        value = config_service.Value(
            name, self._revision, msgspec.Raw(content)
        )
        self._values.append(self._values[-1] | {name: value})
        await self._update_visible()
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
        await self._update_visible()

    async def _update_visible(self) -> None:
        """Set what readers get, subject to the faults, and wake watchers."""
        async with self._changed:
            if not self.faults.config_stale:
                rollback = min(
                    self.faults.config_jump_back, len(self._values) - 1
                )
                self._visible_values = self._values[-1 - rollback]
            if not self.faults.list_stale:
                rollback = min(
                    self.faults.list_jump_back, len(self._lists) - 1
                )
                self._visible_list = self._lists[-1 - rollback]
            self._changed.notify_all()

    async def _value(self, request: web.Request) -> web.Response:
        self.calls['config'] += 1
        if self.faults.config_down:
            return web.Response(status=503)
        name = request.match_info['name']
        after, timeout_s = _watch_parameters(request)

        def is_newer() -> bool:
            value = self._visible_values.get(name)
            return value is not None and value.revision > after

        self._config_waiting += 1
        try:
            is_found = await self._wait(is_newer, timeout_s)
        finally:
            self._config_waiting -= 1
        if self.faults.config_down:
            return web.Response(status=503)
        if not is_found:
            return web.Response(status=404 if not timeout_s else 204)
        return _json(self._visible_values[name])

    async def _instances(self, request: web.Request) -> web.Response:
        self.calls['list'] += 1
        if self.faults.list_down:
            return web.Response(status=503)
        if any(
            tag.value == str(self._visible_list.revision)
            for tag in request.if_none_match or ()
        ):
            return web.Response(status=304)
        after, timeout_s = _watch_parameters(request)
        if not await self._wait(
            lambda: self._visible_list.revision > after, timeout_s
        ):
            return web.Response(status=204)
        return _json(self._visible_list)

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
        await self._update_visible()
        return web.Response()

    async def _calls(self, _request: web.Request) -> web.Response:
        return _json(
            PlatformCalls(
                config=self.calls['config'],
                list=self.calls['list'],
                config_waiting=self._config_waiting,
            )
        )


def _watch_parameters(request: web.Request) -> tuple[int, float]:
    after = int(request.query.get('after_revision', '0'))
    return after, float(request.query.get('timeout_s', '0'))


def _json(value: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type='application/json'
    )
