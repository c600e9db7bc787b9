"""Fakes of the configuration service and the links, for contract tests."""

import msgspec

from lacewingpitch import config_service
from lacewingpitch import contract
from lacewingpitch import contract_gossip
from lacewingpitch import contract_registry
from lacewingpitch import errors
from lacewingpitch import live_list
from lacewingpitch import membership
from lacewingpitch import published_contracts
from tests import clocks
from tests import samples


class FakeService:
    """A configuration service with set values; `watch` never waits."""

    def __init__(self):
        self.values = {}
        self.revision = 0
        self.is_down = False
        self.read_names = []

    def put(self, name, content):
        self.revision += 1
        self.put_raw(name, msgspec.json.encode(content), self.revision)

    def put_raw(self, name, content, revision):
        self.values[name] = config_service.Value(
            name, revision, msgspec.Raw(content)
        )

    def put_shards(self, **shards):
        """Publish shards of contracts, and an index of all shards."""
        for name, contracts in shards.items():
            self.put(name, {'contracts': contracts})
        self.put_index()

    def put_index(self):
        index = [
            {'name': name, 'revision': value.revision}
            for name, value in self.values.items()
            if name != published_contracts.INDEX_NAME
        ]
        self.put(published_contracts.INDEX_NAME, {'shards': index})

    async def read(self, name):
        self.read_names.append(name)
        if self.is_down:
            raise errors.PlatformError('down')
        found = self.values.get(name)
        if found and len(found.content) > config_service.MAX_VALUE_BYTES:
            raise errors.PlatformError('too large')
        return found

    async def watch(self, name, after_revision, timeout_s):
        found = await self.read(name)
        return found if found and found.revision > after_revision else None


class FakeNode:
    """The contracts of one process, and its links to others, by port."""

    def __init__(self, fleet, number, role, clock):
        self.name = f'node-{number}'
        self.number = number
        self.role = role
        self.fleet = fleet
        self.clock = clock
        self.restart()

    def restart(self):
        is_entry = self.role is live_list.Role.ENTRY
        self.registry = contract_registry.ContractRegistry(
            None if is_entry else 0
        )
        self.membership = membership.Membership(self.clock)
        self.gossip = contract_gossip.ContractGossip(
            self.registry,
            self.membership,
            self,
            self.clock,
            self.name,
            seed=1,
            settle_timeout_s=2.0,
        )
        self.handlers = {}
        self.gossip.register(self)

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    @property
    def instance(self):
        return samples.sidecar(
            self.name,
            role=self.role,
            availability_zone=f'zone-{self.number % 2}',
            control_port=self.number,
        )

    def peer(self, ip, port):
        return _FakeLink(self, self.fleet.nodes[port])


class _FakeLink:
    def __init__(self, source, target):
        self.source = source
        self.target = target

    async def ask(self, message, kind, timeout_s):
        ends = frozenset((self.source.number, self.target.number))
        if ends in self.source.fleet.broken_links:
            raise errors.LinkError('cut')
        self.source.fleet.sent_kinds.add(type(message))
        data = msgspec.msgpack.encode(message)
        self.source.fleet.sent_bytes.append(len(data))
        received = msgspec.msgpack.decode(data, type=type(message))
        reply = await self.target.handlers[type(message)](received)
        data = msgspec.msgpack.encode(reply)
        self.source.fleet.sent_bytes.append(len(data))
        return msgspec.msgpack.decode(data, type=kind)


class Fleet:
    """Nodes that are connected, except for the pairs in `broken_links`."""

    def __init__(self, *roles):
        self.clock = clocks.ManualClock(1000.0)
        self.broken_links = set()
        self.sent_bytes = []
        self.sent_kinds = set()
        self.nodes = [
            FakeNode(self, number, role, self.clock)
            for number, role in enumerate(roles)
        ]
        self.list_all()

    def list_all(self):
        instances = tuple(node.instance for node in self.nodes)
        for node in self.nodes:
            node.membership.update(live_list.InstanceList(1, instances))


def make_contract(customer, revision, **fields):
    """Return a contract; by default, the customer's name is its key."""
    keys = fields.pop('keys', (customer,))
    return contract.Contract(
        customer=customer,
        revision=revision,
        key_digests=tuple(contract.digest_key(key) for key in keys),
        **fields,
    )
