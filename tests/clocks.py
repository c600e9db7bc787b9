"""A clock that tests set by hand."""

WALL_START_S = 1_800_000_000.0


class ManualClock:
    """A clock whose time changes only when a test changes it.

    Parameters
    ----------
    now_s
        Initial time of the monotonic clock, in seconds.
    wall_offset_s
        Difference of the wall clock to the monotonic clock, in seconds.
    """

    def __init__(self, now_s=0.0, wall_offset_s=0.0):
        self.now_s = now_s
        self.wall_offset_s = wall_offset_s

    def monotonic_s(self):
        return self.now_s

    def wall_s(self):
        return self.now_s + self.wall_offset_s

    def boot_s(self):
        return self.now_s
