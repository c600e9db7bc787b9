"""Tests that keyed requests run at most once, with real processes.

Sidecars are frozen, restarted and partitioned.
"""

import asyncio
import time
import uuid

import msgspec
import pytest

from lacewingpitch import live_list
from lacewingpitch import voter
from lacewingpitch import work
from tests import fault_matrix
from tests import processes
from tests import sides as sides_module
from tests import test_voter

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step

CLOCKS = {'clock_skew_s': 0.5, 'list_lag_s': 5.0}
CUSTOMER = 'haneul'


async def send(deployment, entry, key, adapter='ficus'):
    """Send one request; return its status, headers and body."""
    async with deployment.call(
        entry, CUSTOMER, adapter, key=key, messages=[{'content': key}]
    ) as response:
        return response.status, response.headers, await response.read()


async def runs_of(deployment, key):
    """Return the runs of a key that the engines have recorded."""
    records = [await deployment.engine_record(e) for e in deployment.engines]
    return [
        run
        for record in records
        for run in record.runs
        if key in str(run.body)
    ]


async def wait_for_votes(deployment, *entries):
    """Wait until the new voters grant keys sent through the entries."""

    async def is_granted(entry):
        status, _, _ = await send(
            deployment, entry, processes.new_key(), 'fern'
        )
        return status == 200

    for entry in entries:
        await processes.wait_until(lambda entry=entry: is_granted(entry))


def claim_counts(deployment):
    """Return the number of claims that each sidecar has won."""
    return [
        sum(line['event'] == 'claimed' for line in sidecar.log)
        for sidecar in deployment.sidecars
    ]


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        found.add_customer(
            CUSTOMER, 'ficus', 'fern', limits=processes.WIDE_LIMITS
        )
        yield found


class TestFrozen:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.FROZEN, Step.CLAIMED)
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.DUPLICATE, Step.CLAIMED)
    @pytest.mark.proves(Promise.NOT_RUN, Fault.FROZEN, Step.CLAIMED)
    async def test_frozen_winner_stays_the_only_one(self, deployment):
        """Guards against a second run by a sidecar that was frozen.

        A sidecar freezes after it has won its claim, while the adapter
        loads.  The platform removes it from the list, and the caller
        retries with the same key through another entry and receives an
        answer.  Then the frozen sidecar wakes with an outdated list and
        runs the request.
        """
        for zone in 'abcde':
            await deployment.add_engine(
                '--load-s=2', availability_zone=f'zone-{zone}', **CLOCKS
            )
        first_entry = await deployment.add_entry(**CLOCKS)
        await deployment.publish()
        await wait_for_votes(deployment, first_entry)
        counts_before = claim_counts(deployment)
        key = processes.new_key()
        first = asyncio.create_task(send(deployment, first_entry, key))

        async def is_claimed():
            return claim_counts(deployment) != counts_before

        await processes.wait_until(is_claimed)
        (number,) = (
            n
            for n, count in enumerate(claim_counts(deployment))
            if count != counts_before[n]
        )
        assert not await runs_of(deployment, key)
        deployment.sidecars[number].freeze()
        del deployment.instances[number]
        await deployment.publish_instances()
        second_entry = await deployment.add_entry(**CLOCKS)
        await deployment.wait_until_ready(second_entry)
        status, headers, _ = await send(deployment, second_entry, key)
        assert status == 409
        assert headers[work.KIND_HEADER] == 'key-in-use'
        assert headers[work.OUTCOME_HEADER] == 'unknown'
        deployment.sidecars[number].resume()
        status, _, _ = await first
        assert status == 200
        assert len(await runs_of(deployment, key)) == 1

    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.FROZEN, Step.QUEUED)
    async def test_key_is_usable_after_frozen_voters_wake(self, deployment):
        """Guards against a key that stays blocked, or that runs twice.

        Two voters are frozen, so the claim cannot get its quorum and the
        caller receives "not run".  The voters wake and receive the old
        vote requests.  The caller retries with the same key, and the
        request runs once.
        """
        for zone in 'abcde':
            await deployment.add_engine(
                availability_zone=f'zone-{zone}', **CLOCKS
            )
        entry = await deployment.add_entry(**CLOCKS)
        await deployment.publish()
        await wait_for_votes(deployment, entry)
        home = max(range(5), key=claim_counts(deployment).__getitem__)
        frozen = [s for n, s in enumerate(deployment.sidecars) if n != home]
        for sidecar in frozen[:2]:
            sidecar.freeze()
        key = processes.new_key()
        status, headers, _ = await send(deployment, entry, key, 'fern')
        assert status == 503
        assert headers[work.KIND_HEADER] == 'claim-unavailable'
        assert headers[work.OUTCOME_HEADER] == 'not-run'
        assert int(headers['Retry-After']) >= 1
        assert not await runs_of(deployment, key)
        for sidecar in frozen[:2]:
            sidecar.resume()

        async def is_served():
            response = await send(deployment, entry, key, 'fern')
            return response[0] == 200

        await processes.wait_until(is_served)
        await send(deployment, entry, key, 'fern')
        assert len(await runs_of(deployment, key)) == 1


