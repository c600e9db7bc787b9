"""Optional parts of the system that settings switch on."""

from collections.abc import Collection
import enum


class Part(enum.StrEnum):
    """A part of the system that a deployment switches on by its name.

    Without a part, requests are served as if it did not exist.
    """

    # Measures how fast each engine runs, and places and paces by it.
    ENGINE_PACE = 'engine-pace'
    # Prefers engines of an entry's own availability zone.
    OWN_ZONE = 'own-zone'
    # Ranks waiting requests by what their callers lose.
    CALLER_LOSS = 'caller-loss'
    # Asks further engines for a turn once the preferred ones have refused.
    ROOM_SEARCH = 'room-search'
    # Refuses requests of plain services whose answers would be late.
    SERVICE_ADMISSION = 'service-admission'
    # Moves runs to another engine when theirs leaves.
    MOVING_RUNS = 'moving-runs'


def in_force(
    parts: Collection[Part], has_organisations: bool
) -> frozenset[Part]:
    """Return the parts that a configuration calls for.

    Parameters
    ----------
    parts
        Parts that the settings name.
    has_organisations
        Whether the configuration names organisations, which compete for the
        engines.
    """
    if has_organisations:
        return frozenset(parts)
    return frozenset(parts) - {Part.CALLER_LOSS}
