"""Permits that limit the loads from the store."""

import asyncio
import contextlib
import secrets

import msgspec
import pytest

from benchmarks import virtual_time
from lacewingpitch import clock as clock_module
from lacewingpitch import directory
from lacewingpitch import errors
from lacewingpitch import live_list
from lacewingpitch import node as node_module
from lacewingpitch import settings
from lacewingpitch import store_pacing
from tests import fault_matrix
from tests import samples

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
HANEUL = settings.StoreSettings(loads_per_s=2.0, loads_at_once=1)
ASSOCIATION = settings.StoreSettings(loads_per_s=6.0, loads_at_once=2)


class DirectLink:
    """An issuer in this process that can be cut off or lose messages."""

    def __init__(self, store=HANEUL, sidecar_count=4):
        self.clock = virtual_time.LoopClock()
        self.store = store
        self.pacers = {}
        self.is_cut = False
        self.loses_grants = False
        self.loses_returns = False
        self.count = sidecar_count
        self.request_count = 0
        self.new_issuer()

    def new_issuer(self):
        self.issuer = store_pacing.PermitIssuer(
            self.clock, self.store, self._notify
        )

    def pacer(self, name):
        self.pacers[name] = store_pacing.StorePacer(
            self.clock, self.store, self, name
        )
        return self.pacers[name]

    def _notify(self, requester, grant):
        if not self.loses_grants:
            self.pacers[requester].apply_grant(grant)

    async def ask(self, request):
        await asyncio.sleep(0.001)
        self.request_count += 1
        if self.is_cut:
            raise errors.LinkError('cut')
        return self.issuer.ask(request)

    async def release(self, message):
        if self.is_cut or self.loses_returns:
            raise errors.LinkError('cut')
        self.issuer.release(message.permit_id)

    def sidecar_count(self):
        return self.count


class Loads:
    """Counts concurrent loads and records when each one started."""

    def __init__(self, load_s=0.5):
        self.load_s = load_s
        self.now = 0
        self.most = 0
        self.starts_s = []

    async def run(self, pacer, weight=1.0):
        async with pacer.permit(lambda: weight):
            self.starts_s.append(asyncio.get_running_loop().time())
            self.now += 1
            self.most = max(self.most, self.now)
            await asyncio.sleep(self.load_s)
            self.now -= 1


async def load_all(link, loads, count):
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            pacer = link.pacer(f'sidecar-{number}')
            group.create_task(loads.run(pacer))


class TestRate:
    @pytest.mark.parametrize('store', [HANEUL, ASSOCIATION])
    def test_keeps_to_the_rate_and_concurrency_of_the_store(self, store):
        async def main():
            loads = Loads(store.loads_at_once / store.loads_per_s)
            await load_all(DirectLink(store), loads, 12)
            return loads, asyncio.get_running_loop().time()

        loads, took_s = virtual_time.run(main())
        assert loads.most <= store.loads_at_once
        assert took_s >= (12 - store.loads_at_once) / store.loads_per_s
        assert took_s <= 1.1 * 12 / store.loads_per_s + 0.1

    def test_slow_store_gets_no_more_concurrent_loads(self):
        async def main():
            loads = Loads(load_s=4.0)
            await load_all(DirectLink(), loads, 6)
            return loads

        assert virtual_time.run(main()).most == 1

    def test_costliest_request_goes_first(self):
        async def main():
            link, loads, order = DirectLink(), Loads(), []

            async def load(name, weight):
                async with link.pacer(name).permit(lambda: weight):
                    order.append(name)
                    await asyncio.sleep(0.5)

            async with asyncio.TaskGroup() as group:
                group.create_task(load('first', 1.0))
                await asyncio.sleep(0.1)
                group.create_task(load('light', 1.0))
                group.create_task(load('heavy', 9.0))
            return order, loads

        assert virtual_time.run(main())[0] == ['first', 'heavy', 'light']

    def test_low_weight_is_not_starved(self):
        async def main():
            link, loads = DirectLink(), Loads()
            done_s = []

            async def light():
                await loads.run(link.pacer('light'), 1.0)
                done_s.append(asyncio.get_running_loop().time())

            task = asyncio.create_task(light())
            async with asyncio.TaskGroup() as group:
                for number in range(100):
                    name = f'heavy-{number}'
                    group.create_task(loads.run(link.pacer(name), 4.0))
                    await asyncio.sleep(0.4)
            await task
            return done_s[0]

        assert virtual_time.run(main()) < 40.0


