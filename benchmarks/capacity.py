"""Measures the costs by size from which docs/CAPACITY.md is calculated.

Run ``make capacity``.  Each row fits cost = intercept + slope x size by
least squares over several sizes of the real classes, and gives the root
mean square residual as a share of the mean cost.  Times are processor time
of one noisy machine, the least of a few runs.
"""

import asyncio
from collections.abc import Sequence
import contextlib
import dataclasses
import datetime
import gc
import itertools
import pathlib
import tempfile
import time
import tracemalloc
import uuid

import aiohttp
import msgspec
import numpy
import psutil
import structlog

from benchmarks import slopes
from benchmarks import virtual_time
from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import account_rows
from lacewingpitch import ballot
from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import contract_gossip
from lacewingpitch import contract_registry
from lacewingpitch import contract_versions
from lacewingpitch import directory
from lacewingpitch import hint as hint_module
from lacewingpitch import leased_limit
from lacewingpitch import ledger
from lacewingpitch import limit_lease
from lacewingpitch import limit_ownership
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import membership
from lacewingpitch import placement
from lacewingpitch import settings
from lacewingpitch import standin_platform
from lacewingpitch import store_pacing
from lacewingpitch import voter
from tests import processes

CONTRACTS = (4_000, 16_000, 36_000)
INSTANCES = (100, 345, 690, 1_035, 1_380)
SIDECARS = (10, 50, 100, 200, 250)
ENTRIES = (12, 24, 48, 95)
MESSAGE_BYTES = (64, 256, 1_024, 4_096, 16_384)
ROWS = (1_000, 2_000, 5_000)
VOTES = (2_500, 5_000, 10_000)
ACTIVE = (250, 500, 1_000, 2_000)
WANTS = (1, 4, 16, 64)
FLEETS = (40, 80, 160)
WAITING_SIDECARS = (1, 16, 64, 256)
QUEUES = (35, 256, 2_000)
SIDECAR_CONTRACTS = 1_024
REGIONS = 4
ZONES = 11
_US_PER_S = slopes.US
_CLOCK_OFFSET_S = 96.0
_PROBE_KEYS = 50
_LOOK_UPS = 2_000
_EXCHANGES = 200
_LOADS_PER_S = 2.9
_SEED = 20261202
_HINT = hint_module.encode_hint(
    hint_module.Hint(
        running=4,
        queued=1,
        max_running=16,
        load_wait_ms=500,
        spare_slots=2,
        adapters=hint_module.encode_fingerprints(map(str, range(8))),
    )
)


class OffsetClock(clock_module.SystemClock):
    """The system clock with its wall time ahead by a fixed offset."""

    offset_s = 0.0

    def wall_s(self):
        return super().wall_s() + self.offset_s


def make_contract(number: int) -> contract_module.Contract:
    """Return a contract with one adapter, as an operator would write it."""
    return contract_module.Contract(
        customer=f'customer-{number:05}',
        revision=1 + number % 7,
        key_digests=(contract_module.digest_key(f'key-{number}'),),
        region=f'region-{number % REGIONS}',
        limits=contract_module.Limits(requests_per_s=5.0 + number % 10),
        adapters=(
            contract_module.AdapterGrant(
                name=f'adapter-{number:05}',
                version=f'v{1 + number % 9}',
                base_model=f'base-{number % 5}',
            ),
        ),
    )


def make_instance(number: int, role: live_list.Role) -> live_list.Instance:
    """Return one listed instance."""
    is_sidecar = role is live_list.Role.SIDECAR
    zone = number % ZONES
    return live_list.Instance(
        name=f'{role.value}-{number:04}',
        role=role,
        region=f'region-{zone % REGIONS}',
        availability_zone=f'zone-{zone:02}',
        ip=f'10.0.{number // 250}.{number % 250 + 1}',
        work_port=18080,
        control_port=18081,
        serves=f'base-{number % 5}' if is_sidecar else '',
        started_at_s=1_796_000_000.0 + number,
        deployment='fleet',
    )


