"""The demo command."""

import asyncio
import io

import pytest
import rich.console

from lacewingpitch import demo_traffic


@pytest.fixture(scope='module')
def text():
    out = io.StringIO()
    console = rich.console.Console(file=out, width=160)
    assert asyncio.run(demo_traffic.run_demo(console)) == 0
    return out.getvalue()


class TestReport:
    def test_shows_the_counts_of_each_customer(self, text):
        rows = _rows(text)
        assert rows['customer'] == ['caravan', 'haneul']
        assert rows['received'] == ['6', '5']
        assert rows['served'] == ['5', '5']
        assert rows['refused'] == ['not-in-contract', '1', '0']

    def test_shows_load_stalls_and_burn(self, text):
        rows = _rows(text)
        caravan, _, _, haneul = rows['load stalls'][:4]
        assert caravan == '4'
        # Two requests for one adapter may share the wait for its load.
        assert haneul in {'3', '4'}
        assert rows['burn: answers served whole'][:2] == ['0.0', 'over']

    def test_states_that_there_are_no_gaps(self, text):
        assert 'No gaps: every known instance was read.' in text

    def test_gives_the_reason_of_the_refusal(self, text):
        text = ' '.join(text.split())
        assert 'not-in-contract (not-run)' in text
        assert "names no adapter 'ficus-care'" in text

    def test_shows_that_a_repeated_request_ran_once(self, text):
        text = ' '.join(text.split())
        assert '200 served (served), then 200 served (served)' in text
        assert 'the same answer' in text
        assert 'the engines ran it 1 time(s): exactly once' in text


def _rows(text):
    """Return the cells of each row by its name, which two spaces end."""
    rows = {}
    for line in text.splitlines():
        name, _, cells = line.strip().partition('  ')
        rows.setdefault(name, cells.split())
    return rows