class TestRestarted:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.KILLED, Step.ANY)
    async def test_restarted_voters_refuse_older_keys(self, deployment):
        """Guards against a second run after all sidecars restart.

        A request runs, and all sidecars are killed and restarted without
        their votes.  The caller, whose answer was lost, retries with the
        same key.
        """
        for zone in 'abcde':
            await deployment.add_engine(
                availability_zone=f'zone-{zone}', **CLOCKS
            )
        entries = [await deployment.add_entry(**CLOCKS) for _ in range(2)]
        await deployment.publish()
        await wait_for_votes(deployment, *entries)
        key = processes.new_key()
        assert (await send(deployment, entries[0], key))[0] == 200
        for number, old in enumerate(deployment.sidecars):
            await old.kill()
            new = await deployment.run(*old.arguments)
            deployment.sidecars[number] = new
            deployment.instances[number] = msgspec.structs.replace(
                deployment.instances[number], **new.ports
            )
        await deployment.publish_instances()
        await wait_for_votes(deployment, *entries)
        for entry in entries:
            status, headers, _ = await send(deployment, entry, key)
            assert status == 409
            assert headers[work.KIND_HEADER] == 'key-out-of-window'
            assert headers[work.OUTCOME_HEADER] == 'unknown'
        assert len(await runs_of(deployment, key)) == 1


class TestKeys:
    async def test_are_checked_before_anything_runs(self, deployment):
        await deployment.add_engine(**CLOCKS)
        entry = await deployment.add_entry(**CLOCKS)
        await deployment.publish()
        await wait_for_votes(deployment, entry)
        now_s = time.time()
        for key, expected in (
            ('quote-7', (400, 'bad-idempotency-key', 'not-run')),
            (str(uuid.uuid4()), (400, 'bad-idempotency-key', 'not-run')),
            (
                test_voter.key_at(now_s - 700.0),
                (409, 'key-out-of-window', 'unknown'),
            ),
            (
                test_voter.key_at(now_s + 60.0),
                (409, 'key-out-of-window', 'not-run'),
            ),
        ):
            status, headers, _ = await send(deployment, entry, key)
            kind = headers[work.KIND_HEADER]
            assert (status, kind, headers[work.OUTCOME_HEADER]) == expected
            assert not await runs_of(deployment, key)

    async def test_key_ignores_case_and_has_one_body(self, deployment):
        """Guards against two runs of a key written in different case.

        A different body with the same key must be refused.
        """
        await deployment.add_engine(**CLOCKS)
        entry = await deployment.add_entry(**CLOCKS)
        await deployment.publish()
        await wait_for_votes(deployment, entry)
        key = processes.new_key()
        answers = []
        for text in (key, key.upper()):
            async with deployment.call(
                entry, CUSTOMER, 'ficus', key=text, messages=[key]
            ) as response:
                assert response.status == 200
                answers.append(await response.read())
        assert answers[0] == answers[1]
        assert len(await runs_of(deployment, key)) == 1
        async with deployment.call(
            entry, CUSTOMER, 'ficus', key=key, messages=[key, 'more']
        ) as response:
            assert response.status == 400
            kind = response.headers[work.KIND_HEADER]
            assert kind == 'bad-idempotency-key'
        assert len(await runs_of(deployment, key)) == 1


def key_with(sides, left_voters):
    """Return a key that has `left_voters` voters on the left side."""
    left = {i.name for i in sides.sidecars[: sides.left_count]}
    while True:
        key = processes.new_key()
        voters = voter.select_voters(CUSTOMER, key, '', sides.sidecars)
        if len(voters.names & left) == left_voters:
            return key


@pytest.fixture
async def sides(deployment):
    async with sides_module.Sides(
        deployment, zones='aabbcdd', left_count=5, **CLOCKS
    ) as found:
        await wait_for_votes(deployment, *deployment.entries)
        yield found


class TestPartition:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.PARTITION, Step.ANY)
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.LINK_CUT, Step.QUEUED)
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.HALF_OPEN, Step.QUEUED)
    @pytest.mark.parametrize('how', ['cut', 'half-open', 'one-way'])
    async def test_both_sides_serving(self, deployment, sides, how):
        """Guards against a run on each side of a network partition.

        Both sides of the partition continue to serve.  The caller sends
        each key through an entry on both sides at once, and once more
        when the links are restored.
        """
        await sides.split(how)
        await sides.publish(live_list.InstanceState.LEAVING)
        for entry in deployment.entries:
            await processes.wait_until(
                lambda e=entry: self.serves(deployment, e)
            )
        lefts = (3, 4, 3, 4)
        keys = [key_with(sides, left) for left in lefts]
        answers = await asyncio.gather(
            *(self.send_to_both(deployment, key) for key in keys)
        )
        for left, key, responses in zip(lefts, keys, answers, strict=True):
            statuses = [status for status, _, _ in responses]
            if how == 'one-way' and left >= 4 and statuses[0] != 200:
                # Vote requests of the right side still arrive, and may
                # block the key until its round has ended.
                await processes.wait_until(
                    lambda key=key: self.serves(
                        deployment, deployment.entries[0], key
                    )
                )
                statuses[0] = 200
            runs = await runs_of(deployment, key)
            # A claim needs four of five votes, and the right side has two
            # voters at most.
            assert len(runs) == statuses.count(200) == int(left >= 4)
            assert statuses[1] != 200
        await sides.heal()
        await sides.publish(live_list.InstanceState.LIVE)
        for key in keys:
            await processes.wait_until(
                lambda key=key: self.both_return_the_answer(deployment, key)
            )
            assert len(await runs_of(deployment, key)) == 1

    @staticmethod
    async def send_to_both(deployment, key):
        return await asyncio.gather(
            *(send(deployment, entry, key) for entry in deployment.entries)
        )

    @classmethod
    async def both_return_the_answer(cls, deployment, key):
        """Whether both entries return the same answer."""
        left, right = await cls.send_to_both(deployment, key)
        return left[0] == right[0] == 200 and left[2] == right[2]

    @staticmethod
    async def serves(deployment, entry, key=''):
        status, _, _ = await send(deployment, entry, key)
        return status == 200
