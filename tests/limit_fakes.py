"""Limits of servers at an entry whose reports are recorded."""

import random

from lacewingpitch import errors
from lacewingpitch import limit_tenure
from lacewingpitch import server_limits
from lacewingpitch import server_permits
from lacewingpitch import sidecar_reporter

OWNER_IP = '10.9.9.9'


class LimitLink:
    """One sidecar that records reports, and owns the permits.

    Without a clock it owns none; if it is silent, it answers nothing.
    """

    def __init__(self, clock=None):
        self.reports = []
        self.permit_requests = []
        self.is_silent = False
        self._owner = None
        if clock is not None:
            self._owner = server_permits.PermitOwner(clock, random.Random(4))

    def owner(self, _name):
        return '' if self._owner is None else OWNER_IP

    def mark_unresponsive(self, ip):
        assert ip == OWNER_IP

    def claim(self, _name):
        return limit_tenure.Claim()

    def previous_owners(self, _name):
        return frozenset()

    def record_owner(self, name, ip, position):
        raise AssertionError(f'{name} has one owner')

    async def report_limit(self, ip, message, _timeout_s):
        if self.is_silent:
            raise errors.NoReplyError(ip)
        self.reports.append((ip, message))

    async def request_permit(self, ip, message, _timeout_s):
        self.permit_requests.append(message)
        if self.is_silent:
            raise errors.NoReplyError(ip)
        return self._owner.grant(message)


def make_limits(
    clock,
    link=None,
    has_sidecar=True,
    entry_count=1,
    seed=5,
    servers=(),
    reporter=None,
):
    """Return the limits at one of `entry_count` entries."""
    link = link or LimitLink()
    return server_limits.ServerLimits(
        'edge-1',
        link,
        link,
        lambda: servers,
        lambda _service: has_sidecar,
        lambda: entry_count,
        clock,
        random.Random(seed),
        reporter or sidecar_reporter.SidecarReporter(),
    )
