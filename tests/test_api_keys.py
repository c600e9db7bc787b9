"""Lookup of organisations by API key."""

import hypothesis
from hypothesis import strategies

from lacewingpitch import api_keys
from lacewingpitch import organisation

BALCONY = organisation.Organisation('balcony', ('key-1', 'key-2'))
GARDEN = organisation.Organisation('garden', ('key-3',))


class TestHolder:
    keys = api_keys.ApiKeys((BALCONY, GARDEN))

    def test_is_found_by_each_of_its_keys(self):
        assert self.keys.holder('key-1') is BALCONY
        assert self.keys.holder('key-2') is BALCONY
        assert self.keys.holder('key-3') is GARDEN

    @hypothesis.given(strategies.text())
    def test_an_unknown_key_has_no_holder(self, key):
        hypothesis.assume(key not in ('key-1', 'key-2', 'key-3'))
        assert self.keys.holder(key) is None

    def test_a_key_with_undecodable_bytes_is_unknown(self):
        assert (
            self.keys.holder(b'\xff\xfe'.decode(errors='surrogateescape'))
            is None
        )


class TestSecrecy:
    def test_keys_do_not_appear_in_texts_of_their_organisation(self):
        assert 'key-1' not in repr(BALCONY)
        assert 'key-1' not in str(BALCONY)
