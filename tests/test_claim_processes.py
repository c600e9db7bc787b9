"""At most once, with real processes frozen, restarted and cut off."""

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
    """Return the runs of a key at all engines, by their own account."""
    truths = [await deployment.engine_record(e) for e in deployment.engines]
    return [
        run for truth in truths for run in truth.runs if key in str(run.body)
    ]


async def backed(deployment, *entries):
    """Wait until the voters, being new, back keys sent through entries."""

    async def is_backed(entry):
        status, _, _ = await send(
            deployment, entry, processes.new_key(), 'fern'
        )
        return status == 200

    for entry in entries:
        await processes.wait_until(lambda entry=entry: is_backed(entry))


def claims_made(deployment):
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
        """A balcony is watered twice, minutes apart.

        A sidecar is frozen after its claim, while the adapter loads.  The
        platform drops it; the caller sends the same key through another
        entry, and is answered.  Then the frozen sidecar wakes and passes
        the work on, acting on an old view of the world.
        """
        for zone in 'abcde':
            await deployment.add_engine(
                '--load-s=2', availability_zone=f'zone-{zone}', **CLOCKS
            )
        first_entry = await deployment.add_entry(**CLOCKS)
        await deployment.publish()
        await backed(deployment, first_entry)
        before = claims_made(deployment)
        key = processes.new_key()
        first = asyncio.create_task(send(deployment, first_entry, key))

        async def is_claimed():
            return claims_made(deployment) != before

        await processes.wait_until(is_claimed)
        (number,) = (
            n
            for n, made in enumerate(claims_made(deployment))
            if made != before[n]
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
    async def test_frozen_voters_refuse_nothing_wrongly(self, deployment):
        """A command is refused for good, or runs twice, after a pause.

        Two voters are frozen, so the claim cannot be complete: the caller
        is refused, "not run".  They wake and get the old requests for
        votes; the caller sends the same key again, and it runs once.
        """
        for zone in 'abcde':
            await deployment.add_engine(
                availability_zone=f'zone-{zone}', **CLOCKS
            )
        entry = await deployment.add_entry(**CLOCKS)
        await deployment.publish()
        await backed(deployment, entry)
        home = max(range(5), key=claims_made(deployment).__getitem__)
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
            found = await send(deployment, entry, key, 'fern')
            return found[0] == 200

        await processes.wait_until(is_served)
        await send(deployment, entry, key, 'fern')
        assert len(await runs_of(deployment, key)) == 1


class TestRestarted:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.KILLED, Step.ANY)
    async def test_restarted_voters_back_no_older_key(self, deployment):
        """A buyer gets two quotes that disagree.

        A request runs; all sidecars are killed and come back with empty
        memories; the caller, whose answer was lost, sends the key again.
        """
        for zone in 'abcde':
            await deployment.add_engine(
                availability_zone=f'zone-{zone}', **CLOCKS
            )
        entries = [await deployment.add_entry(**CLOCKS) for _ in range(2)]
        await deployment.publish()
        await backed(deployment, *entries)
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
        await backed(deployment, *entries)
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
        await backed(deployment, entry)
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

    async def test_one_spelling_and_one_body(self, deployment):
        """A caller that writes its key in capitals is served twice."""
        await deployment.add_engine(**CLOCKS)
        entry = await deployment.add_entry(**CLOCKS)
        await deployment.publish()
        await backed(deployment, entry)
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
    """Return a key that has so many voters on the left."""
    left = {i.name for i in sides.sidecars[: sides.left_count]}
    while True:
        key = processes.new_key()
        found = voter.select_voters(CUSTOMER, key, '', sides.sidecars)
        if len(found.names & left) == left_voters:
            return key


@pytest.fixture
async def sides(deployment):
    async with sides_module.Sides(
        deployment, zones='aabbcdd', left_count=5, **CLOCKS
    ) as found:
        await backed(deployment, *deployment.entries)
        yield found


class TestPartition:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.PARTITION, Step.ANY)
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.LINK_CUT, Step.QUEUED)
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.HALF_OPEN, Step.QUEUED)
    @pytest.mark.parametrize('how', ['cut', 'half-open', 'one-way'])
    async def test_both_sides_serving(self, deployment, sides, how):
        """A household's command runs in both halves of a split fleet.

        The fleet is split, and both sides go on serving.  The caller
        sends each key through an entry on either side at once, and, when
        the links heal, once more.
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
        for left, key, found in zip(lefts, keys, answers, strict=True):
            statuses = [status for status, _, _ in found]
            if how == 'one-way' and left >= 4 and statuses[0] != 200:
                # The right's requests for votes still arrive and may
                # block the key until its round is over.
                await processes.wait_until(
                    lambda key=key: self.serves(
                        deployment, deployment.entries[0], key
                    )
                )
                statuses[0] = 200
            runs = await runs_of(deployment, key)
            # Four of five voters are needed, and the right has two.
            assert len(runs) == statuses.count(200) == int(left >= 4)
            assert statuses[1] != 200
        await sides.heal()
        await sides.publish(live_list.InstanceState.LIVE)
        for key in keys:
            await processes.wait_until(
                lambda key=key: self.agree(deployment, key)
            )
            assert len(await runs_of(deployment, key)) == 1

    @staticmethod
    async def send_to_both(deployment, key):
        return await asyncio.gather(
            *(send(deployment, entry, key) for entry in deployment.entries)
        )

    @classmethod
    async def agree(cls, deployment, key):
        """Return whether both entries give the one answer."""
        one, other = await cls.send_to_both(deployment, key)
        return one[0] == other[0] == 200 and one[2] == other[2]

    @staticmethod
    async def serves(deployment, entry, key=''):
        status, _, _ = await send(deployment, entry, key)
        return status == 200