def make_instances(
    count: int, entry_ratio: float = 380 / 1380
) -> tuple[live_list.Instance, ...]:
    """Return a list of entries and sidecars in all zones."""
    entries = round(count * entry_ratio)
    return tuple(
        make_instance(
            number,
            live_list.Role.ENTRY
            if number < entries
            else live_list.Role.SIDECAR,
        )
        for number in range(count)
    )


def encoded_contracts(count: int) -> list[bytes]:
    """Return contracts as they are published."""
    return [
        contract_versions.encode(make_contract(number))
        for number in range(count)
    ]


def make_registry(
    contracts: Sequence[bytes], capacity: int | None = None
) -> contract_registry.ContractRegistry:
    """Return a registry that has accepted these contracts."""
    registry = contract_registry.ContractRegistry(capacity)
    for raw in contracts:
        registry.accept_json(raw, 'bench')
    return registry


def measure_contracts():
    """Measure memory and look-up of contracts at an entry and a sidecar."""
    held, versions, lookups, takes, bytes_sent = [], [], [], [], []
    all_versions = []
    for count in CONTRACTS:
        contracts = encoded_contracts(count)
        started_s = time.process_time()
        registry = make_registry(contracts)
        takes.append((time.process_time() - started_s) * _US_PER_S)
        bytes_sent.append(sum(map(len, contracts)))
        leaves = range(contract_versions.LEAF_COUNT)
        all_versions.append(
            len(msgspec.msgpack.encode(registry.versions.in_leaves(leaves)))
        )
        step = count // _LOOK_UPS
        keys = [f'key-{number}' for number in range(0, count, step)]
        lookups.append(slopes.least_us(len(keys), _look_up, registry, keys))
        del registry
        held.append(slopes.held_bytes(make_registry, contracts))
        versions.append(
            slopes.held_bytes(make_registry, contracts, SIDECAR_CONTRACTS)
        )
    return [
        slopes.Slope('contract held at an entry', 'B', CONTRACTS, held),
        slopes.Slope('version held at a sidecar', 'B', CONTRACTS, versions),
        slopes.Slope('contract as published', 'B', CONTRACTS, bytes_sent),
        slopes.Slope('versions as sent', 'B', CONTRACTS, all_versions),
        slopes.Slope('contract taken over', 'us', CONTRACTS, takes),
        slopes.Slope(
            'look-up of a key, by contracts', 'us', CONTRACTS, lookups
        ),
    ]


def _look_up(
    registry: contract_registry.ContractRegistry, keys: Sequence[str]
) -> None:
    for key in keys:
        found = registry.authenticate(key)
        registry.contract(found.customer)


def measure_membership():
    """Measure bytes, memory and time of the list of instances."""
    sizes_bytes, held, times, filters = [], [], [], []
    for count in INSTANCES:
        raw = encode_list(1, make_instances(count))
        sizes_bytes.append(len(raw))
        held.append(slopes.held_bytes(_make_membership, raw))
        times.append(slopes.least_us(1, _make_membership, raw))
        found = _make_membership(raw)
        models = ['base-1'] * _PROBE_KEYS
        filters.append(
            slopes.least_us(
                _PROBE_KEYS, slopes.for_each, found.sidecars, models
            )
        )
    return [
        slopes.Slope('list, by instances', 'B', INSTANCES, sizes_bytes),
        slopes.Slope('instance held in Membership', 'B', INSTANCES, held),
        slopes.Slope('list decoded and taken over', 'us', INSTANCES, times),
        slopes.Slope(
            'Membership.sidecars, by instances', 'us', INSTANCES, filters
        ),
    ]


def encode_list(
    revision: int, instances: tuple[live_list.Instance, ...]
) -> bytes:
    """Return a list as the platform publishes it."""
    return msgspec.json.encode(live_list.InstanceList(revision, instances))


def _make_membership(raw: bytes) -> membership.Membership:
    found = membership.Membership(clock_module.SystemClock(), 'fleet')
    found.update(live_list.decode_list(raw))
    return found


