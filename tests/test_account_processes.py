"""Accounts compared with what callers received, with real processes."""

import asyncio
import collections
import contextlib
import time

import aiohttp
import msgspec
import pytest

from lacewingpitch import contract
from lacewingpitch import live_list
from lacewingpitch import report as report_module
from lacewingpitch import response_format
from tests import fault_matrix
from tests import processes
from tests import sides as sides_module

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
TOKEN = 'token-of-operators'
COPY_AGE = 'lacewingpitch_account_copy_age_seconds{'
CUSTOMER_ADAPTERS = (('haneul', 'ficus'), ('caravan', 'trade-in'))

OPERATOR_FIELDS = {'operator_token_digest': contract.digest_key(TOKEN)}


def add_customers(deployment):
    for customer, adapter in CUSTOMER_ADAPTERS:
        deployment.add_customer(
            customer, adapter, limits=processes.WIDE_LIMITS
        )


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        for _ in range(2):
            await found.add_engine()
        for zone in ('zone-a', 'zone-b', 'zone-c'):
            await found.add_entry(availability_zone=zone, **OPERATOR_FIELDS)
        add_customers(found)
        await found.publish()
        yield found


class Callers:
    """Sends requests, and records the complete answers with their times."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.received = []
        self._stopped = set()

    def stop(self, entry):
        """Send no more requests to an entry; those in progress end."""
        self._stopped.add(entry)

    async def call(self, entry, customer, adapter, stream):
        try:
            async with self.deployment.call(
                entry, customer, adapter, stream=stream
            ) as response:
                body = await response.read()
        except aiohttp.ClientError:
            return False
        assert response.status == 200
        if not stream or body.endswith(response_format.STREAM_END):
            self.received.append((time.time(), entry, customer))
        return True

    async def keep_calling(self, entry, count):
        for number in range(count):
            for customer, adapter in CUSTOMER_ADAPTERS:
                if entry in self._stopped:
                    return
                is_stream = number % 2 == 1
                if not await self.call(entry, customer, adapter, is_stream):
                    return

    def counts(self, is_counted=lambda _at_s, _entry: True):
        return collections.Counter(
            customer
            for at_s, entry, customer in self.received
            if is_counted(at_s, entry)
        )


async def read_report(deployment, entry):
    data = await report_module.fetch(entry.url, None, TOKEN)
    return msgspec.json.decode(data, type=report_module.Report)


def served(report):
    return {s.customer: s.served_count for s in report.services}


async def read_report_without_gaps(deployment, entry):
    async def has_no_gaps():
        return not (await read_report(deployment, entry)).gaps

    await processes.wait_until(has_no_gaps)
    return await read_report(deployment, entry)


def check_against_gaps(report, callers):
    """Check that a report lacks counts only within its stated gaps."""
    gaps = {gap.instance: gap for gap in report.gaps}
    names = {
        entry: f'entry-{number}'
        for number, entry in enumerate(callers.deployment.entries)
    }

    def is_certain(at_s, entry):
        gap = gaps.get(names[entry])
        return gap is None or not gap.from_s <= at_s <= gap.to_s

    certain = callers.counts(is_certain)
    received = callers.counts()
    reported = served(report)
    for customer, count in received.items():
        assert certain[customer] <= reported[customer] <= count
    return certain


async def some_are_copied(callers, entry):
    """Return whether some of an entry's answers are in copies."""
    received_at_s = [
        at_s for at_s, source, _ in callers.received if source is entry
    ]
    async with callers.deployment.session.get(
        entry.url + '/metrics'
    ) as response:
        text = await response.text()
    (line,) = (x for x in text.splitlines() if x.startswith(COPY_AGE))
    copied_until_s = time.time() - float(line.split()[-1])
    return bool(received_at_s) and copied_until_s > min(received_at_s) + 1


