"""Contents of reports, their stated gaps, and access to them."""

import base64

import aiohttp
import pytest

from lacewingpitch import account_copy
from lacewingpitch import account_counters
from lacewingpitch import account_query
from lacewingpitch import contract
from lacewingpitch import errors
from lacewingpitch import http_server
from lacewingpitch import report as report_module
from lacewingpitch import report_gaps
from lacewingpitch import report_page
from lacewingpitch import report_server
from lacewingpitch import report_text
from tests import account_fleet
from tests import fault_matrix

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step


def served(report):
    return {s.customer: s.served_count for s in report.services}


class TestAssemble:
    async def test_adds_up_all_entries(self):
        fleet = account_fleet.Fleet()
        for entry in fleet.entries.values():
            entry.serve('haneul', 2)
        fleet.entries['entry-1'].serve('caravan')
        await fleet.copy_rounds(3)
        report = await fleet.entries['entry-0'].reporter.assemble()
        assert served(report) == {'caravan': 1, 'haneul': 6}
        assert not report.gaps

    async def test_reads_more_rows_than_a_page_holds(self):
        fleet = account_fleet.Fleet(2)
        names = [f'c{n}' for n in range(2 * account_query.MAX_PAGE_ROWS + 7)]
        for name in names:
            fleet.entries['entry-1'].serve(name)
        report = await fleet.entries['entry-0'].reporter.assemble()
        assert served(report) == dict.fromkeys(names, 1)

    @pytest.mark.proves(Promise.ACCOUNT, Fault.KILLED, Step.ANY)
    async def test_account_outlives_every_holder_in_turn(self):
        """An account is lost after its instance, without a stated gap.

        An entry is lost, and then every other entry is replaced, one
        after another; on an ordinary day 89 are.  This happens if copies
        are not renewed once their owner is gone.
        """
        fleet = account_fleet.Fleet(4)
        fleet.entries['entry-0'].serve('haneul', 5)
        await fleet.copy_rounds(2)
        fleet.kill('entry-0')
        fleet.unlist('entry-0')
        for number in (1, 2, 3):
            fleet.kill(f'entry-{number}')
            fleet.add(f'entry-{number}')
            await fleet.copy_rounds(12)
        report = await fleet.entries['entry-1'].reporter.assemble()
        assert served(report) == {'haneul': 5}

    async def test_restarted_holder_gets_a_full_sync(self):
        fleet = account_fleet.Fleet(3)
        fleet.entries['entry-0'].serve('haneul', 5)
        await fleet.copy_rounds(2)
        fleet.kill('entry-0')
        fleet.unlist('entry-0')
        await fleet.copy_rounds(2)
        fleet.kill('entry-1')
        fleet.add('entry-1')
        await fleet.copy_rounds(8)
        held = [
            h
            for h in fleet.entries['entry-1'].holder.accounts
            if h.account_id.instance == 'entry-0'
        ]
        assert len(held) == 1
        assert held[0].complete_until_s

    async def test_late_copy_of_an_ended_instance_reaches_both_holders(self):
        fleet = account_fleet.Fleet(3)
        owner = fleet.entries['entry-0']
        owner.serve('haneul')
        await fleet.copy_rounds(2)
        fleet.kill('entry-0')
        fleet.unlist('entry-0')
        await fleet.copy_rounds(4)
        owner.serve('haneul')
        late = account_copy.make_copy(
            owner.copier.own_head(),
            {'haneul': dict(owner.account.rows.row('haneul'))},
        )
        await fleet.entries['entry-1'].holder.merge(late)
        await fleet.copy_rounds(4)
        held = fleet.entries['entry-2'].holder.account(
            owner.account.account_id
        )
        counter = account_counters.Counter.SERVED
        assert held.rows.row('haneul')[counter] == 2