def measure_ranking():
    """Measure rendezvous hashes, and an entry's whole selection."""
    ranks, votings, choices, requests = [], [], [], []
    for count in SIDECARS:
        members = make_instances(count, 0.0)
        same_region = [
            msgspec.structs.replace(member, region='region-0')
            for member in members
        ]
        keys = [f'adapter-{number:05}@v1' for number in range(_PROBE_KEYS)]
        ranks.append(
            slopes.least_us(
                len(keys),
                slopes.for_each,
                placement.rank_by_hash,
                keys,
                members,
            )
        )
        votings.append(
            slopes.least_us(
                len(keys),
                slopes.for_each,
                _select_voters,
                keys,
                voter.VoterIndex(same_region),
            )
        )
        choice = placement.Placement(clock_module.SystemClock())
        choices.append(
            slopes.least_us(
                len(keys),
                slopes.for_each,
                choice.ranked_instances,
                keys,
                members,
            )
        )
        requests.append(
            slopes.least_us(
                len(keys), slopes.for_each, _select, keys, choice, members
            )
        )
    return [
        slopes.Slope(
            'placement.rank_by_hash, by sidecars', 'us', SIDECARS, ranks
        ),
        slopes.Slope('select_voters, by sidecars', 'us', SIDECARS, votings),
        slopes.Slope(
            'Placement.ranked_instances, by sidecars', 'us', SIDECARS, choices
        ),
        slopes.Slope(
            'the same, with track_request and a hint', 'us', SIDECARS, requests
        ),
    ]


def _select(
    key: str,
    choice: placement.Placement,
    members: tuple[live_list.Instance, ...],
) -> None:
    """Select an instance for a request, and apply the answer's hint."""
    name = choice.ranked_instances(key, members)[0].name
    with choice.track_request(key, name):
        choice.apply_hint_header(name, _HINT)


def _select_voters(key: str, index: voter.VoterIndex) -> voter.VoterSet:
    return index.select_voters('customer', key, 'region-0')


def measure_votes():
    """Measure memory of the table of votes, and time of a vote."""
    members = make_instances(1, 0.0)
    held = [slopes.held_bytes(_fill_voter, members, count) for count in VOTES]
    times = []
    for count in SIDECARS:
        fleet = tuple(
            msgspec.structs.replace(member, region='region-0')
            for member in make_instances(count, 0.0)
        )
        asks = _vote_requests(fleet, _PROBE_KEYS)
        times.append(slopes.least_us(len(asks), _vote_all, fleet, asks))
    return [
        slopes.Slope('vote held in Voter', 'B', VOTES, held),
        slopes.Slope(
            'Voter.vote, one list, by sidecars',
            'us',
            SIDECARS,
            times,
        ),
    ]


def _fill_voter(
    members: tuple[live_list.Instance, ...], count: int
) -> voter.Voter:
    return _vote_all(members, _vote_requests(members, count))


def _vote_all(
    members: tuple[live_list.Instance, ...],
    asks: Sequence[voter.VoteRequest],
) -> voter.Voter:
    ahead = OffsetClock()
    found = voter.Voter(
        members[0].name,
        ahead,
        window_s=600.0,
        skew_s=5.0,
        list_lag_s=60.0,
        list_age_s=lambda: 0.0,
        max_votes=len(asks),
    )
    found.apply_list(members)
    ahead.offset_s = _CLOCK_OFFSET_S
    for ask in asks:
        assert found.vote(ask).verdict is voter.Verdict.GRANTED
    assert len(found) == len(asks)
    return found


def _vote_requests(
    members: tuple[live_list.Instance, ...], count: int
) -> list[voter.VoteRequest]:
    index = voter.VoterIndex(members)
    offset = int(1000 * _CLOCK_OFFSET_S) << 80
    made = [uuid.UUID(processes.new_key()).int for _ in range(count)]
    keys = [str(uuid.UUID(int=number + offset)) for number in made]
    found = []
    for key in keys:
        voters = index.select_voters('customer-0001', key, 'region-0')
        found.append(
            voter.VoteRequest(
                customer='customer-0001',
                key=key,
                region='region-0',
                claim_id=ballot.Ballot(voters).claim_id,
                holder=members[0].name,
                digest='0' * 32,
                voters=tuple(voters.names),
                quorum=voters.quorum,
            )
        )
    return found


def measure_ledger():
    """Measure memory and time of a sidecar's record of attempts."""
    held = [slopes.held_bytes(_fill_ledger, count) for count in VOTES]
    times = [slopes.least_us(1, _fill_ledger, count) for count in VOTES]
    return [
        slopes.Slope('attempt held in RunLedger', 'B', VOTES, held),
        slopes.Slope('attempt admitted, started, closed', 'us', VOTES, times),
    ]


