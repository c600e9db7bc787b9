"""Moves of runs under any order of answers, losses, restarts and leavers."""

import asyncio

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from benchmarks import virtual_time
from lacewingpitch import errors
from tests import move_fakes

FAULTS = [
    None,
    move_fakes.Outcome.REFUSED,
    move_fakes.Outcome.BUSY,
    move_fakes.Outcome.NO_ROOM,
    'lost before',
    'lost after',
]
# Longer than the deadlines of all requests and the life of all copies.
_END_S = 40.0
names = st.sampled_from(move_fakes.NAMES)


class Moves(stateful.RuleBasedStateMachine):
    """An entry, three engines and their callers."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
        self.scene = self.runner.run(self._scene())
        self.is_framed = True

    async def _scene(self):
        return move_fakes.Scene()

    def run(self, function, *args, settle_s=0.0, **fields):
        async def main():
            function(*args, **fields)
            await asyncio.sleep(settle_s)

        self.runner.run(main())

    @stateful.rule(length=st.integers(1, 120))
    def start(self, length):
        self.run(self.scene.start, length)

    @stateful.rule(time_s=st.sampled_from([0.001, 0.01, 0.05, 0.3, 1.0]))
    def advance(self, time_s):
        self.run(lambda: None, settle_s=time_s)

    @stateful.rule(
        name=names, leaves_in_s=st.sampled_from([0.0, 0.2, 0.8, 3.0])
    )
    def leave(self, name, leaves_in_s):
        self.run(self.scene.leave, name, leaves_in_s=leaves_in_s)

    @stateful.rule(name=names)
    def crash(self, name):
        self.run(self.scene.fleet.crash, name)

    @stateful.rule(name=names)
    def unlist(self, name):
        self.run(self.scene.servers.remove, name)

    @stateful.rule(name=names)
    def restart(self, name):
        self.run(self._restart, name)

    def _restart(self, name):
        self.scene.fleet.crash(name)
        engine = self.scene.fleet.engines[name]
        engine.is_up = True
        engine.started_at_ms += 1
        self.scene.servers.put(engine.server())

    @stateful.rule(faults=st.lists(st.sampled_from(FAULTS), max_size=4))
    def plan_faults(self, faults):
        self.scene.fleet.faults = list(faults)

    @stateful.rule(copy_s=st.sampled_from([0.001, 0.02, 0.4]))
    def set_copy_time(self, copy_s):
        self.scene.fleet.copy_s = copy_s

    @stateful.rule(refusals=st.integers(0, 2))
    def refuse_continued(self, refusals):
        self.scene.fleet.refusals = refusals

    @stateful.rule(has_turns=st.booleans())
    def set_turns(self, has_turns):
        self.scene.fleet.has_turns = has_turns

    @stateful.rule(is_framed=st.booleans())
    def set_framing(self, is_framed):
        self.scene.fleet.is_framed = is_framed

    @stateful.precondition(lambda self: self.scene.callers)
    @stateful.rule(data=st.data())
    def disconnect(self, data):
        callers = self.scene.callers
        caller = callers[data.draw(st.sampled_from(sorted(callers)))]
        self.run(caller.task.cancel)

    @stateful.invariant()
    def no_rule_is_broken(self):
        assert not self.scene.fleet.broken_rules
        assert max(self.scene.fleet.used.values(), default=0) <= 1
        for caller in self.scene.callers.values():
            count = caller.event_count
            found = b''.join(map(move_fakes.event, range(1, count + 1)))
            assert caller.body == found

    def teardown(self):
        try:
            self.runner.run(self._check_end())
        finally:
            self.runner.close()

    async def _check_end(self):
        await asyncio.sleep(_END_S)
        scene = self.scene
        self.no_rule_is_broken()
        for request_id, caller in scene.callers.items():
            self._check_caller(request_id, caller)
        assert not any(scene.fleet.turns_open.values())
        scene.fleet.expire()
        assert not scene.fleet.copies
        assert not any(e.runs for e in scene.fleet.engines.values())
        assert not scene.mover.run_count
        assert not scene.mover._transfers
        await scene.mover.close()

    def _check_caller(self, request_id, caller):
        assert caller.task.done()
        if caller.task.cancelled():
            return
        if caller.is_complete:
            assert caller.event_count == self.scene.fleet.lengths[request_id]
            return
        assert isinstance(caller.refusal, errors.RefusalError)
        if caller.event_count:
            assert caller.refusal.kind is errors.ErrorKind.ANSWER_CUT


Moves.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
TestMoves = Moves.TestCase
