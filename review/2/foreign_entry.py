"""Entries of another writer in the list of servers.

The first lacks fields, and counts a server's start in nanoseconds.  After it,
what that server says of itself takes no effect.  In the second, one field is
a number that no float can hold.  After it, no entry takes effect any more.
"""

import asyncio
import pathlib
import time

from standins import case
from standins import client
from standins import fleet as fleet_module
from standins import servers

_ENTRIES = (31, 32, 33, 34)
_PLAIN_SERVERS = 4
# As `water-cmd`.
_OBJECTIVE_MS = 125
_DEADLINE_MS = 1500
_REQUESTS = 12
_DRAIN_S = fleet_module.BOUNDS['drainMs'] / 1000
_CONTACT_S = fleet_module.BOUNDS['contactMs'] / 1000
# Requests come so long after the end of the time that the rule allows.
_MARGIN_S = 0.5
_REMAINING_MS = '1' + 400 * '0'
_READY_WITHIN_S = 8.0


class Leaving(servers.Server):
    """A plain server that says in its answers that it leaves."""

    def answer_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of an answer to a request that ran."""
        headers = super().answer_headers(request_id)
        if self.state == 'draining':
            headers |= {'Server-Leaving': '1', 'Connection': 'close'}
        return headers


async def _post(
    fleet: fleet_module.Fleet, entry: fleet_module.Program, request_id: str
) -> None:
    request = client.head(
        'POST',
        '/order/x',
        {
            'Host': fleet_module.HOST,
            'Request-Id': request_id,
            'Deadline-Ms': str(_DEADLINE_MS),
            'Content-Length': '0',
            'Connection': 'close',
        },
    )
    fleet.record.line('client', 'sends', request_id, 'to', entry.ip)
    answer = await client.call(
        fleet.callers(entry), request, _DEADLINE_MS / 1000
    )
    fleet.record.line('client', 'got', request_id, answer.status, answer.error)


async def _post_all(
    fleet: fleet_module.Fleet,
    entries: list[fleet_module.Program],
    prefix: str,
) -> None:
    await asyncio.gather(
        *(
            _post(fleet, entry, f'{prefix}-{n}-{number}')
            for n, entry in enumerate(entries)
            for number in range(_REQUESTS)
        )
    )


async def _is_ready_in_time(fleet: fleet_module.Fleet) -> bool:
    """Whether an entry that starts now becomes ready."""
    try:
        async with asyncio.timeout(_READY_WITHIN_S):
            await fleet.add_entry(35)
    except TimeoutError:
        return False
    return True


def _incomplete_entry(address: str) -> str:
    """Return an entry without version, coldRemainingMs and sequence."""
    return (
        f'{{"service":"{fleet_module.PLAIN}","address":"{address}",'
        f'"zone":"hall-a","slots":64,"state":"ready",'
        f'"born":{time.time_ns()}}}'
    )


def _useless_number() -> str:
    """Return an entry of an unknown service, with a number of 401 digits."""
    return (
        '{"service":"svc-other","address":"127.0.0.1:9","zone":"hall-a",'
        '"version":"v1","slots":1,"state":"ready","coldRemainingMs":0,'
        f'"sequence":1,"remainingMs":{_REMAINING_MS}}}'
    )


async def _drain(
    fleet: fleet_module.Fleet,
    entries: list[fleet_module.Program],
    server: Leaving,
) -> int:
    """Have a server leave; return how many requests reach it too late."""
    await asyncio.sleep(_CONTACT_S)
    server.state = 'draining'
    await fleet.list_server(server)
    acknowledged_s = time.monotonic()
    await asyncio.sleep(_DRAIN_S + _MARGIN_S)
    prefix = f'after-{server.name}'
    await _post_all(fleet, entries, prefix)
    return sum(
        at_s > acknowledged_s + _DRAIN_S and request_id.startswith(prefix)
        for at_s, request_id, _ in server.arrivals
    )


async def _play(fleet: fleet_module.Fleet, has_trouble: bool) -> int:
    record = fleet.record
    await fleet.store.put(
        'op/config',
        fleet_module.configuration(
            order={
                'type': 'unsafe',
                'timeoutMs': _DEADLINE_MS,
                'targetLatencyMs': _OBJECTIVE_MS,
            }
        ),
    )
    engine = servers.Engine('i-1', fleet_module.ENGINES, record)
    await fleet.add_sidecar(11, engine)
    plain = [
        Leaving(f'p-{number}', fleet_module.PLAIN, record)
        for number in range(_PLAIN_SERVERS)
    ]
    for number, server in enumerate(plain):
        await fleet.add_server(server, fleet.ip(21 + number))
    entries = [await fleet.add_entry(n) for n in _ENTRIES]
    await _post_all(fleet, entries, 'before')
    if has_trouble:
        content = _incomplete_entry(fleet.addresses[plain[0].name])
        await fleet.write_foreign(f'servers/{plain[0].name}', content)
        # The server writes its own entry again.
        await fleet.list_server(plain[0])
    late = [await _drain(fleet, entries, plain[0])]
    for line in entries[0].log_lines('earlier start')[:1]:
        record.line('log of', entries[0].ip, line)
    if has_trouble:
        await fleet.write_foreign('servers/x-1', _useless_number())
    late.append(await _drain(fleet, entries, plain[1]))
    for line in entries[0].log_lines('task failed')[:1]:
        record.line('log of', entries[0].ip, line)
    for server, count in zip(plain, late, strict=False):
        record.result(
            f'DRAIN: {count} requests reached {server.name} later than '
            f'drainMs after the store had taken that it is draining'
        )
    record.result(
        f'an entry that starts now is ready within {_READY_WITHIN_S:g} s: '
        f'{await _is_ready_in_time(fleet)}'
    )
    if sum(len(server.arrivals) for server in plain) < _REQUESTS:
        record.result('too few requests ran')
        return case.NOT_RUN
    return case.BROKEN if any(late) else case.HELD


if __name__ == '__main__':
    case.main(pathlib.Path(__file__).parent, _play)
