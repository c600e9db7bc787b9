"""Costs of engines in other availability zones, for placement.

Of engines that are equal otherwise, such as the holders of a hot adapter,
requests prefer those whose answers cross no zone boundary.
"""

from collections.abc import Iterable

from lacewingpitch import live_list

# In seconds of waiting; less than an adapter's load, so that no adapter is
# loaded only to have it in the own zone.
_OTHER_ZONE_COST_S = 0.2


class ZoneCosts:
    """Assigns a cost to each engine by its availability zone.

    Parameters
    ----------
    availability_zone
        Zone of this entry instance.
    """

    def __init__(self, availability_zone: str) -> None:
        self._availability_zone = availability_zone

    def costs_s(self, instances: Iterable[live_list.Instance]) -> list[float]:
        """Return the costs of engines, in their order."""
        return [self._cost_s(instance) for instance in instances]

    def _cost_s(self, instance: live_list.Instance) -> float:
        if instance.availability_zone == self._availability_zone:
            return 0.0
        return _OTHER_ZONE_COST_S
