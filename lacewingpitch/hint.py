"""Hints: load reports of an engine that its sidecar adds to answers.

A late, lost or wrong hint costs only time: the request reaches an
engine that must load its adapter first.  The adapter that a request
runs on never depends on hints.
"""

import base64
from collections.abc import Iterable
from typing import Annotated

import msgspec
import xxhash

from lacewingpitch import engine_pace

MAX_HINT_CHARS = 1024
_US_PER_S = 1_000_000
_STALL_PERIOD_S = 1000
_FINGERPRINT_BYTES = 4
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]


class Hint(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """State of one engine as its sidecar reports it.

    Parameters
    ----------
    running
        Requests that the engine is running.
    queued
        Requests that wait for their adapter or for a turn, which is a
        lease on one of the engine's concurrent execution slots.
    max_running
        Requests that the engine batches at once.
    load_wait_ms
        Expected wait of a request for an adapter that is not held.
    spare_slots
        Slots that are free, or whose adapter has not been used recently.
    adapters
        Concatenated fingerprints of the adapters that the engine holds.
    turn_wait_ms
        Expected wait of a request that arrives now until its prompt is
        processed.
    copy_wait_ms
        Expected wait of a request for an adapter that is not held but of
        which the engine cached a copy.
    copy_count
        How many copies of evicted adapters the engine caches; 0 if none
        are known.
    token_us
        Time for each token of the answers that run; 0 if unknown.
    stalls_per_1000s
        Expected pauses in 1000 s of a running stream that are longer than
        its caller allows.
    """

    running: Count
    queued: Count
    max_running: Annotated[int, msgspec.Meta(ge=1, le=1 << 31)]
    load_wait_ms: Count
    spare_slots: Count = 0
    adapters: bytes = b''
    turn_wait_ms: Count = 0
    copy_wait_ms: Count = 0
    copy_count: Count = 0
    token_us: Count = 0
    stalls_per_1000s: Count = 0

    @property
    def pace(self) -> engine_pace.EnginePace:
        """Return how fast the engine runs."""
        return engine_pace.EnginePace(
            token_s=self.token_us / _US_PER_S,
            stalls_per_s=self.stalls_per_1000s / _STALL_PERIOD_S,
        )

    @property
    def fingerprints(self) -> frozenset[bytes]:
        """Return the fingerprints of the adapters that the engine holds."""
        return frozenset(
            self.adapters[start : start + _FINGERPRINT_BYTES]
            for start in range(0, len(self.adapters), _FINGERPRINT_BYTES)
        )


def fingerprint(engine_name: str) -> bytes:
    """Return the hash that stands for an adapter in hints.

    A collision costs a detour to another engine, not an error.
    """
    return xxhash.xxh32_digest(engine_name.encode())


def encode_fingerprints(engine_names: Iterable[str]) -> bytes:
    """Return the concatenated fingerprints of a set of adapters."""
    return b''.join(fingerprint(name) for name in sorted(engine_names))


def encode_hint(hint: Hint) -> str:
    """Encode a hint as the value of a header."""
    return base64.b64encode(msgspec.msgpack.encode(hint)).decode('ascii')


def decode_hint(text: str) -> Hint | None:
    """Decode the hint of a header; return ``None`` if it is invalid."""
    if not text or len(text) > MAX_HINT_CHARS:
        return None
    try:
        return msgspec.msgpack.decode(
            base64.b64decode(text, validate=True), type=Hint
        )
    except (ValueError, msgspec.DecodeError):
        return None
