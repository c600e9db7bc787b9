"""What callers are told, held against what the backend servers ran."""

import asyncio
import contextlib
import re

import aiohttp
import msgspec
import pytest

from lacewingpitch import contract
from lacewingpitch import link
from lacewingpitch import voiding
from lacewingpitch import work
from tests import fault_matrix
from tests import processes
from tests import relay as relay_module

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step

END = 'data: [DONE]\n\n'
DEADLINE_S = 1.0
TOKENS = 300


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        yield found


def add_customers(deployment):
    """Add one whose adapter may run twice and one whose may run once."""
    deployment.add_customer('again', 'fern', 'moss', deadline_s=DEADLINE_S)
    deployment.add_customer(
        'once',
        'ficus',
        deadline_s=DEADLINE_S,
        services=(contract.ServiceGrant(name='plain'),),
    )
    found = deployment.contracts['once']
    grants = tuple(
        msgspec.structs.replace(grant, repeatable=False)
        for grant in found.adapters
    )
    deployment.contracts['once'] = msgspec.structs.replace(
        found, adapters=grants
    )


async def start(deployment, *options, sidecars=1):
    for _ in range(sidecars):
        await deployment.add_engine(*options)
    await deployment.add_entry()
    add_customers(deployment)
    await deployment.publish()


@contextlib.asynccontextmanager
async def relayed(deployment, port='work_port'):
    """Put a relay between the entries and a port of the first sidecar."""
    sidecar = deployment.instances[0]
    async with relay_module.Relay(getattr(sidecar, port)) as relay:
        deployment.instances[0] = msgspec.structs.replace(
            sidecar, **{port: relay.port}
        )
        yield relay


async def ask(deployment, customer, adapter, **fields):
    """Send a completion; return its outcome, request id and text."""
    async with deployment.call(
        deployment.entries[0], customer, adapter, **fields
    ) as response:
        text = await response.text()
        request_id = response.headers[work.REQUEST_ID_HEADER]
        outcome = response.headers.get(work.OUTCOME_HEADER, 'served')
        return outcome, request_id, text


async def runs_of(deployment, request_id):
    truths = [await deployment.engine_record(e) for e in deployment.engines]
    return [
        run
        for truth in truths
        for run in truth.runs
        if run.run_id.startswith(request_id)
    ]


async def running(deployment, engine):
    async with deployment.session.get(engine.url + '/v1/report') as response:
        return (await response.json())['running']


async def any_run(deployment):
    truths = [await deployment.engine_record(e) for e in deployment.engines]
    return any(truth.runs for truth in truths)


async def loading(deployment):
    async with deployment.session.get(
        deployment.engines[0].url + '/v1/report'
    ) as response:
        return (await response.json())['last_fencing'] > 0


def void_marks():
    """Return what only a void has in it, in each form of messages.

    The entry also asks how far an attempt got, which voids nothing.
    """
    attempt_id = 'x' * len(voiding.attempt_id(processes.new_key(), 1))
    message = voiding.VoidRequest(attempt_id=attempt_id, instance='sidecar-0')
    signer = link.MessageSigner('test', 'secret', 'entry-0')
    short = signer.sign_short(message).partition(attempt_id.encode())[0]
    # From the code of the kind on; its count of fields leaves none out.
    code = msgspec.msgpack.encode(link.kind_code('VoidRequest'))
    only_asks = msgspec.msgpack.encode('only_asks')
    return (
        short[short.index(code) :],
        only_asks + msgspec.msgpack.encode(False),
    )


async def first_of(events):
    """Wait until one of some events is set."""

    async def is_set():
        return any(event.is_set() for event in events)

    await processes.wait_until(is_set)


async def answering(deployment, process):
    with contextlib.suppress(aiohttp.ClientError):
        async with deployment.session.get(process.url + '/readyz') as found:
            return found.status == 200
    return False


def numbers(text):
    """Return which tokens of the made-up answer arrived."""
    return [int(n) for n in re.findall(r':(\d+) ', text)]


