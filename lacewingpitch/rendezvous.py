"""Rendezvous hashing: every process ranks candidates the same way."""

import xxhash


def score(key: str, name: str) -> int:
    """Return the score of a candidate; the highest ranks first."""
    return xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode())