def _fill_ledger(count: int) -> ledger.RunLedger:
    found = ledger.RunLedger(clock_module.SystemClock())
    for _ in range(count):
        attempt = f'{processes.new_key()}.1'
        found.admit(attempt)
        found.start(attempt)
        found.close(attempt)
    return found


def count_answer(account: account_module.Account, number: int) -> None:
    """Account for one streamed answer of a customer."""
    customer = make_contract(number)
    with account.track_request('id') as tally:
        account.identify(tally, customer)
        tally.record_load_stall('0.25')
        for _ in range(20):
            tally.record_events(1)
        tally.record_delivery()


def make_row() -> account_rows.Row:
    """Return the row of a customer with a few answers."""
    account = _account(1, 6)
    return dict(account.rows.row('customer-00000'))


def _account(customers: int, answers: int) -> account_module.Account:
    account = account_module.Account(
        account_module.AccountId('entry-1', 'i', 'zone-1', 0.0),
        clock_module.SystemClock(),
    )
    for _ in range(answers):
        for number in range(customers):
            count_answer(account, number)
    return account


def measure_account():
    """Measure rows of the account, active and packed, and copied deltas."""
    row = make_row()
    active = [slopes.held_bytes(_rows, row, count, 0) for count in ROWS]
    packed = [slopes.held_bytes(_rows, row, count, 3) for count in ROWS]
    account_id = account_module.AccountId('entry-1', 'i', 'zone-1', 0.0)
    head = account_copy.AccountHead(account_id=account_id)
    counts = (1, 8, 32, 64)
    messages = [
        account_copy.make_copy(head, _deltas(row, count)) for count in counts
    ]
    sizes = [len(msgspec.msgpack.encode(message)) for message in messages]
    times = [
        slopes.least_us(1, _merge, message, account_id) for message in messages
    ]
    return [
        slopes.Slope('account row, active', 'B', ROWS, active),
        slopes.Slope('account row, packed', 'B', ROWS, packed),
        slopes.Slope('delta of a customer in a copy', 'B', counts, sizes),
        slopes.Slope('delta merged by a holder', 'us', counts, times),
    ]


def _deltas(row: account_rows.Row, count: int) -> dict[str, account_rows.Row]:
    random = numpy.random.default_rng(_SEED)
    customers = random.choice(CONTRACTS[-1], size=count, replace=False)
    return {
        f'customer-{number:05}': {
            counter: int(random.zipf(1.3)) % 50_000
            for counter in random.permutation(list(row)).tolist()[:12]
        }
        for number in customers
    }


def _rows(
    row: account_rows.Row, count: int, sweeps: int
) -> account_rows.RowTable:
    table = account_rows.RowTable()
    for number in range(count):
        table.writable_row(f'customer-{number:05}').update(row)
    now_s = clock_module.SystemClock().wall_s()
    for _ in range(sweeps * 2):
        table.sweep(count + 1, now_s)
    return table


def _merge(
    message: account_copy.AccountCopy, account_id: account_module.AccountId
) -> None:
    account_copy.HeldAccount(account_id).merge(message)


def measure_limits():
    """Measure leases at holder and owner, and the bytes of an exchange."""
    leased = [slopes.held_bytes(_leased_limits, count) for count in ACTIVE]
    owning = []
    for count in ACTIVE:
        contracts = {c.customer: c for c in map(make_contract, range(count))}
        owning.append(slopes.held_bytes(_owner, contracts, 5))
    times, sizes = [], []
    signer = link.MessageSigner('fleet', 'secret', 'entry-0001')
    for count in WANTS:
        contracts = {c.customer: c for c in map(make_contract, range(count))}
        owner = _owner(contracts, 1)
        held = _leased_limits(count)
        numbers = itertools.count(2)
        reply = owner.grant(_ask(held, 'entry-0001', 1))
        ask = _ask(held, 'entry-0001', next(numbers))
        size = len(signer.sign_short(ask)) + len(signer.sign_short(reply))
        sizes.append(size)
        times.append(
            slopes.least_us(1, _exchange_leases, signer, owner, held, numbers)
        )
    owners = []
    for count in ENTRIES:
        ownership = _ownership(count)
        keys = [f'customer-{number:05}' for number in range(_PROBE_KEYS)]
        owners.append(
            slopes.least_us(
                len(keys), slopes.for_each, ownership.owner, keys, 'region-0'
            )
        )
    return [
        slopes.Slope('customer held in LeasedLimit', 'B', ACTIVE, leased),
        slopes.Slope('customer owned, of 5 holders', 'B', ACTIVE, owning),
        slopes.Slope('exchange of leases, by customers', 'B', WANTS, sizes),
        slopes.Slope('the same, without the link', 'us', WANTS, times),
        slopes.Slope('owner of a customer, by entries', 'us', ENTRIES, owners),
    ]


