"""Tests of the link to sidecars that keep a connection and do not answer."""

import asyncio

import pytest

from lacewingpitch import errors
from lacewingpitch import ledger
from lacewingpitch import sidecar_link
from tests import fake_sidecars

State = ledger.RunState
bench = fake_sidecars.bench


@pytest.fixture(autouse=True)
def _short_poll_delay(monkeypatch):
    monkeypatch.setattr(sidecar_link, '_FIRST_POLL_DELAY_S', 0.05)


async def start_held_request(bench, **fields):
    """Start a request; return its task and the sidecar that holds it."""
    for sidecar in bench.sidecars:
        bench.hold(sidecar)
    request = asyncio.create_task(bench.send(**fields))
    await until(lambda: bench.calls == 1)
    held = bench.first_called_sidecar()
    for sidecar in bench.sidecars:
        if sidecar is not held:
            sidecar.held = None
    return request, held


async def until(predicate):
    async with asyncio.timeout(30.0):
        while not predicate():
            await asyncio.sleep(0.01)


class TestUnresponsiveSidecar:
    async def test_repeatable_request_is_sent_elsewhere(self, bench):
        """Guards against callers that wait while one sidecar is frozen.

        A frozen sidecar keeps its connections, so nothing fails, and each
        request sent to it would wait until its deadline.
        """
        request, held = await start_held_request(bench, deadline_s=60.0)
        assert await request == b'done'
        assert bench.calls == 2
        names = [f'sidecar-{number}' for number in range(3)]
        ejected = names[bench.sidecars.index(held)]
        assert ejected not in bench.dispatcher.ejector.allowed(names)

    async def test_unrepeatable_request_keeps_waiting(self, bench):
        request, held = await start_held_request(bench, repeatable=False)
        await until(lambda: len(bench.peers.asked) >= 4)
        assert bench.calls == 1
        held.held.set()
        assert await request == b'done'
        assert bench.calls == 1

    async def test_request_without_a_retry_token_keeps_waiting(self, bench):
        """Guards against errors of requests that leave a sidecar together.

        Several requests rely on the last token of the retry budget.  Those
        that find none left fail, although the sidecar would have served
        them once it resumed.
        """
        while bench.dispatcher.budget.try_withdraw():
            pass
        request, held = await start_held_request(bench)
        await until(lambda: len(bench.peers.asked) >= 4)
        assert not request.done()
        held.held.set()
        assert await request == b'done'

    async def test_pause_of_the_entry_is_not_blamed_on_the_sidecar(
        self, bench
    ):
        """Guards against running work twice although the sidecar is well.

        The entry itself is frozen while it polls: when it resumes, the time
        for the reply has run out.  The second poll is answered.
        """
        bench.peers.replies = [None, State.STARTED]
        request, held = await start_held_request(bench)
        await until(lambda: len(bench.peers.asked) >= 3)
        held.held.set()
        assert await request == b'done'
        assert bench.calls == 1

    async def test_sidecar_is_polled_before_its_next_trial(
        self, bench, monkeypatch
    ):
        """Guards against a request that waits at a sidecar known as frozen.

        The request may run only once.  The sidecar's ejection has ended, and
        the request is its trial.
        """
        ejector = bench.dispatcher.ejector
        monkeypatch.setattr(ejector, 'allowed', list)
        for number in range(3):
            ejector.record_unresponsive(f'sidecar-{number}')
        with pytest.raises(errors.RefusalError) as caught:
            await bench.send(repeatable=False)
        assert caught.value.outcome is errors.Outcome.NOT_RUN
        assert bench.calls == 0
        bench.peers.replies = [State.FORGOTTEN]
        assert await bench.send(repeatable=False) == b'done'


class TestHalfOpenLink:
    async def test_request_that_did_not_arrive_is_sent_elsewhere(self, bench):
        """Guards against a request that waits in a half-open link.

        The link accepts bytes and delivers none; the sidecar is well and
        has not received the request.  Its promise never to run it lets even
        a request that may run only once be sent elsewhere.
        """
        bench.peers.replies = [State.FORGOTTEN, State.FORGOTTEN, State.VOID]
        request, _ = await start_held_request(bench, repeatable=False)
        assert await request == b'done'
        assert bench.calls == 2
        only_asked = [message.only_asks for message in bench.peers.asked]
        assert only_asked == [True, True, False]

    async def test_sidecar_without_a_record_is_waited_for(self, bench):
        bench.peers.replies = [State.FORGOTTEN]
        request, held = await start_held_request(bench, repeatable=False)
        await until(lambda: len(bench.peers.asked) >= 5)
        held.held.set()
        assert await request == b'done'
        assert bench.calls == 1
