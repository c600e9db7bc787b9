"""Pacing by the limits that servers name, in virtual time."""

import asyncio
import math
import random

import msgspec
import pytest

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import limit_share
from lacewingpitch import plain_server_selector
from lacewingpitch import return_times
from lacewingpitch import server_gate
from lacewingpitch import server_permits
from lacewingpitch import service_balancer
from lacewingpitch import sidecar_reporter
from lacewingpitch import suspects
from lacewingpitch import turn_messages
from lacewingpitch import turn_pacer
from tests import clocks
from tests import limit_fakes
from tests import soak_limits
from tests import test_organisation_fairness
from tests import test_turn_client

LIMITED = errors.ErrorKind.SERVER_LIMITED
WINDOW_S = soak_limits.WINDOW_S


def most_in_window(times_s):
    """Return the most requests in any window, from the first on."""
    return soak_limits.most_in_window(times_s, -math.inf)


class TestTurnPacer:
    def released(self, limit_per_s, count, **fields):
        async def main():
            clock = virtual_time.LoopClock()
            pacer = turn_pacer.TurnPacer(clock, random.Random(1))
            defaults = {'unsent_count': 0, 'idle_s': 0.0}
            pacer.apply_limit(limit_per_s, **{**defaults, **fields})
            times_s = []

            async def admit():
                await pacer.admit('chat', 1, 1.0)
                times_s.append(clock.monotonic_s())

            started_s = clock.monotonic_s()
            await asyncio.gather(*(admit() for _ in range(count)))
            return [at_s - started_s for at_s in times_s]

        return virtual_time.run(main())

    def test_turns_are_released_at_the_limit(self):
        times_s = self.released(2.0, 6)
        assert times_s == pytest.approx([0.5, 1.0, 1.5, 2.0, 2.5, 3.0])

    def test_unsent_turns_count(self):
        """Guards against turns on their way beyond the limit."""
        assert self.released(2.0, 1, unsent_count=3) == pytest.approx([2.0])

    def test_an_idle_engine_gets_a_request_at_once(self):
        """Guards against refusing callers at an engine that was idle."""
        times_s = self.released(0.1, 2, idle_s=60.0)
        assert times_s == pytest.approx([0.0, 10.0], abs=0.2)

    def test_no_limit_delays_nothing(self):
        assert self.released(None, 50) == [0.0] * 50

    def test_an_engine_that_accepts_nothing_is_tried_now_and_then(self):
        """Guards against a limit of zero that nobody hears the end of."""
        assert self.released(0.0, 1) == pytest.approx([30.0])

    def test_waiting_turns_are_released_when_the_limit_ends(self):
        """Guards against turns that wait for a limit of before."""

        async def main():
            clock = virtual_time.LoopClock()
            pacer = turn_pacer.TurnPacer(clock, random.Random(1))
            pacer.apply_limit(0.1, 0, 0.0)
            tasks = [
                asyncio.create_task(pacer.admit('chat', 1, 1.0))
                for _ in range(20)
            ]
            await asyncio.sleep(1.0)
            pacer.apply_limit(None, 0, 0.0)
            await asyncio.wait(tasks, timeout=0.1)
            return all(task.done() for task in tasks)

        assert virtual_time.run(main())

    def test_flows_share_the_limit(self):
        """Guards against a flood that takes the whole limit."""

        async def main():
            clock = virtual_time.LoopClock()
            pacer = turn_pacer.TurnPacer(clock, random.Random(1))
            pacer.apply_limit(2.0, 0, 0.0)
            order = []

            async def admit(flow):
                await pacer.admit(flow, 1, 1.0)
                order.append(flow)

            flows = ['flood'] * 20 + ['calm'] * 3
            await asyncio.gather(*(admit(flow) for flow in flows))
            return order

        assert virtual_time.run(main())[:7].count('calm') == 3


class TestReturnTimes:
    def test_callers_return_one_after_the_other(self):
        """Guards against refused callers that return all at once."""
        clock = clocks.ManualClock()
        returns = return_times.ReturnTimes(clock, random.Random(1))
        assert [returns.next_s(2.0, 0.5) for _ in range(3)] == [2.0, 2.5, 3.0]
        clock.now_s = 10.0
        assert returns.next_s(0.2, 0.5) == pytest.approx(0.2)

    def test_times_have_a_maximum(self):
        clock = clocks.ManualClock()
        returns = return_times.ReturnTimes(clock, random.Random(1))
        times_s = [returns.next_s(1.0, 1.0) for _ in range(100)]
        assert max(times_s) <= 10.0
        assert len(set(times_s)) == 100


