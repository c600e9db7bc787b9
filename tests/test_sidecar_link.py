"""A sidecar that keeps its connection and does not answer."""

import asyncio

import pytest

from lacewingpitch import errors
from lacewingpitch import ledger
from lacewingpitch import sidecar_link
from tests import fake_sidecars

State = ledger.RunState
bench = fake_sidecars.bench


@pytest.fixture(autouse=True)
def _impatient(monkeypatch):
    monkeypatch.setattr(sidecar_link, '_ASK_AFTER_S', 0.05)


async def ask_a_held_one(bench, **fields):
    """Send a request to a sidecar that holds it."""
    for sidecar in bench.sidecars:
        bench.hold(sidecar)
    asking = asyncio.create_task(bench.send(**fields))
    await until(lambda: bench.calls == 1)
    held = bench.asked_sidecar()
    for sidecar in bench.sidecars:
        if sidecar is not held:
            sidecar.held = None
    return asking, held


async def until(predicate):
    async with asyncio.timeout(30.0):
        while not predicate():
            await asyncio.sleep(0.01)


class TestSilentSidecar:
    async def test_request_that_may_repeat_goes_elsewhere(self, bench):
        """Callers wait for as long as one sidecar of three is frozen.

        It keeps its connections, so nothing fails; each request that was
        sent to it waits until its deadline.
        """
        asking, held = await ask_a_held_one(bench, deadline_s=60.0)
        assert await asking == b'done'
        assert bench.calls == 2
        names = [f'sidecar-{number}' for number in range(3)]
        passed_over = names[bench.sidecars.index(held)]
        assert passed_over not in bench.dispatcher.ejector.allowed(names)

    async def test_one_that_may_not_waits_on(self, bench):
        asking, held = await ask_a_held_one(bench, repeatable=False)
        await until(lambda: len(bench.peers.asked) >= 4)
        assert bench.calls == 1
        held.held.set()
        assert await asking == b'done'
        assert bench.calls == 1

    async def test_without_a_token_it_waits_on(self, bench):
        """Requests that leave a frozen sidecar together end in errors.

        All count on the last token of the budget; those that find none
        left would have been served once the sidecar woke up.
        """
        while bench.dispatcher.budget.try_withdraw():
            pass
        asking, held = await ask_a_held_one(bench)
        await until(lambda: len(bench.peers.asked) >= 4)
        assert not asking.done()
        held.held.set()
        assert await asking == b'done'

    async def test_own_pause_is_no_silence_of_the_sidecar(self, bench):
        """Work runs twice although no sidecar was silent.

        The entry itself is frozen while it asks: when it wakes up, the
        time for the reply has run out.  The second question is answered.
        """
        bench.peers.replies = [None, State.STARTED]
        asking, held = await ask_a_held_one(bench)
        await until(lambda: len(bench.peers.asked) >= 3)
        held.held.set()
        assert await asking == b'done'
        assert bench.calls == 1

    async def test_it_is_asked_before_it_is_tried_again(
        self, bench, monkeypatch
    ):
        """A request that may run once waits at a sidecar known to be frozen.

        Its ejection is over, and the next request is its trial.
        """
        ejector = bench.dispatcher.ejector
        monkeypatch.setattr(ejector, 'allowed', list)
        for number in range(3):
            ejector.record_unresponsive(f'sidecar-{number}')
        with pytest.raises(errors.RefusalError) as told:
            await bench.send(repeatable=False)
        assert told.value.outcome is errors.Outcome.NOT_RUN
        assert bench.calls == 0
        bench.peers.replies = [State.FORGOTTEN]
        assert await bench.send(repeatable=False) == b'done'


class TestSilentLink:
    async def test_what_did_not_arrive_goes_elsewhere(self, bench):
        """A request waits in a link that takes bytes and passes none on.

        The sidecar is well and knows nothing of it.  Its promise never
        to run it lets even one that may run once go elsewhere.
        """
        bench.peers.replies = [State.FORGOTTEN, State.FORGOTTEN, State.VOID]
        asking, _ = await ask_a_held_one(bench, repeatable=False)
        assert await asking == b'done'
        assert bench.calls == 2
        only_asked = [message.only_asks for message in bench.peers.asked]
        assert only_asked == [True, True, False]

    async def test_sidecar_that_cannot_know_is_waited_for(self, bench):
        bench.peers.replies = [State.FORGOTTEN]
        asking, held = await ask_a_held_one(bench, repeatable=False)
        await until(lambda: len(bench.peers.asked) >= 5)
        held.held.set()
        assert await asking == b'done'
        assert bench.calls == 1
