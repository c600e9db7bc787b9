"""Entries and fakes of sidecars, for the search for engines with room."""

import asyncio
import dataclasses
import random

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import cached_copies
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import hint
from lacewingpitch import placement
from lacewingpitch import server_gate
from lacewingpitch import settings
from lacewingpitch import suspects
from lacewingpitch import turn_client
from lacewingpitch import turn_messages
from lacewingpitch import turn_spec
from tests import limit_fakes

TARGET_S = 0.8
RUN_S = 1.5
LONG_S = 60.0
LOAD_S = 0.3
LIST_LAG_S = 0.5
ONE_WAY_S = 0.002
MODEL = 'm'


class Sidecar:
    """One engine, whose sidecar grants its turns in order of arrival.

    Attributes
    ----------
    down
        Begin and end of the time in which the engine is down.
    refusal
        Why it refuses all; ``None`` to decide by its turns.
    is_silent
        Whether it answers nothing.
    """

    def __init__(self, server, turn_count, clock):
        self.server = server
        self.turn_count = turn_count
        self.down = (0.0, 0.0)
        self.refusal = None
        self.is_silent = False
        self.held = set()
        self.ends_at_s = {}
        self.asks = []
        self.most_running = 0
        self.load_count = 0
        self._clock = clock
        self._random = random.Random(server.name)

    @property
    def is_down(self):
        return self.down[0] <= self._clock.monotonic_s() < self.down[1]

    def wait_s(self, adapter):
        """Return the expected wait for a turn."""
        now_s = self._clock.monotonic_s()
        ahead = len(self.ends_at_s) - self.turn_count
        turn_s = 0.0
        if ahead >= 0:
            ends_at_s = sorted(self.ends_at_s.values())
            turn_s = max(
                0.0, ends_at_s[min(ahead, len(ends_at_s) - 1)] - now_s
            )
        return max(turn_s, 0.0 if adapter in self.held else LOAD_S)

    async def request_turn(self, request):
        """Grant or refuse a turn as a sidecar would."""
        self.asks.append(request)
        if self.refusal is not None:
            is_full = self.refusal is errors.ErrorKind.DEADLINE_UNREACHABLE
            return self._reply(
                refusal=self.refusal,
                wait_ms=900 * is_full,
                retry_after_ms=400,
            )
        if self.is_down:
            return self._down_reply()
        key = f'{MODEL}/{request.adapter}'
        wait_s = self.wait_s(key)
        allowed_s = max(0.4, 0.6 * request.target_ms / 1000)
        if request.accept_within_ms:
            allowed_s = min(allowed_s, request.accept_within_ms / 1000)
        if wait_s > allowed_s:
            return self._refusal(wait_s, allowed_s)
        self.load_count += key not in self.held
        self.held.add(key)
        now_s = self._clock.monotonic_s()
        self.ends_at_s[request.turn_id] = now_s + wait_s + RUN_S
        self.most_running = max(self.most_running, len(self.ends_at_s))
        await asyncio.sleep(wait_s)
        return self._reply()

    def fill(self):
        """Occupy all turns, and as many again by waiting requests."""
        for number in range(2 * self.turn_count):
            self.ends_at_s[f'long-{number}'] = LONG_S

    def end(self, turn_id):
        self.ends_at_s.pop(turn_id, None)

    def _down_reply(self):
        return self._reply(
            refusal=errors.ErrorKind.DRAINING,
            detail='the engine is down',
            retry_after_ms=self._random.randint(1500, 3000),
        )

    def _refusal(self, wait_s, allowed_s):
        retry_after_s = wait_s - allowed_s + self._random.uniform(0.1, 0.4)
        return self._reply(
            refusal=errors.ErrorKind.DEADLINE_UNREACHABLE,
            retry_after_ms=int(retry_after_s * 1000),
            wait_ms=int(wait_s * 1000),
        )

    def _reply(self, **fields):
        running = min(len(self.ends_at_s), self.turn_count)
        return turn_messages.TurnReply(
            backend_server=self.server.name,
            started_at_ms=self.server.started_at_ms,
            hint=hint.Hint(
                running=running,
                queued=len(self.ends_at_s) - running,
                max_running=self.turn_count,
                load_wait_ms=int(LOAD_S * 1000),
                spare_slots=4,
                adapters=hint.encode_fingerprints(self.held),
            ),
            **fields,
        )


