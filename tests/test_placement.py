"""Placement of requests, and agreement among entry instances."""

import asyncio
import collections
import contextlib
import random

import msgspec
import pytest

from benchmarks import virtual_time
from lacewingpitch import cached_copies
from lacewingpitch import directory
from lacewingpitch import errors
from lacewingpitch import hint
from lacewingpitch import placement
from lacewingpitch import settings
from tests import clocks
from tests import fault_matrix
from tests import samples

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step


class FakeHomes:
    """The directories of all sidecars, some of which do not answer."""

    def __init__(self, clock, names):
        self.directories = {n: directory.Directory(clock) for n in names}
        self.silent = set()
        self.asked = []
        self.requests = []

    async def locate(self, home, request):
        self.asked.append(home.name)
        self.requests.append(request)
        if home.name in self.silent:
            raise errors.LinkError('silent')
        return await self.directories[home.name].locate(request)


def make_instances(count=5):
    return [samples.sidecar(f'sidecar-{number}') for number in range(count)]


def make_hint(*adapters, **fields):
    found = {
        'running': 0,
        'queued': 0,
        'max_running': 16,
        'load_wait_ms': 500,
        'spare_slots': 4,
        'adapters': hint.encode_fingerprints(adapters),
    }
    return hint.encode_hint(hint.Hint(**found | fields))


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def instances():
    return make_instances()


def make_placement(clock, stall_weight=1.0, homes=None):
    return placement.Placement(
        clock, settings.ObjectiveSettings(stall_weight=stall_weight), homes
    )


class TestHome:
    def test_is_the_same_in_every_entry_instance(self, clock, instances):
        first, second = make_placement(clock), make_placement(clock)
        for number in range(50):
            key = f'adapter-{number}@1'
            chosen = first.ranked_instances(key, instances)
            assert chosen == second.ranked_instances(key, instances[::-1])

    def test_only_adapters_of_a_lost_instance_move(self, instances):
        for number in range(200):
            key = f'adapter-{number}@1'
            before = placement.rank_by_hash(key, instances)
            after = placement.rank_by_hash(key, instances[1:])
            if before[0] != instances[0]:
                assert after[0] == before[0]

    def test_unheld_adapter_goes_to_one_engine_from_every_entry(
        self, clock, instances
    ):
        """An adapter is loaded from the store several times.

        Two entry instances know of different engines with free slots,
        and each sends its first request to another one.
        """
        first, second = make_placement(clock), make_placement(clock)
        for number in range(50):
            key = f'adapter-{number}@1'
            for entry, spare in ((first, number % 3), (second, 2)):
                for index, instance in enumerate(instances):
                    slots = 4 + (index + spare) % 3
                    entry.apply_hint_header(
                        instance.name, make_hint(spare_slots=slots)
                    )
            home = placement.rank_by_hash(key, instances)[0]
            assert first.ranked_instances(key, instances)[0] == home
            assert second.ranked_instances(key, instances)[0] == home

    def test_every_instance_is_a_candidate(self, clock, instances):
        entry = make_placement(clock, stall_weight=0.1)
        found = entry.ranked_instances('a@1', instances)
        assert sorted(i.name for i in found) == [i.name for i in instances]


