"""Faults of the cells of the fault matrix, as async contexts.

Each fault heals when its context ends.
"""

import contextlib

import msgspec

from lacewingpitch import live_list
from tests import cell_scene
from tests import processes


@contextlib.asynccontextmanager
async def sidecar_killed(scene, number):
    await scene.deployment.sidecars[number].kill()
    yield
    successor = await scene.deployment.spawn_successor(number)
    await successor.wait_until_listening()


@contextlib.asynccontextmanager
async def sidecar_frozen(scene, number):
    scene.deployment.sidecars[number].freeze()
    yield
    scene.deployment.sidecars[number].resume()


@contextlib.asynccontextmanager
async def entry_killed(scene, _number):
    scene.killed_entries.add(1)
    await scene.deployment.entries[1].kill()
    yield


@contextlib.asynccontextmanager
async def engine_empty(scene, number):
    engine = scene.deployment.engines[number]
    async with scene.deployment.session.post(engine.url + '/restart'):
        yield


@contextlib.asynccontextmanager
async def engine_empty_twice(scene, number):
    load_count = len((await scene.engine_record(number)).loads)
    async with engine_empty(scene, number):

        async def is_used_again():
            is_over = all(task.done() for task in scene.pending)
            return is_over or len(
                (await scene.engine_record(number)).loads
            ) > (load_count)

        await processes.wait_until(is_used_again)
    async with engine_empty(scene, number):
        yield


@contextlib.asynccontextmanager
async def link_cut(scene, number):
    await scene.relays[number].cut()
    yield
    await scene.relays[number].reopen()


@contextlib.asynccontextmanager
async def half_open(scene, number):
    scene.relays[number].half_open()
    yield
    scene.relays[number].heal()


@contextlib.asynccontextmanager
async def config_down(scene, _number):
    platform = scene.deployment.platform
    await scene.deployment.set_faults(platform, config_down=True)
    yield
    await scene.deployment.set_faults(platform, config_down=False)


@contextlib.asynccontextmanager
async def list_wrong(scene, number):
    """Publish a wrong list, in which two instances swap their names."""
    right = list(scene.deployment.instances)
    found = scene.deployment.instances
    found[0], found[1] = (
        msgspec.structs.replace(right[1], name=right[0].name),
        msgspec.structs.replace(right[0], name=right[1].name),
    )
    await scene.publish_instances()
    yield
    found[:] = right
    await scene.publish_instances()


@contextlib.asynccontextmanager
async def load_fails(scene, number):
    engine = scene.deployment.engines[number]
    await scene.deployment.set_faults(engine, failing_loads=2)
    yield


@contextlib.asynccontextmanager
async def stream_cut(scene, number, cut_at=cell_scene.CUT_AFTER_EVENTS):
    engine = scene.deployment.engines[number]
    await scene.deployment.set_faults(engine, cut_after_events=cut_at)
    yield


@contextlib.asynccontextmanager
async def stream_cut_twice(scene, number):
    async with stream_cut(scene, number):

        async def is_resumed():
            return any(
                len(c.tokens()) > cell_scene.CUT_AFTER_EVENTS
                for c in scene.calls
            ) or all(task.done() for task in scene.pending)

        await processes.wait_until(is_resumed)
    async with stream_cut(scene, number, 2 * cell_scene.CUT_AFTER_EVENTS):
        yield


@contextlib.asynccontextmanager
async def no_fault(scene, number):
    yield


@contextlib.asynccontextmanager
async def partition(scene, _number):
    """Cut the fleet in two, and change a contract on one side."""
    for cross_link in scene.cross_links:
        await cross_link.cut()
    await scene.change_versions(scene.next_version())
    await scene.wait_until_in_force(0)
    await scene.wait_until_served(cell_scene.ADAPTERS, 0, 1)
    yield
    for cross_link in scene.cross_links:
        await cross_link.reopen()
    await scene.wait_until_in_force()


