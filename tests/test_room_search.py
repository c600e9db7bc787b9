"""The search for an engine with room, with one entry."""

import asyncio
import collections
import random

import pytest
import structlog

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch import metrics
from lacewingpitch import room_search
from lacewingpitch import server_notice
from lacewingpitch import turn_replies
from tests import room_scene

FULL = errors.ErrorKind.DEADLINE_UNREACHABLE
DOWN = errors.ErrorKind.DRAINING
STARTING = errors.ErrorKind.BACKEND_STARTING


class Scene:
    """One entry, and engines that refuse everything with one kind."""

    def __init__(
        self, engine_count, refusal=FULL, new_search=room_search.RoomSearch
    ):
        self.searches = []
        fleet = room_scene.Fleet(
            engine_count, 1, 4, lambda source: self._keep(new_search(source))
        )
        self.fleet = fleet
        self.entry = fleet.entries[0]
        self.sidecars = {s.server.name: s for s in fleet.sidecars.values()}
        for sidecar in self.sidecars.values():
            sidecar.refusal = refusal

    def _keep(self, search):
        self.searches.append(search)
        return search

    @property
    def asked(self):
        return self.entry.link.asked

    @property
    def last(self):
        """Return the engine that placement ranks last."""
        candidates = self.entry.client._candidates
        spec = self.fleet.spec('one', '')
        ranked = candidates.ranked_candidates(spec, ()).ranked
        return self.sidecars[ranked[-1].name]

    async def acquire(self, adapter='', excluded=(), **fields):
        spec = self.fleet.spec('one', adapter, **fields)
        async with self.entry.client.acquire(spec, excluded) as turn:
            return turn.server.name

    async def refused(self, **fields):
        with pytest.raises(errors.RefusalError) as found:
            await self.acquire(**fields)
        return found.value


def run(story, *words, **options):
    async def main():
        scene = Scene(*words, **options)
        await story(scene)
        return scene

    return virtual_time.run(main())


def no_search(_source):
    return None


class TestFinding:
    def test_a_further_engine_is_found(self):
        """Guards against a refusal while one engine is free."""

        async def story(scene):
            free = scene.last
            free.refusal = None
            assert await scene.acquire() == free.server.name

        scene = run(story, 5)
        assert len(scene.asked) <= 5

    def test_without_the_search_three_are_asked(self):
        async def story(scene):
            scene.last.refusal = None
            await scene.refused()

        scene = run(story, 5, new_search=no_search)
        # The last ask is the second one of the engine with the shortest wait.
        assert len(scene.asked) == 4
        assert len(set(scene.asked)) == 3

    def test_no_engine_is_asked_twice(self):
        async def story(scene):
            await scene.refused()

        scene = run(story, 5)
        # Apart from the second ask of the engine with the shortest wait.
        assert len(set(scene.asked[:-1])) == len(scene.asked[:-1]) == 5

    def test_engines_that_rank_better_are_asked_more_often(self):
        """Guards against a search that ignores loads and holders."""
        asked = collections.Counter()

        async def refuse(server):
            asked[server.name] += 1

        async def main():
            search = room_search.RoomSearch(random.Random(1))
            spec = room_scene.Fleet(1, 1, 1, no_search).spec('one', '')
            for _ in range(500):
                replies = turn_replies.TurnReplies()
                await search.find(spec, replies, lambda: servers, refuse)

        servers = [
            backend_list.BackendServer(f'i-{n}', 'chat', '10.0.0.1', 80, 'z')
            for n in range(5)
        ]
        virtual_time.run(main())
        counts = [asked[server.name] for server in servers]
        assert counts == sorted(counts, reverse=True)
        assert counts[-1]

    def test_engines_that_do_not_serve_are_not_counted(self):
        """Guards against asks that are spent on engines that are down."""

        async def story(scene):
            free = scene.last
            free.refusal = None
            assert await scene.acquire() == free.server.name

        run(story, 7, DOWN)

    @pytest.mark.parametrize(
        ('refusal', 'ask_count'), [(FULL, 3 + 2 + 1), (DOWN, 3 + 4)]
    )
    def test_the_number_of_asks_is_bounded(self, refusal, ask_count):
        """Guards against messages that grow with the number of engines."""

        async def story(scene):
            error = await scene.refused()
            assert error.kind is refusal
            assert error.retry_after_s == pytest.approx(0.4)

        assert len(run(story, 40, refusal).asked) == ask_count


