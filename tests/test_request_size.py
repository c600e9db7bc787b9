"""How much the waiting of a request weighs."""

import pytest

from lacewingpitch import request_size


@pytest.fixture
def sizes():
    found = request_size.RequestSizes()
    for _ in range(200):
        found.weight('r', 1000, 0)
    return found


class TestWeight:
    def test_one_of_the_mean_weighs_one(self, sizes):
        assert sizes.weight('r', 1000, 0) == pytest.approx(1.0)

    def test_grows_with_the_size_within_bounds(self, sizes):
        assert sizes.weight('r', 0, 0) == pytest.approx(0.3)
        assert sizes.weight('r', 2000, 0) == pytest.approx(1.7, rel=0.1)
        assert sizes.weight('r', 90_000, 0) == pytest.approx(3.1)

    def test_a_token_of_the_answer_counts_as_ten(self, sizes):
        prompt = sizes.weight('r', 2000, 0)
        assert sizes.weight('r', 1000, 100) == pytest.approx(prompt, rel=0.1)

    def test_routes_have_their_own_mean(self, sizes):
        assert sizes.weight('other', 5000, 0) == pytest.approx(1.0)

    def test_without_a_size_it_is_one(self):
        assert request_size.RequestSizes().weight('r', 0, 0) == 1.0
