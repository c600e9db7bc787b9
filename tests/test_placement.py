"""Where requests are placed, and that entry instances agree on it."""

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
    """The directories of all sidecars; some may be silent."""

    def __init__(self, clock, names):
        self.directories = {n: directory.Directory(clock) for n in names}
        self.silent = set()
        self.asked = []
        self.questions = []

    async def locate(self, home, request):
        self.asked.append(home.name)
        self.questions.append(request)
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
    def test_same_at_every_entry_instance(self, clock, instances):
        first, second = make_placement(clock), make_placement(clock)
        for number in range(50):
            key = f'adapter-{number}@1'
            chosen = first.ranked_instances(key, instances)
            assert chosen == second.ranked_instances(key, instances[::-1])

    def test_only_the_adapters_of_a_lost_one_move(self, instances):
        for number in range(200):
            key = f'adapter-{number}@1'
            before = placement.rank_by_hash(key, instances)
            after = placement.rank_by_hash(key, instances[1:])
            if before[0] != instances[0]:
                assert after[0] == before[0]

    def test_what_nobody_holds_goes_to_one_engine_from_every_entry(
        self, clock, instances
    ):
        """An adapter is brought from the store several times.

        Two entries have heard of different engines with free slots, and
        each sends the first request for it to another one.
        """
        first, second = make_placement(clock), make_placement(clock)
        for number in range(50):
            key = f'adapter-{number}@1'
            for places, spare in ((first, number % 3), (second, 2)):
                for place, instance in enumerate(instances):
                    slots = 4 + (place + spare) % 3
                    places.apply_hint_header(
                        instance.name, make_hint(spare_slots=slots)
                    )
            home = placement.rank_by_hash(key, instances)[0]
            assert first.ranked_instances(key, instances)[0] == home
            assert second.ranked_instances(key, instances)[0] == home

    def test_every_instance_is_a_candidate(self, clock, instances):
        places = make_placement(clock, stall_weight=0.1)
        found = places.ranked_instances('a@1', instances)
        assert sorted(i.name for i in found) == [i.name for i in instances]


class TestFleet:
    """Many engines, of which an entry hears now and then."""

    KEY = 'a@1'

    def make_places(self, clock, entry='edge-1'):
        return placement.Placement(
            clock,
            settings.ObjectiveSettings(stall_weight=1.0),
            no_spare_slot_penalty_s=0.0,
            load_max_age_s=2.0,
            cached_copies=cached_copies.CachedCopies(),
            instance=entry,
        )

    def names(self, places, instances):
        return [i.name for i in places.ranked_instances(self.KEY, instances)]

    def test_a_load_that_was_told_long_ago_is_not_believed(
        self, clock, instances
    ):
        """An adapter is loaded anew that an idle engine holds.

        The engine was full when this entry last heard from it, and is
        passed over for as long as its hint is kept.
        """
        places = self.make_places(clock)
        full = make_hint(self.KEY, running=16, queued=8)
        places.apply_hint_header(instances[2].name, full)
        for other in (0, 1, 3, 4):
            places.apply_hint_header(
                instances[other].name, make_hint(load_wait_ms=200)
            )
        assert self.names(places, instances)[0] != instances[2].name
        clock.now_s += 2.5
        assert self.names(places, instances)[0] == instances[2].name

    def test_who_kept_a_copy_is_asked_before_its_home(self, clock, instances):
        places = self.make_places(clock)
        by_hash = placement.rank_by_hash(self.KEY, instances)
        for instance in instances:
            places.apply_hint_header(
                instance.name, make_hint(copy_wait_ms=30, copy_count=66)
            )
        keeper = by_hash[3].name
        places.apply_listed_adapters(keeper, [self.KEY])
        places.apply_listed_adapters(keeper, [])
        assert self.names(places, instances)[0] == keeper
        places.reset_instance(keeper)
        assert self.names(places, instances)[0] == by_hash[0].name

    def test_entries_bring_what_overflows_to_the_same_engines(
        self, clock, instances
    ):
        """An adapter is brought to as many engines as there are entries.

        Its home has no turn for it, and each entry takes the engine for
        the next one of which it has heard that it is a little emptier.
        """
        by_hash = placement.rank_by_hash(self.KEY, instances)
        for number in range(4):
            places = self.make_places(clock, f'edge-{number}')
            for place, instance in enumerate(instances):
                running = (place + number) % 3
                places.apply_hint_header(
                    instance.name, make_hint(running=running)
                )
            full = make_hint(self.KEY, running=16, queued=16)
            places.apply_hint_header(by_hash[0].name, full)
            assert self.names(places, instances)[0] == by_hash[1].name

    def test_entries_ask_holders_in_orders_of_their_own(
        self, clock, instances
    ):
        """All entries ask one engine, and are refused, beside idle ones.

        Several engines hold an adapter, and nothing is known of their load.
        """
        first = set()
        for number in range(20):
            places = self.make_places(clock, f'edge-{number}')
            for instance in instances[:3]:
                places.apply_listed_adapters(instance.name, [self.KEY])
            found = self.names(places, instances)
            assert set(found[:2]) < {i.name for i in instances[:3]}
            first.add(found[0])
        assert len(first) == 3

    def test_one_that_does_not_hold_it_is_asked_third(self, clock, instances):
        """Requests for a hot adapter are refused beside idle engines.

        All that hold it are full, and only these are asked.
        """
        places = self.make_places(clock)
        for instance in instances[:4]:
            places.apply_listed_adapters(instance.name, [self.KEY])
        found = self.names(places, instances)
        assert found[2] == instances[4].name


