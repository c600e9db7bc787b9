"""Contract files, and the values rendered from them."""

import json

import msgspec
import pytest

from lacewingpitch import config_service
from lacewingpitch import contract
from lacewingpitch import contract_diff
from lacewingpitch import contract_files
from lacewingpitch import errors
from lacewingpitch import published_contracts
from tests import samples

SHARDS = 8


def make(customer, **fields):
    return msgspec.convert(
        samples.contract(customer, **fields), contract.Contract
    )


def fleet(count=100):
    return {f'c{n}': make(f'c{n}') for n in range(count)}


class TestRender:
    def test_holds_every_contract_once(self):
        contracts = fleet()
        values = contract_files.render(contracts.values(), SHARDS)
        found = [
            msgspec.json.decode(bytes(raw), type=contract.Contract)
            for value in values[:-1]
            for raw in msgspec.json.decode(
                value.content, type=published_contracts.ContractShard
            ).contracts
        ]
        assert sorted(c.customer for c in found) == sorted(contracts)
        assert all(found == contracts[found.customer] for found in found)

    def test_puts_the_index_last_with_each_shard(self):
        values = contract_files.render(fleet().values(), SHARDS)
        assert values[-1].name == published_contracts.INDEX_NAME
        index = msgspec.json.decode(
            values[-1].content, type=published_contracts.ContractIndex
        )
        names = [shard.name for shard in index.shards]
        assert names == [value.name for value in values[:-1]]

    def test_one_change_touches_one_shard_and_raises_its_revision(self):
        contracts = fleet()
        before = contract_files.render(contracts.values(), SHARDS)
        contracts['c7'] = make('c7', revision=2, weight=2.0)
        after = contract_files.render(contracts.values(), SHARDS)
        changed = [
            b.name for a, b in zip(before, after, strict=True) if a != b
        ]
        shard = contract_files.shard_name('c7', SHARDS)
        assert changed == [shard, published_contracts.INDEX_NAME]
        assert _revision(after, shard) > _revision(before, shard)

    def test_another_count_of_shards_gives_other_names(self):
        """Guards against changes that readers miss after resharding.

        Under the same name, a shard's revision decreases when customers
        move to other shards, and readers ignore its next change.
        """
        values = contract_files.render(fleet().values(), SHARDS)
        more = contract_files.render(fleet().values(), 2 * SHARDS)
        names = {value.name for value in values[:-1]}
        assert names.isdisjoint(value.name for value in more[:-1])

    def test_refuses_a_value_above_the_size_limit(self):
        grants = [
            {'name': f'adapter-{n}', 'version': '1', 'base_model': 'base'}
            for n in range(config_service.MAX_VALUE_BYTES // 40)
        ]
        with pytest.raises(errors.SettingsError, match='more shards'):
            contract_files.render([make('a', adapters=grants)], 1)


class TestDiff:
    def test_lists_changed_customers_and_fields(self):
        old = [make('a'), make('b')]
        new = [make('a'), make('b', revision=2, weight=2.0), make('c')]
        changes = contract_diff.diff(old, new)
        assert [change.customer for change in changes] == ['b', 'c']
        assert changes[0].changes == (
            '$.revision: 1 -> 2',
            '$.weight: 1.0 -> 2.0',
        )
        assert not any(change.problems for change in changes)

    def test_lists_a_change_of_an_adapter_version(self):
        grant = {'name': 'ficus', 'version': '2', 'base_model': 'base'}
        new = make('a', revision=2, adapters=[grant])
        (change,) = contract_diff.diff([make('a')], [new])
        assert 'adapter ficus: version 1 -> 2' in change.changes

    @pytest.mark.parametrize('revision', [2, 3])
    def test_flags_a_revision_that_did_not_increase(self, revision):
        old = make('a', revision=3)
        new = make('a', revision=revision, weight=2.0)
        (change,) = contract_diff.diff([old], [new])
        assert change.problems

    def test_flags_a_contract_that_was_removed(self):
        (change,) = contract_diff.diff([make('a')], [])
        assert 'revoked' in change.problems[0]


class TestLoad:
    def test_reads_what_it_rendered(self, tmp_path):
        contracts = [make('a', key_digests=[samples.OTHER_DIGEST]), make('b')]
        values = contract_files.render(contracts, SHARDS)
        contract_files.write_values(values, tmp_path, None)
        assert contract_files.load_contracts(tmp_path) == tuple(contracts)

    def test_names_each_problem(self, tmp_path):
        for name in ('a', 'b'):
            bad = samples.contract(name, revision=0)
            (tmp_path / f'{name}.json').write_text(json.dumps(bad))
        with pytest.raises(errors.SettingsError) as caught:
            contract_files.load_contracts(tmp_path)
        assert str(caught.value).count('$.revision') == 2

    def test_refuses_a_folder_without_contracts(self, tmp_path):
        with pytest.raises(errors.SettingsError, match='no contract'):
            contract_files.load_contracts(tmp_path)


def _revision(values, name):
    index = json.loads(values[-1].content)
    return {s['name']: s['revision'] for s in index['shards']}[name]
