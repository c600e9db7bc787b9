"""What a sidecar tells entry instances of its engine, on its answers.

A hint may be late, lost or wrong.  It then costs time: the request
meets an engine that must load its adapter first.  Which adapter a
request runs on never depends on it.
"""

import base64
from collections.abc import Iterable
from typing import Annotated

import msgspec
import xxhash

MAX_HINT_CHARS = 1024
_FINGERPRINT_BYTES = 4
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]


class Hint(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """State of one engine as its sidecar saw it.

    Parameters
    ----------
    running
        Requests that the engine works on.
    queued
        Requests that wait for their adapter or for a turn.
    max_running
        Requests that the engine batches at once.
    load_wait_ms
        What a request for an adapter that is not held would wait.
    spare_slots
        Slots that are free, or whose adapter has not been used of late.
    adapters
        Fingerprints of the adapters that the engine holds, joined.
    turn_wait_ms
        What a request that came now would wait for its prompt's turn.
    copy_wait_ms
        What a request would wait for an adapter that is not held, and of
        which the engine kept a copy.
    copy_count
        Copies that the engine keeps of adapters that it held; 0 if it
        is not known to keep any.
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

    @property
    def fingerprints(self) -> frozenset[bytes]:
        """Return the fingerprints of the adapters held."""
        return frozenset(
            self.adapters[start : start + _FINGERPRINT_BYTES]
            for start in range(0, len(self.adapters), _FINGERPRINT_BYTES)
        )


def fingerprint(engine_name: str) -> bytes:
    """Return the short name of an adapter in hints.

    Two adapters may share one; the cost is a detour, not an error.
    """
    return xxhash.xxh32_digest(engine_name.encode())


def encode_fingerprints(engine_names: Iterable[str]) -> bytes:
    """Return the compact form of a set of adapters."""
    return b''.join(fingerprint(name) for name in sorted(engine_names))


def encode_hint(hint: Hint) -> str:
    """Return a hint as the text of a header."""
    return base64.b64encode(msgspec.msgpack.encode(hint)).decode('ascii')


def decode_hint(text: str) -> Hint | None:
    """Return the hint in a header; ``None`` if there is none to use."""
    if not text or len(text) > MAX_HINT_CHARS:
        return None
    try:
        return msgspec.msgpack.decode(
            base64.b64decode(text, validate=True), type=Hint
        )
    except (ValueError, msgspec.DecodeError):
        return None