class TestKilled:
    @pytest.mark.parametrize(
        'lost_count',
        [
            pytest.param(
                1,
                marks=[
                    pytest.mark.proves(Promise.ACCOUNT, fault, Step.MID_STREAM)
                    for fault in (Fault.KILLED, Fault.LIST_WRONG)
                ],
            ),
            pytest.param(
                2,
                marks=pytest.mark.proves(
                    Promise.ACCOUNT, Fault.SAME_TWICE, Step.MID_STREAM
                ),
            ),
        ],
    )
    async def test_gap_covers_what_the_report_lacks(
        self, deployment, lost_count
    ):
        """A report shows fewer answers than the customer got, and no gap.

        Callers use three entries.  One is killed under load, between an
        answer and the next copy, or two are, one after the other; they
        stay in the list.  This happens if the report does not state that
        counts, which only the lost instance had, may be missing.
        """
        callers = Callers(deployment)
        first, *lost = deployment.entries
        calling = [
            asyncio.create_task(callers.keep_calling(entry, 10_000))
            for entry in lost
        ]
        await callers.keep_calling(first, 10)
        for entry in lost:
            await processes.wait_until(
                lambda e=entry: some_are_copied(callers, e)
            )
        lost = lost[-lost_count:]
        for entry in lost:
            await entry.kill()

        async def are_copied():
            report = await read_report(deployment, first)
            copied = [s for s in report.sources if s.read_from == 'a copy']
            return len(copied) == lost_count

        await asyncio.gather(*calling[-lost_count:])
        for entry in deployment.entries[1:]:
            callers.stop(entry)
        await asyncio.gather(*calling)
        await processes.wait_until(are_copied)
        report = await read_report(deployment, first)
        names = ['entry-1', 'entry-2'][-lost_count:]
        assert sorted(gap.instance for gap in report.gaps) == names
        certain = check_against_gaps(report, callers)
        assert (
            certain.total()
            > callers.counts(lambda _at_s, entry: entry not in lost).total()
        )


class TestPartition:
    @pytest.mark.proves(Promise.ACCOUNT, Fault.PARTITION, Step.MID_STREAM)
    @pytest.mark.proves(Promise.ACCOUNT, Fault.LINK_CUT, Step.MID_STREAM)
    @pytest.mark.proves(Promise.ACCOUNT, Fault.HALF_OPEN, Step.MID_STREAM)
    @pytest.mark.proves(Promise.ACCOUNT, Fault.TWO_FAULTS, Step.MID_STREAM)
    @pytest.mark.parametrize('how', ['cut', 'half-open'])
    async def test_each_side_names_what_it_cannot_see(self, tmp_path, how):
        """A report of one side of a partition appears complete.

        The fleet is partitioned under load, both sides serve, and
        reports of both are read; then the links heal, and one entry has
        been killed meanwhile.  This happens if a side treats its copies
        of the other side's accounts as current.  After the partition,
        answers would count twice if both a copy and its original were
        added up.
        """
        async with contextlib.AsyncExitStack() as exits:
            deployment = await exits.enter_async_context(
                processes.Deployment(tmp_path)
            )
            add_customers(deployment)
            sides = await exits.enter_async_context(
                sides_module.Sides(
                    deployment,
                    zones='ab',
                    left_count=1,
                    entries=((0, 'a'), (0, 'a'), (1, 'b'), (1, 'b')),
                    joins_entries=True,
                    entry_fields=OPERATOR_FIELDS,
                )
            )
            callers = Callers(deployment)
            entries = deployment.entries
            for entry in entries:
                await callers.keep_calling(entry, 5)
            for entry in entries:
                await processes.wait_until(
                    lambda e=entry: some_are_copied(callers, e)
                )
            await sides.split(how)
            await sides.publish(live_list.InstanceState.LEAVING)
            for entry in entries:
                await callers.keep_calling(entry, 5)
            for entry, unreached in (
                (entries[0], ['entry-2', 'entry-3']),
                (entries[2], ['entry-0', 'entry-1']),
            ):
                report = await read_report(deployment, entry)
                assert sorted(g.instance for g in report.gaps) == unreached
                check_against_gaps(report, callers)
            await entries[3].kill()
            await sides.heal()
            await sides.publish(live_list.InstanceState.LIVE)

            async def reaches_the_others(entry):
                report = await read_report(deployment, entry)
                return [g.instance for g in report.gaps] == ['entry-3']

            for entry in entries[:3]:
                await processes.wait_until(
                    lambda e=entry: reaches_the_others(e)
                )
                report = await read_report(deployment, entry)
                certain = check_against_gaps(report, callers)
                alive = callers.counts(lambda _, e: e is not entries[3])
                assert certain.total() > alive.total()


