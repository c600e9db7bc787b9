"""Limits of servers at an entry whose reports are recorded."""

import random

from lacewingpitch import errors
from lacewingpitch import server_limits


class LimitLink:
    """Records the reports to sidecars, or answers none of them."""

    def __init__(self):
        self.reports = []
        self.is_silent = False

    async def report_limit(self, ip, message, _timeout_s):
        if self.is_silent:
            raise errors.NoReplyError(ip)
        self.reports.append((ip, message))


def make_limits(clock, link=None, has_sidecar=True, entry_count=1, seed=5):
    """Return the limits at one of `entry_count` entries."""
    return server_limits.ServerLimits(
        'edge-1',
        link or LimitLink(),
        lambda _service: has_sidecar,
        lambda: entry_count,
        clock,
        random.Random(seed),
    )