async def check_truth(deployment, outcome, request_id):
    """Hold an outcome against the truth once all has settled."""
    for engine in deployment.engines:

        async def idle(engine=engine):
            return not await running(deployment, engine)

        await processes.wait_until(idle)
    found = await runs_of(deployment, request_id)
    if outcome == 'not-run':
        assert not found
    if outcome == 'served':
        assert found
    for engine in deployment.engines:
        truth = await deployment.engine_record(engine)
        assert not truth.evictions_under_run
    return found


class TestFrozenSidecar:
    @pytest.mark.parametrize('customer', ['again', 'once'])
    @pytest.mark.parametrize(
        'step',
        [
            pytest.param(step, marks=mark)
            for step in (Step.BEFORE_ADMISSION, Step.LOADING, Step.SENT)
            for mark in [
                pytest.mark.proves(Promise.NOT_RUN, Fault.FROZEN, step)
            ]
        ],
    )
    async def test_woken_late_breaks_no_word(self, deployment, step, customer):
        """A caller reads "not run", and the pot is watered afterwards.

        The sidecar freezes with the request in its socket, its queue or
        at the engine; the entry gives up, the caller is answered, then
        the sidecar wakes and goes on with what it has.
        """
        await start(deployment, '--load-s', '0.4', '--token-s', '0.1')
        sidecar = deployment.sidecars[0]
        if step is Step.BEFORE_ADMISSION:
            sidecar.freeze()
        adapter = 'fern' if customer == 'again' else 'ficus'
        asking = asyncio.create_task(ask(deployment, customer, adapter))
        if step is Step.LOADING:
            await processes.wait_until(lambda: loading(deployment))
            sidecar.freeze()
        if step is Step.SENT:
            await processes.wait_until(lambda: any_run(deployment))
            sidecar.freeze()
        outcome, request_id, _ = await asking
        assert outcome == 'unknown'
        sidecar.resume()
        await processes.wait_until(lambda: answering(deployment, sidecar))
        found = await check_truth(deployment, outcome, request_id)
        assert len(found) <= 1

    @pytest.mark.proves(
        Promise.NOT_RUN, Fault.LIST_WRONG, Step.BEFORE_ADMISSION
    )
    @pytest.mark.proves(
        Promise.NOT_RUN, Fault.TWO_FAULTS, Step.BEFORE_ADMISSION
    )
    async def test_list_that_mixes_up_ports(self, deployment):
        """A caller reads "not run", and the pot is watered afterwards.

        The list gives a frozen sidecar the control port of another, which
        promises that the request will not run; then the first wakes.
        """
        for _ in range(2):
            await deployment.add_engine()
        frozen, other = deployment.instances
        deployment.instances = [
            msgspec.structs.replace(frozen, control_port=other.control_port)
        ]
        await deployment.add_entry()
        add_customers(deployment)
        await deployment.publish()
        await processes.wait_until(
            lambda: deployment.voids_unknown_attempt(other)
        )
        deployment.sidecars[0].freeze()
        outcome, request_id, _ = await ask(deployment, 'once', 'ficus')
        assert outcome == 'unknown'
        deployment.sidecars[0].resume()
        await processes.wait_until(
            lambda: answering(deployment, deployment.sidecars[0])
        )
        await check_truth(deployment, outcome, request_id)

    @pytest.mark.proves(Promise.NOT_RUN, Fault.FROZEN, Step.ANY)
    @pytest.mark.proves(Promise.NOT_RUN, Fault.HALF_OPEN, Step.ANY)
    @pytest.mark.parametrize(
        ('finds', 'allowed'),
        [
            ('the request', {'served'}),
            ('both', {'served', 'not-run', 'unknown'}),
            ('the question first', {'not-run'}),
            ('the request first', {'served', 'not-run', 'unknown'}),
        ],
    )
    async def test_woken_while_it_is_asked(self, deployment, finds, allowed):
        """As above, with the question waiting beside the request.

        Whatever the sidecar finds first when it wakes, the outcome must
        agree with what it does.  The links hold back what it is not to
        find yet.
        """
        await deployment.add_engine()
        listed = deployment.instances[0]
        async with (
            relayed(deployment) as work_link,
            relayed(deployment, 'control_port') as control_link,
        ):
            await deployment.add_entry()
            add_customers(deployment)
            await deployment.publish()
            await processes.wait_until(
                lambda: deployment.voids_unknown_attempt(listed)
            )
            sent = work_link.wait_for(b'POST /run')
            asked = [control_link.wait_for(mark) for mark in void_marks()]
            sidecar = deployment.sidecars[0]
            sidecar.freeze()
            # Else the sidecar drops a request whose caller has gone.
            work_link.drops_close = True
            if finds == 'the question first':
                work_link.half_open()
            if finds == 'the request first':
                control_link.half_open()
            asking = asyncio.create_task(ask(deployment, 'once', 'ficus'))
            async with asyncio.timeout(processes.WAIT_TIMEOUT_S):
                await sent.wait()
                if finds != 'the request':
                    await first_of(asked)
            assert not asking.done()
            sidecar.resume()
            if finds == 'the request first':
                await processes.wait_until(
                    lambda: answering(deployment, sidecar)
                )
                control_link.heal()
            outcome, request_id, _ = await asking
            work_link.heal()
            assert outcome in allowed
            await processes.wait_until(lambda: answering(deployment, sidecar))
            # What was held arrives before what is sent now.
            again, _, _ = await ask(deployment, 'once', 'ficus')
            assert again == 'served'
            found = await check_truth(deployment, outcome, request_id)
            assert len(found) <= 1

    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.FROZEN, Step.MID_STREAM)
    async def test_in_mid_stream_ends_in_an_error_event(self, deployment):
        """A caller's stream stands still for ever.

        The sidecar freezes in the middle; its connection stays open.
        """
        await start(deployment, '--token-s', '0.05')
        sidecar = deployment.sidecars[0]
        async with deployment.call(
            deployment.entries[0],
            'once',
            'ficus',
            stream=True,
            max_tokens=TOKENS,
        ) as response:
            request_id = response.headers[work.REQUEST_ID_HEADER]
            text = ''
            while len(numbers(text)) < 3:
                text += (await response.content.readline()).decode()
            sidecar.freeze()
            text += await response.text()
        assert text.count('event: error') == 1
        assert '"outcome":"partial"' in text
        assert numbers(text) == list(range(len(numbers(text))))
        assert 3 <= len(numbers(text)) < TOKENS
        sidecar.resume()
        assert len(await check_truth(deployment, 'partial', request_id)) == 1


