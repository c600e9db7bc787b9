"""The demo that a newcomer runs first."""

import io

import rich.console

from lacewingpitch import demo


async def report():
    out = io.StringIO()
    console = rich.console.Console(file=out, width=100)
    assert await demo.run_demo(console) == 0
    return out.getvalue()


class TestReport:
    async def test_says_customer_by_customer_who_got_what(self):
        text = await report()
        rows = {line.split()[0]: line.split()[1:4] for line in _rows(text)}
        assert rows['haneul'] == ['3', '2', '0']
        assert rows['caravan'] == ['2', '2', '1']

    async def test_gives_the_reason_of_the_refusal(self):
        text = ' '.join((await report()).split())
        assert 'not-in-contract (not-run)' in text
        assert "names no adapter 'ficus-care'" in text

    async def test_counts_at_the_engines_what_was_sent_twice(self):
        text = ' '.join((await report()).split())
        assert 'Sent twice with one key' in text
        assert 'The engines ran it' in text


def _rows(text):
    return [
        line.strip()
        for line in text.splitlines()
        if line.strip().startswith(('haneul ', 'caravan '))
    ]
