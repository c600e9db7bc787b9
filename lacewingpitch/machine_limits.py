"""Memory and file descriptors that a process may use."""

import dataclasses
import os
import resource

_BYTES_PER_MB = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class MachineLimits:
    """What a process may use of its machine.

    Parameters
    ----------
    memory_bytes
        Memory of the machine.
    descriptor_count
        Largest number of open file descriptors.
    """

    memory_bytes: int
    descriptor_count: int


def machine_limits(
    memory_mb: float | None = None, max_descriptors: int | None = None
) -> MachineLimits:
    """Return the configured limits, or those of the operating system.

    Parameters
    ----------
    memory_mb
        Memory of the machine; ``None`` to ask the operating system.
    max_descriptors
        Largest number of descriptors; ``None`` to ask likewise.
    """
    if memory_mb is None:
        memory_bytes = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    else:
        memory_bytes = int(memory_mb * _BYTES_PER_MB)
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MachineLimits(
        memory_bytes, min(max_descriptors or soft_limit, soft_limit)
    )
