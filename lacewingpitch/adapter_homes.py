"""Assignments of adapters to engines, as their homes report them.

The home of an adapter is the sidecar that keeps its directory entry; it
is chosen by rendezvous hash.  See `directory`.
"""

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
from lacewingpitch import placement_costs

# Recent requests from which an adapter counts as hot.
_HOT_COUNT = 8.0
_FULL_RATIO = 0.9
# An assignment younger than this is used without asking the home again.
_FRESH_S = 10.0
# Until this age, it narrows down the engines that hold the adapter.
_MAX_AGE_S = 60.0
_HOME_BACKOFF_S = 5.0
_MAX_ASSIGNMENTS = 8192


@dataclasses.dataclass(slots=True)
class _Assignment:
    """The engines that the home of an adapter assigned to it."""

    names: tuple[str, ...]
    received_at_s: float


class AdapterHomes:
    """Queries the homes of adapters and caches their assignments.

    Parameters
    ----------
    link
        Sends requests to the homes.
    demand
        Recent requests for each adapter at this entry instance.
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
        self._backoff_until_s: dict[str, float] = {}

    async def assigned(
        self,
        key: str,
        costs: placement_costs.PlacementCosts,
        home: live_list.Instance,
        ranked: Sequence[live_list.Instance],
    ) -> tuple[str, ...]:
        """Return the names of the engines that an adapter is assigned to.

        The home is asked unless its last assignment is fresh, or enough
        engines are known to hold the adapter.

        Parameters
        ----------
        ranked
            The engines in this entry's order of preference, best first.
        """
        active_count = costs.pool.active_count
        assigned, age_s = self._last_assignment(key, costs)
        wanted = self._wanted_count(key, assigned)
        if age_s < _FRESH_S:
            if len(assigned) >= wanted:
                return assigned
        else:
            likely = assigned if age_s < _MAX_AGE_S else ()
            held = self._active_holders(key, costs, likely)
            if held and len(held) >= self._wanted_count(key, held):
                return held
        request = directory.LocateRequest(
            key=key,
            wanted=wanted,
            proposals=tuple(
                i.name for i in ranked[: min(wanted + 1, active_count)]
            ),
            parked_below=costs.parked_below,
        )
        return await self._ask(home, request) or assigned

    def _last_assignment(
        self, key: str, costs: placement_costs.PlacementCosts
    ) -> tuple[tuple[str, ...], float]:
        """Return the listed engines of the last assignment, and its age."""
        assignment = self._assignments.get(key)
        if assignment is None:
            return (), math.inf
        listed = costs.column_by_name
        names = tuple(name for name in assignment.names if name in listed)
        return names, self._clock.monotonic_s() - assignment.received_at_s

    def _active_holders(
        self,
        key: str,
        costs: placement_costs.PlacementCosts,
        likely: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Return the active engines that hold an adapter.

        If any of them are in `likely`, only these are returned.
        """
        # If an engine has lost the adapter since, the request costs a
        # load, and the answer's hint corrects the record.  Engines that
        # this entry instance would park are left out, because each
        # request renews their hint and they would never be vacated; for
        # these, the home must be asked.
        active = costs.active()
        columns = costs.column_by_name
        holders = self._holders.holders(key)
        held = tuple(name for name in holders if columns.get(name) in active)
        return tuple(name for name in held if name in likely) or held

    async def _ask(
        self, home: live_list.Instance, request: directory.LocateRequest
    ) -> tuple[str, ...]:
        now_s = self._clock.monotonic_s()
        if now_s < self._backoff_until_s.get(home.name, 0.0):
            return ()
        try:
            reply = await self._link.locate(home, request)
        except errors.LinkError:
            # An unreachable or frozen home would delay every request for
            # its adapters.  During the backoff, this entry instance
            # decides on its own.
            self._backoff_until_s[home.name] = now_s + _HOME_BACKOFF_S
            return ()
        self._assignments[request.key] = _Assignment(reply.instances, now_s)
        self._assignments.move_to_end(request.key)
        if len(self._assignments) > _MAX_ASSIGNMENTS:
            self._assignments.popitem(last=False)
        return reply.instances

    def _wanted_count(self, key: str, names: tuple[str, ...]) -> int:
        """Return how many engines the adapter needs, by its demand."""
        count = max(1, len(names))
        is_hot = self._demand.count(key) >= _HOT_COUNT
        if not names or not is_hot:
            return count
        full = all(self._fill_ratio(name) >= _FULL_RATIO for name in names)
        return count + 1 if full else count
