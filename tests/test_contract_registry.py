import asyncio

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from benchmarks import virtual_time
from lacewingpitch import contract_registry
from lacewingpitch import contract_versions
from lacewingpitch import errors
from lacewingpitch import live_list
from lacewingpitch import published_contracts
from tests import contract_fakes
from tests import fault_matrix

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
make_contract = contract_fakes.make_contract


def refusal(registry, api_key):
    with pytest.raises(errors.RefusalError) as caught:
        registry.authenticate(api_key)
    return caught.value.kind


@pytest.fixture
def registry():
    return contract_registry.ContractRegistry()


class TestRevisions:
    def test_higher_wins_and_lower_is_ignored(self, registry):
        assert registry.accept(make_contract('ivy', 2, weight=2.0))
        assert not registry.accept(make_contract('ivy', 1))
        assert registry.contract('ivy').weight == 2.0
        assert registry.stale_count == 1

    @pytest.mark.proves(Promise.CONTRACTS, Fault.OPERATOR_RACE, Step.ANY)
    @pytest.mark.parametrize('revoked', [0, 1])
    def test_race_of_one_revision_converges(self, revoked):
        """Guards against a customer served by one entry, refused by another.

        Two operators publish different contents under one revision, and
        instances read them in different orders.  Neither the first nor the
        last one read may win.
        """
        competing = [
            make_contract('ivy', 3, weight=1.5, revoked=bool(revoked)),
            make_contract('ivy', 3, weight=2.5),
        ]
        registries = [contract_registry.ContractRegistry() for _ in competing]
        for contract in competing:
            registries[0].accept(contract)
        for contract in reversed(competing):
            registries[1].accept(contract)
        assert registries[0].contract('ivy') == registries[1].contract('ivy')
        assert registries[0].versions.root == registries[1].versions.root
        assert all('ivy' in found.conflicts for found in registries)
        if revoked:
            assert registries[0].contract('ivy').revoked

    def test_rank_is_the_same_after_a_hop(self):
        sent = make_contract('ivy', 1, weight=2.0)
        data = msgspec.json.encode(sent)
        received = msgspec.json.decode(data, type=type(sent))
        assert contract_versions.version_of(
            sent
        ) == contract_versions.version_of(received)

    def test_bad_contract_keeps_the_last_good_one(self, registry):
        registry.accept(make_contract('ivy', 1))
        assert not registry.accept_json(
            b'{"customer":"ivy","revision":"two"}', 'x'
        )
        assert 'revision' in registry.rejected['x']
        assert registry.authenticate('ivy').revision == 1


class TestKeys:
    def test_key_dropped_by_a_revision_is_unknown(self, registry):
        registry.accept(make_contract('ivy', 1, keys=('old', 'kept')))
        registry.accept(make_contract('ivy', 2, keys=('kept',)))
        assert refusal(registry, 'old') is errors.ErrorKind.UNAUTHENTICATED
        assert registry.authenticate('kept').customer == 'ivy'

    @pytest.mark.parametrize('names', [('ivy', 'moss'), ('moss', 'ivy')])
    def test_key_of_two_customers_serves_neither(self, registry, names):
        """Guards against requests that are charged to another customer.

        An operator lists one key in two contracts.  The last contract read
        must not get the key.
        """
        for name in names:
            registry.accept(make_contract(name, 1, keys=('shared', name)))
        assert refusal(registry, 'shared') is errors.ErrorKind.UNAUTHENTICATED
        assert names[1] in registry.conflicts
        for name in names:
            assert registry.authenticate(name).customer == name

    def test_resolved_conflict_leaves_the_key_with_its_owner(self, registry):
        """Guards against a customer refused after another dropped its key.

        Two contracts list a key, then one drops it.  The key must remain
        that of the other.
        """
        registry.accept(make_contract('ivy', 1, keys=('shared',)))
        registry.accept(make_contract('moss', 1, keys=('shared',)))
        registry.accept(make_contract('moss', 2, keys=('own',)))
        assert registry.authenticate('shared').customer == 'ivy'
        assert 'moss' not in registry.conflicts

    def test_key_of_a_revoked_contract_can_move(self, registry):
        registry.accept(make_contract('ivy', 1))
        registry.accept(make_contract('ivy', 2, revoked=True))
        assert refusal(registry, 'ivy') is errors.ErrorKind.NOT_IN_CONTRACT
        registry.accept(make_contract('ivy-gmbh', 1, keys=('ivy',)))
        assert registry.authenticate('ivy').customer == 'ivy-gmbh'

    def test_key_twice_in_one_contract_is_no_conflict(self, registry):
        registry.accept(make_contract('ivy', 1, keys=('ivy', 'ivy')))
        assert registry.authenticate('ivy').customer == 'ivy'
        registry.accept(make_contract('ivy', 2))
        assert not registry.conflicts


