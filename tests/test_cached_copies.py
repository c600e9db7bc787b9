"""Which engines may have cached a copy of an adapter."""

import pytest

from lacewingpitch import cached_copies


@pytest.fixture
def copies():
    return cached_copies.CachedCopies()


class TestHolders:
    def test_are_the_engines_that_evicted_it(self, copies):
        copies.record_evictions('e1', [b'a', b'b'])
        copies.record_evictions('e2', [b'a'])
        assert copies.holders(b'a') == {'e1', 'e2'}
        assert copies.holders(b'b') == {'e1'}
        assert copies.holders(b'c') == set()

    def test_an_engine_caches_its_last_evictions(self, copies):
        copies.set_copy_count('e1', 2)
        copies.record_evictions('e1', [b'a'])
        copies.record_evictions('e1', [b'b'])
        copies.record_evictions('e1', [b'a'])
        copies.record_evictions('e1', [b'c'])
        assert copies.holders(b'a') == {'e1'}
        assert copies.holders(b'b') == set()

    def test_copy_count_may_decrease(self, copies):
        copies.record_evictions('e1', [b'a'])
        copies.record_evictions('e1', [b'b'])
        copies.set_copy_count('e1', 1)
        assert copies.holders(b'a') == set()
        assert copies.holders(b'b') == {'e1'}

    def test_engine_without_copies_has_none(self, copies):
        copies.set_copy_count('e1', 0)
        copies.record_evictions('e1', [b'a'])
        assert copies.holders(b'a') == set()

    def test_forgotten_engine_has_none(self, copies):
        copies.record_evictions('e1', [b'a'])
        copies.forget('e1')
        assert copies.holders(b'a') == set()
