"""Time until a change of a contract is in force in real processes.

Run ``python -m benchmarks.contracts``.  Every time is also given as a
ratio to that of a direct watch: by an entry that is elected to watch the
configuration service.
"""

import asyncio
import pathlib
import statistics
import tempfile
import time

import msgspec

from lacewingpitch import contract_gossip
from lacewingpitch import contract_registry
from lacewingpitch import contract_versions
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import standin_platform
from tests import contract_fakes
from tests import processes

ENTRY_COUNT = 8
SIDECAR_COUNT = 4
ROUND_COUNT = 12
POLL_INTERVAL_S = 0.002
IDLE_S = 30.0
CUSTOMER_COUNT = 36_000


class Fleet:
    """Entries and sidecars of one zone, and control links to them."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.revision = 1
        self._signer = link.MessageSigner('test', deployment.secret, 'bench')
        self._peers = {}

    async def start(self):
        for _ in range(SIDECAR_COUNT):
            await self.deployment.add_engine()
        for _ in range(ENTRY_COUNT):
            await self.deployment.add_entry()
        self.deployment.add_customer('haneul', 'ficus')
        await self.deployment.publish()

    @property
    def all(self):
        return self.deployment.entries + self.deployment.sidecars

    async def change(self):
        """Publish the next revision; return the time when publishing began."""
        self.revision += 1
        contracts = self.deployment.contracts
        contracts['haneul'] = msgspec.structs.replace(
            contracts['haneul'], revision=self.revision
        )
        started_s = time.monotonic()
        await self.deployment.publish_contracts()
        return started_s

    async def wait_for_revision(self, process):
        port = process.ports['control_port']
        if port not in self._peers:
            self._peers[port] = link.Peer(self._signer, processes.IP, port)
        request = contract_gossip.ContractsRequest(customers=('haneul',))
        while True:
            reply = await self._peers[port].ask(
                request, contract_gossip.ContractsReply, 60.0
            )
            if reply.versions[0].version.revision >= self.revision:
                return time.monotonic()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def is_watcher(self, process):
        async with self.deployment.session.get(
            process.url + '/readyz'
        ) as response:
            status = msgspec.json.decode(
                await response.read(), type=contract_gossip.ContractStatus
            )
        return status.is_watcher

    async def calls(self):
        async with self.deployment.session.get(
            self.deployment.platform.url + '/calls'
        ) as response:
            return msgspec.json.decode(
                await response.read(), type=standin_platform.PlatformCalls
            )


def show(name, times_s, direct_s):
    median_s = statistics.median(times_s)
    worst_s = max(times_s)
    print(
        f'{name:<44} n={len(times_s):<4} median {median_s:.4f} s'
        f' ({median_s / direct_s:.1f} of direct),'
        f' worst {worst_s:.4f} s ({worst_s / direct_s:.1f})',
        flush=True,
    )


async def measure_service_up(fleet):
    watchers = [
        process
        for process in fleet.deployment.entries
        if await fleet.is_watcher(process)
    ]
    direct, others = [], []
    for _ in range(ROUND_COUNT):
        started_s = await fleet.change()
        known_at_s = await asyncio.gather(
            *(fleet.wait_for_revision(process) for process in fleet.all)
        )
        for process, at_s in zip(fleet.all, known_at_s, strict=True):
            times = direct if process in watchers else others
            times.append(at_s - started_s)
    print(f'{len(watchers)} of {ENTRY_COUNT} entries watch the service')
    direct_s = statistics.median(direct)
    show('service up, direct watch', direct, direct_s)
    show('service up, from peers', others, direct_s)
    return direct_s


async def measure_service_down(fleet, direct_s):
    """Stop the service as soon as one process has the change."""
    times = []
    platform = fleet.deployment.platform
    for _ in range(3):
        await fleet.change()
        tasks = [
            asyncio.create_task(fleet.wait_for_revision(p)) for p in fleet.all
        ]
        done, _ = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        accepted_at_s = min(task.result() for task in done)
        await fleet.deployment.set_faults(platform, config_down=True)
        times += [
            max(0.0, at_s - accepted_at_s)
            for at_s in await asyncio.gather(*tasks)
        ]
        await fleet.deployment.set_faults(platform)
        await asyncio.sleep(1.0)
    show('service down after the first, from there', times, direct_s)


async def measure_paused(fleet, direct_s):
    times = []
    for paused in (*fleet.deployment.entries[:3], fleet.all[-1]):
        paused.freeze()
        await fleet.change()
        await asyncio.gather(
            *(fleet.wait_for_revision(p) for p in fleet.all if p is not paused)
        )
        resumed_at_s = time.monotonic()
        paused.resume()
        times.append(await fleet.wait_for_revision(paused) - resumed_at_s)
    show('paused, from waking', times, direct_s)


async def measure_leaving(fleet):
    """Measure the time from publishing the list to the first refusal."""
    deployment = fleet.deployment
    times = []
    for number, sidecar in enumerate(deployment.sidecars[:-1]):
        deployment.instances = [
            msgspec.structs.replace(i, state=live_list.InstanceState.LEAVING)
            if i.name == f'sidecar-{number}'
            else i
            for i in deployment.instances
        ]
        started_s = time.monotonic()
        await deployment.publish_instances()
        await wait_until_leaving(deployment, sidecar)
        times.append(time.monotonic() - started_s)
    print(
        f'leaving, from the list to refusals: n={len(times)}'
        f' median {statistics.median(times):.4f} s'
        f' worst {max(times):.4f} s'
    )


async def wait_until_leaving(deployment, sidecar):
    while True:
        async with deployment.session.get(sidecar.url + '/readyz') as answer:
            if answer.status == 503:
                return
        await asyncio.sleep(POLL_INTERVAL_S)


async def measure_calls(fleet):
    before = await fleet.calls()
    await asyncio.sleep(IDLE_S)
    after = await fleet.calls()
    per_s = (after.config - before.config) / IDLE_S
    print(
        f'configuration service: {per_s:.2f} calls/s,'
        f' {after.config_waiting} watches waiting, {ENTRY_COUNT} entries,'
        f' {SIDECAR_COUNT} sidecars'
    )
    zones = 11
    watchers = zones * contract_gossip.WATCHERS_PER_ZONE
    per_watcher = per_s / contract_gossip.WATCHERS_PER_ZONE
    print(
        f'at 1,380 nodes in {zones} zones: {watchers} watches waiting,'
        f' {watchers * per_watcher:.1f} calls/s;'
        f' with no elected watcher heard: at most 380 waiting,'
        f' {380 * per_watcher:.0f} calls/s'
    )


def resident_bytes():
    text = pathlib.Path('/proc/self/statm').read_text()
    return int(text.split()[1]) * 4096


def measure_memory():
    """Print the memory of a full registry and the sizes of messages."""
    before = resident_bytes()
    registry = contract_registry.ContractRegistry()
    for number in range(CUSTOMER_COUNT):
        name = f'customer-{number:05}'
        made = contract_fakes.make_contract(name, 1, keys=(f'key-{number}',))
        registry.accept_json(msgspec.json.encode(made), 'bench')
    middle = resident_bytes()
    sidecar = contract_registry.ContractRegistry(capacity_contracts=1024)
    for version in registry.versions.in_leaves(range(256)):
        sidecar.record_version(str(version.customer), version.version)
    after = resident_bytes()
    print(
        f'{CUSTOMER_COUNT} contracts without adapters at an entry:'
        f' {(middle - before) / 1e6:.1f} MB;'
        f' versions alone at a sidecar: {(after - middle) / 1e6:.1f} MB'
    )
    leaf = contract_gossip.VersionsReply(
        versions=registry.versions.in_leaves([0])
    )
    digest = contract_gossip.DigestReply(
        root=registry.versions.root, leaves=registry.versions.leaves()
    )
    same = contract_gossip.DigestReply(root=registry.versions.root)
    sizes = [len(msgspec.msgpack.encode(m)) for m in (same, digest, leaf)]
    print(
        'message bytes: equal {}, hashes of leaves {}, one leaf {}'.format(
            *sizes
        )
    )
    made = registry.contract('customer-00000')
    started_s = time.perf_counter()
    for _ in range(1000):
        contract_versions.version_of(made)
    cost_s = (time.perf_counter() - started_s) / 1000
    print(f'version of a contract: {cost_s * 1e6:.1f} microseconds')


async def main():
    measure_memory()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        async with processes.Deployment(path) as deployment:
            fleet = Fleet(deployment)
            await fleet.start()
            direct_s = await measure_service_up(fleet)
            await measure_service_down(fleet, direct_s)
            await measure_paused(fleet, direct_s)
            await measure_calls(fleet)
            await measure_leaving(fleet)


if __name__ == '__main__':
    asyncio.run(main())
