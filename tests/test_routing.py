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

    def test_takes_the_longest_prefix_of_the_host(self):
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

    def test_what_no_version_has_is_not_found(self):
        table = routing.RoutingTable(random.Random(1))
        table.apply(configuration(1, route()))
        assert self.refusal(table).kind is errors.ErrorKind.NOT_FOUND

    def test_nothing_is_denied_while_nothing_is_known(self):
        """Callers give up for good on routes that are there.

        An instance starts and has not read the configuration yet.
        """
        refusal = self.refusal(routing.RoutingTable(random.Random(1)))
        assert refusal.status == 503
        assert refusal.retry_after_s < 0.5

    def test_a_store_that_is_away_is_waited_for(self):
        table = routing.RoutingTable(random.Random(1))
        table.apply(configuration(1, route()))
        table.is_store_unreachable = True
        refusal = self.refusal(table)
        assert refusal.status == 503
        assert refusal.retry_after_s >= 1.0


class TestVersion:
    def test_an_older_version_that_comes_late_is_not_put_in_force(self):
        """A caller sees a route vanish that it has used already.

        A read of version 4 is on its way while version 6 arrives by
        another process; then the read ends.
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

    def test_patience_of_callers(self):
        assert route(kind=STREAM, target_gap_s=0.25).patience_s == 3.2
        assert route(kind=STREAM, target_gap_s=1.0).patience_s == 8.0
        assert route(kind=SAFE).patience_s == 10.0


class TestEngineLimits:
    """An engine crashes with all its runs.

    Its slots are not all taken, but the adapters that it is ordered to
    hold do not fit its memory beside the model.
    """

    SIZES = {'m': routing.ModelSize(weights_mb=72_700, adapter_mb=66)}

    def _limits(self, weights_mb):
        return routing.EngineLimits(
            64, 30, ('m',), weights_mb=weights_mb, sizes=self.SIZES
        )

    def test_slots_bind_where_memory_is_ample(self):
        assert self._limits(76_200).adapter_capacity(['m']) == 30

    def test_memory_binds_where_it_is_less(self):
        assert self._limits(73_700).adapter_capacity(['m']) == 15
        assert self._limits(72_700 + 15 * 66).adapter_capacity(['m']) == 15

    def test_nothing_fits_beside_a_model_that_takes_all(self):
        assert self._limits(72_700).adapter_capacity(['m']) == 0

    def test_without_sizes_slots_bind(self):
        limits = routing.EngineLimits(64, 30, ('m',))
        assert limits.adapter_capacity(['m']) == 30
