"""Which requests and parts of prompts are blamed for crashes."""

import itertools
import math

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


def assess(crashes, policy=POLICY):
    return blame.assess(
        {key: frozenset(servers) for key, servers in crashes.items()}, policy
    )


def found(crashes, policy=POLICY):
    """Return the handling of requests with one key that is not free."""
    assessment = assess(crashes, policy)
    handlings = dict.fromkeys(assessment.isolated, ISOLATED)
    for group in assessment.groups:
        alone = REFUSED if len(group.keys) == 1 else ISOLATED
        handlings |= dict.fromkeys(group.keys, alone)
    return handlings


def groups(crashes):
    return {group.keys for group in assess(crashes).groups}


class TestThresholds:
    @pytest.mark.parametrize('key', ['f', PART])
    def test_two_crashes_isolate_and_three_refuse(self, key):
        for count, handling in enumerate([None, ISOLATED, REFUSED, REFUSED]):
            crashes = 'abcd'[: count + 1]
            assert found({key: crashes}).get(key) is handling

    def test_may_differ_for_parts(self):
        policy = blame.Policy(part=blame.Thresholds(2, 5))
        crashes = {'f': frozenset('abc'), PART: frozenset('defg')}
        assert found(crashes, policy) == {'f': REFUSED, PART: ISOLATED}


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

    def test_two_requests_with_the_same_crashes_run_isolated(self):
        """Guards against refusing a sound request by its fingerprint."""
        assert found({'f': 'abc', 'g': 'abc'}) == {
            'f': ISOLATED,
            'g': ISOLATED,
        }
        assert found({'f': 'abcd', 'g': 'abc'}) == {'f': REFUSED}
        assert found({'f': 'abcd', 'g': 'abcd'}) == {
            'f': REFUSED,
            'g': REFUSED,
        }

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(['f', 'g', PART, OTHER]),
            strategies.frozensets(strategies.sampled_from('abcdefgh')),
        )
    )
    def test_whoever_is_in_all_of_many_crashes_is_refused(self, crashes):
        crashes[PART] = frozenset('abcdefghi')
        assert found(crashes) == {PART: REFUSED}


class TestPartsNotToldApart:
    @pytest.mark.parametrize('names', [('aa01', 'dead'), ('dead', 'aa01')])
    def test_no_part_is_blamed_for_its_name(self, names):
        """Guards against refusing the part that all sound requests share."""
        first, deadly = map(suspect_keys.part_key, names)
        assert groups({first: 'abc', deadly: 'abc'}) == {
            frozenset((first, deadly))
        }
        assert groups({deadly: 'abc', first: 'abc'}) == {
            frozenset((first, deadly))
        }
        assert groups({first: '', deadly: 'abc'}) == {frozenset((deadly,))}

    def test_a_crash_without_a_part_rules_it_out(self):
        """Guards against crashes by requests that hold some of the parts."""
        assert groups({PART: 'abc', OTHER: 'abcd'}) == {frozenset((OTHER,))}

    def test_parts_with_overlapping_crashes_do_not_depend_on_order(self):
        """Guards against groups that depend on which key comes first."""
        third = suspect_keys.part_key('77')
        crashes = {PART: 'abcd', OTHER: 'abce', third: 'bcdf'}
        expected = groups(crashes)
        for order in itertools.permutations(crashes.items()):
            assert groups(dict(order)) == expected

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                [suspect_keys.part_key(name) for name in '0123456789']
            ),
            strategies.frozensets(strategies.sampled_from('abcdef')),
        ),
        strategies.permutations('0123456789'),
    )
    def test_groups_are_the_same_under_other_names(self, crashes, names):
        """Guards against any choice by the text of a part's id."""

        def renamed(key):
            name = names[int(key.removeprefix('part:'))]
            return suspect_keys.part_key(name)

        expected = {frozenset(map(renamed, keys)) for keys in groups(crashes)}
        other = {renamed(key): servers for key, servers in crashes.items()}
        assert groups(other) == expected


class TestTrials:
    @staticmethod
    def delay_s(crash_count, holds_all, *keys):
        group = blame.Group(frozenset(keys or (PART, OTHER)), crash_count)
        return POLICY.trial_delay_s(group, holds_all)

    @pytest.mark.parametrize('crash_count', range(3, 8))
    def test_a_request_with_some_parts_is_tried_at_once(self, crash_count):
        """Guards against refusing sound requests while a trial is due."""
        assert self.delay_s(crash_count, False) == 0.0

    def test_trials_of_all_parts_become_rarer(self):
        """Guards against a server that is lost every few minutes."""
        delays_s = [self.delay_s(count, True) for count in range(3, 8)]
        assert delays_s == [300.0, 600.0, 1200.0, 2400.0, 4800.0]

    @pytest.mark.parametrize('holds_all', [False, True])
    def test_three_trials_after_five_crashes_are_the_last(self, holds_all):
        """Guards against more sends than the retry budget has."""
        assert self.delay_s(7, holds_all) < math.inf
        assert self.delay_s(8, holds_all) == math.inf

    def test_a_request_is_not_tried_again(self):
        """Guards against one request that crashes a server now and then."""
        assert self.delay_s(3, True, 'f') == math.inf
