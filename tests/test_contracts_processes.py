import msgspec
import pytest

from lacewingpitch import settings
from lacewingpitch import work
from tests import fault_matrix
from tests import processes

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
PUBLISHINGS_PER_CHANGE = 2


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        await found.add_engine()
        for _ in range(2):
            await found.add_entry()
        found.add_customer('haneul', 'ficus')
        await found.publish()
        yield found


async def call(deployment, entry):
    """Return status, outcome and error kind of one request."""
    async with deployment.call(entry, 'haneul', 'ficus') as response:
        await response.read()
        headers = response.headers
        return (
            response.status,
            headers.get(work.OUTCOME_HEADER),
            headers.get(work.KIND_HEADER),
        )


async def models_status(deployment, entry):
    headers = {'Authorization': f'Bearer {deployment.keys["haneul"]}'}
    async with deployment.session.get(
        entry.url + '/v1/models', headers=headers
    ) as response:
        return response.status


REVOKED = (403, 'not-run', 'not-in-contract')


async def revoke(deployment):
    old = deployment.contracts['haneul']
    deployment.contracts['haneul'] = msgspec.structs.replace(
        old, revision=old.revision + 1, revoked=True
    )
    await deployment.publish_contracts()


async def until_refused(deployment, entry):
    async def is_refused():
        return await call(deployment, entry) == REVOKED

    await processes.wait_until(is_refused)


async def run_count(deployment):
    truth = await deployment.engine_record(deployment.engines[0])
    return len(truth.runs)


class TestStaleService:
    @pytest.mark.proves(
        Promise.CONTRACTS, Fault.CONFIG_STALE, Step.BEFORE_ADMISSION
    )
    async def test_restarted_entry_asks_peers(self, deployment):
        """Guards against a revoked customer served after an entry restarts.

        The contract is revoked everywhere; then the configuration service
        returns to its state before and stays there, and an entry is
        replaced.  A new instance must not rely on the service alone.
        """
        assert (await call(deployment, deployment.entries[0]))[0] == 200
        await revoke(deployment)
        await until_refused(deployment, deployment.entries[0])
        await deployment.wait_for_revision(deployment.sidecars[0], 'haneul', 2)
        await deployment.set_faults(
            deployment.platform, config_jump_back=PUBLISHINGS_PER_CHANGE
        )
        before = await run_count(deployment)
        await deployment.entries[0].kill()
        restarted = await deployment.add_entry()
        await deployment.publish_instances()
        await deployment.wait_until_ready(restarted)
        # Listing models asks no sidecar, so the entry itself must know.
        assert await models_status(deployment, restarted) == 403
        assert await call(deployment, restarted) == REVOKED
        assert await run_count(deployment) == before

    @pytest.mark.proves(Promise.CONTRACTS, Fault.KILLED, Step.BEFORE_ADMISSION)
    async def test_sidecar_alone_knows_the_revocation(self, deployment):
        """Guards against the same when all entries are replaced at once."""
        await revoke(deployment)
        await deployment.wait_for_revision(deployment.sidecars[0], 'haneul', 2)
        await deployment.set_faults(
            deployment.platform, config_jump_back=PUBLISHINGS_PER_CHANGE
        )
        for entry in deployment.entries:
            await entry.kill()
        restarted = await deployment.add_entry()
        await deployment.publish_instances()
        await deployment.wait_until_ready(restarted)
        assert await call(deployment, restarted) == REVOKED
        assert await run_count(deployment) == 0

    @pytest.mark.proves(
        Promise.CONTRACTS, Fault.CONFIG_DOWN, Step.BEFORE_ADMISSION
    )
    async def test_change_reaches_an_entry_without_the_service(
        self, deployment
    ):
        """Guards against changes that need the configuration service.

        The service of one entry is down from the entry's start.  The entry
        must get the change from its peers.
        """
        down = await deployment.run('standin', 'platform')
        await deployment.set_faults(down, config_down=True)
        cut_off = await deployment.add_entry(
            config_service=settings.Address(
                ip=processes.IP, port=down.ports['work_port']
            )
        )
        await deployment.publish_instances()
        await deployment.wait_until_ready(cut_off)
        assert (await call(deployment, cut_off))[0] == 200
        await revoke(deployment)
        await until_refused(deployment, cut_off)


class TestPaused:
    @pytest.mark.proves(Promise.CONTRACTS, Fault.FROZEN, Step.BEFORE_ADMISSION)
    async def test_woken_entry_serves_no_revoked_customer(self, deployment):
        """Guards against a revoked customer served by a resumed entry.

        One entry is paused, the contract is revoked, and the entry resumes
        with a request already waiting for it.  Another process on the
        request's path must know the newer revision.
        """
        paused = deployment.entries[1]
        paused.freeze()
        await revoke(deployment)
        await until_refused(deployment, deployment.entries[0])
        await deployment.wait_for_revision(deployment.sidecars[0], 'haneul', 2)
        before = await run_count(deployment)
        paused.resume()
        assert await call(deployment, paused) == REVOKED
        assert await run_count(deployment) == before