class TestFleet:
    """Many engines, of which an entry instance rarely gets a hint."""

    KEY = 'a@1'

    def make_fleet_placement(self, clock, name='edge-1'):
        return placement.Placement(
            clock,
            settings.ObjectiveSettings(stall_weight=1.0),
            no_spare_slot_penalty_s=0.0,
            load_max_age_s=2.0,
            cached_copies=cached_copies.CachedCopies(),
            instance=name,
        )

    def names(self, entry, instances):
        return [i.name for i in entry.ranked_instances(self.KEY, instances)]

    def test_outdated_load_is_ignored(self, clock, instances):
        """An adapter is loaded again although an idle engine holds it.

        The engine was full at its last hint, and is passed over until
        the hint expires.
        """
        entry = self.make_fleet_placement(clock)
        full = make_hint(self.KEY, running=16, queued=8)
        entry.apply_hint_header(instances[2].name, full)
        for other in (0, 1, 3, 4):
            entry.apply_hint_header(
                instances[other].name, make_hint(load_wait_ms=200)
            )
        assert self.names(entry, instances)[0] != instances[2].name
        clock.now_s += 2.5
        assert self.names(entry, instances)[0] == instances[2].name

    def test_engine_with_a_cached_copy_ranks_before_the_home(
        self, clock, instances
    ):
        entry = self.make_fleet_placement(clock)
        by_hash = placement.rank_by_hash(self.KEY, instances)
        for instance in instances:
            entry.apply_hint_header(
                instance.name, make_hint(copy_wait_ms=30, copy_count=66)
            )
        copy_holder = by_hash[3].name
        entry.apply_listed_adapters(copy_holder, [self.KEY])
        entry.apply_listed_adapters(copy_holder, [])
        assert self.names(entry, instances)[0] == copy_holder
        entry.reset_instance(copy_holder)
        assert self.names(entry, instances)[0] == by_hash[0].name

    def test_overflow_goes_to_the_same_engines_from_every_entry(
        self, clock, instances
    ):
        """An adapter is loaded on one engine per entry instance.

        Its home is full, and each entry instance chooses the engine that
        looks a little emptier by its own hints.
        """
        by_hash = placement.rank_by_hash(self.KEY, instances)
        for number in range(4):
            entry = self.make_fleet_placement(clock, f'edge-{number}')
            for index, instance in enumerate(instances):
                running = (index + number) % 3
                entry.apply_hint_header(
                    instance.name, make_hint(running=running)
                )
            full = make_hint(self.KEY, running=16, queued=16)
            entry.apply_hint_header(by_hash[0].name, full)
            assert self.names(entry, instances)[0] == by_hash[1].name

    def test_each_entry_tries_holders_in_its_own_order(self, clock, instances):
        """All entry instances try one engine first and are refused.

        Several engines hold the adapter, some idle, and no load is known.
        """
        first = set()
        for number in range(20):
            entry = self.make_fleet_placement(clock, f'edge-{number}')
            for instance in instances[:3]:
                entry.apply_listed_adapters(instance.name, [self.KEY])
            found = self.names(entry, instances)
            assert set(found[:2]) < {i.name for i in instances[:3]}
            first.add(found[0])
        assert len(first) == 3

    def test_non_holder_ranks_third(self, clock, instances):
        """Requests for a hot adapter are refused while engines are idle.

        All engines that hold the adapter are full, and only these are
        tried.
        """
        entry = self.make_fleet_placement(clock)
        for instance in instances[:4]:
            entry.apply_listed_adapters(instance.name, [self.KEY])
        found = self.names(entry, instances)
        assert found[2] == instances[4].name


class TestListed:
    def test_prefers_a_listed_holder(self, clock, instances):
        """An adapter is loaded again although another engine holds it.

        Another entry instance had it loaded, and this one has no hint of
        it.  Only the published list shows the adapter.
        """
        entry = make_placement(clock)
        for instance in instances:
            entry.apply_hint_header(instance.name, make_hint())
        last = entry.ranked_instances('m/a', instances)[-1]
        entry.apply_listed_adapters(last.name, ['m/a', 'm/b'])
        assert entry.ranked_instances('m/a', instances)[0] == last

    def test_forgets_what_is_no_longer_listed(self, clock, instances):
        entry = make_placement(clock)
        before = entry.ranked_instances('m/a', instances)
        entry.apply_listed_adapters(before[-1].name, ['m/a'])
        entry.apply_listed_adapters(before[-1].name, ['m/b'])
        assert entry.ranked_instances('m/a', instances) == before
        entry.apply_listed_adapters(before[-1].name, ['m/a'])
        entry.retain([i for i in instances if i != before[-1]])
        entry.retain(instances)
        assert entry.ranked_instances('m/a', instances)[0] != before[-1]


