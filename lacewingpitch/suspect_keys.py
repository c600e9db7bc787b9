"""Keys under which crashes of backend servers are counted.

A crash may be caused by one request that is sent again, or by one part of
prompts that many requests share.
"""

from collections.abc import Iterable, Iterator
import dataclasses

_PART_PREFIX = 'part:'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKeys:
    """Keys of one request, made each time that they are iterated.

    A prompt may have thousands of parts, and their keys are needed only if
    servers crash, and once as the request has run.

    Parameters
    ----------
    fingerprint
        Key of the request itself; see `request_fingerprint`.
    shared_parts
        Ids of the parts of its prompt that others may share; can be iterated
        more than once.
    """

    fingerprint: str
    shared_parts: Iterable[str] = ()

    def __iter__(self) -> Iterator[str]:
        yield self.fingerprint
        yield from map(part_key, self.shared_parts)


def part_key(part_id: str) -> str:
    """Return the key of a part of prompts.

    The id alone is the key: a part may crash servers for whichever
    organisation, model or adapter it is sent.
    """
    return f'{_PART_PREFIX}{part_id}'


def is_part(key: str) -> bool:
    """Whether a key is that of a part, rather than of a request."""
    return key.startswith(_PART_PREFIX)
