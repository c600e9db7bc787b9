"""Where requests are placed, and that entry instances agree on it."""

import asyncio

import pytest

from benchmarks import virtual_time
from lacewingpitch import directory
from lacewingpitch import errors
from lacewingpitch import hint
from lacewingpitch import live_list
from lacewingpitch import placement
from lacewingpitch import settings
from tests import fault_matrix

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step


class FakeClock:
    def __init__(self):
        self.now_s = 100.0

    def monotonic_s(self):
        return self.now_s

    def wall_s(self):
        return self.now_s


class FakeHomes:
    """The directories of all sidecars; some may be silent."""

    def __init__(self, clock, names):
        self.directories = {n: directory.Directory(clock) for n in names}
        self.silent = set()
        self.asked = []

    async def locate(self, home, request):
        self.asked.append(home.name)
        if home.name in self.silent:
            raise errors.LinkError('silent')
        return await self.directories[home.name].locate(request)


def make_instances(count=5):
    return [
        live_list.Instance(
            name=f'sidecar-{number}',
            role=live_list.Role.SIDECAR,
            region='r',
            availability_zone='z',
            ip='127.0.0.1',
            work_port=0,
            control_port=0,
        )
        for number in range(count)
    ]


def make_hint(*adapters, **fields):
    found = {
        'running': 0,
        'queued': 0,
        'max_running': 16,
        'load_wait_ms': 500,
        'spare_slots': 4,
        'adapters': hint.join_fingerprints(adapters),
    }
    return hint.encode_hint(hint.Hint(**found | fields))


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def instances():
    return make_instances()


def make_placement(clock, stall_weight=1.0, homes=None):
    return placement.Placement(
        clock, settings.ObjectiveSettings(stall_weight=stall_weight), homes
    )


class TestHome:
    def test_same_at_every_entry_instance(self, clock, instances):
        first, second = make_placement(clock), make_placement(clock)
        for number in range(50):
            key = f'adapter-{number}@1'
            chosen = first.candidates(key, instances)
            assert chosen == second.candidates(key, instances[::-1])

    def test_only_the_adapters_of_a_lost_one_move(self, instances):
        for number in range(200):
            key = f'adapter-{number}@1'
            before = placement.rank(key, instances)
            after = placement.rank(key, instances[1:])
            if before[0] != instances[0]:
                assert after[0] == before[0]

    def test_every_instance_is_a_candidate(self, clock, instances):
        places = make_placement(clock, stall_weight=0.1)
        found = places.candidates('a@1', instances)
        assert sorted(i.name for i in found) == [i.name for i in instances]


class TestHints:
    def test_prefers_where_the_adapter_is(self, clock, instances):
        places = make_placement(clock)
        last = places.candidates('a@1', instances)[-1]
        for instance in instances:
            places.learn(instance.name, make_hint())
        places.learn(last.name, make_hint('a@1'))
        assert places.candidates('a@1', instances)[0] == last
        assert places.candidates('a@2', instances)[0] != last

    def test_ages_out(self, clock, instances):
        places = make_placement(clock)
        before = places.candidates('a@1', instances)
        places.learn(before[-1].name, make_hint('a@1'))
        clock.now_s += placement.HINT_AGE_S + 1.0
        assert places.candidates('a@1', instances) == before

    def test_avoids_full_slots_and_long_queues(self, clock, instances):
        places = make_placement(clock)
        home = places.candidates('a@1', instances)[0]
        for instance in instances:
            places.learn(instance.name, make_hint())
        places.learn(home.name, make_hint(spare_slots=0))
        assert places.candidates('a@1', instances)[0] != home
        places.learn(home.name, make_hint('a@1', running=16, queued=160))
        assert places.candidates('a@1', instances)[0] != home

    def test_useless_ones_change_nothing(self, clock, instances):
        places = make_placement(clock)
        before = places.candidates('a@1', instances)
        for text in ('', 'x', 'AAAA', '=' * 5000):
            places.learn(before[-1].name, text)
        assert places.candidates('a@1', instances) == before

    def test_forgets_instances_that_left(self, clock, instances):
        places = make_placement(clock)
        for instance in instances:
            places.learn(instance.name, make_hint('a@1'))
        places.retain(instances[:1])
        assert set(places._views) == {instances[0].name}


class TestObjective:
    """The same load is packed or spread as the operator weighs it."""

    def used(self, clock, instances, stall_weight):
        places = make_placement(clock, stall_weight)
        for instance in instances:
            places.learn(instance.name, make_hint(running=4))
        chosen = []
        for number in range(400):
            clock.now_s += 0.2
            key = f'adapter-{number}@1'
            chosen.append(places.candidates(key, instances)[0].name)
            for instance in instances:
                places.learn(instance.name, make_hint(running=4))
        return set(chosen[300:])

    def test_packs_for_efficiency_and_spreads_for_stalls(
        self, clock, instances
    ):
        packed = self.used(clock, instances, stall_weight=0.1)
        spread = self.used(clock, instances, stall_weight=0.9)
        assert len(packed) == 2
        assert len(spread) == len(instances)