class TestRetries:
    @pytest.mark.parametrize('count', [64, 256])
    def test_few_messages_for_any_queue_length(self, count):
        """The issuer is overloaded by retries.

        Hundreds of loads wait after the loss of a zone.  This happens if
        each request is retried as often as the first one in the queue.
        """

        async def main():
            link, loads = DirectLink(), Loads()
            await load_all(link, loads, count)
            return link, loads, asyncio.get_running_loop().time()

        link, loads, took_s = virtual_time.run(main())
        assert len(loads.starts_s) == count
        assert took_s <= 1.1 * count / HANEUL.loads_per_s
        assert link.request_count <= 6 * count

    @pytest.mark.proves(Promise.NOT_RUN, Fault.KILLED, Step.LOADING)
    @pytest.mark.parametrize(('dead_interval', 'leases'), [(3, 1), (10, 0)])
    def test_dead_requesters_get_no_permit(self, dead_interval, leases):
        """Loads stop for minutes after the loss of a zone.

        Many requests wait, and some requesters die long before their
        turn.  This happens if dead requesters are granted permits, which
        stay unused until their leases end.
        """

        async def main():
            link, loads, tasks = DirectLink(), Loads(), []
            for number in range(90):
                pacer = link.pacer(f'sidecar-{number}')
                tasks.append(asyncio.create_task(loads.run(pacer)))
            await asyncio.sleep(1.5)
            for number, task in enumerate(tasks):
                if number >= 20 and number % dead_interval == 0:
                    # A dead sidecar neither releases nor answers.
                    pacer = link.pacers[f'sidecar-{number}']
                    pacer.apply_grant = pacer._release = lambda message: None
                    task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return loads, asyncio.get_running_loop().time()

        loads, took_s = virtual_time.run(main())
        in_turn_s = len(loads.starts_s) / HANEUL.loads_per_s
        # The queue advances as dead requesters are dropped, so one of
        # them may be granted a permit before its retry is overdue.
        lost_s = leases * store_pacing.PERMIT_LEASE_S
        assert took_s <= in_turn_s + lost_s + 0.5

    @pytest.mark.proves(Promise.NOT_RUN, Fault.KILLED, Step.LOADING)
    def test_requests_far_back_notice_a_dead_issuer(self):
        """Loads wait for ever for a dead issuer.

        Requests far back in its queue have long retry intervals.  This
        happens if they wait for a grant without retrying.
        """

        async def main():
            link, loads = DirectLink(sidecar_count=1), Loads()
            loading = asyncio.create_task(load_all(link, loads, 40))
            await asyncio.sleep(3.0)
            link.issuer.close()
            link.is_cut = True
            await loading
            return loads, asyncio.get_running_loop().time()

        loads, took_s = virtual_time.run(main())
        assert len(loads.starts_s) == 40
        assert took_s <= 1.5 * 40 / HANEUL.loads_per_s

    def test_increased_weight_is_sent_at_once(self):
        async def main():
            link, loads, started_s = DirectLink(), Loads(), []
            tasks = [
                asyncio.create_task(loads.run(link.pacer(f's-{number}')))
                for number in range(60)
            ]
            await asyncio.sleep(0.1)
            weights = iter([1.0, 1.0])

            async def wanted():
                async with link.pacer('wanted').permit(
                    lambda: next(weights, 100.0)
                ):
                    started_s.append(asyncio.get_running_loop().time())

            await asyncio.gather(wanted(), *tasks)
            return started_s[0]

        assert virtual_time.run(main()) < 3 * store_pacing.RETRY_INTERVAL_S

    def test_reply_of_an_earlier_version_has_the_default_interval(self):
        old = msgspec.msgpack.encode({'granted': False})
        reply = msgspec.msgpack.decode(old, type=store_pacing.PermitReply)
        assert reply.ask_again_s == store_pacing.RETRY_INTERVAL_S