class TestLimitShare:
    @pytest.mark.parametrize('limit_per_s', [1.2, 5.0, 30.0])
    @pytest.mark.parametrize('entry_count', [1, 4, 30, 300])
    def test_entries_keep_the_limit_together(self, limit_per_s, entry_count):
        """Guards against shares that add up to more than the limit."""
        clock = clocks.ManualClock()
        source = random.Random(7)
        shares = [
            limit_share.LimitShare(
                0.75 * limit_per_s / entry_count, clock, source
            )
            for _ in range(entry_count)
        ]
        times_s = []
        for step in range(400):
            clock.now_s = step * 0.1
            # Every entry has more requests than its share allows.
            times_s += [clock.now_s for s in shares if s.try_acquire()]
        assert most_in_window(times_s) <= soak_limits.allowed(limit_per_s)
        assert len(times_s) > 0.3 * limit_per_s * 40.0

    def test_idle_entries_save_up_nothing(self):
        """Guards against entries that all send at once after an idle time."""
        clock = clocks.ManualClock()
        source = random.Random(7)
        shares = [
            limit_share.LimitShare(1.5 / 300, clock, source)
            for _ in range(300)
        ]
        clock.now_s = 5000.0
        assert sum(s.try_acquire() for s in shares) <= 5

    def test_the_wait_ends_when_a_request_is_allowed(self):
        clock = clocks.ManualClock()
        share = limit_share.LimitShare(0.1, clock, random.Random(7))
        wait_s = share.wait_s()
        assert 0.0 < wait_s <= 10.0
        clock.now_s = wait_s + 1e-6
        assert share.try_acquire()
        assert not share.try_acquire()


class GranterScene(test_organisation_fairness.Scene):
    """A granter whose engine names a limit."""

    async def send(self, per_s, length_s, **fields):
        """Request turns at a steady rate; return when they were granted."""
        granted_at_s = []
        refusals = []

        async def one():
            request = msgspec.structs.replace(
                self.request('one', 3.0), **fields
            )
            reply = await self.granter.request_turn(request)
            if reply.refusal is None and not reply.is_pending:
                granted_at_s.append(self.clock.monotonic_s())
            else:
                refusals.append(reply)
            await self.granter.end_turns([request.turn_id])

        tasks = []
        for _ in range(int(per_s * length_s)):
            tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(1.0 / per_s)
        await asyncio.gather(*tasks)
        return granted_at_s, refusals


class TestGranter:
    def play(self, limit_per_s, per_s=20.0, length_s=20.0):
        async def main():
            scene = GranterScene()
            await scene.send(per_s, 2.0)
            await scene.granter.apply_limit(limit_per_s)
            return await scene.send(per_s, length_s)

        return virtual_time.run(main())

    @pytest.mark.parametrize('limit_per_s', [0.4, 1.5, 6.0])
    def test_turns_keep_the_limit(self, limit_per_s):
        """Guards against an engine that gets more than it accepts."""
        granted_at_s, refusals = self.play(limit_per_s)
        assert most_in_window(granted_at_s) <= limit_per_s * WINDOW_S + 1
        assert len(granted_at_s) >= 0.8 * limit_per_s * 20.0
        assert {reply.refusal for reply in refusals} == {LIMITED}

    def test_refused_callers_return_at_different_times(self):
        """Guards against refused callers that return all at once."""
        _, refusals = self.play(1.5, length_s=1.0)
        times_ms = [reply.retry_after_ms for reply in refusals]
        assert len(set(times_ms)) == len(times_ms) > 5

    def test_pending_turns_that_come_too_late_are_refused_at_once(self):
        """Guards against callers that wait for a turn until their deadline."""

        async def main():
            scene = GranterScene()
            await scene.granter.apply_limit(5.0)
            waiting = [
                asyncio.create_task(
                    scene.granter.request_turn(scene.request('one', 3.0))
                )
                for _ in range(3)
            ]
            await asyncio.sleep(0.01)
            await scene.granter.apply_limit(0.1)
            done, _ = await asyncio.wait(waiting, timeout=0.1)
            return [task.result().refusal for task in done]

        assert virtual_time.run(main()) == [LIMITED] * 3