class TestGaps:
    @pytest.mark.proves(Promise.ACCOUNT, Fault.FROZEN, Step.ANY)
    async def test_unreached_instance_is_read_from_a_copy(self):
        fleet = account_fleet.Fleet()
        fleet.entries['entry-2'].serve('haneul', 3)
        await fleet.copy_rounds(2)
        copied_at_s = fleet.clock.now_s
        fleet.cut_off.add('entry-2')
        fleet.entries['entry-2'].serve('haneul')
        fleet.clock.now_s += 7
        report = await fleet.entries['entry-0'].reporter.assemble()
        assert served(report) == {'haneul': 3}
        (gap,) = report.gaps
        assert gap.instance == 'entry-2'
        assert gap.from_s == copied_at_s
        assert gap.to_s == fleet.clock.now_s

    @pytest.mark.proves(Promise.ACCOUNT, Fault.PARTITION, Step.ANY)
    async def test_partition_names_the_whole_other_side(self):
        """Each side's report shows half of the answers as complete.

        Two of four entries are partitioned from the others, and both
        sides keep serving.  This happens if a report does not state
        which instances it could not read.
        """
        fleet = account_fleet.Fleet(4)
        await fleet.copy_rounds(2)
        fleet.cut_off |= {'entry-2', 'entry-3'}
        for entry in fleet.entries.values():
            entry.serve('haneul')
        report = await fleet.entries['entry-0'].reporter.assemble()
        assert served(report)['haneul'] == 2
        assert {g.instance for g in report.gaps} == {'entry-2', 'entry-3'}
        fleet.cut_off.clear()
        report = await fleet.entries['entry-0'].reporter.assemble()
        assert served(report)['haneul'] == 4
        assert not report.gaps

    async def test_listed_instance_without_any_copy(self):
        fleet = account_fleet.Fleet()
        fleet.kill('entry-2').serve('haneul')
        report = await fleet.entries['entry-0'].reporter.assemble()
        (gap,) = report.gaps
        assert 'no copy' in gap.reason
        assert gap.from_s == fleet.listed['entry-2'].started_at_s

    async def test_instance_that_left_the_list_without_any_copy(self):
        fleet = account_fleet.Fleet()
        for entry in fleet.entries.values():
            entry.copier._record_departed()
        fleet.kill('entry-2').serve('haneul')
        fleet.unlist('entry-2')
        await fleet.copy_rounds()
        report = await fleet.entries['entry-0'].reporter.assemble()
        (gap,) = report.gaps
        assert gap.instance == 'entry-2'
        assert gap.to_s == fleet.clock.now_s

    async def test_restarted_instance_until_its_successor(self):
        fleet = account_fleet.Fleet()
        fleet.entries['entry-2'].serve('haneul', 3)
        await fleet.copy_rounds(2)
        copied_at_s = fleet.clock.now_s
        fleet.kill('entry-2').serve('haneul')
        fleet.clock.now_s += 5
        fleet.add('entry-2').serve('haneul')
        report = await fleet.entries['entry-0'].reporter.assemble()
        assert served(report) == {'haneul': 4}
        (gap,) = report.gaps
        assert (gap.from_s, gap.to_s) == (copied_at_s, fleet.clock.now_s)

    @pytest.mark.proves(Promise.ACCOUNT, Fault.NONE, Step.DRAINING)
    async def test_graceful_end_leaves_no_gap(self):
        fleet = account_fleet.Fleet()
        entry = fleet.entries['entry-2']
        entry.serve('haneul', 3)
        entry.copier.start()
        await entry.copier.close(5.0)
        fleet.kill('entry-2')
        fleet.unlist('entry-2')
        report = await fleet.entries['entry-0'].reporter.assemble()
        assert served(report) == {'haneul': 3}
        assert not report.gaps

    async def test_copy_during_full_sync_is_stated_as_partial(self):
        fleet = account_fleet.Fleet()
        for number in range(900):
            fleet.entries['entry-2'].serve(f'customer-{number}')
        await fleet.copy_rounds()
        fleet.kill('entry-2')
        report = await fleet.entries['entry-0'].reporter.assemble()
        (gap,) = report.gaps
        assert 'only part' in gap.reason
        assert gap.from_s == fleet.listed['entry-2'].started_at_s


class TestOneCustomer:
    async def test_holds_no_other_customers_data(self):
        fleet = account_fleet.Fleet()
        for entry in fleet.entries.values():
            entry.serve('haneul', 2)
            entry.serve('caravan', 5)
        await fleet.copy_rounds(2)
        fleet.kill('entry-2')
        report = await fleet.entries['entry-0'].reporter.assemble('haneul')
        assert served(report) == {'haneul': 6}
        assert 'caravan' not in report_page.render(report)
        assert all(s.unended_count == 0 for s in report.sources)


class TestPage:
    async def test_loads_no_external_resources(self):
        fleet = account_fleet.Fleet()
        for entry in fleet.entries.values():
            with entry.account.track_request('id') as tally:
                entry.account.identify(tally, fleet.contract('haneul'))
                for _ in range(4):
                    tally.record_events(1)
                tally.record_delivery()
        page = report_page.render(
            await fleet.entries['entry-0'].reporter.assemble()
        )
        assert '<svg' in page
        assert '<script' not in page
        for name in ('src=', 'href="http', '@import', 'url(http'):
            assert name not in page

    async def test_axis_labels_have_no_exponents(self):
        """The axis of a plot of slow answers has labels as '6.55e+04'."""
        fleet = account_fleet.Fleet(1)
        entry = fleet.entries['entry-0']
        with entry.account.track_request('id') as tally:
            entry.account.identify(tally, fleet.contract('haneul'))
            fleet.clock.now_s += 60.0
            tally.record_events(1)
            tally.record_delivery()
        page = report_page.render(await entry.reporter.assemble())
        assert '>65536<' in page
        assert 'e+' not in page

    async def test_shows_gaps_before_tables(self):
        fleet = account_fleet.Fleet()
        fleet.entries['entry-0'].serve('haneul')
        fleet.kill('entry-2')
        page = report_page.render(
            await fleet.entries['entry-0'].reporter.assemble()
        )
        assert page.index('entry-2') < page.index('<table')


