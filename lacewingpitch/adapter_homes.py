"""Asks the homes of adapters where these are used."""

import collections
from collections.abc import Callable, Sequence
import dataclasses
import math

from lacewingpitch import adapter_holders
from lacewingpitch import clock as clock_module
from lacewingpitch import demand as demand_module
from lacewingpitch import directory
from lacewingpitch import errors
from lacewingpitch import live_list
from lacewingpitch import weighing as weighing_module

_HOT_COUNT = 8.0
_FULL_RATIO = 0.9
_ASSIGNED_S = 10.0
_TOLD_S = 60.0
_SILENT_S = 5.0
_MAX_ASSIGNMENTS = 8192


@dataclasses.dataclass(slots=True)
class _Assignment:
    """Where the home of an adapter has it used."""

    names: tuple[str, ...]
    known_at_s: float


class AdapterHomes:
    """What this entry instance knows from the homes of adapters.

    Parameters
    ----------
    link
        Way to the homes.
    demand
        How often this entry was asked for each adapter of late.
    fill_ratio
        Returns the load of an engine as a share of its batch.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        link: directory.DirectoryLink,
        demand: demand_module.DecayedCounts,
        holders: adapter_holders.AdapterHolders,
        fill_ratio: Callable[[str], float],
    ) -> None:
        self._clock = clock
        self._link = link
        self._demand = demand
        self._holders = holders
        self._fill_ratio = fill_ratio
        self._assignments: collections.OrderedDict[str, _Assignment] = (
            collections.OrderedDict()
        )
        self._silent_until_s: dict[str, float] = {}

    async def assigned(
        self,
        key: str,
        weighing: weighing_module.Weighing,
        home: live_list.Instance,
        ranked: Sequence[live_list.Instance],
    ) -> tuple[str, ...]:
        """Return the engines that an adapter is used at.

        Parameters
        ----------
        ranked
            The engines as this entry would choose, best first.
        """
        active_count = weighing.pool.active_count
        told, told_ago_s = self._told(key, weighing)
        wanted = self._wanted(key, told)
        if told_ago_s < _ASSIGNED_S:
            if len(told) >= wanted:
                return told
        else:
            likely = told if told_ago_s < _TOLD_S else ()
            seen = self._seen(key, weighing, likely)
            if seen and len(seen) >= self._wanted(key, seen):
                return seen
        request = directory.LocateRequest(
            key=key,
            wanted=wanted,
            proposals=tuple(
                i.name for i in ranked[: min(wanted + 1, active_count)]
            ),
            parked_below=weighing.parked_below,
        )
        return await self._ask(home, request) or told

    def _told(
        self, key: str, weighing: weighing_module.Weighing
    ) -> tuple[tuple[str, ...], float]:
        """Return what the home said, and how long ago."""
        known = self._assignments.get(key)
        if known is None:
            return (), math.inf
        listed = weighing.indexes
        names = tuple(name for name in known.names if name in listed)
        return names, self._clock.monotonic_s() - known.known_at_s

    def _seen(
        self,
        key: str,
        weighing: weighing_module.Weighing,
        likely: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Return who holds an adapter, by hints of late."""
        # An engine that was emptied since is given the adapter again: it
        # costs a load, and its answer says so.  One that this entry
        # would have fall out of use must not go on without the home's
        # word: it would never be left, as each request renews its hint.
        active = weighing.active()
        places = weighing.indexes
        held = self._holders.names(key)
        seen = tuple(name for name in held if places.get(name) in active)
        return tuple(name for name in seen if name in likely) or seen

    async def _ask(
        self, home: live_list.Instance, request: directory.LocateRequest
    ) -> tuple[str, ...]:
        now_s = self._clock.monotonic_s()
        if now_s < self._silent_until_s.get(home.name, 0.0):
            return ()
        try:
            reply = await self._link.locate(home, request)
        except errors.LinkError:
            # A home that is gone or frozen would hold up each request
            # of its adapters; for a while this entry decides alone.
            self._silent_until_s[home.name] = now_s + _SILENT_S
            return ()
        self._assignments[request.key] = _Assignment(reply.instances, now_s)
        self._assignments.move_to_end(request.key)
        if len(self._assignments) > _MAX_ASSIGNMENTS:
            self._assignments.popitem(last=False)
        return reply.instances

    def _wanted(self, key: str, names: tuple[str, ...]) -> int:
        count = max(1, len(names))
        is_hot = self._demand.value(key) >= _HOT_COUNT
        if not names or not is_hot:
            return count
        full = all(self._fill_ratio(name) >= _FULL_RATIO for name in names)
        return count + 1 if full else count
