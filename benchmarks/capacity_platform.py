"""Memory and processor time of an entry on the users' platform, by size.

Run ``make capacity-platform``.  Sizes go up to the target of 1,000
engines.  Times are processor time, the least of a few runs.
"""

import dataclasses
import functools
import json
import random

import msgspec
import structlog

from benchmarks import slopes
from lacewingpitch import answer_needs
from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import hint as hint_module
from lacewingpitch import live_list
from lacewingpitch import peer_bootstrap
from lacewingpitch import placement
from lacewingpitch.platform import wire
from lacewingpitch import settings
from lacewingpitch import stall_costs
from lacewingpitch import turn_messages

ENGINES = (100, 250, 500, 1_000)
SLOTS = 30
_KEYS = 200
_SLOW_INTERVAL = 3
_NEEDS = answer_needs.AnswerNeeds(300, 12.0, True)
_MODEL = 'base-1'


def make_server(number: int, adapters: int = SLOTS) -> bytes:
    """Return a value of the list of backend servers, as published."""
    listed = [f'a{(number * SLOTS + n) % 36_000}@1' for n in range(adapters)]
    model = {'name': _MODEL, 'version': 1, 'adapters': listed}
    entry = {
        'service': 'chat',
        'address': f'10.{number >> 8}.{number & 255}.7:8000',
        'zone': f'zone-{number % 11}',
        'version': 'v1',
        'slots': 32,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 1,
        'stage': 'mixed',
        'models': [model],
    }
    return json.dumps(entry).encode()


def make_servers(count: int) -> list[backend_list.BackendServer]:
    """Return the decoded servers of a whole list."""
    return [
        wire.decode_backend_server(f'i-{n}', make_server(n), n)
        for n in range(count)
    ]


def make_instances(count: int) -> tuple[live_list.Instance, ...]:
    """Return the same servers as instances for placement."""
    return tuple(
        live_list.Instance(
            name=f'i-{n}',
            role=live_list.Role.SIDECAR,
            region='',
            availability_zone=f'zone-{n % 11}',
            ip=f'10.{n >> 8}.{n & 255}.7',
            work_port=8000,
            control_port=0,
            serves='chat',
        )
        for n in range(count)
    )


def make_list(count: int) -> backend_list.BackendList:
    """Return a backend list with a number of servers."""
    found = backend_list.BackendList(clock_module.SystemClock())
    found.replace_all(make_servers(count))
    return found


def make_placement(count: int) -> placement.Placement:
    """Return a placement with the adapters and loads of all engines."""
    clock = clock_module.SystemClock()
    found = placement.Placement(
        clock,
        settings.ObjectiveSettings(stall_weight=1),
        stall_costs=stall_costs.StallCosts(clock, 'edge-1'),
    )
    for number, server in enumerate(make_servers(count)):
        found.apply_listed_adapters(server.name, server.adapters)
        is_slow = number % _SLOW_INTERVAL == 0
        found.apply_hint(server.name, _hint(server, is_slow))
    return found


def _hint(
    server: backend_list.BackendServer, is_slow: bool = False
) -> hint_module.Hint:
    return hint_module.Hint(
        running=10,
        queued=0,
        max_running=32,
        load_wait_ms=300,
        spare_slots=5,
        adapters=hint_module.encode_fingerprints(server.adapters),
        token_us=20_000 if is_slow else 7_000,
        stalls_per_1000s=300 if is_slow else 1,
    )


def measure_list() -> list[slopes.Slope]:
    """Measure the costs of the list of backend servers at an entry."""
    held, taken, changed = [], [], []
    for count in ENGINES:
        held.append(slopes.held_bytes(make_list, count))
        taken.append(slopes.least_us(1, make_servers, count))
        found = make_list(count)
        changed.append(slopes.least_us(1, _change, found, make_servers(1)[0]))
    return [
        slopes.Slope('list held at an entry', 'B', ENGINES, held),
        slopes.Slope('list decoded whole', 'us', ENGINES, taken),
        slopes.Slope('serving() after a change', 'us', ENGINES, changed),
    ]


