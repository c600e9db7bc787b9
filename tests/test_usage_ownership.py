"""Ownership of organisations' limits by sidecars."""

import collections
import dataclasses

from lacewingpitch import backend_list
from lacewingpitch import usage_ownership
from tests import clocks

ENGINES = tuple(
    backend_list.BackendServer(f'i-{n}', 'chat', f'10.0.0.{n}', 80, 'zone-a')
    for n in range(1, 9)
)
PLAIN = backend_list.BackendServer('p-1', 'portal', '10.0.9.1', 80, 'zone-a')
NAMES = [f'organisation-{n}' for n in range(200)]


class Servers:
    position = (1, 1)

    def __init__(self, *listed):
        self.listed = listed

    def all(self):
        return self.listed


class Scene:
    def __init__(self, *listed):
        self.clock = clocks.ManualClock(100.0)
        self.servers = Servers(*listed)
        self.owners = usage_ownership.UsageOwnership(
            self.servers, lambda service: service == 'chat', self.clock
        )

    def all(self):
        return [self.owners.owner(name) for name in NAMES]


def assert_only_moved_from(ip, before, after):
    """Check that the limits of one owner, and no others, moved."""
    assert ip not in after
    moved = [a for a, b in zip(after, before, strict=True) if a != b]
    assert len(moved) == before.count(ip)


class TestOwner:
    def test_all_entries_find_the_same(self):
        scene = Scene(*ENGINES, PLAIN)
        assert scene.all() == Scene(*reversed(ENGINES)).all()

    def test_plain_services_have_no_sidecar(self):
        assert Scene(PLAIN).owners.owner('a') == ''
        assert PLAIN.ip not in Scene(*ENGINES, PLAIN).all()

    def test_limits_are_distributed(self):
        counts = collections.Counter(Scene(*ENGINES).all())
        assert len(counts) == len(ENGINES)
        assert max(counts.values()) < len(NAMES) / 2

    def test_stays_while_its_engine_restarts(self):
        """Guards against a new burst with each restart of an engine."""
        scene = Scene(*ENGINES)
        before = scene.all()
        scene.servers.listed = ENGINES[1:]
        scene.clock.now_s += 5.0
        assert scene.all() == before
        restarted = dataclasses.replace(ENGINES[0], name='i-99')
        scene.servers.listed = (restarted, *ENGINES[1:])
        scene.clock.now_s += 5.0
        assert scene.all() == before

    def leave(self, scene, *engines):
        scene.servers.listed = tuple(
            dataclasses.replace(engine, is_leaving=engine in engines)
            for engine in ENGINES
        )
        scene.clock.now_s += 1.0

    def test_a_leaving_owner_stays_while_it_answers(self):
        """Guards against a burst of a second owner as an engine leaves."""
        scene = Scene(*ENGINES)
        before = scene.all()
        self.leave(scene, ENGINES[0])
        assert scene.all() == before
        self.leave(scene, *ENGINES)
        assert scene.all() == before

    def test_a_leaving_owner_that_has_ended_is_replaced(self):
        """Guards against limits whose owner ends along with its engine."""
        scene = Scene(*ENGINES)
        before = scene.all()
        self.leave(scene, ENGINES[0])
        scene.all()
        scene.owners.mark_unresponsive(ENGINES[0].ip)
        assert_only_moved_from(ENGINES[0].ip, before, scene.all())
        self.leave(scene, ENGINES[0])
        assert_only_moved_from(ENGINES[0].ip, before, scene.all())

    def test_an_engine_that_follows_at_the_address_owns_again(self):
        scene = Scene(*ENGINES)
        before = scene.all()
        self.leave(scene, ENGINES[0])
        scene.all()
        scene.owners.mark_unresponsive(ENGINES[0].ip)
        assert ENGINES[0].ip not in scene.all()
        self.leave(scene)
        assert scene.all() == before

    def test_an_unresponsive_unlisted_owner_is_replaced(self):
        """Guards against requests that wait for an owner that has ended."""
        scene = Scene(*ENGINES)
        scene.all()
        scene.servers.listed = ENGINES[1:]
        scene.clock.now_s += 5.0
        assert ENGINES[0].ip in scene.all()
        scene.owners.mark_unresponsive(ENGINES[0].ip)
        assert ENGINES[0].ip not in scene.all()

    def test_an_unresponsive_listed_owner_stays(self):
        """Guards against a second owner while the first is paused."""
        scene = Scene(*ENGINES)
        before = scene.all()
        scene.owners.mark_unresponsive(ENGINES[0].ip)
        scene.clock.now_s += 5.0
        assert scene.all() == before

    def test_an_owner_unlisted_for_long_is_replaced(self):
        scene = Scene(*ENGINES)
        before = scene.all()
        scene.servers.listed = ENGINES[1:]
        scene.clock.now_s += 30.0
        assert_only_moved_from(ENGINES[0].ip, before, scene.all())

    def test_is_found_as_soon_as_the_list_is_known(self):
        scene = Scene()
        assert scene.owners.owner('a') == ''
        scene.servers.listed = ENGINES
        assert scene.owners.owner('a') != ''


class TestPreviousOwners:
    def test_the_owners_before_sidecars_were_added_are_known(self):
        """Guards against a started entry that knows no owner before."""
        aged = [
            dataclasses.replace(engine, created_revision=number)
            for number, engine in enumerate(ENGINES, 1)
        ]
        scene = Scene(*aged)
        for count in range(1, len(aged)):
            for name, before in zip(
                NAMES, Scene(*aged[:count]).all(), strict=True
            ):
                owner = scene.owners.owner(name)
                known = scene.owners.previous_owners(name) | {owner}
                assert before in known

    def test_an_owner_by_the_own_earlier_list_is_known(self):
        scene = Scene(*ENGINES)
        before = scene.all()
        scene.servers.listed = ENGINES[1:]
        scene.clock.now_s += 30.0
        for name, owner in zip(NAMES, before, strict=True):
            scene.owners.owner(name)
            if owner == ENGINES[0].ip:
                assert owner in scene.owners.previous_owners(name)

    def test_they_are_few(self):
        """Guards against messages that grow with the number of sidecars."""
        scene = Scene(
            *(
                backend_list.BackendServer(
                    f'i-{n}',
                    'chat',
                    f'10.0.{n}.1',
                    80,
                    'z',
                    created_revision=n,
                )
                for n in range(1000)
            )
        )
        counts = [len(scene.owners.previous_owners(name)) for name in NAMES]
        assert sum(counts) / len(counts) < 9


class TestHeardOwner:
    def test_it_counts_until_the_own_list_is_newer(self):
        """Guards against an old list that is believed before a newer one."""
        scene = Scene(*ENGINES)
        listed = scene.owners.owner('a')
        scene.owners.record_owner('a', '10.0.7.7', (1, 5))
        assert scene.owners.owner('a') == '10.0.7.7'
        scene.servers.position = (1, 6)
        scene.clock.now_s += 1.0
        assert scene.owners.owner('a') == listed

    def test_one_that_does_not_answer_is_forgotten(self):
        scene = Scene(*ENGINES)
        scene.owners.record_owner('a', '10.0.7.7', (1, 5))
        scene.owners.mark_unresponsive('10.0.7.7')
        assert scene.owners.owner('a') != '10.0.7.7'
