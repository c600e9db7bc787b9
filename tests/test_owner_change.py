"""Limits whose owners change while the lists of entries differ."""

import asyncio
import math

import pytest

from lacewingpitch import errors
from lacewingpitch import limit_cession
from lacewingpitch import limit_tenure
from lacewingpitch import usage_lease
from tests import clocks
from tests import owner_changes
from tests import soak_limits

SEEDS = range(30)
PLANS = [owner_changes.outage_plan, owner_changes.changing_plan]
# Above the limits, so that all of what owners grant is used.
FLOOD_PER_S = 15 * owner_changes.LIMIT_PER_S
QUOTA_PER_S = owner_changes.QUOTA.rate_per_s / owner_changes.COST
QUOTA_BURST = owner_changes.QUOTA.burst / owner_changes.COST
QUOTA_FLOOD_PER_S = 4 * QUOTA_PER_S
WINDOW_S = 4.0


def most_in_window(times_s):
    return soak_limits.most_in_window(times_s, -math.inf)


@pytest.mark.parametrize('plan', PLANS)
@pytest.mark.parametrize('seed', SEEDS)
class TestDifferentLists:
    def test_a_server_gets_its_limit_once(self, seed, plan):
        """Guards against two owners that each grant a server's limit."""
        fleet = owner_changes.play(
            seed, plan, owner_changes.send_to_limited, FLOOD_PER_S
        )
        allowed = owner_changes.LIMIT_PER_S * WINDOW_S + 5
        assert most_in_window(fleet.admitted_s) <= allowed

    def test_an_organisation_gets_its_quota_once(self, seed, plan):
        """Guards against two owners that each grant a whole quota."""
        fleet = owner_changes.play(
            seed, plan, owner_changes.send_of_organisation, QUOTA_FLOOD_PER_S
        )
        allowed = QUOTA_PER_S * WINDOW_S + QUOTA_BURST
        assert most_in_window(fleet.admitted_s) <= allowed


class TestSilentOwner:
    @pytest.mark.parametrize('seed', range(5))
    def test_an_owner_that_has_ended_delays_callers_briefly(self, seed):
        """Guards against callers that wait for an owner that has ended."""
        fleet = owner_changes.play(
            seed,
            owner_changes.outage_plan,
            owner_changes.send_of_organisation,
            QUOTA_PER_S,
            silent=owner_changes.BEFORE,
        )
        # One time-out to ask the owner, and one for a cession.
        assert max(fleet.waits_s) < 0.6
        assert len(fleet.waits_s) > QUOTA_PER_S


class TestTenures:
    NAME = 'balcony'

    def claim(self, revision, **fields):
        return limit_tenure.Claim(1, revision, **fields)

    def held(self, revision):
        tenures = limit_tenure.Tenures()
        claim = self.claim(revision, is_handed_over=True)
        assert tenures.check(self.NAME, claim) is None
        return tenures

    def test_a_new_owner_needs_a_hand_over(self):
        """Guards against granting beside an owner that nobody has asked."""
        tenures = limit_tenure.Tenures()
        denial = tenures.check(self.NAME, self.claim(1))
        assert denial is not None
        assert denial.needs_hand_over
        tenures.check(self.NAME, self.claim(1, is_handed_over=True))
        assert tenures.check(self.NAME, self.claim(1)) is None

    def test_one_that_ceded_refers_older_lists_to_its_successor(self):
        """Guards against grants to entries that still have the old list."""
        tenures = self.held(1)
        assert tenures.cede(self.NAME, self.claim(3, successor='b')) is None
        for revision in (1, 2, 3):
            denial = tenures.check(self.NAME, self.claim(revision))
            assert denial == limit_tenure.Denial('b', 1, 3)

    def test_it_owns_the_limit_again_by_a_newer_list(self):
        """Guards against a limit that nobody grants any more."""
        tenures = self.held(1)
        tenures.cede(self.NAME, self.claim(3, successor='b'))
        denial = tenures.check(self.NAME, self.claim(4))
        assert denial == limit_tenure.Denial(previous='b')
        claim = self.claim(4, is_handed_over=True)
        assert tenures.check(self.NAME, claim) is None

    @pytest.mark.parametrize('revision', [2, 3])
    def test_an_older_list_does_not_take_it_away(self, revision):
        """Guards against entries that read late and end a newer tenure."""
        tenures = self.held(3)
        denial = tenures.cede(self.NAME, self.claim(revision, successor='b'))
        assert denial == limit_tenure.Denial('', 1, 3)
        assert tenures.check(self.NAME, self.claim(1)) is None

    def test_the_first_successor_by_a_list_stays(self):
        tenures = self.held(1)
        tenures.cede(self.NAME, self.claim(3, successor='b'))
        denial = tenures.cede(self.NAME, self.claim(3, successor='c'))
        assert denial == limit_tenure.Denial('b', 1, 3)

    def test_a_later_successor_hears_of_the_one_before(self):
        """Guards against a successor that goes on beside the next one."""
        tenures = self.held(1)
        tenures.cede(self.NAME, self.claim(3, successor='b'))
        denial = tenures.cede(self.NAME, self.claim(4, successor='c'))
        assert denial == limit_tenure.Denial(previous='b')
        assert denial.needs_hand_over

    def test_a_restored_store_counts_as_newer(self):
        """Guards against limits that stay away after a restored store."""
        tenures = self.held(9)
        claim = limit_tenure.Claim(2, 1, successor='b')
        assert tenures.cede(self.NAME, claim) is None

    def test_entries_without_a_position_are_served(self):
        """Guards against refusing entries of the version before."""
        tenures = limit_tenure.Tenures()
        assert tenures.check(self.NAME, limit_tenure.Claim()) is None

    def test_they_are_not_served_beside_a_successor(self):
        tenures = self.held(1)
        tenures.cede(self.NAME, self.claim(3, successor='b'))
        assert tenures.check(self.NAME, limit_tenure.Claim()) is not None