class Link:
    """Carries the messages of one entry."""

    def __init__(self, sidecars):
        self._sidecars = sidecars
        self.ask_count = 0
        self.asked = []

    async def request_turn(self, ip, request, timeout_s):
        self.ask_count += 1
        self.asked.append(self._sidecars[ip].server.name)
        if self._sidecars[ip].is_silent:
            await asyncio.sleep(timeout_s)
            raise errors.NoReplyError(ip)
        await asyncio.sleep(ONE_WAY_S)
        reply = await self._sidecars[ip].request_turn(request)
        await asyncio.sleep(ONE_WAY_S)
        return reply

    async def end_turns(self, ip, message, _timeout_s):
        for turn_id in message.turn_ids:
            self._sidecars[ip].end(turn_id)
        return turn_messages.TurnEndsReply()


class Entry:
    """One entry with what it has heard."""

    def __init__(self, number, fleet, search):
        clock = fleet.clock
        name = f'edge-{number}'
        source = random.Random(number)
        self.link = Link(fleet.sidecars)
        self.servers = backend_list.BackendList(clock)
        self.servers.replace_all(s.server for s in fleet.sidecars.values())
        self.gate = server_gate.ServerGate(self.servers, clock, source)
        self.ejector = ejection.Ejector(clock, source)
        self.suspects = suspects.Suspects(clock, source)
        self.client = turn_client.TurnClient(
            name,
            self.link,
            self.servers,
            placement.Placement(
                clock,
                settings.ObjectiveSettings(stall_weight=1),
                no_spare_slot_penalty_s=0.0,
                load_max_age_s=2.0,
                cached_copies=cached_copies.CachedCopies(),
                instance=name,
            ),
            self.ejector,
            clock,
            lambda _ip, _version: None,
            lambda _count: None,
            self.suspects,
            limit_fakes.make_limits(clock, has_sidecar=False),
            self.gate,
            search,
        )


class Fleet:
    """Engines and entries.

    Parameters
    ----------
    new_search
        Returns the search of each entry from a source of chance.
    """

    def __init__(self, engine_count, entry_count, turn_count, new_search):
        self.clock = virtual_time.LoopClock()
        self.sidecars = {}
        for number in range(engine_count):
            ip = f'10.0.{number // 250}.{number % 250 + 1}'
            server = backend_list.BackendServer(
                f'i-{number}', 'chat', ip, 80, 'z', started_at_ms=1000
            )
            self.sidecars[ip] = Sidecar(server, turn_count, self.clock)
        self.entries = [
            Entry(number, self, new_search(random.Random(2000 + number)))
            for number in range(entry_count)
        ]

    @property
    def ask_count(self):
        return sum(entry.link.ask_count for entry in self.entries)

    async def publish(self):
        """Publish which adapters the engines hold, as the list does."""
        while True:
            await asyncio.sleep(LIST_LAG_S)
            for sidecar in self.sidecars.values():
                if len(sidecar.held) == len(sidecar.server.adapters):
                    continue
                sidecar.server = dataclasses.replace(
                    sidecar.server, adapters=dict.fromkeys(sidecar.held, 1)
                )
                for entry in self.entries:
                    entry.servers.put(sidecar.server)

    def spec(self, name, adapter, **fields):
        now_s = self.clock.monotonic_s()
        values = {
            'run_id': name,
            'attempt': 1,
            'service': 'chat',
            'model': MODEL,
            'adapter': adapter,
            'version': 0,
            'route': 'r',
            'rank': 0,
            'prompt_tokens': 10,
            'max_tokens': 10,
            'expected_tokens': 10,
            'start_by_s': now_s + 5.0,
            'target_at_s': now_s + TARGET_S,
            'deadline_at_s': now_s + 12.0,
        }
        return turn_spec.TurnSpec(**{**values, **fields})