class TestTurnClient:
    def test_turns_without_consent_keep_the_share(self):
        """Guards against an engine without sidecar that gets too much."""

        async def main():
            scene = test_turn_client.Scene(a={'m/x': 1})
            server = scene.servers.get('a')
            scene.limits.record_answer(server, 1.5, scene.clock.boot_s())
            scene.sidecars.replies = {f'10.0.0.{n}': None for n in (1, 2, 3)}
            times_s = []
            for number in range(60):
                try:
                    async with scene.client.acquire(
                        scene.spec(f'r{number}'), ()
                    ):
                        times_s.append(scene.clock.monotonic_s())
                except errors.RefusalError as error:
                    assert error.outcome is errors.Outcome.NOT_RUN
                    assert error.retry_after_s > 0.0
                await asyncio.sleep(0.05)
            return times_s

        times_s = virtual_time.run(main())
        assert 0 < most_in_window(times_s) <= 1.5 * WINDOW_S

    def test_requests_tell_a_sidecar_the_limit(self):
        """Guards against a restarted sidecar that knows no limit."""

        async def main():
            scene = test_turn_client.Scene(a={'m/x': 1})
            server = scene.servers.get('a')
            scene.limits.record_answer(server, 1.5, scene.clock.boot_s())
            async with scene.client.acquire(scene.spec(), 'bc'):
                return scene.sidecars.requests[-1][1]

        request = virtual_time.run(main())
        assert request.limit_per_s == 1.5
        assert request.server_start_id == 'a@0'

    def test_replies_tell_an_entry_the_limit(self):
        """Guards against an entry that ignores a limit it has not heard."""

        async def main():
            scene = test_turn_client.Scene(a={'m/x': 1})
            reply = turn_messages.TurnReply(
                limit_per_s=1.5, is_limit_known=True
            )
            scene.sidecars.replies = {'10.0.0.1': reply}
            async with scene.client.acquire(scene.spec(), 'bc'):
                return scene.limits.per_s(scene.servers.get('a'))

        assert virtual_time.run(main()) == 1.5

    @pytest.mark.parametrize('is_limit_known', [False, True])
    def test_a_sidecar_that_knows_nothing_does_not_end_a_limit(
        self, is_limit_known
    ):
        """Guards against a restarted sidecar that ends a limit."""

        async def main():
            scene = test_turn_client.Scene(a={'m/x': 1})
            server = scene.servers.get('a')
            scene.limits.record_answer(server, 1.5, scene.clock.boot_s())
            await asyncio.sleep(0.1)
            reply = turn_messages.TurnReply(is_limit_known=is_limit_known)
            scene.sidecars.replies = {'10.0.0.1': reply}
            async with scene.client.acquire(scene.spec(), 'bc'):
                return scene.limits.per_s(server)

        expected = None if is_limit_known else 1.5
        assert virtual_time.run(main()) == expected


class TestReports:
    def play(self, link, *limits_per_s):
        async def main():
            clock = virtual_time.LoopClock()
            reporter = sidecar_reporter.SidecarReporter()
            limits = limit_fakes.make_limits(clock, link, reporter=reporter)
            server = backend_list.BackendServer('a', 's', '10.0.0.1', 80, 'z')
            for limit_per_s in limits_per_s:
                asked_at_s = clock.boot_s()
                await asyncio.sleep(0.1)
                limits.record_answer(server, limit_per_s, asked_at_s)
                await asyncio.sleep(0.1)
            await reporter.close()

        virtual_time.run(main())

    def test_the_sidecar_is_told_at_once(self):
        """Guards against a limit that only one entry knows."""
        link = limit_fakes.LimitLink()
        self.play(link, 1.5, None)
        assert [m.limit_per_s for _, m in link.reports] == [1.5, None]
        assert {ip for ip, _ in link.reports} == {'10.0.0.1'}
        assert link.reports[0][1].answer_age_ms == pytest.approx(100, abs=2)

    def test_without_limit_nothing_is_sent(self):
        link = limit_fakes.LimitLink()
        self.play(link, None, None)
        assert link.reports == []

    def test_a_silent_sidecar_is_no_error(self):
        link = limit_fakes.LimitLink()
        link.is_silent = True
        self.play(link, 1.5)


class PlainScene:
    """Entries that use two servers of a plain service."""

    def __init__(self, entry_count=1, owns_permits=True):
        self.clock = clocks.ManualClock()
        self.link = limit_fakes.LimitLink(self.clock if owns_permits else None)
        self.servers = backend_list.BackendList(self.clock)
        self.servers.replace_all(
            backend_list.BackendServer(
                name, 'lookup', f'10.0.0.{number}', 80, 'z'
            )
            for number, name in enumerate('ab')
        )
        self.limits = [
            limit_fakes.make_limits(
                self.clock,
                self.link,
                has_sidecar=False,
                entry_count=entry_count,
                seed=seed,
            )
            for seed in range(entry_count)
        ]
        self.selectors = [
            self._selector(limits, random.Random(seed))
            for seed, limits in enumerate(self.limits)
        ]

    def _selector(self, limits, source):
        return plain_server_selector.PlainServerSelector(
            service_balancer.ServiceBalancer(
                self.servers,
                ejection.Ejector(self.clock, source),
                'z',
                source,
            ),
            suspects.Suspects(self.clock, source).record,
            limits,
            server_gate.ServerGate(self.servers, self.clock, source),
        )

    def name_limit(self, name, per_s, at_s=0.0):
        for limits in self.limits:
            limits.record_answer(self.servers.get(name), per_s, at_s)

    def chosen(self, count=400, pause_s=0.05):
        """Return the server or refusal of each request, and its time."""

        async def choose(selector):
            try:
                async with selector.select(('f',), ('lookup',), ()) as turn:
                    return turn.server.name
            except errors.RefusalError as error:
                return error

        async def main():
            found = []
            for number in range(count):
                self.clock.now_s += pause_s
                selector = self.selectors[number % len(self.selectors)]
                found.append((await choose(selector), self.clock.now_s))
            return found

        return asyncio.run(main())


