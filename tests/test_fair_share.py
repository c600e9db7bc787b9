"""Detection of organisations above their fair share of an engine."""

import msgspec

from lacewingpitch import fair_share
from tests import test_admission


def request(organisation, weight=1.0):
    return msgspec.structs.replace(
        test_admission.REQUEST, organisation=organisation, weight=weight
    )


class TestIsExceeded:
    def test_organisation_with_most_turns_exceeds_its_share(self):
        others = [request('a')] * 9 + [request('b')]
        assert fair_share.is_exceeded(request('a'), others)
        assert not fair_share.is_exceeded(request('b'), others)

    def test_single_organisation_may_use_all(self):
        assert not fair_share.is_exceeded(request('a'), [request('a')] * 30)

    def test_weight_allows_more_turns(self):
        others = [request('a', 9.0)] * 9 + [request('b')]
        assert not fair_share.is_exceeded(request('a', 9.0), others)

    def test_requests_without_organisation_are_not_limited(self):
        assert not fair_share.is_exceeded(request(''), [request('')] * 30)