class _Contracts:
    def __init__(self, contracts: dict[str, contract_module.Contract]):
        self.contract = contracts.get


def _ownership(count: int) -> limit_ownership.LimitOwnership:
    ownership = limit_ownership.LimitOwnership(
        clock_module.SystemClock(), 'entry-0000', 'region-0'
    )
    ownership.update(
        1,
        [
            msgspec.structs.replace(instance, region='region-0')
            for instance in make_instances(count, 1.0)
        ],
    )
    return ownership


def _leased_limits(count: int) -> list[leased_limit.LeasedLimit]:
    clock = clock_module.SystemClock()
    return [
        leased_limit.LeasedLimit(clock, make_contract(number), 95)
        for number in range(count)
    ]


def _ask(
    held: Sequence[leased_limit.LeasedLimit], holder: str, sequence: int
) -> limit_lease.LeaseAsk:
    wants = tuple(leased.want(1, 300.0) for leased in held)
    return limit_lease.LeaseAsk(
        holder=holder,
        incarnation='a1b2c3d4',
        sequence=sequence,
        wants=wants,
        reads_order=True,
    )


def _owner(
    contracts: dict[str, contract_module.Contract], holders: int
) -> limit_lease.LimitOwner:
    clock = clock_module.SystemClock()
    ownership = limit_ownership.LimitOwnership(clock, 'entry-0000', 'region-0')
    ownership.update(1, [make_instance(0, live_list.Role.ENTRY)])
    owner = limit_lease.LimitOwner(clock, ownership, _Contracts(contracts))
    wants = tuple(
        limit_lease.LeaseWant(customer, 1.0, 300.0, 1, 1)
        for customer in contracts
    )
    for number in range(holders):
        owner.grant(
            limit_lease.LeaseAsk(
                holder=f'entry-{number:04}',
                incarnation='a1b2c3d4',
                sequence=0,
                wants=wants,
            )
        )
    assert len(owner) == len(contracts)
    return owner


def _exchange_leases(signer, owner, held, numbers) -> None:
    asked_s = clock_module.SystemClock().monotonic_s()
    data = signer.sign_short(_ask(held, 'entry-0001', next(numbers)))
    ask = signer.verify(data).decode(limit_lease.LeaseAsk)
    data = signer.sign_short(owner.grant(ask))
    reply = signer.verify(data).decode(limit_lease.LeaseReply)
    for leased, part in zip(held, reply.parts, strict=True):
        leased.apply(part, asked_s)


class Ping(link.Message, frozen=True):
    """A message of a given size."""

    data: bytes


async def measure_link():
    """Measure a request and its reply over pynng, with both ends here."""
    signer = link.MessageSigner('fleet', 'secret', 'entry-0001')
    server = link.ControlServer(signer)

    async def echo(message):
        return message

    server.handle(Ping, echo)
    times = []
    async with contextlib.AsyncExitStack() as exits:
        await server.start('127.0.0.1', 0)
        exits.push_async_callback(server.close)
        peer = link.Peer(signer, '127.0.0.1', server.port)
        exits.callback(peer.close)
        # Sizes alternate, since the speed of the machine changes with time.
        found = [
            [await _exchange_us(peer, size) for size in MESSAGE_BYTES]
            for _ in range(2 * slopes.REPEATS)
        ]
        times.extend(map(min, zip(*found, strict=True)))
    return [
        slopes.Slope(
            'exchange over pynng, both ends, by bytes each way',
            'us',
            MESSAGE_BYTES,
            times,
        )
    ]


