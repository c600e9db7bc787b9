"""The backend servers that a request can be sent to, best first."""

import dataclasses

from lacewingpitch import live_list


@dataclasses.dataclass(frozen=True, slots=True)
class Ranking:
    """The backend servers that a request can be sent to.

    Parameters
    ----------
    instances
        All backend servers, best first.
    fallback
        The best of those that are avoided for their pace, to be tried when
        the best of all are full; ``None`` if none is avoided.
    """

    instances: list[live_list.Instance]
    fallback: live_list.Instance | None = None
