"""Usage limits of entries with one owner, without a network."""

from lacewingpitch import errors
from lacewingpitch import limit_tenure
from lacewingpitch import usage_lease
from lacewingpitch import usage_limits

OWNER_IP = '10.0.0.1'


class Link:
    """Messages to one owner, which may not answer."""

    def __init__(self, clock):
        self.owner = usage_lease.UsageOwner(clock)
        self.is_unreachable = False
        self.messages = []

    async def request_usage(self, _ip, message, _timeout_s):
        self.messages.append(message)
        if self.is_unreachable:
            raise errors.NoReplyError('silent')
        return await self.owner.grant(message)


class OneOwner:
    """Every limit is owned by the same process."""

    unresponsive = ()

    def owner(self, _organisation):
        return OWNER_IP

    def mark_unresponsive(self, ip):
        self.unresponsive += (ip,)

    def claim(self, _name):
        return limit_tenure.Claim()

    def previous_owners(self, _name):
        return frozenset()

    def record_owner(self, name, ip, position):
        raise AssertionError(f'{name} has one owner')


def limits(link, clock, instance='edge-1', entry_count=30, version=1):
    return usage_limits.UsageLimits(
        instance,
        link,
        OneOwner(),
        clock,
        lambda: version,
        lambda: entry_count,
    )
