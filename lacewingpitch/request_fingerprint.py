"""Names what a request is, the same for each attempt of it."""

import hashlib

_KEY = b'lacewingpitch request'
_DIGEST_BYTES = 8


def of(method: str, target: str, organisation: str, body: bytes) -> str:
    """Return the fingerprint of a request.

    Callers name each attempt anew, so that an id tells nothing of what
    came before.  The fingerprint holds none of the request's text.

    Parameters
    ----------
    target
        Path and query.
    organisation
        Whose request it is; empty if nobody's.
    """
    found = hashlib.blake2b(key=_KEY, digest_size=_DIGEST_BYTES)
    for part in (method, target, organisation):
        data = part.encode(errors='surrogateescape')
        found.update(len(data).to_bytes(4))
        found.update(data)
    found.update(body)
    return found.hexdigest()
