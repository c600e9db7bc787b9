"""Authentication while keys change and while the store is unreachable."""

import dataclasses
import random

import pytest

from lacewingpitch import authentication
from lacewingpitch import configuration_age
from lacewingpitch import errors
from lacewingpitch import organisation
from lacewingpitch import routing
from tests import clocks
from tests import fault_matrix

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
BALCONY = organisation.Organisation('balcony', ('key-1',))
ROUTE = routing.Route(
    'chat', 'h', '/', (), routing.RequestKind.IDEMPOTENT, 2.0, 0.5
)
PUBLIC_ROUTE = dataclasses.replace(ROUTE, is_public=True)
VOID_WITHIN_S = 5.0


class Scene:
    """A process that has read the configuration once."""

    def __init__(self, void_within_s=VOID_WITHIN_S):
        self.clock = clocks.ManualClock(100.0)
        self.table = routing.RoutingTable(random.Random(1))
        self.age = configuration_age.ConfigurationAge(self.clock)
        self.authenticator = authentication.Authenticator(
            self.table, self.age, void_within_s, random.Random(1)
        )
        self.publish(1, (BALCONY,))
        self.age.confirm(100.0)

    def publish(self, version, organisations):
        self.table.apply(
            routing.Configuration(
                version, (ROUTE,), {}, None, organisations=organisations
            )
        )

    def authenticate(self, key='key-1', route=ROUTE, arrived_at_s=None):
        if arrived_at_s is None:
            arrived_at_s = self.clock.now_s
        return self.authenticator.authenticate(route, key, arrived_at_s)

    def refusal(self, **arguments):
        with pytest.raises(errors.RefusalError) as found:
            self.authenticate(**arguments)
        return found.value


class TestKeys:
    @pytest.mark.proves(Promise.KEYS, Fault.NONE, Step.BEFORE_ADMISSION)
    def test_a_key_names_its_organisation(self):
        assert Scene().authenticate() is BALCONY

    @pytest.mark.parametrize('key', ['', 'key-0', 'key-1 '])
    def test_any_other_key_is_refused(self, key):
        refusal = Scene().refusal(key=key)
        assert refusal.kind is errors.ErrorKind.UNAUTHENTICATED
        assert refusal.status == 401

    def test_a_revoked_key_is_refused(self):
        scene = Scene()
        scene.publish(2, (dataclasses.replace(BALCONY, api_keys=()),))
        assert scene.refusal().status == 401

    def test_a_restored_key_is_accepted_again(self):
        scene = Scene()
        scene.publish(2, ())
        scene.publish(3, (BALCONY,))
        assert scene.authenticate() is BALCONY

    def test_no_key_is_needed_without_a_list_of_organisations(self):
        scene = Scene()
        scene.publish(2, None)
        assert scene.authenticate(key='') is None

    def test_all_keys_are_refused_if_the_list_is_empty(self):
        scene = Scene()
        scene.publish(2, ())
        assert scene.refusal().status == 401


class TestPublicRoute:
    def test_needs_no_key(self):
        assert Scene().authenticate(key='', route=PUBLIC_ROUTE) is None

    def test_names_the_organisation_of_a_key(self):
        assert Scene().authenticate(route=PUBLIC_ROUTE) is BALCONY

    def test_is_served_while_keys_cannot_be_checked(self):
        scene = Scene()
        scene.clock.now_s += 60.0
        assert scene.authenticate(route=PUBLIC_ROUTE) is None


class TestOutdated:
    @pytest.mark.proves(Promise.KEYS, Fault.LINK_CUT, Step.BEFORE_ADMISSION)
    def test_keys_are_refused_before_a_revocation_must_be_in_force(self):
        """Guards against a revoked key at an instance without the store."""
        scene = Scene()
        scene.clock.now_s += 0.7 * VOID_WITHIN_S
        assert scene.authenticate() is BALCONY
        scene.clock.now_s = 100.0 + VOID_WITHIN_S - 1.0
        refusal = scene.refusal()
        assert refusal.kind is errors.ErrorKind.CONFIGURATION_OUTDATED
        assert refusal.status == 503
        assert refusal.outcome is errors.Outcome.NOT_RUN
        assert 0.0 < refusal.retry_after_s < 1.0
        assert scene.authenticator.is_outdated

    @pytest.mark.proves(Promise.KEYS, Fault.FROZEN, Step.BEFORE_ADMISSION)
    def test_a_request_counts_from_its_arrival(self):
        """Guards against refusing requests that waited for a frozen process.

        A request that arrived before the process was suspended is checked
        with the age that the configuration had on arrival.
        """
        scene = Scene()
        scene.clock.now_s += 60.0
        assert scene.authenticate(arrived_at_s=101.0) is BALCONY

    @pytest.mark.proves(Promise.KEYS, Fault.KILLED, Step.BEFORE_ADMISSION)
    def test_a_configuration_from_a_peer_is_not_a_confirmation(self):
        """Guards against revoked keys accepted after a restart.

        A restarted process gets its configuration from a peer, which may
        not know the newest one.
        """
        scene = Scene()
        scene.clock.now_s += 60.0
        scene.publish(2, (BALCONY,))
        assert scene.refusal().status == 503

    @pytest.mark.proves(
        Promise.KEYS, Fault.CONFIG_STALE, Step.BEFORE_ADMISSION
    )
    def test_an_older_confirmation_does_not_replace_a_newer_one(self):
        scene = Scene()
        scene.clock.now_s += 60.0
        scene.age.confirm(160.0)
        scene.age.confirm(120.0)
        assert scene.authenticate() is BALCONY

    def test_keys_are_not_checked_before_the_first_confirmation(self):
        scene = Scene()
        scene.age = configuration_age.ConfigurationAge(scene.clock)
        found = authentication.Authenticator(
            scene.table, scene.age, VOID_WITHIN_S, random.Random(1)
        )
        assert found.is_outdated
        assert found.age_ms(scene.clock.now_s) is None

    def test_age_does_not_matter_without_a_revocation_time(self):
        scene = Scene(void_within_s=0.0)
        scene.clock.now_s += 60.0
        assert scene.authenticate() is BALCONY
        assert not scene.authenticator.is_outdated

    @pytest.mark.proves(Promise.KEYS, Fault.CONFIG_DOWN, Step.BEFORE_ADMISSION)
    def test_an_unknown_key_may_be_retried_while_the_store_is_down(self):
        """Guards against a final refusal of a key that was just added."""
        scene = Scene()
        scene.table.is_store_unreachable = True
        assert scene.refusal(key='key-9').status == 503
