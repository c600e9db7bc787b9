"""The last check of requests before they are sent."""

import random

import pytest

from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import crash_record
from lacewingpitch import request_gate
from lacewingpitch import routing
from lacewingpitch import server_gate
from tests import clocks

SERVER = backend_list.BackendServer('i-1', 's', '10.0.0.1', 80, 'z')


class Scene:
    """A gate, and one request that is about to be sent."""

    def __init__(self, crash_count=0):
        clock = clocks.ManualClock()
        servers = backend_list.BackendList(clock)
        servers.replace_all([SERVER])
        self.servers = server_gate.ServerGate(servers, clock, random.Random(1))
        self.record = crash_record.CrashRecord(clock, random.Random(2))
        self.gate = request_gate.RequestGate(self.servers, self.record)
        self.request = backend_call.CallerRequest(
            request_id='r-1',
            method='POST',
            target='/x',
            headers=(),
            body=b'',
            route=routing.Route(
                'r', 'h', '/', (), routing.RequestKind.IDEMPOTENT, 1.0, 1.0
            ),
            arrived_at_s=0.0,
            deadline_at_s=1.0,
        )
        for number in range(crash_count):
            self.record.record_crash(self.request.fingerprint, f'x-{number}')

    def is_admitted(self, is_isolated=False):
        call = backend_call.BackendCall(
            self.request, SERVER, 0, 0, 1.0, is_isolated=is_isolated
        )
        try:
            self.gate.admit(call)
        except backend_call.WithheldError:
            return False
        return True


class TestSuspects:
    @pytest.mark.parametrize(
        ('crash_count', 'is_isolated', 'is_admitted'),
        [
            (0, False, True),
            (1, False, True),
            (2, False, False),
            (2, True, True),
            (3, False, False),
            (3, True, False),
        ],
    )
    def test_a_suspect_passes_only_as_it_may_run(
        self, crash_count, is_isolated, is_admitted
    ):
        """Guards against a turn from before the crashes were known."""
        assert Scene(crash_count).is_admitted(is_isolated) is is_admitted


class TestServers:
    def test_a_closed_server_gets_no_request(self):
        scene = Scene()
        scene.servers.backoffs.record(SERVER, 3.0)
        assert not scene.is_admitted()
