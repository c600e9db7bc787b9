"""Limits on what callers may send."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Parameters
    ----------
    header_bytes
        Largest size of all header fields of a request.
    body_bytes
        Largest size of a body.
    header_timeout_s
        Time from the first byte of a head to its end.
    idle_timeout_s
        How long a connection may stay open without a request.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