class TestPlainServers:
    @pytest.mark.parametrize('owns_permits', [True, False])
    @pytest.mark.parametrize('entry_count', [1, 4, 30])
    def test_what_the_limit_leaves_out_goes_elsewhere(
        self, entry_count, owns_permits
    ):
        """Guards against a plain server that gets more than it accepts."""
        scene = PlainScene(entry_count, owns_permits)
        scene.name_limit('a', 1.5)
        found = scene.chosen()
        times_s = [at_s for name, at_s in found if name == 'a']
        assert most_in_window(times_s) <= 1.5 * WINDOW_S + 1
        assert len(times_s) > 0 or not owns_permits
        assert {name for name, _ in found} <= {'a', 'b'}

    def test_entries_use_the_limit(self):
        """Guards against a limit of which most is left unused."""
        scene = PlainScene(30)
        scene.name_limit('a', 1.5)
        times_s = [at_s for name, at_s in scene.chosen() if name == 'a']
        assert len(times_s) > 0.5 * 1.5 * 20.0

    def test_a_silent_owner_is_not_asked_for_each_request(self):
        """Guards against callers that wait for an owner that is gone."""
        scene = PlainScene()
        scene.link.is_silent = True
        scene.name_limit('a', 1.5)
        scene.chosen(count=80, pause_s=0.05)
        assert len(scene.link.permit_requests) <= 5

    def test_without_another_server_it_is_refused_at_once(self):
        scene = PlainScene()
        for name in 'ab':
            scene.name_limit(name, 0.5)
        found = scene.chosen(20)
        refusals = [e for e, _ in found if isinstance(e, errors.RefusalError)]
        assert {error.kind for error in refusals} == {LIMITED}
        assert {error.outcome for error in refusals} == {
            errors.Outcome.NOT_RUN
        }
        assert all(error.retry_after_s > 0.0 for error in refusals)

    def test_a_higher_limit_counts_at_once(self):
        """Guards against waiting for a permit at the limit of before."""
        scene = PlainScene()
        scene.name_limit('a', 0.1)
        scene.chosen(40)
        scene.name_limit('a', 5.0, scene.clock.now_s)
        found = [name for name, _ in scene.chosen(60)]
        assert found.count('a') >= 3

    def test_the_end_of_a_limit_frees_the_server(self):
        """Guards against a limit that stays after it has ended."""
        scene = PlainScene()
        scene.name_limit('a', 0.5)
        scene.name_limit('a', None, 0.1)
        found = [name for name, _ in scene.chosen(40)]
        assert found.count('a') > 10


class TestPermitOwner:
    def request(self, per_s):
        return server_permits.PermitRequest(
            entry='edge-1', server_start_id='a@0', per_s=per_s
        )

    def test_a_new_owner_grants_nothing_at_once(self):
        """Guards against permits of an owner and of its successor."""
        clock = clocks.ManualClock(100.0)
        owner = server_permits.PermitOwner(clock, random.Random(1))
        assert owner.grant(self.request(2.0)).wait_ms > 0
        clock.now_s = 100.5
        assert owner.grant(self.request(2.0)).wait_ms == 0

    def test_an_owner_that_was_idle_grants_at_once(self):
        """Guards against refusing the first caller after a quiet time."""
        clock = clocks.ManualClock()
        owner = server_permits.PermitOwner(clock, random.Random(1))
        clock.now_s = 15.0
        assert owner.grant(self.request(2.0)).wait_ms == 0

    def test_refused_entries_get_different_times(self):
        """Guards against entries that ask again all at once."""
        clock = clocks.ManualClock()
        owner = server_permits.PermitOwner(clock, random.Random(1))
        waits_ms = [owner.grant(self.request(2.0)).wait_ms for _ in range(9)]
        assert len(set(waits_ms)) == 9

    def test_the_last_named_limit_counts(self):
        """Guards against permits at an outdated limit."""
        clock = clocks.ManualClock()
        owner = server_permits.PermitOwner(clock, random.Random(1))
        owner.grant(self.request(100.0))
        granted = 0
        for step in range(1, 200):
            clock.now_s = step * 0.05
            granted += not owner.grant(self.request(1.0)).wait_ms
        assert granted <= 11
