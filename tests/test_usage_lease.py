"""The owner of organisations' usage limits."""

import asyncio

import pytest

from lacewingpitch import usage_lease
from tests import clocks

RATE_PER_S = 1000.0
BURST = 2000.0


class Scene:
    """An owner, and messages of entries to it."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.owner = usage_lease.UsageOwner(self.clock)
        self.sequence = 0

    def ask(self, *costs, entry='edge-1', **changed):
        fields = {
            'organisation': 'balcony',
            'rate_per_s': RATE_PER_S,
            'burst': BURST,
            'costs': costs,
            'ahead': 0.0,
        }
        version = changed.pop('version', 1)
        self.sequence = changed.pop('sequence', self.sequence + 1)
        message = usage_lease.UsageAsk(
            entry=entry,
            sequence=self.sequence,
            version=version,
            wants=(usage_lease.UsageWant(**{**fields, **changed}),),
        )
        return asyncio.run(self.owner.grant(message)).grants[0]


@pytest.fixture
def scene():
    return Scene()


def admitted(grant, *costs):
    return sum(c for c, a in zip(costs, grant.admitted, strict=True) if a)


class TestGrant:
    def test_admits_requests_whose_cost_is_available(self, scene):
        assert scene.ask(300.0, 200.0).admitted == (True, True)

    def test_a_small_one_is_admitted_behind_a_large_one(self, scene):
        grant = scene.ask(900.0, 400.0, 10.0)
        assert grant.admitted == (True, False, True)
        assert grant.left == 90.0

    def test_a_request_above_the_burst_waits_for_a_full_bucket(self, scene):
        assert scene.ask(3000.0).admitted == (False,)
        scene.clock.now_s += 1.0
        assert scene.ask(3000.0).admitted == (True,)
        assert scene.ask(1.0).left == -1000.0

    def test_keeps_half_of_the_rest_for_others(self, scene):
        grant = scene.ask(200.0, ahead=5000.0)
        assert grant.ahead == 400.0

    def test_leases_nothing_ahead_while_requests_are_refused(self, scene):
        grant = scene.ask(900.0, 400.0, ahead=5000.0)
        assert not grant.ahead

    def test_never_above_the_rate_and_one_burst(self, scene):
        costs = [90.0] * 10
        granted = 0.0
        for _ in range(160):
            scene.clock.now_s += 0.05
            grant = scene.ask(*costs, ahead=500.0)
            granted += admitted(grant, *costs) + grant.ahead
        assert granted <= 8.0 * RATE_PER_S + BURST


class TestNewOwner:
    def test_begins_with_part_of_a_burst(self, scene):
        """Guards against a full burst at each start of an owner."""
        assert sum(scene.ask(*[1.0] * 5000).admitted) == BURST / 2

    def test_one_that_has_run_for_long_has_a_whole_burst(self, scene):
        scene.clock.now_s += 10.0
        assert sum(scene.ask(*[1.0] * 5000).admitted) == BURST


class TestReturns:
    def test_what_is_not_used_can_be_leased_again(self, scene):
        scene.ask(1000.0)
        assert scene.ask(700.0, unused=800.0).admitted == (True,)

    def test_a_repeated_message_is_credited_once(self, scene):
        """Guards against a repeated message that is credited twice."""
        scene.ask(1000.0)
        scene.ask(800.0, unused=800.0)
        again = scene.ask(800.0, unused=800.0, sequence=scene.sequence)
        assert again.admitted == (False,)

    def test_nothing_comes_back_above_the_burst(self, scene):
        scene.ask(10.0)
        scene.ask(10.0, unused=1e9)
        assert sum(scene.ask(*[1.0] * 5000).admitted) <= BURST


class TestChangedLimit:
    lowered = {'rate_per_s': 10.0, 'burst': 20.0, 'version': 2}

    def test_a_lowered_limit_holds_at_once(self, scene):
        scene.ask(1.0)
        scene.clock.now_s += 10.0
        assert sum(scene.ask(*[1.0] * 900, **self.lowered).admitted) == 20

    def test_an_older_version_does_not_raise_it_again(self, scene):
        """Guards against an entry that does not have the change yet."""
        scene.ask(1.0, **self.lowered)
        scene.clock.now_s += 10.0
        assert sum(scene.ask(*[1.0] * 900, version=1).admitted) <= 20


class TestUnreachableOwner:
    def test_all_entries_together_use_part_of_the_rate(self, scene):
        """Guards against twice the limit while the owner is unreachable."""
        rates = [
            scene.ask(1.0, entry=f'edge-{n}', used_per_s=used_per_s)
            for n, used_per_s in enumerate((100.0, 300.0, 0.0))
        ]
        last = [
            scene.ask(1.0, entry=f'edge-{n}', used_per_s=used_per_s)
            for n, used_per_s in enumerate((100.0, 300.0, 0.0))
        ]
        assert len(rates) == 3
        assert sum(g.unreached_per_s for g in last) <= RATE_PER_S / 2
        assert last[1].unreached_per_s == pytest.approx(375.0)

    def test_entries_that_stopped_asking_get_no_share(self, scene):
        scene.ask(1.0, entry='edge-1', used_per_s=100.0)
        scene.clock.now_s += 20.0
        grant = scene.ask(1.0, entry='edge-2', used_per_s=100.0)
        assert grant.unreached_per_s == RATE_PER_S / 2


class TestBounds:
    def test_evicts_the_least_recently_requested_limit(self, monkeypatch):
        monkeypatch.setattr(usage_lease, '_MAX_ORGANISATIONS', 2)
        scene = Scene()
        for name in ('a', 'b', 'c'):
            scene.clock.now_s += 1.0
            scene.ask(1.0, organisation=name)
        assert len(scene.owner) == 2
