"""Lookup of organisations by API key."""

from collections.abc import Iterable
import hashlib
import secrets

from lacewingpitch import organisation

_SECRET_BYTES = 32
_DIGEST_BYTES = 16


class ApiKeys:
    """Index of the API keys in force.

    Keys are looked up by a keyed digest with a secret of this process, so
    that the time of a lookup reveals nothing about existing keys.
    """

    def __init__(
        self, organisations: Iterable[organisation.Organisation]
    ) -> None:
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        self._by_digest = {
            self._digest(key): holder
            for holder in organisations
            for key in holder.api_keys
        }

    def __len__(self) -> int:
        return len(self._by_digest)

    def holder(self, key: str) -> organisation.Organisation | None:
        """Return the organisation that holds a key, or ``None``."""
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: str) -> bytes:
        # Header values may contain bytes that are not valid UTF-8.
        return hashlib.blake2b(
            key.encode(errors='surrogateescape'),
            digest_size=_DIGEST_BYTES,
            key=self._secret,
        ).digest()