class TestHints:
    def test_prefers_a_holder(self, clock, instances):
        entry = make_placement(clock)
        last = entry.ranked_instances('a@1', instances)[-1]
        for instance in instances:
            entry.apply_hint_header(instance.name, make_hint())
        entry.apply_hint_header(last.name, make_hint('a@1'))
        assert entry.ranked_instances('a@1', instances)[0] == last
        assert entry.ranked_instances('a@2', instances)[0] != last

    def test_expires(self, clock, instances):
        entry = make_placement(clock)
        before = entry.ranked_instances('a@1', instances)
        entry.apply_hint_header(before[-1].name, make_hint('a@1'))
        clock.now_s += placement.HINT_MAX_AGE_S + 1.0
        assert entry.ranked_instances('a@1', instances) == before

    def test_avoids_full_slots_and_long_queues(self, clock, instances):
        entry = make_placement(clock)
        home = entry.ranked_instances('a@1', instances)[0]
        for instance in instances:
            entry.apply_hint_header(instance.name, make_hint())
        entry.apply_hint_header(home.name, make_hint(spare_slots=0))
        assert entry.ranked_instances('a@1', instances)[0] != home
        entry.apply_hint_header(
            home.name, make_hint('a@1', running=16, queued=160)
        )
        assert entry.ranked_instances('a@1', instances)[0] != home

    def test_invalid_hints_are_ignored(self, clock, instances):
        entry = make_placement(clock)
        before = entry.ranked_instances('a@1', instances)
        for text in ('', 'x', 'AAAA', '=' * 5000):
            entry.apply_hint_header(before[-1].name, text)
        assert entry.ranked_instances('a@1', instances) == before

    def test_forgets_removed_instances(self, clock, instances):
        entry = make_placement(clock)
        for instance in instances:
            entry.apply_hint_header(instance.name, make_hint('a@1'))
        entry.retain(instances[:1])
        assert set(entry._states) == {instances[0].name}


class TestCachedCosts:
    """Cached costs against costs that are computed each time."""

    @pytest.mark.parametrize('stall_weight', [0.1, 0.7])
    def test_same_choice_after_any_change(self, clock, stall_weight):
        """Requests pile up at a backend server that has become full.

        After the costs were computed, a hint arrived or expired, or
        requests were sent there.  This happens if a cached cost is not
        updated on each of these changes.
        """
        source = random.Random(20261202)
        instances = tuple(make_instances(6))
        kept, fresh = (make_placement(clock, stall_weight) for _ in range(2))
        in_progress = collections.deque()
        for _ in range(3000):
            clock.now_s += source.choice([0.0, 0.1, 3.0])
            key = f'adapter-{source.randrange(12)}@1'
            name = source.choice(instances).name
            match source.randrange(3):
                case 0:
                    found = make_hint(
                        *(
                            f'adapter-{n}@1'
                            for n in source.sample(range(12), 3)
                        ),
                        running=source.randrange(40),
                        load_wait_ms=source.randrange(20_000),
                        spare_slots=source.randrange(4),
                    )
                    for entry in (kept, fresh):
                        entry.apply_hint_header(name, found)
                case 1:
                    sent = contextlib.ExitStack()
                    for entry in (kept, fresh):
                        sent.enter_context(entry.track_request(key, name))
                    in_progress.append(sent)
                case 2 if in_progress:
                    in_progress.popleft().close()
            chosen = kept.ranked_instances(key, instances)
            # For a new list, all costs are computed.
            assert chosen == fresh.ranked_instances(key, list(instances))

    def test_successor_of_the_same_name_has_its_own_address(
        self, clock, instances
    ):
        """A request is sent to a port without a listener.

        A backend server restarted under its name on another port.  This
        happens if its address is cached with its costs.
        """
        entry = make_placement(clock)
        before = tuple(instances)
        entry.ranked_instances('a@1', before)
        after = tuple(
            msgspec.structs.replace(instance, work_port=7)
            for instance in instances
        )
        found = entry.ranked_instances('a@1', after)
        assert {instance.work_port for instance in found} == {7}

    def test_is_bounded(self, clock):
        entry = make_placement(clock)
        for number in range(1000):
            entry.ranked_instances('a@1', make_instances(1 + number % 3))
        assert len(entry._costs) <= 64
        assert all(len(s.columns) <= 64 for s in entry._states.values())


class TestObjective:
    """Load is packed or spread by the operator's objective."""

    def used(self, clock, instances, stall_weight):
        entry = make_placement(clock, stall_weight)
        for instance in instances:
            entry.apply_hint_header(instance.name, make_hint(running=4))
        chosen = []
        for number in range(400):
            clock.now_s += 0.2
            key = f'adapter-{number}@1'
            chosen.append(entry.ranked_instances(key, instances)[0].name)
            for instance in instances:
                entry.apply_hint_header(instance.name, make_hint(running=4))
        return set(chosen[300:])

    def test_packs_for_efficiency_and_spreads_for_stalls(
        self, clock, instances
    ):
        packed = self.used(clock, instances, stall_weight=0.1)
        spread = self.used(clock, instances, stall_weight=0.9)
        assert len(packed) == 2
        assert len(spread) == len(instances)

    async def test_request_names_parked_servers_in_few_bytes(self, clock):
        """Most bytes that an entry instance sends name parked servers.

        With hundreds of backend servers, most are parked.  If each
        request to a home named them, this would be 26 KB/s at the target
        size.
        """
        instances = tuple(make_instances(200))
        homes = FakeHomes(clock, [i.name for i in instances])
        entry = make_placement(clock, stall_weight=0.1, homes=homes)
        for number in range(300):
            clock.now_s += 6.0
            await entry.locate(f'adapter-{number}@1', instances)
        request = homes.requests[-1]
        used = {i.name for i in entry.ranked_instances('a@1', instances)[:1]}
        parked = {
            i.name
            for i in instances
            if directory.retention_priority(i.name) < request.parked_below
        }
        assert len(parked) == 199
        assert not parked & used
        assert len(msgspec.msgpack.encode(request)) < 128