class TestOutdated:
    def test_known_version_without_contract_refuses(self, registry):
        registry.accept(make_contract('ivy', 1))
        registry.record_version('ivy', contract_versions.ContractVersion(2))
        assert refusal(registry, 'ivy') is errors.ErrorKind.CONTRACT_OUTDATED
        assert refusal(registry, 'other') is errors.ErrorKind.CONTRACT_OUTDATED
        registry.accept(make_contract('ivy', 2))
        assert registry.authenticate('ivy').revision == 2
        assert refusal(registry, 'other') is errors.ErrorKind.UNAUTHENTICATED

    def test_lower_version_recorded_changes_nothing(self, registry):
        registry.accept(make_contract('ivy', 2))
        registry.record_version('ivy', contract_versions.ContractVersion(1, 9))
        assert registry.authenticate('ivy').revision == 2

    def test_order_under_an_older_revision_is_refused(self):
        registry = contract_registry.ContractRegistry(capacity_contracts=1)
        registry.check_revision('ivy', 2)
        registry.check_revision('ivy', 2)
        registry.check_revision('ivy', 3)
        with pytest.raises(errors.RefusalError) as caught:
            registry.check_revision('ivy', 2)
        assert caught.value.kind is errors.ErrorKind.CONTRACT_OUTDATED
        assert caught.value.outcome is errors.Outcome.NOT_RUN
        assert not caught.value.retry_elsewhere

    def test_revoked_while_queued_is_refused(self):
        registry = contract_registry.ContractRegistry(capacity_contracts=1)
        registry.check_revision('ivy', 1)
        registry.check_revoked('ivy')
        registry.accept(make_contract('ivy', 2, revoked=True))
        with pytest.raises(errors.RefusalError) as caught:
            registry.check_revoked('ivy')
        assert caught.value.kind is errors.ErrorKind.NOT_IN_CONTRACT

    def test_bounded_registry_keeps_versions_of_all(self):
        registry = contract_registry.ContractRegistry(capacity_contracts=1)
        registry.accept(make_contract('ivy', 4))
        registry.accept(make_contract('moss', 5))
        assert len(registry) == 1
        assert registry.revision('ivy') == 4
        assert registry.encoded(('ivy',)) == []
        assert not registry.accept(make_contract('ivy', 4))


_CUSTOMERS = ('ivy', 'moss')
_NODE_COUNT = 3
_SIDECAR = 2
_nodes = strategies.integers(0, _NODE_COUNT - 1)


