"""Validation of contracts, and their lookups."""

import msgspec
import pytest

from lacewingpitch import contract
from tests import samples


def make(**fields):
    return msgspec.convert(samples.contract(**fields), contract.Contract)


class TestContract:
    def test_finds_grants_by_exact_name(self):
        found = make(services=[{'name': 'plain'}])
        assert found.adapter('ficus').engine_name == 'ficus@1'
        assert found.service('plain').name == 'plain'
        for name in ('', 'Ficus', 'ficus@1', 'ficus\n', 'plain'):
            assert found.adapter(name) is None

    @pytest.mark.parametrize(
        'fields',
        [
            {'customer': 'a\n'},
            {'customer': '../a'},
            {'customer': ''},
            {'key_digests': ['AB' * 32]},
            {'key_digests': ['ab' * 32 + '\n']},
            {'adapters': [{'name': 'a@2', 'version': '1', 'base_model': 'b'}]},
            {'limits': {'requests_per_s': 0}},
            {'objective': {'served_ratio': 1}},
            {'weight': -1},
        ],
    )
    def test_rejects_invalid_fields(self, fields):
        with pytest.raises(msgspec.ValidationError):
            make(**fields)

    def test_stores_only_digests_of_keys(self):
        digest = contract.digest_key('a secret key')
        assert make(key_digests=[digest]).key_digests == (digest,)
        assert 'secret' not in digest