class TestListed:
    def test_prefers_where_the_list_says_it_is(self, clock, instances):
        """An adapter is loaded anew that another engine holds.

        Another entry had it loaded.  This one has not heard from that
        engine since; the published list tells it.
        """
        places = make_placement(clock)
        for instance in instances:
            places.apply_hint_header(instance.name, make_hint())
        last = places.ranked_instances('m/a', instances)[-1]
        places.apply_listed_adapters(last.name, ['m/a', 'm/b'])
        assert places.ranked_instances('m/a', instances)[0] == last

    def test_what_is_listed_no_more_is_forgotten(self, clock, instances):
        places = make_placement(clock)
        before = places.ranked_instances('m/a', instances)
        places.apply_listed_adapters(before[-1].name, ['m/a'])
        places.apply_listed_adapters(before[-1].name, ['m/b'])
        assert places.ranked_instances('m/a', instances) == before
        places.apply_listed_adapters(before[-1].name, ['m/a'])
        places.retain([i for i in instances if i != before[-1]])
        places.retain(instances)
        assert places.ranked_instances('m/a', instances)[0] != before[-1]


class TestHints:
    def test_prefers_where_the_adapter_is(self, clock, instances):
        places = make_placement(clock)
        last = places.ranked_instances('a@1', instances)[-1]
        for instance in instances:
            places.apply_hint_header(instance.name, make_hint())
        places.apply_hint_header(last.name, make_hint('a@1'))
        assert places.ranked_instances('a@1', instances)[0] == last
        assert places.ranked_instances('a@2', instances)[0] != last

    def test_ages_out(self, clock, instances):
        places = make_placement(clock)
        before = places.ranked_instances('a@1', instances)
        places.apply_hint_header(before[-1].name, make_hint('a@1'))
        clock.now_s += placement.HINT_AGE_S + 1.0
        assert places.ranked_instances('a@1', instances) == before

    def test_avoids_full_slots_and_long_queues(self, clock, instances):
        places = make_placement(clock)
        home = places.ranked_instances('a@1', instances)[0]
        for instance in instances:
            places.apply_hint_header(instance.name, make_hint())
        places.apply_hint_header(home.name, make_hint(spare_slots=0))
        assert places.ranked_instances('a@1', instances)[0] != home
        places.apply_hint_header(
            home.name, make_hint('a@1', running=16, queued=160)
        )
        assert places.ranked_instances('a@1', instances)[0] != home

    def test_useless_ones_change_nothing(self, clock, instances):
        places = make_placement(clock)
        before = places.ranked_instances('a@1', instances)
        for text in ('', 'x', 'AAAA', '=' * 5000):
            places.apply_hint_header(before[-1].name, text)
        assert places.ranked_instances('a@1', instances) == before

    def test_forgets_instances_that_left(self, clock, instances):
        places = make_placement(clock)
        for instance in instances:
            places.apply_hint_header(instance.name, make_hint('a@1'))
        places.retain(instances[:1])
        assert set(places._states) == {instances[0].name}