class NeverReverts(stateful.RuleBasedStateMachine):
    """Publications, old reads, gossip, broken links, restarts in any order.

    Guards against a lower version that replaces a higher one: a revoked
    customer would be served again after an old read, a late message, or a
    restart of the instance that knew the revocation.
    """

    def __init__(self):
        super().__init__()
        entry, sidecar = live_list.Role.ENTRY, live_list.Role.SIDECAR
        self.fleet = contract_fakes.Fleet(entry, entry, sidecar)
        self.history = [dict.fromkeys(_CUSTOMERS)]
        self.revisions = dict.fromkeys(_CUSTOMERS, 0)
        self.lowest_versions = [{} for _ in self.fleet.nodes]
        self.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)

    def teardown(self):
        self.runner.close()

    @stateful.rule(
        customer=strategies.sampled_from(_CUSTOMERS),
        revoked=strategies.booleans(),
        is_race=strategies.booleans(),
        weight=strategies.sampled_from((1.5, 2.5)),
    )
    def publish(self, customer, revoked, is_race, weight):
        if not is_race or not self.revisions[customer]:
            self.revisions[customer] += 1
        found = make_contract(
            customer, self.revisions[customer], revoked=revoked, weight=weight
        )
        self.history.append(self.history[-1] | {customer: found})

    @stateful.rule(node=_nodes, back=strategies.integers(0, 5))
    def read(self, node, back):
        if self.fleet.nodes[node].role is live_list.Role.SIDECAR:
            return
        self._read(self.fleet.nodes[node], back)

    @stateful.rule(
        customer=strategies.sampled_from(_CUSTOMERS),
        revoked=strategies.booleans(),
        entry=strategies.sampled_from((0, 1)),
    )
    def change_that_one_entry_tells_the_sidecar(
        self, customer, revoked, entry
    ):
        self.publish(customer, revoked, is_race=False, weight=1.5)
        self._read(self.fleet.nodes[entry], back=0)
        self._compare(entry, _SIDECAR)

    @stateful.rule(entry=strategies.sampled_from((0, 1)))
    def compare_with_the_sidecar(self, entry):
        self._compare(entry, _SIDECAR)

    @stateful.rule(one=_nodes, other=_nodes)
    def compare(self, one, other):
        if one != other:
            self._compare(one, other)

    @stateful.rule(one=_nodes, other=_nodes)
    def cut_or_heal(self, one, other):
        if one != other:
            self.fleet.broken_links ^= {frozenset((one, other))}

    @stateful.rule(node=_nodes, back=strategies.integers(0, 5))
    def restart(self, node, back):
        restarted = self.fleet.nodes[node]
        restarted.restart()
        self.fleet.list_all()
        self.lowest_versions[node] = {}
        if restarted.role is live_list.Role.ENTRY:
            self._read(restarted, back)
        self.runner.run(restarted.gossip.settle())
        for other in self.fleet.nodes:
            if frozenset((node, other.number)) in self.fleet.broken_links:
                continue
            for customer in _CUSTOMERS:
                assert restarted.registry.versions.version(
                    customer
                ) >= other.registry.versions.version(customer)

    @stateful.invariant()
    def versions_only_rise(self):
        for node, lowest in zip(
            self.fleet.nodes, self.lowest_versions, strict=True
        ):
            for customer in _CUSTOMERS:
                version = node.registry.versions.version(customer)
                assert version >= lowest.get(customer, version)
                lowest[customer] = version

    @stateful.invariant()
    def only_the_highest_seen_is_served(self):
        for node in self.fleet.nodes:
            for customer in _CUSTOMERS:
                try:
                    found = node.registry.authenticate(customer)
                except errors.RefusalError:
                    continue
                assert not found.revoked
                version = contract_versions.version_of(found)
                assert version == node.registry.versions.version(customer)

    @stateful.rule()
    def all_agree_once_healed(self):
        self.fleet.broken_links.clear()
        for _ in range(3):
            for one in range(_NODE_COUNT):
                self._compare(one, (one + 1) % _NODE_COUNT)
        roots = {node.registry.versions.root for node in self.fleet.nodes}
        assert len(roots) == 1

    def _read(self, node, back):
        published = self.history[max(0, len(self.history) - 1 - back)]
        service = contract_fakes.FakeService()
        service.put_shards(a=[c for c in published.values() if c])
        reader = published_contracts.PublishedContracts(
            service, node.registry, node.clock
        )
        self.runner.run(reader.read_once())

    def _compare(self, one, other):
        nodes = self.fleet.nodes
        try:
            self.runner.run(nodes[one].gossip.reconcile(nodes[other].instance))
        except errors.LinkError:
            assert frozenset((one, other)) in self.fleet.broken_links


TestNeverReverts = pytest.mark.proves(
    Promise.CONTRACTS, Fault.TWO_FAULTS, Step.ANY
)(NeverReverts.TestCase)
TestNeverReverts.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