class TestAgreement:
    async def test_entries_with_different_hints_agree(self, clock, instances):
        """Each entry instance has the adapter loaded on another engine.

        Their hints differ, so each prefers another engine.  If each
        decides on its own, the same adapter is loaded twice.
        """
        homes = FakeHomes(clock, [i.name for i in instances])
        entries = [make_placement(clock, homes=homes) for _ in range(3)]
        for number, entry in enumerate(entries):
            entry.apply_hint_header(
                instances[number].name, make_hint(spare_slots=8)
            )
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
    async def test_silent_home_costs_one_request(self, clock, instances):
        """Requests for some adapters fail or slow down.

        The home of the adapters is frozen and does not answer.  This
        happens if the home is required, or asked again for each request.
        """
        homes = FakeHomes(clock, [i.name for i in instances])
        homes.silent = {i.name for i in instances}
        entry = make_placement(clock, homes=homes)
        for _ in range(20):
            found = await entry.locate('a@1', instances)
            assert len(found) == len(instances)
        assert len(homes.asked) == 1

    @pytest.mark.parametrize('passed_s', [0.0, 15.0])
    async def test_hot_adapter_gets_another_engine(
        self, clock, instances, passed_s
    ):
        homes = FakeHomes(clock, [i.name for i in instances])
        entry = make_placement(clock, homes=homes)
        first = (await entry.locate('a@1', instances))[0]
        clock.now_s += passed_s
        for instance in instances:
            entry.apply_hint_header(instance.name, make_hint())
        for _ in range(20):
            with entry.track_request('a@1', first.name):
                pass
        entry.apply_hint_header(
            first.name, make_hint('a@1', running=16, queued=40)
        )
        assert (await entry.locate('a@1', instances))[0] != first

    async def test_removed_instance_is_not_returned(self, clock, instances):
        homes = FakeHomes(clock, [i.name for i in instances])
        entry = make_placement(clock, homes=homes)
        first = (await entry.locate('a@1', instances))[0]
        left = [i for i in instances if i != first]
        assert first not in await entry.locate('a@1', left)


class TestKnownHolders:
    """For an adapter with a known holder, the home is not asked."""

    @pytest.fixture
    def homes(self, clock, instances):
        return FakeHomes(clock, [i.name for i in instances])

    @pytest.fixture
    def entry(self, clock, instances, homes):
        found = make_placement(clock, homes=homes)
        for instance in instances:
            found.apply_hint_header(instance.name, make_hint())
        return found

    async def test_are_used_without_asking_the_home(
        self, entry, homes, instances
    ):
        last = entry.ranked_instances('a@1', instances)[-1]
        entry.apply_hint_header(last.name, make_hint('a@1'))
        assert (await entry.locate('a@1', instances))[0] == last
        assert not homes.asked

    async def test_assignment_of_the_home_comes_first(
        self, clock, entry, homes, instances
    ):
        first = (await entry.locate('a@1', instances))[0]
        clock.now_s += 15.0
        for instance in instances:
            running = 8 if instance == first else 0
            entry.apply_hint_header(
                instance.name, make_hint('a@1', running=running)
            )
        assert entry.ranked_instances('a@1', instances)[-1] == first
        assert (await entry.locate('a@1', instances))[0] == first
        assert len(homes.asked) == 1

    @pytest.mark.parametrize('change', ['empty', 'too old', 'left'])
    @pytest.mark.proves(
        Promise.LEAVING, Fault.ENGINE_EMPTY, Step.BEFORE_ADMISSION
    )
    async def test_outdated_holder_is_dropped(
        self, clock, entry, homes, instances, change
    ):
        """Requests go on to an engine that no longer holds the adapter.

        Its hints named the adapter; then it restarts empty, sends no
        hints, or leaves the list.  This happens if a known holder never
        expires.
        """
        last = entry.ranked_instances('a@1', instances)[-1]
        entry.apply_hint_header(last.name, make_hint('a@1'))
        left = instances
        if change == 'empty':
            entry.apply_hint_header(last.name, make_hint())
        elif change == 'too old':
            clock.now_s += placement.HINT_MAX_AGE_S
        else:
            left = [i for i in instances if i != last]
        found = await entry.locate('a@1', left)
        assert found[0] != last
        assert homes.asked

    async def test_engine_to_be_parked_is_vacated(self, clock):
        """Few requests keep an engine in use that should be parked.

        Each answer shows that it holds the adapters.  If this is enough,
        the home is never asked to move them.
        """
        instances = tuple(make_instances(8))
        homes = FakeHomes(clock, [i.name for i in instances])
        entry = make_placement(clock, stall_weight=0.1, homes=homes)
        for _ in range(60):
            clock.now_s += 6.0
            used = (await entry.locate('b@1', instances))[0]
        parked = next(i for i in instances if i != used)
        for _ in range(5):
            clock.now_s += 15.0
            entry.apply_hint_header(parked.name, make_hint('a@1'))
            found = await entry.locate('a@1', instances)
        assert found[0] != parked


