"""Idempotency keys of callers.

Keys are UUIDv7, so that each contains its creation time.
"""

import hashlib
import uuid

from lacewingpitch import errors

_VERSION = 7
_TIMESTAMP_SHIFT_BITS = 80
_MS_PER_S = 1000
_DIGEST_BYTES = 16


def canonical(key: str) -> str:
    """Return the canonical text of a key.

    Raises
    ------
    RefusalError
        The key is not a UUIDv7.
    """
    # Voters compare keys as text.  Two texts for one UUID would be two
    # keys, and the request would run once for each.
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = uuid.UUID(int=0)
    if parsed.version != _VERSION:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_IDEMPOTENCY_KEY,
            'Idempotency-Key must be a UUIDv7 (RFC 9562), created when the '
            'request is first sent',
        )
    return str(parsed)


def created_at_s(key: str) -> float:
    """Return the creation time of a canonical key, by its creator's clock."""
    return (uuid.UUID(key).int >> _TIMESTAMP_SHIFT_BITS) / _MS_PER_S


def check_window(
    key: str, now_s: float, window_s: float, skew_s: float
) -> None:
    """Refuse a key for which no voter would grant its vote.

    Raises
    ------
    RefusalError
        The key is older than the window, or was created in the future.
    """
    age_s = now_s - created_at_s(key)
    if age_s > window_s:
        raise too_old_refusal(
            f'it is {age_s:.0f} s old, {window_s:.0f} s are allowed'
        )
    if age_s < -skew_s:
        raise errors.RefusalError(
            errors.ErrorKind.KEY_OUT_OF_WINDOW,
            f'Idempotency-Key was created {-age_s:.0f} s in the future, '
            f'{skew_s:.0f} s of clock skew are allowed',
        )


def too_old_refusal(reason: str) -> errors.RefusalError:
    """Return the refusal of a key whose votes may have expired."""
    # An earlier request with this key may have run.  The outcome "not
    # run" would suggest that the caller retry it with a new key.
    return errors.RefusalError(
        errors.ErrorKind.KEY_OUT_OF_WINDOW,
        f'Idempotency-Key is too old: {reason}; this request did not run, '
        'an earlier one with the same key may have',
        outcome=errors.Outcome.UNKNOWN,
    )


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest that differs for different requests with one key."""
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), path.encode(), body):
        hasher.update(len(part).to_bytes(8))
        hasher.update(part)
    return hasher.hexdigest()