class TestKilledSidecar:
    @pytest.mark.proves(Promise.NOT_RUN, Fault.TWO_FAULTS, Step.SENT)
    async def test_its_successor_does_not_vouch_for_it(self, deployment):
        """A caller reads "not run" for a watering that was done.

        The sidecar is killed while the engine works; the next one takes
        its ports, and the entry asks that one.
        """
        await start(deployment, '--token-s', '0.1')
        await deployment.set_faults(deployment.engines[0], runs_on=True)
        asking = asyncio.create_task(ask(deployment, 'once', 'ficus'))
        await processes.wait_until(lambda: any_run(deployment))
        await deployment.sidecars[0].kill()
        successor = await deployment.spawn_successor(0)
        await successor.wait_until_listening()
        outcome, request_id, _ = await asking
        assert outcome == 'unknown'
        assert len(await check_truth(deployment, outcome, request_id)) == 1

    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.KILLED, Step.MID_STREAM)
    async def test_stream_is_taken_up_at_its_successor(self, deployment):
        """A caller's stream breaks off when a sidecar is replaced.

        The sidecar is killed in the middle of a stream that the engine
        still keeps; its successor can take it up.
        """
        await start(deployment, '--token-s', '0.02')
        await deployment.set_faults(deployment.engines[0], runs_on=True)
        asking = asyncio.create_task(
            ask(deployment, 'once', 'ficus', stream=True, max_tokens=TOKENS)
        )
        await processes.wait_until(lambda: any_run(deployment))
        old = deployment.sidecars[0]
        successor = await deployment.spawn_successor(0)

        async def waits():
            return successor.has_logged('port in use')

        await processes.wait_until(waits)
        await old.kill()
        _, request_id, text = await asking
        found = await check_truth(deployment, 'served', request_id)
        assert len(found) == 1
        assert text.endswith(END)
        assert numbers(text) == list(range(TOKENS))