class TestLoss:
    """The loss of a permit or its issuer delays loads but fails none."""

    @pytest.mark.proves(Promise.NOT_RUN, Fault.KILLED, Step.LOADING)
    def test_permit_of_a_dead_requester_expires(self):
        """Loads stop for ever after a sidecar is killed during a load.

        It holds the only permit and never releases it, and the others
        wait.  This happens if permits have no lease.
        """

        async def main():
            link, loads = DirectLink(), Loads()
            link.issuer.ask(
                store_pacing.PermitRequest(permit_id='d/1', asker='dead')
            )
            await loads.run(link.pacer('alive'))
            return loads.starts_s[0]

        started_s = virtual_time.run(main())
        assert started_s <= store_pacing.PERMIT_LEASE_S + 0.1

    @pytest.mark.proves(Promise.NOT_RUN, Fault.PARTITION, Step.LOADING)
    def test_without_an_issuer_each_loads_at_its_equal_share(self):
        """No adapter is loaded while the issuer is cut off.

        Four sidecars request permits and get no answer.  This happens if
        a load requires a permit; permits are only advisory.
        """

        async def main():
            link = DirectLink(sidecar_count=4)
            link.is_cut = True
            loads = Loads()
            pacers = [link.pacer(f's-{number}') for number in range(4)]
            async with asyncio.TaskGroup() as group:
                for pacer in pacers:
                    for _ in range(3):
                        group.create_task(loads.run(pacer))
            return loads.starts_s

        starts_s = virtual_time.run(main())
        assert len(starts_s) == 12
        # Four sidecars at 0.5 loads/s each use the store's 2 loads/s.
        assert max(starts_s) == pytest.approx(4.0, abs=0.2)

    @pytest.mark.proves(Promise.NOT_RUN, Fault.LINK_CUT, Step.LOADING)
    def test_lost_grants_are_retried(self):
        async def main():
            link, loads = DirectLink(), Loads()
            link.loses_grants = True
            await load_all(link, loads, 4)
            return loads, asyncio.get_running_loop().time()

        loads, took_s = virtual_time.run(main())
        assert len(loads.starts_s) == 4
        assert took_s < 4 * store_pacing.PERMIT_LEASE_S

    def test_permits_with_lost_returns_expire(self):
        async def main():
            link, loads = DirectLink(), Loads()
            link.loses_returns = True
            await load_all(link, loads, 3)
            return asyncio.get_running_loop().time()

        assert virtual_time.run(main()) < 3 * store_pacing.PERMIT_LEASE_S

    @pytest.mark.proves(Promise.NOT_RUN, Fault.SAME_TWICE, Step.LOADING)
    def test_issuer_that_restarts_twice_keeps_serving(self):
        async def main():
            link, loads = DirectLink(), Loads()
            loading = asyncio.create_task(load_all(link, loads, 8))
            for _ in range(2):
                await asyncio.sleep(1.2)
                link.issuer.close()
                link.new_issuer()
            await loading
            return loads

        loads = virtual_time.run(main())
        assert len(loads.starts_s) == 8
        assert loads.most <= 3

    def test_long_load_renews_its_permit(self):
        async def main():
            link, loads = DirectLink(), Loads(load_s=35.0)
            await load_all(link, loads, 2)
            return loads.most

        assert virtual_time.run(main()) == 1

    def test_late_grant_is_released(self):
        async def main():
            link = DirectLink()
            pacer = link.pacer('late')
            link.issuer.ask(
                store_pacing.PermitRequest(permit_id='late/x', asker='late')
            )
            assert link.issuer.held_count == 1
            pacer.apply_grant(store_pacing.PermitGrant(permit_id='late/x'))
            await asyncio.sleep(0.01)
            return link.issuer.held_count

        assert virtual_time.run(main()) == 0

    def test_cancelled_wait_leaves_nothing_behind(self):
        async def main():
            link, loads = DirectLink(), Loads()
            first = asyncio.create_task(loads.run(link.pacer('first')))
            await asyncio.sleep(0.1)
            second = asyncio.create_task(loads.run(link.pacer('second')))
            await asyncio.sleep(0.1)
            second.cancel()
            await first
            await asyncio.sleep(0.01)
            return link.issuer.held_count, len(loads.starts_s)

        assert virtual_time.run(main()) == (0, 1)


class TestOverTheLink:
    """Two sidecar nodes with real control links."""

    @pytest.fixture
    async def nodes(self):
        secret = secrets.token_hex()
        unused = settings.Address(ip='127.0.0.1', port=1)
        async with contextlib.AsyncExitStack() as exits:
            found = []
            for number in range(2):
                process = settings.ProcessSettings(
                    deployment='test',
                    secret=secret,
                    instance=f'sidecar-{number}',
                    availability_zone='z',
                    region='r',
                    ip='127.0.0.1',
                    work_port=0,
                    control_port=0,
                    config_service=unused,
                    live_list=unused,
                )
                node = node_module.Node(process, clock_module.SystemClock())
                found.append(await exits.enter_async_context(node))
            yield found

    @staticmethod
    def publish(nodes):
        instances = tuple(
            samples.sidecar(
                node.settings.instance,
                region='r',
                availability_zone='z',
                control_port=node.control.port,
            )
            for node in nodes
        )
        for node in nodes:
            node.membership.update(live_list.InstanceList(1, instances))
        return instances

    async def test_permits_are_granted_and_released(self, nodes):
        store = settings.StoreSettings(loads_per_s=1000.0, loads_at_once=1)
        sides = [store_pacing.StorePacing(node, store) for node in nodes]
        self.publish(nodes)
        granted = asyncio.Event()

        async def load_second():
            async with sides[1].pacer.permit(lambda: 1.0):
                granted.set()

        async with sides[0].pacer.permit(lambda: 1.0):
            assert sum(side.issuer.held_count for side in sides) == 1
            second = asyncio.create_task(load_second())
            while not any(side.issuer.waiting_count for side in sides):
                await asyncio.sleep(0.01)
            assert not granted.is_set()
        async with asyncio.timeout(30.0):
            await second
            while any(side.issuer.held_count for side in sides):
                await asyncio.sleep(0.01)

    async def test_home_returns_the_assignment_of_an_adapter(self, nodes):
        for node in nodes:
            directory.serve_directory(
                directory.Directory(node.clock),
                node.control,
                node.membership.changes,
            )
        home = self.publish(nodes)[1]
        link = directory.ControlDirectoryLink(nodes[0].peers)
        for proposal in ('x', 'y'):
            reply = await link.locate(
                home,
                directory.LocateRequest(
                    key='a@1', wanted=1, proposals=(proposal,)
                ),
            )
            assert reply.instances == ('x',)
