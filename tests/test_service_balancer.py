"""Selection of a plain service's server for a request."""

import contextlib
import random

import pytest

from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import service_balancer
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock(10.0)


@pytest.fixture
def ejector(clock):
    return ejection.Ejector(clock, random.Random(1))


@pytest.fixture
def balancer(clock, ejector):
    servers = backend_list.BackendList(clock)
    servers.replace_all(
        backend_list.BackendServer(
            f'{zone}{number}', 's', f'10.0.{number}.{i}', 80, zone, False, 6
        )
        for i, zone in enumerate('pq')
        for number in (1, 2)
    )
    return service_balancer.ServiceBalancer(
        servers, ejector, 'p', random.Random(2)
    )


class TestChoose:
    def test_prefers_its_own_zone(self, balancer):
        zones = {balancer.choose('s', ()).availability_zone for _ in range(50)}
        assert zones == {'p'}

    def test_uses_another_zone_when_its_own_is_busy(self, balancer):
        own = [balancer.choose('s', ['p2']), balancer.choose('s', ['p1'])]
        with contextlib.ExitStack() as stack:
            for server in own * 10:
                stack.enter_context(balancer.track_request(server))
            assert balancer.choose('s', ()).availability_zone == 'q'
        assert balancer.choose('s', ()).availability_zone == 'p'

    def test_excluded_servers_are_left_out(self, balancer):
        assert balancer.choose('s', ['p1', 'p2', 'q1']).name == 'q2'
        assert balancer.choose('s', ['p1', 'p2', 'q1', 'q2']) is None
        assert balancer.choose('other', ()) is None

    def test_partially_failing_server_is_avoided(self, balancer, ejector):
        """Guards against a server whose failures stay undetected.

        The server passes its health check and fails every second request,
        never three in a row, so that half of the requests of a zone fail.
        """
        for _ in range(6):
            ejector.record_failure('p1')
            ejector.record_success('p1')
        names = {balancer.choose('s', ()).name for _ in range(50)}
        assert names == {'p2'}

    def test_failing_server_is_retried_later(self, balancer, ejector, clock):
        for _ in range(6):
            ejector.record_failure('p1')
            ejector.record_success('p1')
        clock.now_s += 30.0
        names = {balancer.choose('s', ()).name for _ in range(50)}
        assert names == {'p1', 'p2'}