def _change(
    found: backend_list.BackendList, server: backend_list.BackendServer
) -> None:
    found.put(server)
    found.serving('chat')


def measure_placement() -> list[slopes.Slope]:
    """Measure the costs of selecting an engine at an entry."""
    held, chosen, by_pace, listed = [], [], [], []
    keys = [f'{_MODEL}/a{number * 97 % 36_000}' for number in range(_KEYS)]
    random.Random(1).shuffle(keys)
    for count in ENGINES:
        held.append(slopes.held_bytes(make_placement, count))
        found = make_placement(count)
        instances = make_instances(count)
        found.ranked_instances(keys[0], instances)
        select = functools.partial(_select, found, instances)
        chosen.append(slopes.least_us(_KEYS, slopes.for_each, select, keys))
        rank = functools.partial(_rank, found, instances)
        by_pace.append(slopes.least_us(_KEYS, slopes.for_each, rank, keys))
        servers = make_servers(count)
        listed.append(slopes.least_us(count, _apply_listed, found, servers))
    return [
        slopes.Slope('placement held at an entry', 'B', ENGINES, held),
        slopes.Slope('ranked_instances, for a request', 'us', ENGINES, chosen),
        slopes.Slope('rank, by the pace of engines', 'us', ENGINES, by_pace),
        slopes.Slope(
            'apply_listed_adapters, for a change', 'us', ENGINES, listed
        ),
    ]


def _rank(
    found: placement.Placement,
    instances: tuple[live_list.Instance, ...],
    key: str,
) -> None:
    found.rank(key, instances, _NEEDS)


def _select(
    found: placement.Placement,
    instances: tuple[live_list.Instance, ...],
    key: str,
) -> None:
    name = found.ranked_instances(key, instances)[0].name
    with found.track_request(key, name):
        pass


def _apply_listed(
    found: placement.Placement, servers: list[backend_list.BackendServer]
) -> None:
    for server in servers:
        found.apply_listed_adapters(server.name, server.adapters)


def measure_state() -> list[slopes.Slope]:
    """Measure what peers send to an entry that starts without the store."""
    sizes = []
    for count in ENGINES:
        servers = tuple(
            dataclasses.replace(server, adapters={})
            for server in make_servers(count)
        )
        reply = peer_bootstrap.StateReply(is_known=True, servers=servers)
        sizes.append(len(msgspec.msgpack.encode(reply)))
    return [slopes.Slope('list sent to an entry', 'B', ENGINES, sizes)]


def measure_messages() -> None:
    """Print the sizes of the messages between an entry and a sidecar."""
    server = make_servers(1)[0]
    request = turn_messages.TurnRequest(
        entry='edge-zone-a-1',
        turn_id='9c41d07be2a35f68.1',
        run_id='9c41d07be2a35f68',
        model=_MODEL,
        adapter='a1',
        version=1,
        route='r-4sp5wj2',
        rank=0,
        prompt_tokens=826,
        max_tokens=300,
        wait_ms=400,
        start_within_ms=2800,
        target_ms=800,
        deadline_ms=12_000,
    )
    reply = turn_messages.TurnReply(
        backend_server=server.name,
        version=1,
        configuration_version=7,
        entry_count=380,
        hint=_hint(server),
    )
    for message in (request, reply):
        # Without the envelope and its signature, about 100 bytes.
        size = len(msgspec.msgpack.encode(message))
        print(f'| {type(message).__name__} | {size} B |')


def main() -> None:
    """Print all results."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    print(
        '| subject | sizes | slope | intercept | residual | at the largest |'
    )
    print('| --- | --- | --- | --- | --- | --- |')
    slopes.show(measure_list())
    slopes.show(measure_placement())
    slopes.show(measure_state())
    measure_messages()


if __name__ == '__main__':
    main()