@contextlib.asynccontextmanager
async def silent_partition(scene, _number):
    """Partition the fleet by links that stay open and forward nothing."""
    for cross_link in scene.cross_links:
        cross_link.half_open()
    await scene.wait_until_served(cell_scene.ADAPTERS, 0, 1)
    yield
    for cross_link in scene.cross_links:
        cross_link.heal()


@contextlib.asynccontextmanager
async def config_stale(scene, _number):
    platform = scene.deployment.platform
    await scene.deployment.set_faults(platform, config_stale=True)
    await scene.change_versions(scene.next_version())
    scene.send_all()
    yield
    await scene.deployment.set_faults(platform)
    await scene.wait_until_in_force()


@contextlib.asynccontextmanager
async def config_jumps_back(scene, _number):
    """Roll the configuration service back behind a change in force."""
    await scene.change_versions(scene.next_version())
    await scene.wait_until_in_force()
    platform = scene.deployment.platform
    await scene.deployment.set_faults(platform, config_jump_back=2)
    scene.send_all()
    yield
    await scene.deployment.set_faults(platform)


@contextlib.asynccontextmanager
async def version_changed(scene, _number):
    await scene.change_versions(scene.next_version())
    scene.send_all()
    yield
    await scene.wait_until_in_force()


@contextlib.asynccontextmanager
async def version_changed_twice(scene, _number):
    await scene.change_versions(scene.next_version(), scene.next_version(2))
    scene.send_all()
    yield
    await scene.wait_until_in_force()


async def _list_as(scene, number, state):
    found = scene.deployment.instances
    found[number] = msgspec.structs.replace(found[number], state=state)
    await scene.publish_instances()


@contextlib.asynccontextmanager
async def listed_as_leaving(scene, number):
    await _list_as(scene, number, live_list.InstanceState.LEAVING)
    async with scene.forbid_new_runs(number):
        yield
    await _list_as(scene, number, live_list.InstanceState.LIVE)


@contextlib.asynccontextmanager
async def listed_as_leaving_and_live(scene, number):
    await _list_as(scene, number, live_list.InstanceState.LEAVING)
    await _list_as(scene, number, live_list.InstanceState.LIVE)
    yield


@contextlib.asynccontextmanager
async def sidecar_replaced(scene, number):
    """Start a sidecar's successor while it is frozen, then kill it."""
    engine = scene.deployment.engines[number]
    await scene.deployment.set_faults(engine, runs_on=True)
    old = scene.deployment.sidecars[number]
    old.freeze()
    successor = await scene.deployment.spawn_successor(number)

    async def waits_for_port():
        return successor.has_logged('port in use')

    await processes.wait_until(waits_for_port)
    await old.kill()
    yield
    await successor.wait_until_listening()


@contextlib.asynccontextmanager
async def engine_wrong(scene, _number):
    """Have an engine run another adapter than the one requested.

    This happens when another process gives the engine orders.
    """
    scene.has_wrong_engine = True
    engine = scene.deployment.engines[0]
    await scene.deployment.set_faults(engine, wrong_adapter=True)
    yield
    await scene.deployment.set_faults(engine)


@contextlib.asynccontextmanager
async def engine_late(scene, _number):
    for engine in scene.deployment.engines:
        await scene.deployment.set_faults(engine, late_s=0.7)
    yield
    for engine in scene.deployment.engines:
        await scene.deployment.set_faults(engine)


@contextlib.asynccontextmanager
async def sent_again(scene, _number):
    """Send requests with a key once more through the other entry."""
    scene.is_sent_twice = True
    for call in list(scene.calls):
        if call.key and not call.outcome:
            scene.send_again(call)
    yield
    scene.is_sent_twice = False


@contextlib.asynccontextmanager
async def draining(scene, number):
    """Terminate a sidecar, which drains; a successor replaces it."""
    scene.deployment.sidecars[number].terminate()
    async with scene.forbid_new_runs(number):
        yield
    await scene.deployment.sidecars[number].kill()
    successor = await scene.deployment.spawn_successor(number)
    await successor.wait_until_listening()
