"""Routes by host and prefix, and versions of the configuration."""

import random

import pytest

from lacewingpitch import errors
from lacewingpitch import routing

SAFE = routing.RequestKind.IDEMPOTENT
STREAM = routing.RequestKind.STREAM


def route(name='r', host='a.example', prefix='/x/', kind=SAFE, **fields):
    services = fields.pop('services', (routing.WeightedService('s', 1.0),))
    return routing.Route(
        name, host, prefix, services, kind, 10.0, 0.8, **fields
    )


def configuration(version, *routes):
    return routing.Configuration(
        version=version, routes=routes, engines={}, limits=None
    )


class TestMatch:
    def table(self, *routes):
        table = routing.RoutingTable(random.Random(1))
        table.apply(configuration(1, *routes))
        return table

    def test_selects_the_longest_prefix_of_the_host(self):
        table = self.table(
            route('root', prefix='/'),
            route('x'),
            route('xy', prefix='/x/y/'),
            route('other', host='b.example'),
        )
        assert table.match('a.example', '/x/y/z').name == 'xy'
        assert table.match('a.example', '/x/yy').name == 'x'
        assert table.match('a.example', '/q').name == 'root'
        assert table.match('b.example', '/x/1').name == 'other'
        assert table.match('c.example', '/x/1') is None

    def test_a_prefix_ends_at_a_slash(self):
        table = self.table(route('x'))
        assert table.match('a.example', '/x') is None
        assert table.match('a.example', '/xy/') is None
        assert table.match('a.example', '/x/').name == 'x'

    def test_host_is_without_port_and_case(self):
        table = self.table(route('x'))
        assert table.match('A.Example:8080', '/x/1').name == 'x'


class TestFind:
    def refusal(self, table):
        with pytest.raises(errors.RefusalError) as found:
            table.find('a.example', '/new/1')
        return found.value

    def test_an_unknown_route_is_not_found(self):
        table = routing.RoutingTable(random.Random(1))
        table.apply(configuration(1, route()))
        assert self.refusal(table).kind is errors.ErrorKind.NOT_FOUND

    def test_nothing_is_not_found_before_the_first_version(self):
        """Guards against callers that give up on routes that exist.

        A starting instance has not read the configuration yet.
        """
        refusal = self.refusal(routing.RoutingTable(random.Random(1)))
        assert refusal.status == 503
        assert refusal.retry_after_s < 0.5

    def test_nothing_is_not_found_while_the_store_is_unreachable(self):
        table = routing.RoutingTable(random.Random(1))
        table.apply(configuration(1, route()))
        table.is_store_unreachable = True
        refusal = self.refusal(table)
        assert refusal.status == 503
        assert refusal.retry_after_s >= 1.0


class TestVersion:
    def test_an_older_version_that_arrives_late_is_ignored(self):
        """Guards against removing a route that a caller has used.

        While a read of version 4 is in progress, version 6 arrives from
        another process.
        """
        table = routing.RoutingTable(random.Random(1))
        assert table.apply(configuration(6, route('new')))
        assert not table.apply(configuration(4, route('old')))
        assert not table.apply(configuration(6, route('old')))
        assert table.version == 6
        assert table.match('a.example', '/x/').name == 'new'


class TestServiceOrder:
    def test_draws_by_weight_and_names_the_rest(self):
        services = (
            routing.WeightedService('a', 90.0),
            routing.WeightedService('b', 10.0),
            routing.WeightedService('c', 0.0),
        )
        source = random.Random(1)
        found = route(services=services)
        orders = [found.service_order(source) for _ in range(1000)]
        first = [order[0] for order in orders]
        assert 850 < first.count('a') < 950
        assert all(set(order) == {'a', 'b'} for order in orders)


class TestRoute:
    def test_a_stream_is_idempotent_only_if_it_can_be_resumed(self):
        assert not route(kind=STREAM).is_idempotent
        assert route(kind=STREAM, is_resumable=True).is_idempotent
        assert route(kind=SAFE).is_idempotent
        assert not route(kind=routing.RequestKind.AT_MOST_ONCE).is_idempotent

    def test_timeout_of_callers(self):
        assert route(kind=STREAM, target_gap_s=0.25).caller_timeout_s == 3.2
        assert route(kind=STREAM, target_gap_s=1.0).caller_timeout_s == 8.0
        assert route(kind=SAFE).caller_timeout_s == 10.0


class TestEngineLimits:
    """Guards against an engine that runs out of memory and crashes.

    It has free adapter slots, but the adapters that it must hold do not fit
    into its memory beside the model.
    """

    SIZES = {'m': routing.ModelSize(weights_mb=72_700, adapter_mb=66)}

    def _limits(self, weights_mb):
        return routing.EngineLimits(
            64, 30, ('m',), weights_mb=weights_mb, sizes=self.SIZES
        )

    def test_slots_are_the_limit_with_enough_memory(self):
        assert self._limits(76_200).adapter_capacity(['m']) == 30

    def test_memory_is_the_limit_with_less_memory(self):
        assert self._limits(73_700).adapter_capacity(['m']) == 15
        assert self._limits(72_700 + 15 * 66).adapter_capacity(['m']) == 15

    def test_nothing_fits_beside_a_model_that_needs_all_memory(self):
        assert self._limits(72_700).adapter_capacity(['m']) == 0

    def test_slots_are_the_limit_without_sizes(self):
        limits = routing.EngineLimits(64, 30, ('m',))
        assert limits.adapter_capacity(['m']) == 30
