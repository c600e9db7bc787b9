"""Faults of the soak: what they do from outside, and when they come."""

import asyncio
import dataclasses
import pathlib
import re
import signal

# Long enough to be seen by every timeout of the system, short enough that
# some come in one run.
_SHORTEST_S = 0.2
_LONGEST_S = 3.0
_LONGEST_PAUSE_S = 0.8
_START_S = 10.0


@dataclasses.dataclass(frozen=True)
class Planned:
    """One fault of a run."""

    at_s: float
    kind: str
    target: str
    for_s: float


async def delay(scene, target, for_s):
    """Bytes of one link come late."""
    link = scene.platform.relays[target]
    link.delay_s = 0.3
    await asyncio.sleep(for_s)
    link.delay_s = 0.0


async def reset(scene, target, for_s):
    """All connections of one link are reset."""
    scene.platform.relays[target].reset()


async def refuse(scene, target, for_s):
    """One link takes no connections."""
    link = scene.platform.relays[target]
    await link.cut()
    await asyncio.sleep(for_s)
    await link.reopen()


async def silence(scene, target, for_s):
    """One link takes connections, and passes nothing on."""
    link = scene.platform.relays[target]
    link.half_open()
    await asyncio.sleep(for_s)
    link.heal()


async def one_way(scene, target, for_s):
    """What comes back on one link is held."""
    link = scene.platform.relays[target]
    link.one_way()
    await asyncio.sleep(for_s)
    link.heal()


async def pause(scene, target, for_s):
    """One process stands still."""
    process = scene.program(target).process
    process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(for_s)
    finally:
        process.send_signal(signal.SIGCONT)


async def kill(scene, target, for_s):
    """One process is killed, and started again a moment later."""
    program = scene.program(target)
    program.process.kill()
    await program.process.wait()
    await asyncio.sleep(for_s / 3)
    await program.start()


async def terminate(scene, target, for_s):
    """One process is told to end, and started again."""
    program = scene.program(target)
    program.process.terminate()
    await program.process.wait()
    await program.start()


async def reload(scene, target, for_s):
    """One process is told to read its settings again."""
    process = scene.program(target).process
    # Before the interpreter runs the program's first lines, nothing in the
    # program can keep the signal from ending it.
    async with asyncio.timeout(_START_S):
        while not _handles_reload(process.pid):
            await asyncio.sleep(0.005)
    process.send_signal(signal.SIGHUP)


def _handles_reload(pid):
    """Whether a process has said what SIGHUP is to do."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    masks = re.findall(r'^Sig(?:Ign|Cgt):\s+(\w+)$', status, re.M)
    handled = int(masks[0], 16) | int(masks[1], 16)
    return bool(handled >> (signal.SIGHUP - 1) & 1)


async def store_down(scene, target, for_s):
    """The store answers that it can't."""
    store = scene.platform.store
    store.is_down = True
    await asyncio.sleep(for_s)
    store.is_down = False


async def history_gone(scene, target, for_s):
    """The store drops what changed before."""
    await scene.platform.store.drop_history()


async def store_goes_back(scene, target, for_s):
    """The store comes back from a copy, and all is written again later."""
    await scene.store_goes_back(for_s)


async def configuration(scene, target, for_s):
    """A new version of the configuration is published."""
    await scene.publish()


async def key_replaced(scene, target, for_s):
    """A key is taken away, and its organisation gets another."""
    await scene.replace_key()


async def engine_restart(scene, target, for_s):
    """An engine restarts empty, and is listed anew."""
    await scene.restart_engine(int(target))


async def torn_stream(scene, target, for_s):
    """An engine breaks its next stream off."""
    scene.platform.engines[int(target)].abort_after_event = 2


async def lost_answer(scene, target, for_s):
    """A service runs a request, and its answer is lost."""
    scene.platform.services[int(target)].aborts_left += 1


# With what each kind is done to: a link, a process, an engine, a service.
KINDS = {
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
BY_NAME = {kind.__name__: kind for kind in KINDS}


def plan(source, targets, length_s):
    """Return the faults of a run, some of which overlap.

    Parameters
    ----------
    targets
        Names of what there is of each sort in `KINDS`.
    """
    names = sorted(BY_NAME)
    found = []
    at_s = 0.0
    while at_s < length_s:
        kind = source.choice(names)
        sort = KINDS[BY_NAME[kind]]
        found.append(
            Planned(
                at_s,
                kind,
                source.choice(targets[sort]),
                source.uniform(_SHORTEST_S, _LONGEST_S),
            )
        )
        at_s += source.uniform(0.0, _LONGEST_PAUSE_S)
    return found
