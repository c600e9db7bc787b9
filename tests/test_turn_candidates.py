"""Selection of the engines at which a request may get a turn."""

import random

import pytest

from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import hint
from lacewingpitch import placement
from lacewingpitch import server_gate
from lacewingpitch import settings
from lacewingpitch import stall_costs
from lacewingpitch import turn_candidates
from lacewingpitch import turn_spec
from tests import clocks

NAMES = [f'engine-{number}' for number in range(6)]
FAST = {'token_us': 7000}
SLOW = {'token_us': 20_000, 'stalls_per_1000s': 300}


class Scene:
    """The candidates of an entry that places by the pace of engines."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.servers = backend_list.BackendList(self.clock)
        self.servers.replace_all(
            backend_list.BackendServer(name, 'chat', f'10.0.0.{n}', 80, 'z')
            for n, name in enumerate(NAMES, 1)
        )
        self.placement = placement.Placement(
            self.clock,
            settings.ObjectiveSettings(stall_weight=1),
            stall_costs=stall_costs.StallCosts(self.clock, 'edge-1'),
        )
        self.ejector = ejection.Ejector(self.clock, random.Random(1))
        self.candidates = turn_candidates.TurnCandidates(
            self.servers,
            self.placement,
            self.ejector,
            server_gate.ServerGate(self.servers, self.clock, random.Random(2)),
            self.clock,
        )

    def tell(self, slow=(), **fields):
        for name in NAMES:
            self.placement.apply_hint(
                name,
                hint.Hint(
                    running=1,
                    queued=0,
                    max_running=16,
                    load_wait_ms=300,
                    **(SLOW if name in slow else FAST) | fields,
                ),
            )

    def ranked(self, excluded=(), **fields):
        values = {
            'run_id': 'one',
            'attempt': 1,
            'service': 'chat',
            'model': 'm',
            'adapter': 'x',
            'version': 0,
            'route': 'r',
            'rank': 0,
            'prompt_tokens': 10,
            'max_tokens': 300,
            'expected_tokens': 0,
            'start_by_s': 103.0,
            'target_at_s': 100.8,
            'deadline_at_s': 112.0,
            'gap_s': 0.3,
        }
        spec = turn_spec.TurnSpec(**values | fields)
        found = self.candidates.ranked_candidates(spec, excluded).preferred
        return [server.name for server in found]


@pytest.fixture
def scene():
    return Scene()


class TestFallback:
    def test_slow_engine_is_tried_after_the_best(self, scene):
        """A request is refused by full engines while a slow one is idle."""
        before = scene.ranked()
        scene.tell(slow=before[:1])
        found = scene.ranked()
        assert len(found) == 4
        assert found[3] == before[0]

    def test_engine_that_cannot_end_in_time_is_not_tried(self, scene):
        """A request runs until its deadline at a slow engine."""
        before = scene.ranked()
        scene.tell(slow=before[:1])
        found = scene.ranked(max_tokens=900)
        assert before[0] not in found

    def test_excluded_engine_is_not_tried(self, scene):
        before = scene.ranked()
        scene.tell(slow=before[:1])
        assert before[0] not in scene.ranked(excluded=before[:1])

    def test_same_candidates_where_no_pace_is_known(self, scene):
        before = scene.ranked()
        scene.tell(token_us=0, stalls_per_1000s=0)
        assert scene.ranked() == before


class TestNeeds:
    def test_expected_length_goes_before_the_limit(self, scene):
        before = scene.ranked()
        scene.tell(slow=before[:1])
        assert scene.ranked(expected_tokens=4) == before

    def test_pauses_count_where_the_caller_limits_them(self, scene):
        before = scene.ranked()
        scene.tell(slow=before[:1])
        assert scene.ranked(gap_s=0.0) == before