class TestCutLink:
    @pytest.mark.proves(
        Promise.WHOLE_ANSWER, Fault.LINK_CUT, Step.BEFORE_DELIVERY
    )
    @pytest.mark.parametrize('customer', ['again', 'once'])
    async def test_whole_answer_is_asked_for_again(self, deployment, customer):
        """A buyer gets no quote although one was made.

        The link from the entry breaks while the engine works.
        """
        await deployment.add_engine('--token-s', '0.1')
        async with relayed(deployment) as relay:
            await deployment.add_entry()
            add_customers(deployment)
            await deployment.publish()
            adapter = 'fern' if customer == 'again' else 'ficus'
            asking = asyncio.create_task(ask(deployment, customer, adapter))
            await processes.wait_until(lambda: any_run(deployment))
            relay.reset()
            outcome, request_id, text = await asking
            assert outcome == 'served'
            assert text.count(':7') == 1
            found = await check_truth(deployment, outcome, request_id)
            assert len(found) == 1

    @pytest.mark.proves(
        Promise.WHOLE_ANSWER, Fault.SAME_TWICE, Step.BEFORE_DELIVERY
    )
    async def test_finished_answer_is_kept_for_a_while(self, deployment):
        """As above, but the engine is done when the link breaks, twice."""
        await deployment.add_engine()
        async with relayed(deployment) as relay:
            await deployment.add_entry()
            add_customers(deployment)
            await deployment.publish()
            relay.cut_after_bytes = [50, 50]
            outcome, request_id, text = await ask(deployment, 'once', 'ficus')
            assert outcome == 'served'
            assert text.count(':7') == 1
            found = await check_truth(deployment, outcome, request_id)
            assert len(found) == 1

    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.LINK_CUT, Step.MID_STREAM)
    @pytest.mark.proves(
        Promise.WHOLE_ANSWER, Fault.SAME_TWICE, Step.MID_STREAM
    )
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.LINK_CUT, Step.MID_STREAM)
    @pytest.mark.parametrize('cuts', [[400], [700, 650], [1, 3000, 1000]])
    async def test_stream_is_resumed_not_run_again(self, deployment, cuts):
        """A stream ends in the middle, or repeats a part of itself.

        The link between entry and sidecar breaks once, or several times
        in a row, at any byte.
        """
        await deployment.add_engine('--token-s', '0.02')
        async with relayed(deployment) as relay:
            await deployment.add_entry()
            add_customers(deployment)
            await deployment.publish()
            relay.cut_after_bytes = list(cuts)
            _, request_id, text = await ask(
                deployment, 'once', 'ficus', stream=True, max_tokens=40
            )
            assert text.endswith(END)
            assert numbers(text) == list(range(40))
            assert relay.connection_count > len(cuts)
            found = await check_truth(deployment, 'served', request_id)
            assert len(found) == 1

    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.HALF_OPEN, Step.MID_STREAM)
    async def test_half_open_link_does_not_hang(self, deployment):
        """A stream stands still although the engine has finished it.

        The link takes bytes and passes none on; the control link works.
        """
        await deployment.add_engine('--token-s', '0.02')
        async with relayed(deployment) as relay:
            await deployment.add_entry()
            add_customers(deployment)
            await deployment.publish()
            asking = asyncio.create_task(
                ask(deployment, 'once', 'ficus', stream=True, max_tokens=40)
            )
            await processes.wait_until(lambda: any_run(deployment))
            relay.stall_open_connections()
            _, request_id, text = await asking
            assert text.endswith(END)
            assert numbers(text) == list(range(40))
            assert (
                len(await check_truth(deployment, 'served', request_id)) == 1
            )


