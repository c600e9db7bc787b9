"""Faults of the soak test and their schedule.

Seeded schedules draw from the sorted names of the fault functions, so that
a renamed fault changes the schedule of every seed.
"""

import asyncio
import dataclasses
import pathlib
import re
import signal

# The longest faults exceed every timeout of the system; the others are
# short enough for several in one run.
_MIN_FAULT_S = 0.2
_MAX_FAULT_S = 3.0
_MAX_PAUSE_S = 0.8
_START_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class PlannedFault:
    """One scheduled fault of a run."""

    at_s: float
    kind: str
    target: str
    for_s: float


async def delay(scene, target, for_s):
    """Delay the bytes on one link."""
    link = scene.platform.relays[target]
    link.delay_s = 0.3
    await asyncio.sleep(for_s)
    link.delay_s = 0.0


async def reset(scene, target, for_s):
    """Reset all connections of one link."""
    scene.platform.relays[target].reset()


async def refuse(scene, target, for_s):
    """Refuse connections on one link."""
    link = scene.platform.relays[target]
    await link.cut()
    await asyncio.sleep(for_s)
    await link.reopen()


async def silence(scene, target, for_s):
    """Accept connections on one link, and forward nothing."""
    link = scene.platform.relays[target]
    link.half_open()
    await asyncio.sleep(for_s)
    link.heal()


async def one_way(scene, target, for_s):
    """Hold back the answers on one link."""
    link = scene.platform.relays[target]
    link.one_way()
    await asyncio.sleep(for_s)
    link.heal()


async def pause(scene, target, for_s):
    """Suspend one process."""
    process = scene.program(target).process
    process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(for_s)
    finally:
        process.send_signal(signal.SIGCONT)


async def kill(scene, target, for_s):
    """Kill one process, and start it again a moment later."""
    program = scene.program(target)
    program.process.kill()
    await program.process.wait()
    await asyncio.sleep(for_s / 3)
    await program.start()


async def terminate(scene, target, for_s):
    """Terminate one process, and start it again once it has ended."""
    program = scene.program(target)
    program.process.terminate()
    await program.process.wait()
    await program.start()


async def reload(scene, target, for_s):
    """Have one process reload its settings."""
    process = scene.program(target).process
    # SIGHUP ends a process whose program has not yet installed a handler.
    async with asyncio.timeout(_START_TIMEOUT_S):
        while not _handles_reload(process.pid):
            await asyncio.sleep(0.005)
    process.send_signal(signal.SIGHUP)


def _handles_reload(pid):
    """Return whether a process handles or ignores SIGHUP."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    masks = re.findall(r'^Sig(?:Ign|Cgt):\s+(\w+)$', status, re.M)
    handled = int(masks[0], 16) | int(masks[1], 16)
    return bool(handled >> (signal.SIGHUP - 1) & 1)


async def store_down(scene, target, for_s):
    """Have the store answer every request with an error."""
    store = scene.platform.store
    store.is_down = True
    await asyncio.sleep(for_s)
    store.is_down = False


async def history_gone(scene, target, for_s):
    """Have the store drop its history of changes."""
    await scene.platform.store.drop_history()


async def store_goes_back(scene, target, for_s):
    """Restore the store from a backup, and write the lost keys again later."""
    await scene.restore_backup(for_s)


async def configuration(scene, target, for_s):
    """Publish a new version of the configuration."""
    await scene.publish()


async def key_replaced(scene, target, for_s):
    """Revoke an API key, and give its organisation another."""
    await scene.replace_key()


async def engine_restart(scene, target, for_s):
    """Restart an engine without adapters, and list its new incarnation."""
    await scene.restart_engine(int(target))


async def torn_stream(scene, target, for_s):
    """Have an engine abort its next stream."""
    scene.platform.engines[int(target)].abort_after_event = 2


async def lost_answer(scene, target, for_s):
    """Have a service run a request and lose its answer."""
    scene.platform.services[int(target)].aborts_left += 1


# The kind of target of each fault.
TARGET_KINDS = {
    delay: 'link',
    reset: 'link',
    refuse: 'link',
    silence: 'link',
    one_way: 'link',
    pause: 'process',
    kill: 'process',
    terminate: 'process',
    reload: 'process',
    store_down: 'store',
    history_gone: 'store',
    store_goes_back: 'store',
    configuration: 'store',
    key_replaced: 'store',
    engine_restart: 'engine',
    torn_stream: 'engine',
    lost_answer: 'service',
}
BY_NAME = {kind.__name__: kind for kind in TARGET_KINDS}


def plan(rng, targets, length_s):
    """Return the schedule of the faults of a run, some of which overlap.

    Parameters
    ----------
    targets
        Names of the targets by the kinds of targets in `TARGET_KINDS`.
    """
    names = sorted(BY_NAME)
    found = []
    at_s = 0.0
    while at_s < length_s:
        kind = rng.choice(names)
        target_kind = TARGET_KINDS[BY_NAME[kind]]
        found.append(
            PlannedFault(
                at_s,
                kind,
                rng.choice(targets[target_kind]),
                rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S),
            )
        )
        at_s += rng.uniform(0.0, _MAX_PAUSE_S)
    return found