class TestFailures:
    def test_silent_sidecars_end_the_search(self):
        """Guards against a request that waits for one silence after another.

        All sidecars are silent, and the engines serve without them.
        """

        async def story(scene):
            for sidecar in scene.sidecars.values():
                sidecar.is_silent = True
            await scene.acquire()

        assert len(run(story, 9).asked) == 3

    def test_a_sidecar_that_falls_silent_ends_the_search(self):
        async def story(scene):
            for sidecar in scene.sidecars.values():
                sidecar.is_silent = True
            spec = scene.fleet.spec('one', '')
            candidates = scene.entry.client._candidates
            for server in candidates.ranked_candidates(spec, ()).ranked[:3]:
                scene.sidecars[server.name].is_silent = False
            await scene.acquire()

        scene = run(story, 9)
        further = [n for n in scene.asked if scene.sidecars[n].is_silent]
        assert len(further) == 1

    def test_no_ask_after_the_time_of_the_caller(self):
        async def story(scene):
            now_s = scene.fleet.clock.monotonic_s()
            await scene.refused(start_by_s=now_s + 0.01)
            later_s = scene.fleet.clock.monotonic_s()
            assert later_s <= now_s + 0.02

        assert len(run(story, 9).asked) == 3

    def test_excluded_engines_are_not_asked(self):
        """Guards against a retry at the engine that failed the request."""

        async def story(scene):
            await scene.refused(excluded=('i-0', 'i-1'))

        assert not {'i-0', 'i-1'} & set(run(story, 7).asked)

    @pytest.mark.parametrize('is_leaving', [False, True])
    def test_closed_engines_are_not_asked(self, is_leaving):
        """Guards against requests for an engine that leaves or backs off."""
        notice = server_notice.ServerNotice(
            backoff_s=0.0 if is_leaving else 3.0, is_leaving=is_leaving
        )

        async def story(scene):
            closed = scene.last
            closed.refusal = None
            acquiring = asyncio.create_task(scene.refused())
            await asyncio.sleep(room_scene.ONE_WAY_S)
            scene.entry.gate.record_answer(
                closed.server, notice, scene.fleet.clock.boot_s()
            )
            await acquiring
            assert closed.server.name not in scene.asked

        run(story, 5)

    def test_an_ejected_engine_is_not_asked(self):
        async def story(scene):
            ejected = scene.last.server.name
            for _ in range(3):
                scene.entry.ejector.record_failure(ejected)
            await scene.refused()
            assert ejected not in scene.asked

        run(story, 5)

    def test_the_wait_for_a_start_is_kept(self):
        """Guards against a refusal while the model is loaded in time.

        All engines that were preferred load it, and the others are full.
        """

        async def story(scene):
            spec = scene.fleet.spec('one', '')
            candidates = scene.entry.client._candidates
            first = candidates.ranked_candidates(spec, ()).ranked[:3]
            for server in first:
                scene.sidecars[server.name].refusal = STARTING
            await scene.refused()
            waiting = [
                request.waits_for_engine
                for request in scene.sidecars[first[0].name].asks
            ]
            assert waiting[-1]

        run(story, 5)

    def test_a_suspect_request_is_asked_for_once(self):
        """Guards against suspects that run on several engines."""

        async def story(scene):
            for start in ('x@1', 'y@1'):
                scene.entry.suspects.record.record_crash('f', start)
            await scene.refused(fingerprint='f')

        assert len(run(story, 9).asked) == 1


class TestSigns:
    """What an operator sees."""

    def test_the_log_tells_who_refused_before(self):
        async def story(scene):
            free = scene.last
            free.refusal = None
            with structlog.testing.capture_logs() as lines:
                await scene.acquire()
            line = [
                line
                for line in lines
                if line['event'] == 'further engine asked'
            ][-1]
            assert line['request_id'] == 'one'
            assert line['granted']
            assert line['backend_server'] == free.server.name
            assert len(line['refusals']) >= 3

        run(story, 5)

    def test_asks_are_counted_by_outcome(self):
        async def story(scene):
            scene.last.refusal = None
            await scene.acquire()

        scene = run(story, 5)
        (search,) = scene.searches
        assert search.found_count == 1
        assert search.refused_count == len(scene.asked) - 4
        search.add_metrics(metrics.Metrics('edge-1', 'zone-a'))
