"""The faults of the cells; each heals when its context ends."""

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
    await successor.listening()


@contextlib.asynccontextmanager
async def sidecar_frozen(scene, number):
    scene.deployment.sidecars[number].freeze()
    yield
    scene.deployment.sidecars[number].wake()


@contextlib.asynccontextmanager
async def entry_killed(scene, _number):
    scene.lost_entries.add(1)
    await scene.deployment.entries[1].kill()
    yield


@contextlib.asynccontextmanager
async def engine_empty(scene, number):
    engine = scene.deployment.engines[number]
    async with scene.deployment.session.post(engine.url + '/restart'):
        yield


@contextlib.asynccontextmanager
async def engine_empty_twice(scene, number):
    load_count = len((await scene.truth(number)).loads)
    async with engine_empty(scene, number):

        async def is_used_again():
            is_over = all(task.done() for task in scene.asking)
            return is_over or len((await scene.truth(number)).loads) > (
                load_count
            )

        await processes.until(is_used_again)
    async with engine_empty(scene, number):
        yield


@contextlib.asynccontextmanager
async def link_cut(scene, number):
    await scene.relays[number].cut()
    yield
    await scene.relays[number].mend()


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
    """Publish an old list: two names have changed their addresses."""
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
async def stream_cut(scene, number, cut_at=cell_scene.CUT_AT):
    engine = scene.deployment.engines[number]
    await scene.deployment.set_faults(engine, cut_after_events=cut_at)
    yield


@contextlib.asynccontextmanager
async def stream_cut_twice(scene, number):
    async with stream_cut(scene, number):

        async def is_resumed():
            return any(
                len(c.tokens()) > cell_scene.CUT_AT for c in scene.calls
            ) or all(task.done() for task in scene.asking)

        await processes.until(is_resumed)
    async with stream_cut(scene, number, 2 * cell_scene.CUT_AT):
        yield


@contextlib.asynccontextmanager
async def no_fault(scene, number):
    yield


@contextlib.asynccontextmanager
async def partition(scene, _number):
    """Cut the fleet in two; a contract changes on one side meanwhile."""
    for border in scene.borders:
        await border.cut()
    await scene.change_versions(scene.next_version())
    await scene.in_force(0)
    await scene.serve(cell_scene.ADAPTERS, 0, 1)
    yield
    for border in scene.borders:
        await border.mend()
    await scene.in_force()


@contextlib.asynccontextmanager
async def silent_partition(scene, _number):
    """As above, with links that stay open and pass nothing on."""
    for border in scene.borders:
        border.half_open()
    await scene.serve(cell_scene.ADAPTERS, 0, 1)
    yield
    for border in scene.borders:
        border.heal()


@contextlib.asynccontextmanager
async def config_stale(scene, _number):
    platform = scene.deployment.platform
    await scene.deployment.set_faults(platform, config_stale=True)
    await scene.change_versions(scene.next_version())
    scene.ask_all()
    yield
    await scene.deployment.set_faults(platform)
    await scene.in_force()


@contextlib.asynccontextmanager
async def config_jumps_back(scene, _number):
    """Undo a change, at the service, after it was in force."""
    await scene.change_versions(scene.next_version())
    await scene.in_force()
    platform = scene.deployment.platform
    await scene.deployment.set_faults(platform, config_jump_back=2)
    scene.ask_all()
    yield
    await scene.deployment.set_faults(platform)


@contextlib.asynccontextmanager
async def version_changed(scene, _number):
    await scene.change_versions(scene.next_version())
    scene.ask_all()
    yield
    await scene.in_force()


@contextlib.asynccontextmanager
async def version_changed_twice(scene, _number):
    await scene.change_versions(scene.next_version(), scene.next_version(2))
    scene.ask_all()
    yield
    await scene.in_force()


async def _list_as(scene, number, state):
    found = scene.deployment.instances
    found[number] = msgspec.structs.replace(found[number], state=state)
    await scene.publish_instances()


@contextlib.asynccontextmanager
async def told_to_leave(scene, number):
    await _list_as(scene, number, live_list.InstanceState.LEAVING)
    async with scene.leaving(number):
        yield
    await _list_as(scene, number, live_list.InstanceState.LIVE)


@contextlib.asynccontextmanager
async def told_to_leave_and_stay(scene, number):
    await _list_as(scene, number, live_list.InstanceState.LEAVING)
    await _list_as(scene, number, live_list.InstanceState.LIVE)
    yield


@contextlib.asynccontextmanager
async def sidecar_replaced(scene, number):
    """Start its successor while it is frozen, then kill it."""
    engine = scene.deployment.engines[number]
    await scene.deployment.set_faults(engine, runs_on=True)
    old = scene.deployment.sidecars[number]
    old.freeze()
    successor = await scene.deployment.spawn_successor(number)

    async def waits():
        return successor.has_logged('port in use')

    await processes.until(waits)
    await old.kill()
    yield
    await successor.listening()


@contextlib.asynccontextmanager
async def engine_wrong(scene, _number):
    """Have adapters run that are not named, as after foreign orders."""
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
    """Send what has a key once more through the other entry."""
    scene.is_sent_twice = True
    for call in list(scene.calls):
        if call.key and not call.outcome:
            scene.ask_again(call)
    yield
    scene.is_sent_twice = False


@contextlib.asynccontextmanager
async def draining(scene, number):
    """Tell a sidecar to end; another one takes its place."""
    scene.deployment.sidecars[number].terminate()
    async with scene.leaving(number):
        yield
    await scene.deployment.sidecars[number].kill()
    successor = await scene.deployment.spawn_successor(number)
    await successor.listening()
