"""Which server of a plain service gets a request."""

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
def choice(clock, ejector):
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
    def test_prefers_its_own_zone(self, choice):
        zones = {choice.choose('s', ()).availability_zone for _ in range(50)}
        assert zones == {'p'}

    def test_goes_further_when_its_zone_is_busy(self, choice):
        own = [choice.choose('s', ['p2']), choice.choose('s', ['p1'])]
        with contextlib.ExitStack() as exits:
            for server in own * 10:
                exits.enter_context(choice.track_request(server))
            assert choice.choose('s', ()).availability_zone == 'q'
        assert choice.choose('s', ()).availability_zone == 'p'

    def test_leaves_out_the_excluded(self, choice):
        assert choice.choose('s', ['p1', 'p2', 'q1']).name == 'q2'
        assert choice.choose('s', ['p1', 'p2', 'q1', 'q2']) is None
        assert choice.choose('other', ()) is None

    def test_leaves_one_that_fails_part_of_its_requests(self, choice, ejector):
        """Half of a zone's watering commands fail, for as long as it lasts.

        A server answers its health check and fails every second request;
        it never fails three in a row.
        """
        for _ in range(6):
            ejector.record_failure('p1')
            ejector.record_success('p1')
        names = {choice.choose('s', ()).name for _ in range(50)}
        assert names == {'p2'}

    def test_gives_it_another_chance(self, choice, ejector, clock):
        for _ in range(6):
            ejector.record_failure('p1')
            ejector.record_success('p1')
        clock.now_s += 30.0
        names = {choice.choose('s', ()).name for _ in range(50)}
        assert names == {'p1', 'p2'}
