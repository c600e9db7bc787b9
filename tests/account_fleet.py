"""Simulated entries in one process, which tests can kill and replace.

Control messages are direct calls between the entries.
"""

import itertools
import types

from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import account_query
from lacewingpitch import contract
from lacewingpitch import contract_registry
from lacewingpitch import errors
from lacewingpitch import link
from lacewingpitch import report
from tests import clocks
from tests import samples

ZONES = ('zone-a', 'zone-b', 'zone-c')


class Entry:
    """One incarnation of an entry, with account, copies and reporter."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.port = next(fleet.ports)
        self.account = account_module.Account(
            account_module.AccountId(
                name, f'{self.port}', zone, fleet.clock.wall_s()
            ),
            fleet.clock,
        )
        self.instance = samples.entry(
            name,
            availability_zone=zone,
            control_port=self.port,
            started_at_s=fleet.clock.wall_s(),
        )
        self.node = types.SimpleNamespace(
            settings=types.SimpleNamespace(instance=name, region='region-a'),
            clock=fleet.clock,
            membership=fleet,
            peers=types.SimpleNamespace(peer=self._peer),
            signer=link.MessageSigner('test', 'x' * 16, name),
            contract_registry=fleet.registry,
        )
        self.holder = account_copy.CopyHolder()
        self.copier = account_copy.AccountCopier(
            self.node, self.account, self.holder
        )
        self.reader = account_query.AccountReader(
            self.account, self.holder, self.copier
        )
        self.reporter = report.Reporter(self.node, self.reader)

    def _peer(self, _ip, port):
        return types.SimpleNamespace(
            ask=lambda message, _kind, _s: self._ask(port, message)
        )

    async def _ask(self, port, message):
        entry = self.fleet.by_port.get(port)
        if entry is None or {self.name, entry.name} & self.fleet.cut_off:
            raise errors.LinkError('no reply')
        if isinstance(message, account_copy.AccountCopy):
            return await entry.holder.merge(message)
        return await entry.reader.answer(message)

    def serve(self, customer, count=1):
        """Count `count` served requests of a customer."""
        for _ in range(count):
            with self.account.track_request('id') as tally:
                self.account.identify(tally, self.fleet.contract(customer))
                tally.record_delivery()


class Fleet:
    """Running entries, and the list of instances.

    ``cut_off`` has the names of entries that no message reaches or
    leaves.
    """

    def __init__(self, size=3):
        self.clock = clocks.ManualClock(clocks.WALL_START_S)
        self.ports = itertools.count(1)
        self.by_port = {}
        self.cut_off = set()
        self.listed = {}
        self.registry = contract_registry.ContractRegistry()
        self.entries = {}
        for number in range(size):
            self.add(f'entry-{number}')

    @property
    def instances(self):
        return tuple(self.listed.values())

    def contract(self, customer):
        customer_contract = contract.Contract(
            customer=customer, revision=1, key_digests=()
        )
        self.registry.accept(customer_contract)
        return customer_contract

    def add(self, name):
        """Start an entry, or the next incarnation of one."""
        zone = ZONES[int(name.split('-')[1]) % len(ZONES)]
        entry = Entry(self, name, zone)
        self.by_port[entry.port] = entry
        self.entries[name] = entry
        self.listed[name] = entry.instance
        return entry

    def kill(self, name):
        """Kill an entry, losing its memory; it stays in the list."""
        entry = self.entries.pop(name)
        del self.by_port[entry.port]
        return entry

    def unlist(self, name):
        del self.listed[name]

    async def copy_rounds(self, count=1):
        """Run copy rounds at every entry, one entry after another."""
        for _ in range(count):
            self.clock.now_s += account_copy.COPY_INTERVAL_S
            for entry in tuple(self.entries.values()):
                await entry.copier.copy_once()