async def _exchange_us(peer: link.Peer, size: int) -> float:
    message = Ping(data=b'x' * size)
    started_s = time.process_time()
    for _ in range(_EXCHANGES):
        await peer.ask(message, Ping, 5.0)
    return (time.process_time() - started_s) / _EXCHANGES * _US_PER_S


async def measure_watch():
    """Measure watches of the live list over HTTP.

    The cost of the platform's stand-in is included.
    """
    idle, taken = [], []
    platform = standin_platform.StandinPlatform()
    async with contextlib.AsyncExitStack() as exits:
        await platform.start('127.0.0.1')
        exits.push_async_callback(platform.close)
        session = await exits.enter_async_context(aiohttp.ClientSession())
        url = f'http://127.0.0.1:{platform.port}'
        source = live_list.HttpLiveList(session, url)
        for count in INSTANCES:
            await platform.publish_instances(make_instances(count))
            found = await source.watch(0, 0.0)
            idle.append(await _watch_us(source, found.revision))
            taken.append(await _watch_us(source, 0))
    return [
        slopes.Slope(
            'idle watch, both ends, by instances', 'us', INSTANCES, idle
        ),
        slopes.Slope(
            'list read, both ends, by instances', 'us', INSTANCES, taken
        ),
    ]


async def _watch_us(source: live_list.HttpLiveList, after: int) -> float:
    count = 10
    found = []
    for _ in range(slopes.REPEATS):
        started_s = time.process_time()
        for _ in range(count):
            await source.watch(after, 0.0)
        found.append(time.process_time() - started_s)
    return min(found) / count * _US_PER_S


async def measure_directory():
    """Measure the directory entries of adapters at their home."""
    counts = (500, 1_000, 4_000, 8_000)
    held, times = [], []
    for count in counts:
        home = directory.Directory(clock_module.SystemClock())
        gc.collect()
        tracemalloc.start()
        await _locate(home, count)
        held.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        started_s = time.process_time()
        await _locate(home, count)
        times.append((time.process_time() - started_s) * _US_PER_S)
    return [
        slopes.Slope('adapter at its home', 'B', counts, held),
        slopes.Slope(
            'question to a home, without the link', 'us', counts, times
        ),
    ]


async def _locate(home: directory.Directory, count: int) -> None:
    proposals = ('sidecar-0001', 'sidecar-0002')
    for number in range(count):
        await home.locate(
            directory.LocateRequest(
                key=f'adapter-{number:05}@v1', wanted=1, proposals=proposals
            )
        )


class _Wire:
    """Counts the messages of contract gossip, without a network."""

    def __init__(self) -> None:
        self.signer = link.MessageSigner('fleet', 'secret', 'entry-0001')
        self.answers: dict[tuple[str, str], object] = {}
        self.sent_bytes = 0
        self.sent_count = 0

    def peer(self, ip, port):
        return _WirePeer(self, ip)


@dataclasses.dataclass(frozen=True)
class _WirePeer:
    wire: _Wire
    ip: str

    async def ask(self, message, kind, timeout_s):
        await asyncio.sleep(0)
        wire = self.wire
        reply = await wire.answers[self.ip, type(message).__name__](message)
        wire.sent_count += 1
        wire.sent_bytes += len(wire.signer.sign_short(message))
        wire.sent_bytes += len(wire.signer.sign_short(reply))
        return reply


@dataclasses.dataclass(frozen=True)
class _Port:
    wire: _Wire
    ip: str

    def handle(self, kind, handler):
        self.wire.answers[self.ip, kind.__name__] = handler