class TestCallerGone:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.LINK_CUT, Step.SENT)
    @pytest.mark.parametrize(
        ('customer', 'adapter', 'is_cancelled'),
        [('again', 'fern', True), ('once', 'ficus', False)],
    )
    async def test_frees_all(
        self, deployment, customer, adapter, is_cancelled
    ):
        """An engine stays busy with answers that nobody waits for.

        The caller goes away in mid-stream.  What may be repeated is
        cancelled at the engine; what may not runs to its end.
        """
        await start(deployment, '--token-s', '0.02')
        async with deployment.call(
            deployment.entries[0],
            customer,
            adapter,
            stream=True,
            max_tokens=150,
        ) as response:
            await response.content.readline()
            response.close()
        engine = deployment.engines[0]

        async def idle():
            return not await running(deployment, engine)

        async def is_ended():
            (run,) = (await deployment.engine_record(engine)).runs
            return run.cancelled or run.finished

        await processes.wait_until(idle)
        # The engine stops as its connection closes, and hears a moment
        # later why.
        await processes.wait_until(is_ended)
        (run,) = (await deployment.engine_record(engine)).runs
        assert run.cancelled is is_cancelled
        assert run.finished is not is_cancelled


class TestEngineRefuses:
    @pytest.mark.parametrize(
        ('status', 'outcome', 'caller_status'),
        [
            (400, 'not-run', 400),
            (422, 'not-run', 400),
            (429, 'not-run', 503),
            (503, 'not-run', 503),
            (500, 'unknown', 504),
        ],
    )
    async def test_its_status_becomes_an_error_kind(
        self, deployment, status, outcome, caller_status
    ):
        await start(deployment)
        await deployment.set_faults(deployment.engines[0], status=status)
        async with deployment.call(
            deployment.entries[0], 'once', 'ficus'
        ) as response:
            assert response.status == caller_status
            assert response.headers[work.OUTCOME_HEADER] == outcome

    @pytest.mark.proves(
        Promise.WHOLE_ANSWER, Fault.STREAM_CUT, Step.MID_STREAM
    )
    async def test_cut_stream_is_resumed_or_ends_in_an_error(self, deployment):
        """A stream ends in silence, as if it were whole.

        The engine breaks off in the middle and, the second time, does
        not resume either.
        """
        await start(deployment)
        engine = deployment.engines[0]
        await deployment.set_faults(engine, cut_after_events=3)
        _, _, text = await ask(deployment, 'once', 'ficus', stream=True)
        assert text.endswith(END)
        assert numbers(text) == list(range(8))
        await deployment.set_faults(
            engine, cut_after_events=3, refusing_resumes=True
        )
        _, _, text = await ask(deployment, 'once', 'ficus', stream=True)
        assert numbers(text) == [0, 1, 2]
        assert text.count('event: error') == 1

    @pytest.mark.proves(
        Promise.RIGHT_ADAPTER, Fault.ENGINE_EMPTY, Step.BEFORE_ADMISSION
    )
    async def test_adapter_gone_from_the_engine_is_loaded_again(
        self, deployment
    ):
        """Requests for one adapter fail for ever after a hiccup.

        The engine lost an adapter that the sidecar believes it holds.
        """
        await start(deployment)
        await ask(deployment, 'once', 'ficus')
        engine = deployment.engines[0]
        async with deployment.session.get(engine.url + '/v1/report') as found:
            fencing = (await found.json())['last_fencing']
        async with deployment.session.post(
            engine.url + '/v1/unload_lora_adapter',
            json={'lora_name': 'ficus@1', 'fencing': fencing},
        ) as response:
            assert response.status == 200

        async def served():
            outcome, _, _ = await ask(deployment, 'once', 'ficus')
            return outcome == 'served'

        await processes.wait_until(served)


