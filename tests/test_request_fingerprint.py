"""Which requests have the same fingerprint."""

import hypothesis
from hypothesis import strategies

from lacewingpitch import request_fingerprint

PARTS = strategies.tuples(
    strategies.sampled_from(['GET', 'POST']),
    strategies.text(max_size=6),
    strategies.text(max_size=6),
    strategies.binary(max_size=6),
)


class TestFingerprint:
    @hypothesis.given(PARTS, PARTS)
    def test_is_equal_for_equal_requests_only(self, one, other):
        found = (
            request_fingerprint.compute(*one),
            request_fingerprint.compute(*other),
        )
        assert (found[0] == found[1]) == (one == other)

    def test_shows_nothing_of_the_request(self):
        found = request_fingerprint.compute('POST', '/a', 'acme', b'secret')
        assert len(found) == 16
        assert int(found, 16) >= 0