class TestLevel:
    def want(self, **claim):
        return usage_lease.UsageWant(
            organisation='balcony',
            rate_per_s=10.0,
            burst=100.0,
            costs=(),
            ahead=0.0,
            claim=limit_tenure.Claim(1, 1, **claim),
        )

    def ask(self, owner, want):
        message = usage_lease.UsageAsk(
            entry='edge-1', sequence=1, version=1, wants=(want,)
        )
        return asyncio.run(owner.grant(message)).grants[0]

    def test_a_successor_grants_no_second_burst(self):
        """Guards against a burst at each owner that a limit moves to."""
        clock = clocks.ManualClock(100.0)
        owner = usage_lease.UsageOwner(clock)
        clock.now_s = 200.0
        want = self.want(is_handed_over=True, level=3.0)
        assert self.ask(owner, want).left == 3.0

    def test_the_owner_before_tells_its_level(self):
        clock = clocks.ManualClock(100.0)
        owner = usage_lease.UsageOwner(clock)
        self.ask(owner, self.want(is_handed_over=True))
        assert self.ask(owner, self.want(successor='b')).left == 50.0


class StaleOwners:
    """Owners by the list of one entry, which another one ceded to."""

    def __init__(self, previous):
        self.previous = previous
        self.heard = None

    def claim(self, _name):
        return limit_tenure.Claim(1, 5)

    def owner(self, _name):
        return 'new'

    def previous_owners(self, _name):
        return frozenset(self.previous)

    def record_owner(self, _name, ip, position):
        self.heard = ip, position


class TestCessions:
    NAME = 'balcony'

    def follow(self, owners, processes):
        """Have an entry follow the denial of the process `new`."""

        async def cede(ip, claim):
            if ip not in processes:
                raise errors.NoReplyError(ip)
            return limit_cession.Ceded(processes[ip].cede(self.NAME, claim))

        async def main():
            cessions = limit_cession.Cessions(owners)
            denial = processes['new'].check(self.NAME, owners.claim(self.NAME))
            return await cessions.follow(self.NAME, 'new', denial, cede)

        return asyncio.run(main())

    def held(self, revision):
        tenures = limit_tenure.Tenures()
        claim = limit_tenure.Claim(1, revision, is_handed_over=True)
        tenures.check(self.NAME, claim)
        return tenures

    def test_a_silent_owner_before_does_not_prevent_it(self):
        """Guards against limits that nobody grants after a crash."""
        processes = {'new': limit_tenure.Tenures()}
        claim = self.follow(StaleOwners({'gone'}), processes)
        assert claim is not None
        assert claim.is_handed_over
        assert processes['new'].check(self.NAME, claim) is None

    def test_an_owner_that_another_one_names_is_asked_too(self):
        """Guards against an owner that the entry's list does not show."""
        processes = {
            'new': limit_tenure.Tenures(),
            'before': self.held(1),
            'hidden': self.held(2),
        }
        processes['before'].cede(
            self.NAME, limit_tenure.Claim(1, 2, successor='hidden')
        )
        assert self.follow(StaleOwners({'before'}), processes) is not None
        entry = limit_tenure.Claim(1, 2)
        assert processes['hidden'].check(self.NAME, entry) is not None

    def test_one_given_up_leads_to_the_owner(self):
        """Guards against processes that lead to one that owns nothing."""
        processes = {
            'new': limit_tenure.Tenures(),
            'before': self.held(1),
            'owner': self.held(5),
        }
        processes['before'].cede(
            self.NAME, limit_tenure.Claim(1, 2, successor='owner')
        )
        owners = StaleOwners({'before'})
        assert self.follow(owners, processes) is None
        assert owners.heard == ('owner', (1, 5))
        entry = limit_tenure.Claim(1, 5)
        denial = processes['new'].check(self.NAME, entry)
        assert denial == limit_tenure.Denial('owner', 1, 5)