KEY = 'key-of-haneul'
TOKEN = 'token-of-operators'


class TestAccess:
    @pytest.fixture
    async def ask(self):
        fleet = account_fleet.Fleet()
        for customer, key in (('haneul', KEY), ('caravan', 'other')):
            fleet.registry.accept(
                contract.Contract(
                    customer=customer,
                    revision=1,
                    key_digests=(contract.digest_key(key),),
                )
            )
        server = http_server.HttpServer(1 << 20)
        self.server = report_server.ReportServer(
            fleet.entries['entry-0'].reporter,
            fleet.registry,
            contract.digest_key(TOKEN),
            fleet.clock,
        )
        self.server.add_routes(server)
        await server.start('127.0.0.1', 0)
        self.url = f'http://127.0.0.1:{server.port}'

        async def status(path, authorization):
            headers = {'Authorization': authorization}
            async with (
                aiohttp.ClientSession() as session,
                session.get(self.url + path, headers=headers) as response,
            ):
                return response.status

        yield status
        await server.close()

    @pytest.mark.parametrize(
        ('path', 'token', 'status'),
        [
            ('/report', TOKEN, 200),
            ('/report', KEY, 401),
            ('/report', '', 401),
            ('/report', 'wrong', 401),
            ('/report/customers/haneul', KEY, 200),
            ('/report/customers/haneul', TOKEN, 200),
            ('/report/customers/caravan', KEY, 401),
            ('/report/customers/caravan', 'wrong', 401),
            ('/report/customers/nobody', TOKEN, 404),
            ('/report/customers/nobody', KEY, 401),
        ],
    )
    async def test_by_token(self, ask, path, token, status):
        assert await ask(path, f'Bearer {token}') == status

    @pytest.mark.parametrize(
        ('customer', 'token', 'reason'),
        [
            (None, 'wrong', '401: the token is neither'),
            ('caravan', KEY, '401: the token is neither'),
            ('nobody', TOKEN, '404: .* has no contract'),
        ],
    )
    async def test_fetch_states_the_reason_of_a_refusal(
        self, ask, customer, token, reason
    ):
        with pytest.raises(errors.PlatformError, match=reason):
            await report_module.fetch(self.url, customer, token)

    @pytest.mark.parametrize(
        ('url', 'reason'),
        [
            ('127.0.0.1:1', 'Expected a URL such as http'),
            ('http://127.0.0.1:1', 'Cannot connect to host 127.0.0.1:1'),
        ],
    )
    async def test_fetch_states_what_is_unreachable(self, url, reason):
        with pytest.raises(errors.PlatformError, match=reason):
            await report_module.fetch(url, None, TOKEN)

    async def test_browser_gives_the_token_as_password(self, ask):
        credentials = base64.b64encode(f'anyone:{TOKEN}'.encode()).decode()
        assert await ask('/report', f'Basic {credentials}') == 200
        assert await ask('/report', 'Basic !!') == 401

    async def test_without_a_digest_no_operators_page(self, ask):
        self.server._operator_token_digest = None
        assert await ask('/report', f'Bearer {TOKEN}') == 401
        assert await ask('/report', 'Bearer ') == 401

    async def test_repeated_requests_share_a_cached_report(self, ask):
        assembled = []
        reporter = self.server._reporter
        assemble = reporter.assemble

        async def record_assembly(customer=None, limit=None):
            assembled.append(customer)
            return await assemble(customer, limit)

        reporter.assemble = record_assembly
        for _ in range(5):
            await ask('/report', f'Bearer {TOKEN}')
        assert assembled == [None]


class TestGapText:
    def test_names_instance_from_and_to(self):
        gap = report_gaps.Gap(
            instance='entry-2',
            availability_zone='zone-a',
            from_s=0.0,
            to_s=None,
            reason='not reached',
        )
        text = report_text.describe_gap(gap)
        assert 'entry-2' in text
        assert '1970-01-01 00:00:00 UTC' in text
        assert 'an unknown time' in text
