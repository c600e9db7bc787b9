import aiohttp
import msgspec
import pytest

from lacewingpitch import config_service
from lacewingpitch import contract_registry
from lacewingpitch import errors
from lacewingpitch import published_contracts
from lacewingpitch import standin_platform
from tests import clocks
from tests import contract_fakes
from tests import fault_matrix

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
make_contract = contract_fakes.make_contract
INDEX = published_contracts.INDEX_NAME


@pytest.fixture
def service():
    return contract_fakes.FakeService()


@pytest.fixture
def registry():
    return contract_registry.ContractRegistry()


@pytest.fixture
def reader(service, registry):
    return published_contracts.PublishedContracts(
        service, registry, clocks.ManualClock(1000.0), seed=1
    )


class TestReading:
    async def test_reads_only_shards_that_changed(
        self, service, reader, registry
    ):
        service.put_shards(
            a=[make_contract('ivy', 1)], b=[make_contract('moss', 1)]
        )
        await reader.read_once()
        assert len(registry) == 2
        service.read_names.clear()
        service.put_shards(a=[make_contract('ivy', 2)])
        await reader.watch_once(0)
        assert service.read_names == [INDEX, 'a']
        assert registry.revision('ivy') == 2

    @pytest.mark.proves(Promise.CONTRACTS, Fault.CONFIG_DOWN, Step.ANY)
    async def test_down_service_leaves_contracts_in_force(
        self, service, reader, registry
    ):
        """Guards against refusing every caller during an outage.

        The contracts were read, then the configuration service goes down.
        A failed read must not discard the contracts in force.
        """
        service.put_shards(a=[make_contract('ivy', 1)])
        await reader.read_once()
        service.is_down = True
        with pytest.raises(errors.PlatformError):
            await reader.watch_once(0)
        assert registry.authenticate('ivy').revision == 1


class TestRollback:
    @pytest.mark.proves(Promise.CONTRACTS, Fault.CONFIG_STALE, Step.ANY)
    async def test_old_state_reverts_nothing_and_hides_nothing(
        self, service, reader, registry
    ):
        """Guards against a revoked customer being served, or a lost change.

        The service rolls back to an old state with lower revisions; then
        a change is published under a revision that was used before.  The
        reader must neither apply the old state nor wait for a revision
        above the highest one read.
        """
        service.put_shards(a=[make_contract('ivy', 1)])
        old = dict(service.values), service.revision
        service.put_shards(a=[make_contract('ivy', 2, revoked=True)])
        service.put_shards(a=[make_contract('ivy', 3, revoked=True)])
        await reader.read_once()
        service.values, service.revision = old
        await reader.watch_once(0)
        assert reader.rollback_count == 1
        assert registry.contract('ivy').revoked
        service.put_shards(a=[make_contract('ivy', 4)])
        await reader.watch_once(0)
        assert registry.authenticate('ivy').revision == 4

    async def test_shard_that_lags_behind_its_index_is_read_again(
        self, service, reader, registry
    ):
        """Guards against a change that one instance never applies.

        The index is read from a replica of the service that has the
        change, the shard from one that lags.  The shard must not be
        recorded as read at the revision of the index.
        """
        service.put('a', {'revision': 1, 'contracts': []})
        index = {'shards': [{'name': 'a', 'revision': 2}]}
        service.put(INDEX, index)
        await reader.read_once()
        assert 'revision 1' in reader.problems['a']
        contracts = [make_contract('ivy', 1)]
        service.put('a', {'revision': 2, 'contracts': contracts})
        await reader.watch_once(0)
        assert registry.revision('ivy') == 1
        assert not reader.problems


