"""What a backend server says about itself in an answer."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotice:
    """What one answer says about the server that wrote it.

    Parameters
    ----------
    limit_per_s
        Requests per second that it accepts from all entries together;
        ``None`` if the answer names no limit.
    is_leaving
        Whether it accepts no more requests until it ends.
    backoff_s
        Time for which it asks this process to send it nothing; 0 if it does
        not.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    backoff_s: float = 0.0