class TestDirectory:
    def request(self, *proposals, wanted=1, parked_below=0):
        return directory.LocateRequest(
            key='a@1',
            wanted=wanted,
            proposals=proposals,
            parked_below=parked_below,
        )

    async def test_first_proposal_is_kept(self, clock):
        home = directory.Directory(clock)
        await home.locate(self.request('x'))
        reply = await home.locate(self.request('y'))
        assert reply.instances == ('x',)

    async def test_drops_entries_without_requests(self, clock):
        home = directory.Directory(clock)
        await home.locate(self.request('x'))
        clock.now_s += 46.0
        reply = await home.locate(self.request('y'))
        assert reply.instances == ('y',)

    async def test_extra_assignments_expire(self, clock):
        home = directory.Directory(clock)
        await home.locate(self.request('x', 'y', wanted=2))
        for _ in range(7):
            clock.now_s += 10.0
            reply = await home.locate(self.request('x', 'y'))
        assert reply.instances == ('x',)

    async def test_drops_parked_instances_after_a_minimum_stay(self, clock):
        home = directory.Directory(clock)
        await home.locate(self.request('x'))
        below = directory.retention_priority('x') + 1
        reply = await home.locate(self.request('y', parked_below=below))
        assert reply.instances == ('x',)
        clock.now_s += 19.0
        kept = directory.retention_priority('x')
        reply = await home.locate(self.request('y', parked_below=kept))
        assert reply.instances == ('x',)
        reply = await home.locate(self.request('y', parked_below=below))
        assert reply.instances == ('x',)
        clock.now_s += 2.0
        reply = await home.locate(self.request('y', parked_below=kept))
        assert reply.instances == ('x',)
        reply = await home.locate(self.request('y', parked_below=below))
        assert reply.instances == ('y',)

    async def test_is_bounded(self, clock):
        home = directory.Directory(clock)
        for number in range(9000):
            await home.locate(
                directory.LocateRequest(
                    key=f'{number}', wanted=9999, proposals=('x',)
                )
            )
        assert len(home) == 8192


class TestVirtualLoop:
    """The event loop that these tests and the benchmark rely on."""

    def test_time_jumps_and_deadlocks_raise(self):
        async def sleep():
            await asyncio.sleep(3600.0)
            return asyncio.get_running_loop().time()

        assert virtual_time.run(sleep()) == pytest.approx(3600.0)
        with pytest.raises(RuntimeError, match='deadlock'):
            virtual_time.run(asyncio.Event().wait())


class TestResetInstance:
    def test_restarted_instance_holds_nothing(self, clock, instances):
        """Requests go to an engine that its restart has emptied."""
        entry = make_placement(clock)
        entry.apply_hint_header('sidecar-1', make_hint('x'))
        entry.apply_listed_adapters('sidecar-1', ['x'])
        assert entry.ranked_instances('x', instances)[0].name == 'sidecar-1'
        entry.reset_instance('sidecar-1')
        home = placement.rank_by_hash('x', instances)[0]
        assert entry.ranked_instances('x', instances)[0] == home