class TestAgreement:
    async def test_entries_with_other_hints_meet(self, clock, instances):
        """Each entry instance has the adapter loaded on another engine.

        Their hints differ, so each prefers another one; the store loads
        the same adapter twice.  The cause was deciding alone.
        """
        homes = FakeHomes(clock, [i.name for i in instances])
        entries = [make_placement(clock, homes=homes) for _ in range(3)]
        for number, entry in enumerate(entries):
            entry.learn(instances[number].name, make_hint(spare_slots=8))
        for number in range(20):
            key = f'adapter-{number}@1'
            chosen = {
                (await entry.locate(key, instances))[0].name
                for entry in entries
            }
            assert len(chosen) == 1

    async def test_home_is_asked_once_for_many_requests(
        self, clock, instances
    ):
        homes = FakeHomes(clock, [i.name for i in instances])
        entry = make_placement(clock, homes=homes)
        for _ in range(50):
            await entry.locate('a@1', instances)
        assert len(homes.asked) == 1

    @pytest.mark.proves(Promise.NOT_RUN, Fault.FROZEN, Step.BEFORE_ADMISSION)
    async def test_silent_home_costs_one_question(self, clock, instances):
        """Requests of some adapters fail or crawl while one is frozen.

        Their home does not answer.  The cause would be needing it, or
        asking it anew for each request.
        """
        homes = FakeHomes(clock, [i.name for i in instances])
        homes.silent = {i.name for i in instances}
        entry = make_placement(clock, homes=homes)
        for _ in range(20):
            found = await entry.locate('a@1', instances)
            assert len(found) == len(instances)
        assert len(homes.asked) == 1

    async def test_hot_adapter_gets_another_engine(self, clock, instances):
        homes = FakeHomes(clock, [i.name for i in instances])
        entry = make_placement(clock, homes=homes)
        first = (await entry.locate('a@1', instances))[0]
        for instance in instances:
            entry.learn(instance.name, make_hint())
        for _ in range(20):
            with entry.sent('a@1', first.name):
                pass
        entry.learn(first.name, make_hint('a@1', running=16, queued=40))
        assert (await entry.locate('a@1', instances))[0] != first

    async def test_instance_that_left_is_not_returned(self, clock, instances):
        homes = FakeHomes(clock, [i.name for i in instances])
        entry = make_placement(clock, homes=homes)
        first = (await entry.locate('a@1', instances))[0]
        left = [i for i in instances if i != first]
        assert first not in await entry.locate('a@1', left)


class TestDirectory:
    def request(self, *proposals, wanted=1, parked=()):
        return directory.LocateRequest(
            key='a@1', wanted=wanted, proposals=proposals, parked=parked
        )

    async def test_first_proposal_stands(self, clock):
        places = directory.Directory(clock)
        await places.locate(self.request('x'))
        reply = await places.locate(self.request('y'))
        assert reply.instances == ('x',)

    async def test_forgets_what_nobody_asks_for(self, clock):
        places = directory.Directory(clock)
        await places.locate(self.request('x'))
        clock.now_s += 31.0
        reply = await places.locate(self.request('y'))
        assert reply.instances == ('y',)

    async def test_extra_places_end(self, clock):
        places = directory.Directory(clock)
        await places.locate(self.request('x', 'y', wanted=2))
        for _ in range(7):
            clock.now_s += 10.0
            reply = await places.locate(self.request('x', 'y'))
        assert reply.instances == ('x',)

    async def test_leaves_parked_ones_after_a_least_stay(self, clock):
        places = directory.Directory(clock)
        await places.locate(self.request('x'))
        reply = await places.locate(self.request('y', parked=('x',)))
        assert reply.instances == ('x',)
        clock.now_s += 28.0
        reply = await places.locate(self.request('y', parked=('x',)))
        assert reply.instances == ('x',)
        clock.now_s += 3.0
        reply = await places.locate(self.request('y', parked=('x',)))
        assert reply.instances == ('y',)

    async def test_is_bounded(self, clock):
        places = directory.Directory(clock)
        for number in range(9000):
            await places.locate(
                directory.LocateRequest(
                    key=f'{number}', wanted=9999, proposals=('x',)
                )
            )
        assert len(places) == 8192


class TestVirtualLoop:
    """The loop that these tests and the bench trust."""

    def test_time_jumps_and_deadlocks_are_said(self):
        async def sleep():
            await asyncio.sleep(3600.0)
            return asyncio.get_running_loop().time()

        assert virtual_time.run(sleep()) == pytest.approx(3600.0)
        with pytest.raises(RuntimeError, match='deadlock'):
            virtual_time.run(asyncio.Event().wait())