async def measure_gossip():
    """Measure messages of a round and of a change, by the fleet's size."""
    rounds, round_bytes, changes, change_bytes, spread_s = [], [], [], [], []
    raw = encoded_contracts(100)
    for count in FLEETS:
        wire = _Wire()
        members = _make_membership(encode_list(1, make_instances(count)))
        gossips, registries = [], []
        for number, instance in enumerate(members.instances):
            registry = make_registry(raw)
            gossip = contract_gossip.ContractGossip(
                registry,
                members,
                wire,
                clock_module.SystemClock(),
                instance.name,
                seed=number,
            )
            gossip.register(_Port(wire, instance.ip))
            gossips.append(gossip)
            registries.append(registry)
        async with asyncio.TaskGroup() as tasks:
            running = [tasks.create_task(g.run()) for g in gossips]
            await asyncio.gather(*(g.wait_until_settled() for g in gossips))
            began = wire.sent_count, wire.sent_bytes
            began_s = time.monotonic()
            await asyncio.sleep(2.0)
            passed_s = time.monotonic() - began_s
            rounds.append((wire.sent_count - began[0]) / passed_s / count)
            round_bytes.append((wire.sent_bytes - began[1]) / passed_s / count)
            began = wire.sent_count, wire.sent_bytes
            began_s = time.monotonic()
            registries[0].accept(
                msgspec.structs.replace(make_contract(5), revision=99)
            )
            while any(b.revision('customer-00005') < 99 for b in registries):
                await asyncio.sleep(0.005)
            passed_s = time.monotonic() - began_s
            await asyncio.sleep(0.05)
            spread_s.append(passed_s * 1000)
            changes.append((wire.sent_count - began[0]) / count)
            change_bytes.append((wire.sent_bytes - began[1]) / count)
            for task in running:
                task.cancel()
    return [
        slopes.Slope('gossip, exchanges/s a process', '', FLEETS, rounds),
        slopes.Slope('gossip, bytes/s a process', 'B', FLEETS, round_bytes),
        slopes.Slope('a change, exchanges a process', '', FLEETS, changes),
        slopes.Slope('a change, bytes a process', 'B', FLEETS, change_bytes),
        slopes.Slope('a change, until all have it', 'ms', FLEETS, spread_s),
    ]


