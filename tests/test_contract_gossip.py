import msgspec
import pytest

from lacewingpitch import contract_gossip
from lacewingpitch import contract_versions
from lacewingpitch import errors
from lacewingpitch import live_list
from tests import contract_fakes

ENTRY = live_list.Role.ENTRY
SIDECAR = live_list.Role.SIDECAR
make_contract = contract_fakes.make_contract


def fill(node, count, revision=1, **fields):
    for number in range(count):
        node.registry.accept(
            make_contract(f'customer-{number}', revision, **fields)
        )


class TestReconcile:
    async def test_both_sides_end_with_the_newest(self):
        fleet = contract_fakes.Fleet(ENTRY, ENTRY)
        one, other = fleet.nodes
        fill(one, 300)
        fill(other, 20, revision=2)
        await one.gossip.reconcile(other.instance)
        assert one.registry.revision('customer-7') == 2
        for _ in range(5):
            await one.gossip.reconcile(other.instance)
        assert other.registry.revision('customer-299') == 1
        assert one.registry.versions.root == other.registry.versions.root

    async def test_equal_registries_cost_few_bytes(self):
        fleet = contract_fakes.Fleet(ENTRY, ENTRY)
        for node in fleet.nodes:
            fill(node, 300)
        await fleet.nodes[0].gossip.reconcile(fleet.nodes[1].instance)
        assert len(fleet.sent_bytes) == 2
        assert sum(fleet.sent_bytes) < 200

    async def test_sidecar_fetches_only_versions_at_its_start(self):
        fleet = contract_fakes.Fleet(ENTRY, SIDECAR)
        entry, sidecar = fleet.nodes
        fill(entry, 300)
        await sidecar.gossip.settle()
        assert contract_gossip.ContractsRequest not in fleet.sent_kinds
        assert sidecar.registry.versions.root == entry.registry.versions.root

    async def test_large_contracts_come_in_several_messages(self):
        fleet = contract_fakes.Fleet(ENTRY, ENTRY)
        one, other = fleet.nodes
        keys = tuple(f'key-{number}' for number in range(3000))
        fill(other, 12, keys=keys)
        await one.gossip.reconcile(other.instance)
        assert len(one.registry) == 12
        assert not one.registry.outdated
        assert max(fleet.sent_bytes) < 1 << 20

    async def test_invalid_contract_is_rejected_and_others_are_applied(self):
        node = contract_fakes.Fleet(ENTRY).nodes[0]
        good = msgspec.json.encode(make_contract('ivy', 1))
        push = contract_gossip.ContractsPush(contracts=(b'{', b'[]', good))
        await node.gossip.answer_push(push)
        assert node.registry.revision('ivy') == 1
        assert node.registry.rejected


class TestCatchUp:
    async def test_contract_comes_from_an_entry_if_the_sidecar_lacks_it(self):
        fleet = contract_fakes.Fleet(ENTRY, ENTRY, SIDECAR)
        behind, ahead, sidecar = fleet.nodes
        behind.registry.accept(make_contract('ivy', 1))
        ahead.registry.accept(make_contract('ivy', 2, revoked=True))
        sidecar.registry.record_version(
            'ivy', contract_versions.ContractVersion(2)
        )
        await behind.gossip.catch_up('ivy', sidecar.instance)
        with pytest.raises(errors.RefusalError) as caught:
            behind.registry.authenticate('ivy')
        assert caught.value.kind is errors.ErrorKind.NOT_IN_CONTRACT

    async def test_customer_stays_refused_if_no_process_has_the_contract(self):
        fleet = contract_fakes.Fleet(ENTRY, SIDECAR)
        behind, sidecar = fleet.nodes
        behind.registry.accept(make_contract('ivy', 1))
        sidecar.registry.record_version(
            'ivy', contract_versions.ContractVersion(2)
        )
        await behind.gossip.catch_up('ivy', sidecar.instance)
        with pytest.raises(errors.RefusalError) as caught:
            behind.registry.authenticate('ivy')
        assert caught.value.kind is errors.ErrorKind.CONTRACT_OUTDATED


class TestWatchers:
    @pytest.mark.parametrize('count', [8, 80])
    def test_their_number_grows_with_zones_and_not_with_the_fleet(self, count):
        fleet = contract_fakes.Fleet(*[ENTRY] * count, SIDECAR)
        watchers = [n for n in fleet.nodes if n.gossip.must_watch]
        zones = 2
        assert len(watchers) == zones * contract_gossip.WATCHERS_PER_ZONE

    async def test_timeout_of_the_watchers_makes_others_watch(self):
        """Guards against changes that no process reads.

        A zone's watchers died, and the list that elects them is out of
        date.  Others must watch when they don't hear of a watcher's reads,
        whoever is listed.
        """
        fleet = contract_fakes.Fleet(*[ENTRY] * 8)
        elected = next(n for n in fleet.nodes if n.gossip.is_watcher)
        other = next(n for n in fleet.nodes if not n.gossip.is_watcher)
        elected.gossip.record_read(fleet.clock.now_s)
        fleet.clock.now_s += contract_gossip.WATCHER_TIMEOUT_S - 1
        await other.gossip.reconcile(elected.instance)
        assert not other.gossip.must_watch
        fleet.clock.now_s += 2
        assert other.gossip.must_watch
        other.gossip.record_read(fleet.clock.now_s)
        assert other.gossip.status.view_age_s == 0
        assert other.gossip.must_watch
        elected.gossip.record_read(fleet.clock.now_s)
        await other.gossip.reconcile(elected.instance)
        assert not other.gossip.must_watch

    def test_instance_that_is_not_listed_watches(self):
        fleet = contract_fakes.Fleet(*[ENTRY] * 8)
        node = fleet.nodes[0]
        node.restart()
        assert node.gossip.must_watch
