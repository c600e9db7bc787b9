"""Sidecars with engines, and an entry that asks them, in virtual time."""

import asyncio
import random

from benchmarks import virtual_time
from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import crash_record
from lacewingpitch import ejection
from lacewingpitch import engine_controller
from lacewingpitch import errors
from lacewingpitch import metrics
from lacewingpitch import placement
from lacewingpitch import routing
from lacewingpitch import server_gate
from lacewingpitch import settings
from lacewingpitch import suspects
from lacewingpitch import turn_client
from lacewingpitch import turn_spec
from tests import fake_engine
from tests import limit_fakes

SERVICE = 'chat'
TARGET_S = 0.8
DEADLINE_S = 8.0
RUN_S = 0.5


class Sidecars:
    """The link of an entry to engine controllers of the same process."""

    def __init__(self, controllers):
        self._controllers = controllers

    async def request_turn(self, ip, request, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return await self._controllers[ip].request_turn(request)
        except TimeoutError as error:
            raise errors.NoReplyError(ip) from error

    async def end_turns(self, ip, message, timeout_s):
        return await self._controllers[ip].end_turns(message)


class Scene:
    """An entry, and engines with their sidecars."""

    def __init__(self, engine_count, max_running=8):
        self.clock = virtual_time.LoopClock()
        self.engines = [fake_engine.FakeEngine() for _ in range(engine_count)]
        for number, engine in enumerate(self.engines):
            engine.name = f'i-{number}'
        self._table = routing.RoutingTable(random.Random(1))
        limits = routing.EngineLimits(max_running, 3, (fake_engine.MODEL,))
        self._table.apply(
            routing.Configuration(7, (), {SERVICE: limits}, None)
        )
        self.controllers = {
            f'10.0.0.{number}': self._new_controller(engine)
            for number, engine in enumerate(self.engines)
        }
        self._servers = backend_list.BackendList(self.clock)
        self._servers.replace_all(
            backend_list.BackendServer(engine.name, SERVICE, ip, 80, 'z')
            for engine, ip in zip(self.engines, self.controllers, strict=True)
        )
        self.client = self._new_client()
        # Name of the engine, or the refusal, of each request, with the
        # times at which it was asked for and settled.
        self.ends = []

    def _new_controller(self, engine):
        return engine_controller.EngineController(
            engine,
            self._table,
            adapter_versions.AdapterVersions(),
            SERVICE,
            self.clock,
            metrics.Metrics('side-1', 'zone-a'),
            crash_record.CrashRecord(self.clock, random.Random(2)),
        )

    def _new_client(self):
        return turn_client.TurnClient(
            'edge-1',
            Sidecars(self.controllers),
            self._servers,
            placement.Placement(
                self.clock, settings.ObjectiveSettings(stall_weight=1)
            ),
            ejection.Ejector(self.clock, random.Random(1)),
            self.clock,
            lambda ip, version: None,
            lambda count: None,
            suspects.Suspects(self.clock, random.Random(2)),
            limit_fakes.make_limits(self.clock),
            server_gate.ServerGate(
                self._servers, self.clock, random.Random(4)
            ),
        )

    async def __aenter__(self):
        runs = [c.run() for c in self.controllers.values()]
        self._tasks = [
            asyncio.create_task(run) for run in [*runs, self.client.run()]
        ]
        await asyncio.sleep(0.5)
        return self

    async def __aexit__(self, *exception):
        for task in self._tasks:
            task.cancel()
        for controller in self.controllers.values():
            await controller.close()

    async def run(self, name, adapter=''):
        """Acquire a turn, use it for a moment, and record the end."""
        asked_at_s = self.clock.monotonic_s()
        spec = turn_spec.TurnSpec(
            run_id=name,
            attempt=1,
            service=SERVICE,
            model=fake_engine.MODEL,
            adapter=adapter,
            version=0,
            route='r',
            rank=0,
            prompt_tokens=10,
            max_tokens=10,
            expected_tokens=10,
            start_by_s=asked_at_s + DEADLINE_S - 1.0,
            target_at_s=asked_at_s + TARGET_S,
            deadline_at_s=asked_at_s + DEADLINE_S,
        )
        try:
            async with self.client.acquire(spec, ()) as turn:
                end = turn.server.name
                settled_at_s = self.clock.monotonic_s()
                engine = self._engine(end)
                engine.runs.add(name)
                await asyncio.sleep(RUN_S)
                # It has run, and its answer waits.
                await asyncio.sleep(min(DEADLINE_S, engine.silent_left_s))
                engine.runs.discard(name)
        except errors.RefusalError as error:
            end = error
            settled_at_s = self.clock.monotonic_s()
        self.ends.append((name, end, asked_at_s, settled_at_s))

    def _engine(self, name):
        return next(e for e in self.engines if e.name == name)

    async def load(self, per_s, for_s, adapters=('',)):
        """Send requests at a rate, and wait until all have ended."""
        async with asyncio.TaskGroup() as group:
            for number in range(round(per_s * for_s)):
                adapter = adapters[number % len(adapters)]
                group.create_task(self.run(f'r{number}', adapter))
                await asyncio.sleep(1.0 / per_s)

    @property
    def refused(self):
        """Return the refusals of all requests."""
        return [
            end
            for _, end, _, _ in self.ends
            if isinstance(end, errors.RefusalError)
        ]


def play(story, engine_count=2, **options):
    """Run a story with a scene in virtual time; return the scene."""

    async def main():
        async with Scene(engine_count, **options) as scene:
            await story(scene)
            return scene

    return virtual_time.run(main())