class TestKeptWeights:
    """Weights that are kept against weights worked out each time."""

    @pytest.mark.parametrize('stall_weight', [0.1, 0.7])
    def test_same_choice_after_any_change(self, clock, stall_weight):
        """Requests pile up at a backend server that is full by now.

        A hint says so, or it is too old, or requests went there, after
        the weights were worked out.  The cause would be a kept weight
        that misses a change.
        """
        source = random.Random(20261202)
        instances = tuple(make_instances(6))
        kept, fresh = (make_placement(clock, stall_weight) for _ in range(2))
        under_way = collections.deque()
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
                    for places in (kept, fresh):
                        places.apply_hint_header(name, found)
                case 1:
                    sent = contextlib.ExitStack()
                    for places in (kept, fresh):
                        sent.enter_context(places.track_request(key, name))
                    under_way.append(sent)
                case 2 if under_way:
                    under_way.popleft().close()
            chosen = kept.ranked_instances(key, instances)
            # A list is weighed from nothing each time.
            assert chosen == fresh.ranked_instances(key, list(instances))

    def test_successor_of_that_name_is_another(self, clock, instances):
        """A request goes to a port where nobody listens any more.

        A backend server came back under its name on another port.  The
        cause would be keeping its address with its weights.
        """
        places = make_placement(clock)
        before = tuple(instances)
        places.ranked_instances('a@1', before)
        after = tuple(
            msgspec.structs.replace(instance, work_port=7)
            for instance in instances
        )
        found = places.ranked_instances('a@1', after)
        assert {instance.work_port for instance in found} == {7}

    def test_is_bounded(self, clock):
        places = make_placement(clock)
        for number in range(1000):
            places.ranked_instances('a@1', make_instances(1 + number % 3))
        assert len(places._costs) <= 64
        assert all(len(s.columns) <= 64 for s in places._states.values())


class TestObjective:
    """The same load is packed or spread as the operator weighs it."""

    def used(self, clock, instances, stall_weight):
        places = make_placement(clock, stall_weight)
        for instance in instances:
            places.apply_hint_header(instance.name, make_hint(running=4))
        chosen = []
        for number in range(400):
            clock.now_s += 0.2
            key = f'adapter-{number}@1'
            chosen.append(places.ranked_instances(key, instances)[0].name)
            for instance in instances:
                places.apply_hint_header(instance.name, make_hint(running=4))
        return set(chosen[300:])

    def test_packs_for_efficiency_and_spreads_for_stalls(
        self, clock, instances
    ):
        packed = self.used(clock, instances, stall_weight=0.1)
        spread = self.used(clock, instances, stall_weight=0.9)
        assert len(packed) == 2
        assert len(spread) == len(instances)

    async def test_home_is_told_in_few_bytes_which_are_parked(self, clock):
        """An entry spends most of its bytes on names of parked ones.

        With hundreds of backend servers most are out of use, and each
        question named them all, 26 KB a second at the target size.
        """
        instances = tuple(make_instances(200))
        homes = FakeHomes(clock, [i.name for i in instances])
        entry = make_placement(clock, stall_weight=0.1, homes=homes)
        for number in range(300):
            clock.now_s += 6.0
            await entry.locate(f'adapter-{number}@1', instances)
        question = homes.questions[-1]
        used = {i.name for i in entry.ranked_instances('a@1', instances)[:1]}
        parked = {
            i.name
            for i in instances
            if directory.retention_priority(i.name) < question.parked_below
        }
        assert len(parked) == 199
        assert not parked & used
        assert len(msgspec.msgpack.encode(question)) < 128


