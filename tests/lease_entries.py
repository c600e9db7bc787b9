"""Customer limits of several entries in one process, over a faulty link."""

import asyncio

from lacewingpitch import contract
from lacewingpitch import customer_limits
from lacewingpitch import errors
from lacewingpitch import limit_handover
from lacewingpitch import limit_lease
from lacewingpitch import limit_ownership
from tests import samples

DELAY_S = 0.001
TIMEOUT_S = 0.3
REGION = 'default'


class Contracts:
    """The contracts in force, the same at every entry."""

    def __init__(self):
        self._contracts = {}

    def contract(self, customer):
        return self._contracts.get(customer)

    def add(self, customer, revision=1, **fields):
        found = contract.Contract(
            customer=customer,
            revision=revision,
            key_digests=(),
            region=REGION,
            limits=contract.Limits(**fields),
        )
        self._contracts[customer] = found
        return found


def make_instance(number):
    return samples.entry(f'entry-{number}', region=REGION, control_port=1)


class LeaseEntry:
    """The real limits of one entry instance."""

    def __init__(self, clock, instance, contracts, link):
        self.instance = instance
        self.name = instance.name
        self.ownership = limit_ownership.LimitOwnership(
            clock, instance.name, REGION
        )
        self.owner = limit_lease.LimitOwner(clock, self.ownership, contracts)
        self.granter = limit_handover.LeaseGranter(
            clock, self.ownership, self.owner, link
        )
        self.limits = customer_limits.CustomerLimits(
            clock, self.ownership, self.owner, self.granter, link
        )
        self.awake = asyncio.Event()
        self.awake.set()

    async def tick(self):
        while True:
            await asyncio.sleep(customer_limits.TICK_INTERVAL_S)
            await self.awake.wait()
            self.limits.tick()


class Entries:
    """Entries that can be partitioned, paused and killed."""

    def __init__(self, clock, count):
        self.contracts = Contracts()
        self.broken_links = set()
        self.dead = set()
        instances = [make_instance(number) for number in range(count)]
        self.all = {
            instance.name: LeaseEntry(
                clock, instance, self.contracts, _Link(self, instance.name)
            )
            for instance in instances
        }
        for entry in self.all.values():
            entry.ownership.update(1, instances)
        self.revision = 1
        self._ticks = [
            asyncio.create_task(entry.tick()) for entry in self.all.values()
        ]

    def close(self):
        for entry in self.all.values():
            entry.limits.close()
        for tick in self._ticks:
            tick.cancel()

    def owner_of(self, customer):
        entry = next(iter(self.all.values()))
        found = entry.ownership.owner(customer, REGION)
        return self.all[found.name] if found else entry

    def partition(self, some):
        """Break the links between `some` and the others, in both ways."""
        for one in some:
            for other in set(self.all) - set(some):
                self.broken_links |= {(one, other), (other, one)}

    def publish(self, names, to=None):
        """Publish an instance list to all entries, or to those in `to`."""
        self.revision += 1
        instances = [self.all[name].instance for name in names]
        for name in to if to is not None else self.all:
            self.all[name].ownership.update(self.revision, instances)

    async def reach(self, sender, owner):
        entry = self.all[owner.name]
        await asyncio.sleep(DELAY_S)
        blocked = (sender, owner.name) in self.broken_links
        if blocked or owner.name in self.dead or not entry.awake.is_set():
            await asyncio.sleep(TIMEOUT_S)
            raise errors.LinkError('no reply')
        return entry.granter


class _Link:
    def __init__(self, entries, sender):
        self._entries = entries
        self._sender = sender

    async def ask(self, owner, ask):
        granter = await self._entries.reach(self._sender, owner)
        reply = await granter.grant(ask)
        await asyncio.sleep(DELAY_S)
        return reply

    async def hand_over(self, owner, message):
        granter = await self._entries.reach(self._sender, owner)
        reply = await granter.hand_over(message)
        await asyncio.sleep(DELAY_S)
        return reply
