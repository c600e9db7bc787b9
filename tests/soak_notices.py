"""Servers that leave or ask for backoff in the soak test."""

import asyncio
import dataclasses
import random

from tests import notice_checks

_EPISODE_RATIO = 0.5
# From the first answer that announces it to the end of the server.
_LEAVING_S = (5.0, 8.0)
# The list says so later, as a store that is down or slow does.
_LIST_LAG_S = (0.0, 6.0)
_SHED_S = (3.0, 6.0)
_SHED_RATIOS = (0.4, 1.0)
_RETRY_AFTER = ('0.5', '1', '2.5', '3')
# A link that held an answer or a request back delivers it soon after.
_LINK_MARGIN_S = 1.0


@dataclasses.dataclass(frozen=True)
class PlannedNotice:
    """A time in which one server leaves, or turns requests away.

    A server without `retry_after` leaves.
    """

    at_s: float
    server: int
    for_s: float
    list_lag_s: float = 0.0
    shed_ratio: float = 0.0
    retry_after: str = ''


def plan(seed, server_count, length_s):
    """Return what servers announce in a run.

    They have a schedule of their own, so that the faults of each seed stay
    as they are.
    """
    rng = random.Random(f'notices/{seed}')
    found = []
    for server in range(server_count):
        if rng.random() < _EPISODE_RATIO:
            found.append(
                PlannedNotice(
                    rng.uniform(0.0, length_s),
                    server,
                    rng.uniform(*_LEAVING_S),
                    list_lag_s=rng.uniform(*_LIST_LAG_S),
                )
            )
        if rng.random() < _EPISODE_RATIO:
            found.append(
                PlannedNotice(
                    rng.uniform(0.0, length_s),
                    server,
                    rng.uniform(*_SHED_S),
                    shed_ratio=rng.choice(_SHED_RATIOS),
                    retry_after=rng.choice(_RETRY_AFTER),
                )
            )
    return found


async def play(scene, server, planned):
    """Have a server announce what is planned."""
    await asyncio.sleep(planned.at_s)
    if planned.retry_after:
        server.retry_after = planned.retry_after
        server.shed_ratio = planned.shed_ratio
        await asyncio.sleep(planned.for_s)
        server.shed_ratio = 0.0
        return
    name = server.name
    server.is_leaving = True
    await asyncio.sleep(planned.list_lag_s)
    if server.name == name:
        await scene.list_as_leaving(server)
    await asyncio.sleep(max(0.0, planned.for_s - planned.list_lag_s))
    # A restart that the seed drew may have come first.
    if server.name == name:
        await scene.replace_server(server)


class Disturbances:
    """Times in which entries or links were disturbed."""

    def __init__(self):
        self._times = []

    def record(self, kind, name, since_s, until_s, fault=''):
        """Record that a fault of a target, of some kind, has ended."""
        self._times.append(((kind, name), since_s, until_s, fault))

    def any_of(self, targets, since_s, until_s, begins_after_s=None):
        """Whether one of the targets was disturbed in a time.

        Parameters
        ----------
        targets
            The kind and the name of each.
        begins_after_s
            Time after which a fault disturbs, by its name; others do at once.
        """
        lags_s = begins_after_s or {}
        return any(
            target in targets
            and begin_s + lags_s.get(fault, 0.0) < until_s
            and since_s < end_s
            for target, begin_s, end_s, fault in self._times
        )


def check(scene, servers):
    """Yield what servers got although they had asked for nothing more."""
    calls = scene.checker.calls
    sent = {call.id: (call.entry, call.sent_at_s) for call in calls}
    told = {}
    for call in calls:
        if call.leaving:
            told.setdefault((call.entry, call.leaving), call.head_at_s)
    for server in servers:

        def is_disturbed(entry, since_s, until_s):
            return scene.disturbances.any_of(
                {('process', scene.entry_name(entry))}, since_s, until_s
            )

        def is_cut_off(entry, since_s, until_s, link=server.link):
            targets = {
                ('process', scene.entry_name(entry)),
                ('link', link),
            }
            return scene.disturbances.any_of(
                targets, since_s - _LINK_MARGIN_S, until_s
            )

        late = notice_checks.sent_while_leaving(
            server, sent, told, is_disturbed
        )
        if late:
            yield f'{server.link} leaves, and got {late[:3]}'
        most = notice_checks.most_in_backoff(server, sent, is_cut_off)
        if most > notice_checks.MAX_IN_BACKOFF:
            yield f'{server.link} asked for backoff, and got {most} requests'