class TestFrozen:
    @pytest.mark.proves(Promise.ACCOUNT, Fault.FROZEN, Step.ANY)
    async def test_gap_closes_when_the_instance_wakes(self, deployment):
        """A report lacks, or counts twice, what a frozen entry served.

        An entry freezes after serving and resumes later.  Until then the
        report must state the gap; afterwards it must include the counts
        once.  They count twice if both a copy and the instance itself
        are added up.
        """
        callers = Callers(deployment)
        for entry in deployment.entries:
            await callers.keep_calling(entry, 5)
        frozen = deployment.entries[1]
        frozen.freeze()
        report = await read_report(deployment, deployment.entries[0])
        assert [gap.instance for gap in report.gaps] == ['entry-1']
        check_against_gaps(report, callers)
        frozen.resume()
        report = await read_report_without_gaps(
            deployment, deployment.entries[0]
        )
        assert served(report) == callers.counts()


class TestGraceful:
    @pytest.mark.proves(Promise.ACCOUNT, Fault.NONE, Step.DRAINING)
    async def test_terminated_entry_leaves_no_gap(self, deployment):
        callers = Callers(deployment)
        for entry in deployment.entries:
            await callers.keep_calling(entry, 5)
        deployment.entries[2].terminate()
        assert await deployment.entries[2].wait_for_exit() == 0
        del deployment.instances[-1]
        await deployment.publish_instances()
        report = await read_report_without_gaps(
            deployment, deployment.entries[0]
        )
        assert served(report) == callers.counts()


class TestIncompleteAnswers:
    @pytest.mark.proves(Promise.ACCOUNT, Fault.STREAM_CUT, Step.MID_STREAM)
    async def test_cut_and_abandoned_answers_are_not_served(self, deployment):
        """The account shows incomplete answers as served.

        One caller disconnects in the middle of its stream, and an engine
        dies in the middle of another.  This happens if answers are
        counted by their HTTP status alone.
        """
        entry = deployment.entries[0]

        async def begin():
            response = await deployment.call(
                entry, 'haneul', 'ficus', stream=True, max_tokens=5000
            )
            await response.content.readline()
            return response

        leaving, cut = await begin(), await begin()
        leaving.close()
        for engine in deployment.engines:
            await engine.kill()
        await cut.read()

        async def are_counted():
            report = await read_report(deployment, entry)
            (service,) = (s for s in report.services if s.customer == 'haneul')
            assert service.served_count == 0
            return service.caller_gone_count == 1 and service.partial == {
                'answer-cut': 1
            }

        await processes.wait_until(are_counted)


class TestOneCustomer:
    async def test_key_opens_its_own_report_alone(self, deployment):
        entry = deployment.entries[0]
        callers = Callers(deployment)
        await callers.keep_calling(entry, 2)
        headers = {'Authorization': f'Bearer {deployment.keys["haneul"]}'}
        for path in ('/report', '/report/customers/caravan'):
            async with deployment.session.get(
                entry.url + path, headers=headers
            ) as response:
                assert response.status == 401
                assert 'caravan' not in await response.text()
        for query in ('', '?format=json'):
            async with deployment.session.get(
                f'{entry.url}/report/customers/haneul{query}', headers=headers
            ) as response:
                assert response.status == 200
                text = await response.text()
        assert 'haneul' in text
        assert 'caravan' not in text
        assert 'trade-in' not in text

    async def test_account_line_names_no_key(self, deployment):
        entry = deployment.entries[0]
        await Callers(deployment).keep_calling(entry, 1)

        async def lines():
            return [x for x in entry.log if x['event'] == 'answered']

        await processes.wait_until(lines)
        line = (await lines())[0]
        assert line['customer'] == 'haneul'
        assert line['adapter'] == 'ficus@1'
        assert line['instance'] == 'entry-0'
        assert line['availability_zone'] == 'zone-a'
        assert line['outcome'] == 'served'
        assert line['request_id']
        text = msgspec.json.encode(entry.log).decode()
        assert not any(key in text for key in deployment.keys.values())
