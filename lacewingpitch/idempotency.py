"""Idempotency keys: UUIDv7, so that each tells when it was made."""

import hashlib
import uuid

from lacewingpitch import errors

_VERSION = 7
_TIMESTAMP_SHIFT_BITS = 80
_MS_PER_S = 1000
_DIGEST_BYTES = 16


def canonical(key: str) -> str:
    """Return the one spelling of a key.

    Raises
    ------
    RefusalError
        It is not a UUIDv7.
    """
    # Two spellings of one UUID would be two keys to the voters, and the
    # request would run once for each.
    try:
        found = uuid.UUID(key)
    except ValueError:
        found = uuid.UUID(int=0)
    if found.version != _VERSION:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_IDEMPOTENCY_KEY,
            'Idempotency-Key must be a UUIDv7 (RFC 9562), made when the '
            'request is first sent',
        )
    return str(found)


def created_at_s(key: str) -> float:
    """Return when a canonical key was made, by its maker's clock."""
    return (uuid.UUID(key).int >> _TIMESTAMP_SHIFT_BITS) / _MS_PER_S


def check_window(
    key: str, now_s: float, window_s: float, skew_s: float
) -> None:
    """Refuse a key that no voter would back.

    Raises
    ------
    RefusalError
        It is older than the window, or from the future.
    """
    age_s = now_s - created_at_s(key)
    if age_s > window_s:
        raise too_old_refusal(
            f'it is {age_s:.0f} s old, {window_s:.0f} s are allowed'
        )
    if age_s < -skew_s:
        raise errors.RefusalError(
            errors.ErrorKind.KEY_OUT_OF_WINDOW,
            f'Idempotency-Key was made {-age_s:.0f} s in the future, '
            f'{skew_s:.0f} s of clock skew are allowed',
        )


def too_old_refusal(reason: str) -> errors.RefusalError:
    """Return the refusal of a key that voters may have forgotten."""
    # An earlier sending with this key may have run: "not run" would
    # invite the caller to send the work again under a new key.
    return errors.RefusalError(
        errors.ErrorKind.KEY_OUT_OF_WINDOW,
        f'Idempotency-Key is too old: {reason}; this sending did not run, '
        'an earlier one may have',
        outcome=errors.Outcome.UNKNOWN,
    )


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return what tells two requests under one key apart."""
    found = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), path.encode(), body):
        found.update(len(part).to_bytes(8))
        found.update(part)
    return found.hexdigest()