async def measure_permits():
    """Measure store permits at their issuer, by waiting sidecars."""
    held, times = [], []
    for count in WAITING_SIDECARS:
        held.append(slopes.held_bytes(_make_issuer, count))
        issuer = _make_issuer(count)
        asks = [_permit(number) for number in range(count)]
        repeats = max(1, _PROBE_KEYS // count)
        work = [a for _ in range(repeats) for a in asks]
        times.append(
            slopes.least_us(len(work), slopes.for_each, issuer.ask, work)
        )
        issuer.close()
    return [
        slopes.Slope(
            'request for a permit, held', 'B', WAITING_SIDECARS, held
        ),
        slopes.Slope(
            'request for a permit, by those waiting',
            'us',
            WAITING_SIDECARS,
            times,
        ),
    ]


class _PermitQueue:
    """A permit issuer with its requesters in virtual time.

    It counts the requests.
    """

    def __init__(self, store: settings.StoreSettings) -> None:
        self.clock = virtual_time.LoopClock()
        self.store = store
        self.request_count = 0
        self.issuer = store_pacing.PermitIssuer(
            self.clock, store, self._notify
        )
        self._pacers: dict[str, store_pacing.StorePacer] = {}

    async def load(self, requester: str) -> None:
        """Wait for a permit, and hold it for 0.9 of one load's time."""
        pacer = store_pacing.StorePacer(
            self.clock, self.store, self, requester
        )
        self._pacers[requester] = pacer
        async with pacer.permit(lambda: 1.0):
            await asyncio.sleep(0.9 / self.store.loads_per_s)

    async def ask(self, request):
        self.request_count += 1
        return self.issuer.ask(request)

    async def release(self, message):
        self.issuer.release(message.permit_id)

    def sidecar_count(self):
        return len(self._pacers)

    def _notify(self, requester, grant):
        self._pacers[requester].apply_grant(grant)


async def _drain(count: int) -> tuple[float, float]:
    store = settings.StoreSettings(loads_per_s=_LOADS_PER_S, loads_at_once=1)
    queue = _PermitQueue(store)
    started_s = queue.clock.monotonic_s()
    await asyncio.gather(
        *(queue.load(f'sidecar-{number:04}') for number in range(count))
    )
    passed_s = queue.clock.monotonic_s() - started_s
    return queue.request_count / passed_s, queue.request_count / count


def show_queues() -> None:
    """Print the rate of permit requests while a queue of loads drains."""
    for count in QUEUES:
        asks_per_s, asks = virtual_time.run(_drain(count))
        print(
            f'{count} loads wait at once, {_LOADS_PER_S} loads/s:'
            f' {asks_per_s:.1f} asks/s, {asks:.1f} a load'
        )


def _permit(number: int) -> store_pacing.PermitRequest:
    return store_pacing.PermitRequest(
        permit_id=f'sidecar-{number:04}/12345678/{number}',
        asker=f'sidecar-{number:04}',
    )


def _make_issuer(count: int) -> store_pacing.PermitIssuer:
    issuer = store_pacing.PermitIssuer(
        clock_module.SystemClock(),
        settings.StoreSettings(),
        lambda requester, grant: None,
    )
    for number in range(count):
        issuer.ask(_permit(number))
    return issuer


def show_messages() -> None:
    """Print the bytes of signed control messages with their replies."""
    names = tuple(f'sidecar-{number:04}' for number in range(8))
    permit = _permit(1)
    permit_id = permit.permit_id
    table = contract_versions.VersionTable()
    digest = contract_gossip.DigestReply(root=1, leaves=table.leaves())
    placed = directory.LocateReply(instances=names[:1])
    vote = voter.VoteRequest(
        customer='customer-0001',
        key=processes.new_key(),
        region='region-0',
        claim_id=ballot.Ballot(voter.VoterSet(())).claim_id,
        holder=names[0],
        digest='0' * 32,
        voters=names[:5],
        quorum=4,
    )
    messages = {
        'a vote': (vote, voter.VoteReply(verdict=voter.Verdict.GRANTED)),
        'a question to a home': (_question(names[:2]), placed),
        'one that tells of parked ones': (
            _question(names[:2], directory.retention_priority(names[0])),
            placed,
        ),
        'one that names 6 more': (_question(names), placed),
        'a request for a permit': (
            permit,
            store_pacing.PermitReply(granted=True),
        ),
        'a grant or return': (
            store_pacing.PermitGrant(permit_id=permit_id),
            store_pacing.PermitAck(),
        ),
        'hashes of the leaves': (digest,),
    }
    signer = link.MessageSigner('fleet', 'secret', 'sidecar-0001')
    for name, parts in messages.items():
        size_bytes = sum(len(signer.sign_short(part)) for part in parts)
        print(f'{name}: {size_bytes:,} bytes')


def _question(
    proposals: tuple[str, ...], parked_below: int = 0
) -> directory.LocateRequest:
    return directory.LocateRequest(
        key='adapter-00001@v1',
        wanted=1,
        proposals=proposals,
        parked_below=parked_below,
    )


async def show_processes() -> None:
    """Print the memory of idle real processes."""
    with tempfile.TemporaryDirectory() as folder:
        async with processes.Deployment(pathlib.Path(folder)) as deployment:
            await deployment.add_engine()
            entry = await deployment.add_entry()
            deployment.add_customer('haneul', 'ficus')
            await deployment.publish()
            sidecar = deployment.sidecars[0]
            for name, process in (('entry', entry), ('sidecar', sidecar)):
                found = psutil.Process(process._process.pid)
                rss_mb = found.memory_info().rss / 1e6
                print(f'a real {name} without load: {rss_mb:.0f} MB')


async def main() -> None:
    """Print all results."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    started_s = time.monotonic()
    print(datetime.datetime.now(datetime.timezone.utc).date().isoformat())
    print(
        '| subject | sizes | slope | intercept | residual | at the largest |'
    )
    print('| --- | --- | --- | --- | --- | --- |')
    for measure in (
        measure_contracts,
        measure_membership,
        measure_ranking,
        measure_votes,
        measure_ledger,
        measure_account,
        measure_limits,
    ):
        slopes.show(measure())
    for measure_async in (
        measure_link,
        measure_watch,
        measure_directory,
        measure_gossip,
        measure_permits,
    ):
        slopes.show(await measure_async())
    show_messages()
    await asyncio.to_thread(show_queues)
    await show_processes()
    print(f'{time.monotonic() - started_s:.0f} s in all')


if __name__ == '__main__':
    asyncio.run(main())