class TestBadValues:
    async def test_missing_shard_does_not_block_the_others(
        self, service, reader, registry
    ):
        service.put_shards(
            a=[make_contract('ivy', 1)], b=[make_contract('moss', 1)]
        )
        kept = service.values.pop('a')
        await reader.read_once()
        assert 'value a does not exist' in reader.problems['a']
        assert registry.revision('moss') == 1
        service.values['a'] = kept
        await reader.watch_once(0)
        assert registry.revision('ivy') == 1
        assert not reader.problems

    async def test_removed_shard_leaves_its_contracts_in_force(
        self, service, reader, registry
    ):
        service.put_shards(a=[make_contract('ivy', 1)])
        await reader.read_once()
        service.values.pop('a')
        service.put_index()
        await reader.watch_once(0)
        assert registry.authenticate('ivy').revision == 1

    @pytest.mark.parametrize(
        'content',
        [b'{}', b'not JSON', b'{"contracts": 1}', b'"' + b'x' * (1 << 21)],
        ids=['empty', 'not JSON', 'no list', 'too large'],
    )
    async def test_unusable_shard_keeps_the_last_good_one(
        self, service, reader, registry, content
    ):
        service.put_shards(
            a=[make_contract('ivy', 1)], b=[make_contract('moss', 1)]
        )
        await reader.read_once()
        service.put_raw('a', content, service.revision + 1)
        service.put('b', {'contracts': [make_contract('moss', 2)]})
        service.revision += 2
        service.put_index()
        await reader.watch_once(0)
        assert list(reader.problems) == ['a']
        assert registry.revision('ivy') == 1
        assert registry.revision('moss') == 2

    @pytest.mark.parametrize('content', [b'{}', b'not JSON', b'[]'])
    async def test_unusable_index_keeps_the_last_good_one(
        self, service, reader, registry, content
    ):
        service.put_shards(a=[make_contract('ivy', 1)])
        await reader.read_once()
        service.put_raw(INDEX, content, service.revision + 1)
        await reader.watch_once(0)
        assert INDEX in reader.problems
        assert registry.revision('ivy') == 1
        service.revision += 1
        service.put_shards(a=[make_contract('ivy', 2)])
        await reader.watch_once(0)
        assert registry.revision('ivy') == 2
        assert not reader.problems

    async def test_bad_contract_among_good_ones(
        self, service, reader, registry
    ):
        good = [make_contract('ivy', 1), make_contract('moss', 1)]
        service.put_shards(a=[good[0], {'customer': 'fern'}, good[1]])
        await reader.read_once()
        assert {'ivy', 'moss'} == {
            c for c in ('ivy', 'fern', 'moss') if registry.contract(c)
        }
        assert 'revision' in registry.rejected['a[1]']
        service.put_shards(a=good)
        await reader.watch_once(0)
        assert not registry.rejected

    @pytest.mark.parametrize('order', [(1, 2), (2, 1)])
    async def test_customer_twice_in_a_shard_gets_the_higher(
        self, service, reader, registry, order
    ):
        service.put_shards(a=[make_contract('ivy', n) for n in order])
        await reader.read_once()
        assert registry.revision('ivy') == 2

    async def test_lower_revision_with_other_content_is_ignored(
        self, service, reader, registry
    ):
        service.put_shards(a=[make_contract('ivy', 5)])
        await reader.read_once()
        service.put_shards(a=[make_contract('ivy', 4, weight=9.0)])
        await reader.watch_once(0)
        assert registry.contract('ivy').weight == 1.0
        assert registry.stale_count == 1


class TestValueSize:
    async def test_value_of_many_chunks_is_read_whole(self, aiohttp_pair):
        """Guards against reading only the first part of a large value.

        A shard arrives in many network reads; one read must not be taken
        for the whole value.
        """
        content = msgspec.json.encode(['x' * 1000] * 900)
        found = await aiohttp_pair(content)
        assert bytes(found.content) == content

    async def test_value_over_the_limit_is_refused(self, aiohttp_pair):
        content = msgspec.json.encode(['x' * 1000] * 1100)
        with pytest.raises(
            errors.PlatformError, match='larger than 1049600 bytes'
        ):
            await aiohttp_pair(content)


@pytest.fixture
async def aiohttp_pair():
    platform = standin_platform.StandinPlatform()
    await platform.start('127.0.0.1')

    async def publish_and_read(content):
        await platform.publish('a', content)
        async with aiohttp.ClientSession() as session:
            url = f'http://127.0.0.1:{platform.port}'
            service = config_service.HttpConfigService(session, url)
            return await service.read('a')

    yield publish_and_read
    await platform.close()