class TestAgreement:
    async def test_entries_with_other_hints_meet(self, clock, instances):
        """Each entry instance has the adapter loaded on another engine.

        Their hints differ, so each prefers another one; the store loads
        the same adapter twice.  The cause was deciding alone.
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

    async def test_instance_that_left_is_not_returned(self, clock, instances):
        homes = FakeHomes(clock, [i.name for i in instances])
        entry = make_placement(clock, homes=homes)
        first = (await entry.locate('a@1', instances))[0]
        left = [i for i in instances if i != first]
        assert first not in await entry.locate('a@1', left)


class TestSeen:
    """An adapter that answers show to be held needs no question."""

    @pytest.fixture
    def homes(self, clock, instances):
        return FakeHomes(clock, [i.name for i in instances])

    @pytest.fixture
    def entry(self, clock, instances, homes):
        found = make_placement(clock, homes=homes)
        for instance in instances:
            found.apply_hint_header(instance.name, make_hint())
        return found

    async def test_is_used_without_a_question(self, entry, homes, instances):
        last = entry.ranked_instances('a@1', instances)[-1]
        entry.apply_hint_header(last.name, make_hint('a@1'))
        assert (await entry.locate('a@1', instances))[0] == last
        assert not homes.asked

    async def test_word_of_the_home_comes_first(
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
    async def test_stale_sight_ends(
        self, clock, entry, homes, instances, change
    ):
        """Requests go on to an engine that has the adapter no more.

        Its answers showed the adapter; then it restarts empty, is not
        heard of, or leaves the list.  The cause would be trusting what
        was seen without an end.
        """
        last = entry.ranked_instances('a@1', instances)[-1]
        entry.apply_hint_header(last.name, make_hint('a@1'))
        left = instances
        if change == 'empty':
            entry.apply_hint_header(last.name, make_hint())
        elif change == 'too old':
            clock.now_s += placement.HINT_AGE_S
        else:
            left = [i for i in instances if i != last]
        found = await entry.locate('a@1', left)
        assert found[0] != last
        assert homes.asked

    async def test_engine_to_be_parked_is_left(self, clock):
        """Few requests keep an engine in use that should fall out of it.

        Each answer shows its adapters held.  The cause would be to go
        by that alone: the home never hears that they should move.
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

    async def test_first_proposal_stands(self, clock):
        places = directory.Directory(clock)
        await places.locate(self.request('x'))
        reply = await places.locate(self.request('y'))
        assert reply.instances == ('x',)

    async def test_forgets_what_nobody_asks_for(self, clock):
        places = directory.Directory(clock)
        await places.locate(self.request('x'))
        clock.now_s += 46.0
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
        below = directory.retention_priority('x') + 1
        reply = await places.locate(self.request('y', parked_below=below))
        assert reply.instances == ('x',)
        clock.now_s += 19.0
        kept = directory.retention_priority('x')
        reply = await places.locate(self.request('y', parked_below=kept))
        assert reply.instances == ('x',)
        reply = await places.locate(self.request('y', parked_below=below))
        assert reply.instances == ('x',)
        clock.now_s += 2.0
        reply = await places.locate(self.request('y', parked_below=kept))
        assert reply.instances == ('x',)
        reply = await places.locate(self.request('y', parked_below=below))
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


class TestForget:
    def test_one_that_started_again_holds_nothing(self, clock, instances):
        """Requests go to an engine that was emptied by its restart."""
        places = make_placement(clock)
        places.apply_hint_header('sidecar-1', make_hint('x'))
        places.apply_listed_adapters('sidecar-1', ['x'])
        assert places.ranked_instances('x', instances)[0].name == 'sidecar-1'
        places.reset_instance('sidecar-1')
        home = placement.rank_by_hash('x', instances)[0]
        assert places.ranked_instances('x', instances)[0] == home