class TestPlainService:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.LINK_CUT, Step.SENT)
    @pytest.mark.parametrize('method', ['POST', 'PUT', 'DELETE'])
    async def test_dropped_call_is_not_sent_again(self, deployment, method):
        """A balcony is flooded by a doubled command.

        The service runs a call and its connection drops; the HTTP
        library would send a PUT or DELETE again by itself.
        """
        await self._start(deployment)
        service = deployment.services[0]
        await deployment.set_faults(service, dropping=1)
        async with deployment.call_service(
            deployment.entries[0], 'once', 'valve', method=method
        ) as response:
            assert response.headers[work.OUTCOME_HEADER] == 'unknown'
        assert len(await deployment.service_runs(service)) == 1

    @pytest.mark.proves(
        Promise.WHOLE_ANSWER, Fault.STREAM_CUT, Step.BEFORE_DELIVERY
    )
    async def test_body_that_breaks_off_is_never_silently_short(
        self, deployment
    ):
        """A stock list lacks its end, and nobody notices.

        The service breaks off: in a small body, then in a large one.
        """
        await self._start(deployment)
        service = deployment.services[0]
        entry = deployment.entries[0]
        await deployment.set_faults(
            service, body_bytes=1000, cut_after_bytes=500
        )
        async with deployment.call_service(entry, 'once', 'list') as response:
            assert response.headers[work.OUTCOME_HEADER] == 'unknown'
        await deployment.set_faults(
            service, body_bytes=4 << 20, cut_after_bytes=3 << 20
        )
        with pytest.raises(aiohttp.ClientError):
            async with deployment.call_service(
                entry, 'once', 'list'
            ) as response:
                await response.read()
        await deployment.set_faults(service, body_bytes=4 << 20)
        async with deployment.call_service(entry, 'once', 'list') as response:
            assert len(await response.read()) == 4 << 20

    @pytest.mark.proves(
        Promise.AT_MOST_ONCE, Fault.LINK_CUT, Step.BEFORE_DELIVERY
    )
    async def test_answer_lost_on_the_way_is_delivered_once(self, deployment):
        """A watering command seems lost, and is sent twice.

        The service has answered; the link to the entry breaks.
        """
        await deployment.add_service('--answer-s', '0.5')
        async with relayed(deployment) as relay:
            await self._finish_start(deployment)
            asking = asyncio.create_task(self._water(deployment))
            service = deployment.services[0]

            async def has_run():
                return bool(await deployment.service_runs(service))

            await processes.wait_until(has_run)
            relay.reset()
            assert await asking == (200, b'10 ml')
            assert len(await deployment.service_runs(service)) == 1

    async def _water(self, deployment):
        async with deployment.call_service(
            deployment.entries[0], 'once', 'valve', data=b'10 ml'
        ) as response:
            return response.status, await response.read()

    async def _start(self, deployment):
        await deployment.add_service()
        await self._finish_start(deployment)

    async def _finish_start(self, deployment):
        await deployment.add_entry()
        add_customers(deployment)
        await deployment.publish()


class TestStrangerOnThePort:
    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.LIST_WRONG, Step.ANY)
    async def test_its_answer_is_not_passed_on(self, deployment):
        """A caller gets the answer of a program that is none of ours.

        The list lags, and another program has the sidecar's port.
        """
        await start(deployment)
        stranger = await deployment.run('standin', 'service')
        sidecar = deployment.instances[0]
        deployment.instances[0] = msgspec.structs.replace(
            sidecar, work_port=stranger.ports['work_port']
        )
        await deployment.publish_instances()

        async def misled():
            async with deployment.call(
                deployment.entries[0], 'once', 'ficus'
            ) as response:
                return response.status != 200

        await processes.wait_until(misled)
        outcome, _, text = await ask(deployment, 'once', 'ficus')
        assert outcome in ('not-run', 'unknown')
        assert 'choices' not in text
