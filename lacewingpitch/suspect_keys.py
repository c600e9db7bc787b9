"""Keys under which crashes of backend servers are counted.

A crash may be caused by one request that is sent again, or by one part of
prompts that many requests share.
"""

_PART_PREFIX = 'part:'


def part_key(part_id: str) -> str:
    """Return the key of a part of prompts.

    The id alone is the key: a part may crash servers for whichever
    organisation, model or adapter it is sent.
    """
    return f'{_PART_PREFIX}{part_id}'


def is_part(key: str) -> bool:
    """Whether a key is that of a part, rather than of a request."""
    return key.startswith(_PART_PREFIX)
