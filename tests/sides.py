"""A fleet of real processes on two sides that relays connect."""

import contextlib

import msgspec

from lacewingpitch import live_list
from lacewingpitch import settings
from tests import processes
from tests import relay


class Sides:
    """Two sides of a fleet, each with its own platform and entries.

    The list of each side gives the addresses of relays for the instances
    of the other side.  Use it as an async context.

    Parameters
    ----------
    zones
        The zones of the sidecars, one letter for each sidecar.
    left_count
        Number of sidecars on side 0, the left one.
    entries
        The side and the zone of each entry.
    joins_entries
        Whether each side's list contains the other side's entries.
    own_config
        Whether each side reads contracts from its own platform.
    entry_fields, fields
        Settings of the entries, and of all processes.
    engine_options
        Options of the stand-in engines.
    """

    def __init__(
        self,
        deployment,
        *,
        zones,
        left_count,
        entries=((0, 'a'), (1, 'a')),
        joins_entries=False,
        own_config=False,
        entry_fields=(),
        engine_options=(),
        **fields,
    ):
        self.deployment = deployment
        self.left_count = left_count
        self.relays = []
        self._zones = zones
        self._entries = entries
        self._entry_sides = []
        self._joins_entries = joins_entries
        self._own_config = own_config
        self._entry_fields = dict(entry_fields)
        self._engine_options = engine_options
        self._fields = fields
        self._remote_ports = {}
        self._exits = contextlib.AsyncExitStack()

    async def __aenter__(self):
        found = self.deployment
        self.platforms = [
            found.platform,
            await found.run('standin', 'platform'),
        ]
        for number, zone in enumerate(self._zones):
            side = int(number >= self.left_count)
            await found.add_engine(
                *self._engine_options,
                availability_zone=f'zone-{zone}',
                **self._settings(side),
            )
        self.sidecars = tuple(found.instances)
        for side, zone in self._entries:
            await self.add_entry(side, zone)
        await self.publish(live_list.InstanceState.LIVE)
        self.published = [dict(found.contracts) for _ in self.platforms]
        for side in range(2 if self._own_config else 1):
            await self.publish_contracts(side)
        for entry in found.entries:
            await found.wait_until_ready(entry)
        return self

    async def __aexit__(self, *exception):
        await self._exits.aclose()

    def _settings(self, side):
        port = self.platforms[side].ports['work_port']
        platform = settings.Address(ip=processes.IP, port=port)
        found = {'live_list': platform, **self._fields}
        if self._own_config:
            found['config_service'] = platform
        return found

    async def add_entry(self, side, zone):
        """Start another entry; `publish` adds it to the lists."""
        self._entry_sides.append(side)
        return await self.deployment.add_entry(
            availability_zone=f'zone-{zone}',
            **self._settings(side),
            **self._entry_fields,
        )

    async def publish_contracts(self, side):
        """Publish the contracts in `published` for one side."""
        await self.deployment.publish_contracts(
            self.platforms[side], self.published[side]
        )

    def entries(self, side):
        """Return the entry processes of a side."""
        return [
            entry
            for entry, found in zip(
                self.deployment.entries, self._entry_sides, strict=True
            )
            if found == side
        ]

    async def publish(self, state):
        """Publish both lists, with the other side's instances in a state."""
        for side, platform in enumerate(self.platforms):
            listed = [
                found
                for instance in self.deployment.instances
                if (found := await self._instance_for(instance, side, state))
            ]
            await self.deployment.put(platform, '/v1/instances', tuple(listed))

    async def _instance_for(self, instance, side, state):
        """Return an instance as one side lists it, or ``None``."""
        if self._side(instance) == side:
            return instance
        is_entry = instance.role is live_list.Role.ENTRY
        if is_entry and not self._joins_entries:
            return None
        if instance.name not in self._remote_ports:
            self._remote_ports[instance.name] = {
                name: await self._relay(getattr(instance, name))
                for name in ('work_port', 'control_port')
            }
        return msgspec.structs.replace(
            instance, state=state, **self._remote_ports[instance.name]
        )

    def _side(self, instance):
        number = int(instance.name.rpartition('-')[2])
        if instance.role is live_list.Role.ENTRY:
            return self._entry_sides[number]
        return int(number >= self.left_count)

    async def _relay(self, port):
        made = await self._exits.enter_async_context(relay.Relay(port))
        self.relays.append(made)
        return made.port

    async def split(self, how):
        """Cut the links between the sides.

        Parameters
        ----------
        how
            ``cut`` refuses connections, ``half-open`` keeps them and
            forwards nothing, anything else forwards one way only.
        """
        for link in self.relays:
            if how == 'cut':
                await link.cut()
            elif how == 'half-open':
                link.half_open()
            else:
                link.one_way()

    async def heal(self):
        """Forward everything again, including what was held back."""
        for link in self.relays:
            await link.reopen()
