"""Fingerprints that identify a request across attempts of its caller."""

import hashlib

_KEY = b'lacewingpitch request'
_DIGEST_BYTES = 8


def compute(method: str, target: str, organisation: str, body: bytes) -> str:
    """Return the fingerprint of a request.

    Callers use a new id for each attempt, so that an id does not show that
    attempts belong together.  The fingerprint contains none of the
    request's text.

    Parameters
    ----------
    target
        Path and query.
    organisation
        Name of the organisation that sends it; empty if callers need no API
        key.
    """
    digest = hashlib.blake2b(key=_KEY, digest_size=_DIGEST_BYTES)
    for part in (method, target, organisation):
        data = part.encode(errors='surrogateescape')
        digest.update(len(data).to_bytes(4))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()
