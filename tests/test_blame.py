"""Which requests and parts of prompts are blamed for crashes."""

import hypothesis
from hypothesis import strategies
import pytest

from lacewingpitch import blame
from lacewingpitch import suspect_keys

REFUSED = blame.Handling.REFUSED
ISOLATED = blame.Handling.ISOLATED
POLICY = blame.Policy()
PART = suspect_keys.part_key('5c1e')
OTHER = suspect_keys.part_key('9a03')


def found(crashes):
    return blame.handlings(
        {key: frozenset(servers) for key, servers in crashes.items()}, POLICY
    )


class TestThresholds:
    @pytest.mark.parametrize('key', ['f', PART])
    def test_two_crashes_isolate_and_three_refuse(self, key):
        for count, handling in enumerate([None, ISOLATED, REFUSED, REFUSED]):
            crashes = 'abcd'[: count + 1]
            assert found({key: crashes}).get(key) is handling

    def test_may_differ_for_parts(self):
        policy = blame.Policy(part=blame.Thresholds(2, 5))
        crashes = {'f': frozenset('abc'), PART: frozenset('defg')}
        handlings = blame.handlings(crashes, policy)
        assert handlings == {'f': REFUSED, PART: ISOLATED}


class TestExplainedCrashes:
    def test_what_ran_beside_a_refused_part_is_free(self):
        """Guards against refusing what was there by chance."""
        crashes = {PART: 'abcde', 'f': 'abc', OTHER: 'ace', 'g': 'bd'}
        assert found(crashes) == {PART: REFUSED}

    def test_further_crashes_still_count(self):
        """Guards against a second cause that hides behind the first."""
        crashes = {PART: 'abcd', OTHER: 'abwxyz', 'f': 'wxy'}
        assert found(crashes) == {OTHER: REFUSED, PART: ISOLATED}
        crashes = {PART: 'abcde', OTHER: 'egh', 'f': 'ac'}
        assert found(crashes) == {PART: REFUSED, OTHER: ISOLATED}

    def test_of_two_with_the_same_crashes_the_request_is_refused(self):
        """Guards against refusing all that share a part of one request."""
        assert found({PART: 'abcd', 'f': 'abcd'}) == {'f': REFUSED}

    def test_a_wrong_choice_is_corrected_by_the_next_crash(self):
        """Guards against blame that nothing takes back."""
        first, second = sorted((PART, OTHER))
        assert found({first: 'abcd', second: 'abcd'}) == {first: REFUSED}
        assert found({first: 'abcd', second: 'abcde'}) == {second: REFUSED}

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(['f', 'g', PART, OTHER]),
            strategies.frozensets(strategies.sampled_from('abcdefgh')),
        )
    )
    def test_whoever_is_in_all_of_many_crashes_is_refused(self, crashes):
        crashes[PART] = frozenset('abcdefghi')
        handlings = blame.handlings(crashes, POLICY)
        assert handlings == {PART: REFUSED}
