"""Organisations with their limits and weights."""

import pytest

from lacewingpitch import organisation
from lacewingpitch.platform import wire
from tests import platform_standin as standin

import msgspec

Limit = organisation.UsageLimit


class TestWeight:
    def test_is_in_proportion_to_the_limit(self):
        found = organisation.weighted(
            organisation.Organisation(name, limit=Limit(rate, 1.0))
            for name, rate in (('a', 300.0), ('b', 100.0))
        )
        assert [o.weight for o in found] == [1.5, 0.5]

    def test_one_without_a_limit_gets_the_largest_weight(self):
        found = organisation.weighted(
            (
                organisation.Organisation('a', limit=Limit(300.0, 1.0)),
                organisation.Organisation('b'),
            )
        )
        assert [o.weight for o in found] == [1.0, 1.0]

    def test_all_weights_are_equal_without_limits(self):
        found = organisation.weighted((organisation.Organisation('a'),))
        assert found[0].weight == 1.0


class TestDecoding:
    def decode(self, **fields):
        content = msgspec.json.encode(standin.configuration(5, **fields))
        return wire.decode_configuration(content)

    def test_decodes_all_fields(self):
        tenant = {
            'name': 'balcony',
            'apiKeys': ['k1', 'k2'],
            'priority': 3,
            'unit': 'token_count',
            'uncachedTokens': 200,
            'ratePerS': 123195,
            'burst': 4000,
            'later': 1,
        }
        (found,) = self.decode(tenants=[tenant]).organisations
        assert found == organisation.Organisation(
            'balcony',
            ('k1', 'k2'),
            rank=3,
            limit=Limit(123195.0, 4000.0, default_cost=200.0),
            weight=1.0,
        )

    @pytest.mark.parametrize('fields', [{}, {'ratePerS': 0, 'burst': 9}])
    def test_no_rate_means_no_limit(self, fields):
        tenant = {'name': 'balcony', **fields}
        (found,) = self.decode(tenants=[tenant]).organisations
        assert found.limit is None
        assert found.rank is None

    def test_any_other_unit_counts_requests(self):
        tenant = {'name': 'balcony', 'ratePerS': 5, 'burst': 5}
        (found,) = self.decode(tenants=[tenant]).organisations
        assert found.limit.cost(500, 80) == 1.0

    def test_absent_tenants_mean_that_no_key_is_needed(self):
        assert self.decode().organisations is None
        assert self.decode(tenants=[]).organisations == ()

    def test_public_routes(self):
        found = self.decode(lookup={'public': True})
        public = {route.name for route in found.routes if route.is_public}
        assert public == {'lookup'}
