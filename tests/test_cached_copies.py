"""Which engines may have kept a copy of an adapter."""

import pytest

from lacewingpitch import cached_copies


@pytest.fixture
def copies():
    return cached_copies.CachedCopies()


class TestNames:
    def test_of_those_that_gave_it_up(self, copies):
        copies.note('e1', [b'a', b'b'])
        copies.note('e2', [b'a'])
        assert copies.names(b'a') == {'e1', 'e2'}
        assert copies.names(b'b') == {'e1'}
        assert copies.names(b'c') == set()

    def test_an_engine_keeps_what_it_gave_up_last(self, copies):
        copies.limit('e1', 2)
        copies.note('e1', [b'a'])
        copies.note('e1', [b'b'])
        copies.note('e1', [b'a'])
        copies.note('e1', [b'c'])
        assert copies.names(b'a') == {'e1'}
        assert copies.names(b'b') == set()

    def test_an_engine_may_turn_out_to_keep_fewer(self, copies):
        copies.note('e1', [b'a'])
        copies.note('e1', [b'b'])
        copies.limit('e1', 1)
        assert copies.names(b'a') == set()
        assert copies.names(b'b') == {'e1'}

    def test_one_that_keeps_none_has_none(self, copies):
        copies.limit('e1', 0)
        copies.note('e1', [b'a'])
        assert copies.names(b'a') == set()

    def test_one_that_is_forgotten_has_none(self, copies):
        copies.note('e1', [b'a'])
        copies.forget('e1')
        assert copies.names(b'a') == set()
