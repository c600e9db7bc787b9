"""Tests of reported outcomes against the runs at the backend servers.

Real processes and links fail while requests are in progress.
"""

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


def add_customer_contracts(deployment):
    """Add a customer with repeatable requests, and one without."""
    deployment.add_customer('again', 'fern', 'moss', deadline_s=DEADLINE_S)
    deployment.add_customer(
        'once',
        'ficus',
        deadline_s=DEADLINE_S,
        services=(contract.ServiceGrant(name='plain'),),
    )
    once = deployment.contracts['once']
    grants = tuple(
        msgspec.structs.replace(grant, repeatable=False)
        for grant in once.adapters
    )
    deployment.contracts['once'] = msgspec.structs.replace(
        once, adapters=grants
    )


async def start(deployment, *options, sidecars=1):
    for _ in range(sidecars):
        await deployment.add_engine(*options)
    await deployment.add_entry()
    add_customer_contracts(deployment)
    await deployment.publish()


@contextlib.asynccontextmanager
async def relay_to_sidecar(deployment, port='work_port'):
    """Run a relay between the entries and a port of the first sidecar."""
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
    records = [await deployment.engine_record(e) for e in deployment.engines]
    return [
        run
        for record in records
        for run in record.runs
        if run.run_id.startswith(request_id)
    ]


async def running_count(deployment, engine):
    async with deployment.session.get(engine.url + '/v1/report') as response:
        return (await response.json())['running']


async def any_run(deployment):
    records = [await deployment.engine_record(e) for e in deployment.engines]
    return any(record.runs for record in records)


async def is_loading(deployment):
    async with deployment.session.get(
        deployment.engines[0].url + '/v1/report'
    ) as response:
        return (await response.json())['last_fencing'] > 0


def void_patterns():
    """Return bytes that occur only in void requests, for each encoding.

    The entry also sends `VoidRequest` messages that only ask for the
    state of an attempt.  They must not match.
    """
    attempt_id = 'x' * len(voiding.attempt_id(processes.new_key(), 1))
    message = voiding.VoidRequest(attempt_id=attempt_id, instance='sidecar-0')
    signer = link.MessageSigner('test', 'secret', 'entry-0')
    short = signer.sign_short(message).partition(attempt_id.encode())[0]
    # The pattern of the short encoding spans the code of the message kind
    # and the number of fields.  Trailing fields with default values are
    # omitted, so a message with `only_asks` set has one field more.
    code = msgspec.msgpack.encode(link.kind_code('VoidRequest'))
    only_asks = msgspec.msgpack.encode('only_asks')
    return (
        short[short.index(code) :],
        only_asks + msgspec.msgpack.encode(False),
    )


async def wait_for_any(events):
    """Wait until any of the events is set."""

    async def is_set():
        return any(event.is_set() for event in events)

    await processes.wait_until(is_set)


async def is_ready(deployment, process):
    with contextlib.suppress(aiohttp.ClientError):
        async with deployment.session.get(process.url + '/readyz') as response:
            return response.status == 200
    return False


def token_numbers(text):
    """Return the numbers of the tokens in the stand-in engine's answer."""
    return [int(n) for n in re.findall(r':(\d+) ', text)]


async def check_outcome(deployment, outcome, request_id):
    """Check an outcome against the engines' records once they are idle.

    Returns the runs of the request.
    """
    for engine in deployment.engines:

        async def is_idle(engine=engine):
            return not await running_count(deployment, engine)

        await processes.wait_until(is_idle)
    runs = await runs_of(deployment, request_id)
    if outcome == 'not-run':
        assert not runs
    if outcome == 'served':
        assert runs
    for engine in deployment.engines:
        record = await deployment.engine_record(engine)
        assert not record.evictions_under_run
    return runs


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
    async def test_outcome_holds_after_it_wakes(
        self, deployment, step, customer
    ):
        """Guards against a run after the caller received "not run".

        The sidecar freezes while the request is in its socket buffer, in
        its queue or at the engine.  The entry gives up and answers the
        caller.  Then the sidecar wakes and continues with the request.
        """
        await start(deployment, '--load-s', '0.4', '--token-s', '0.1')
        sidecar = deployment.sidecars[0]
        if step is Step.BEFORE_ADMISSION:
            sidecar.freeze()
        adapter = 'fern' if customer == 'again' else 'ficus'
        pending = asyncio.create_task(ask(deployment, customer, adapter))
        if step is Step.LOADING:
            await processes.wait_until(lambda: is_loading(deployment))
            sidecar.freeze()
        if step is Step.SENT:
            await processes.wait_until(lambda: any_run(deployment))
            sidecar.freeze()
        outcome, request_id, _ = await pending
        assert outcome == 'unknown'
        sidecar.resume()
        await processes.wait_until(lambda: is_ready(deployment, sidecar))
        runs = await check_outcome(deployment, outcome, request_id)
        assert len(runs) <= 1

    @pytest.mark.proves(
        Promise.NOT_RUN, Fault.LIST_WRONG, Step.BEFORE_ADMISSION
    )
    @pytest.mark.proves(
        Promise.NOT_RUN, Fault.TWO_FAULTS, Step.BEFORE_ADMISSION
    )
    async def test_list_that_mixes_up_ports(self, deployment):
        """Guards against a run after the caller received "not run".

        The list names the control port of another sidecar for a frozen
        one.  The other sidecar is asked to void the attempt.  Then the
        frozen one wakes.
        """
        for _ in range(2):
            await deployment.add_engine()
        frozen, other = deployment.instances
        deployment.instances = [
            msgspec.structs.replace(frozen, control_port=other.control_port)
        ]
        await deployment.add_entry()
        add_customer_contracts(deployment)
        await deployment.publish()
        await processes.wait_until(
            lambda: deployment.voids_unknown_attempt(other)
        )
        deployment.sidecars[0].freeze()
        outcome, request_id, _ = await ask(deployment, 'once', 'ficus')
        assert outcome == 'unknown'
        deployment.sidecars[0].resume()
        await processes.wait_until(
            lambda: is_ready(deployment, deployment.sidecars[0])
        )
        await check_outcome(deployment, outcome, request_id)

    @pytest.mark.proves(Promise.NOT_RUN, Fault.FROZEN, Step.ANY)
    @pytest.mark.proves(Promise.NOT_RUN, Fault.HALF_OPEN, Step.ANY)
    @pytest.mark.parametrize(
        ('arrival', 'allowed'),
        [
            ('the request', {'served'}),
            ('both', {'served', 'not-run', 'unknown'}),
            ('the question first', {'not-run'}),
            ('the request first', {'served', 'not-run', 'unknown'}),
        ],
    )
    async def test_woken_while_it_is_asked(self, deployment, arrival, allowed):
        """As above, but the void request waits beside the request.

        The outcome must agree with the runs, whichever of the two the
        sidecar reads first when it wakes.  The relays hold back the
        message that must not arrive yet.
        """
        await deployment.add_engine()
        listed = deployment.instances[0]
        async with (
            relay_to_sidecar(deployment) as work_link,
            relay_to_sidecar(deployment, 'control_port') as control_link,
        ):
            await deployment.add_entry()
            add_customer_contracts(deployment)
            await deployment.publish()
            await processes.wait_until(
                lambda: deployment.voids_unknown_attempt(listed)
            )
            request_sent = work_link.wait_for(b'POST /run')
            void_sent = [
                control_link.wait_for(pattern) for pattern in void_patterns()
            ]
            sidecar = deployment.sidecars[0]
            sidecar.freeze()
            # Otherwise the sidecar drops the request, since its connection
            # is closed.
            work_link.drops_close = True
            if arrival == 'the question first':
                work_link.half_open()
            if arrival == 'the request first':
                control_link.half_open()
            pending = asyncio.create_task(ask(deployment, 'once', 'ficus'))
            async with asyncio.timeout(processes.WAIT_TIMEOUT_S):
                await request_sent.wait()
                if arrival != 'the request':
                    await wait_for_any(void_sent)
            assert not pending.done()
            sidecar.resume()
            if arrival == 'the request first':
                await processes.wait_until(
                    lambda: is_ready(deployment, sidecar)
                )
                control_link.heal()
            outcome, request_id, _ = await pending
            work_link.heal()
            assert outcome in allowed
            await processes.wait_until(lambda: is_ready(deployment, sidecar))
            # Data that the relay held back arrives before a new request.
            later_outcome, _, _ = await ask(deployment, 'once', 'ficus')
            assert later_outcome == 'served'
            runs = await check_outcome(deployment, outcome, request_id)
            assert len(runs) <= 1

    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.FROZEN, Step.MID_STREAM)
    async def test_in_mid_stream_ends_in_an_error_event(self, deployment):
        """Guards against a stream that stalls forever.

        The sidecar freezes in mid-stream, and its connection stays open.
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
            while len(token_numbers(text)) < 3:
                text += (await response.content.readline()).decode()
            sidecar.freeze()
            text += await response.text()
        assert text.count('event: error') == 1
        assert '"outcome":"partial"' in text
        assert token_numbers(text) == list(range(len(token_numbers(text))))
        assert 3 <= len(token_numbers(text)) < TOKENS
        sidecar.resume()
        assert len(await check_outcome(deployment, 'partial', request_id)) == 1


class TestKilledSidecar:
    @pytest.mark.proves(Promise.NOT_RUN, Fault.TWO_FAULTS, Step.SENT)
    async def test_its_successor_does_not_report_not_run(self, deployment):
        """Guards against a false "not run" after a sidecar is killed.

        The sidecar is killed while the engine executes the request.  Its
        successor uses the same ports and receives the entry's void
        request.
        """
        await start(deployment, '--token-s', '0.1')
        await deployment.set_faults(deployment.engines[0], runs_on=True)
        pending = asyncio.create_task(ask(deployment, 'once', 'ficus'))
        await processes.wait_until(lambda: any_run(deployment))
        await deployment.sidecars[0].kill()
        successor = await deployment.spawn_successor(0)
        await successor.wait_until_listening()
        outcome, request_id, _ = await pending
        assert outcome == 'unknown'
        assert len(await check_outcome(deployment, outcome, request_id)) == 1

    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.KILLED, Step.MID_STREAM)
    async def test_stream_is_resumed_at_its_successor(self, deployment):
        """Guards against a stream that breaks when a sidecar is replaced.

        The sidecar is killed in mid-stream.  The engine still holds the
        stream, so that the successor can resume it.
        """
        await start(deployment, '--token-s', '0.02')
        await deployment.set_faults(deployment.engines[0], runs_on=True)
        pending = asyncio.create_task(
            ask(deployment, 'once', 'ficus', stream=True, max_tokens=TOKENS)
        )
        await processes.wait_until(lambda: any_run(deployment))
        old = deployment.sidecars[0]
        successor = await deployment.spawn_successor(0)

        async def is_waiting():
            return successor.has_logged('port in use')

        await processes.wait_until(is_waiting)
        await old.kill()
        _, request_id, text = await pending
        runs = await check_outcome(deployment, 'served', request_id)
        assert len(runs) == 1
        assert text.endswith(END)
        assert token_numbers(text) == list(range(TOKENS))


class TestCutLink:
    @pytest.mark.proves(
        Promise.WHOLE_ANSWER, Fault.LINK_CUT, Step.BEFORE_DELIVERY
    )
    @pytest.mark.parametrize('customer', ['again', 'once'])
    async def test_complete_answer_is_requested_again(
        self, deployment, customer
    ):
        """Guards against a lost answer of a request that has run.

        The connection from the entry breaks while the engine executes the
        request.
        """
        await deployment.add_engine('--token-s', '0.1')
        async with relay_to_sidecar(deployment) as relay:
            await deployment.add_entry()
            add_customer_contracts(deployment)
            await deployment.publish()
            adapter = 'fern' if customer == 'again' else 'ficus'
            pending = asyncio.create_task(ask(deployment, customer, adapter))
            await processes.wait_until(lambda: any_run(deployment))
            relay.reset()
            outcome, request_id, text = await pending
            assert outcome == 'served'
            assert text.count(':7') == 1
            runs = await check_outcome(deployment, outcome, request_id)
            assert len(runs) == 1

    @pytest.mark.proves(
        Promise.WHOLE_ANSWER, Fault.SAME_TWICE, Step.BEFORE_DELIVERY
    )
    async def test_finished_answer_is_cached_for_retries(self, deployment):
        """As above, but the engine has finished, and two connections break."""
        await deployment.add_engine()
        async with relay_to_sidecar(deployment) as relay:
            await deployment.add_entry()
            add_customer_contracts(deployment)
            await deployment.publish()
            relay.cut_after_bytes = [50, 50]
            outcome, request_id, text = await ask(deployment, 'once', 'ficus')
            assert outcome == 'served'
            assert text.count(':7') == 1
            runs = await check_outcome(deployment, outcome, request_id)
            assert len(runs) == 1

    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.LINK_CUT, Step.MID_STREAM)
    @pytest.mark.proves(
        Promise.WHOLE_ANSWER, Fault.SAME_TWICE, Step.MID_STREAM
    )
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.LINK_CUT, Step.MID_STREAM)
    @pytest.mark.parametrize('cuts', [[400], [700, 650], [1, 3000, 1000]])
    async def test_stream_is_resumed_not_run_again(self, deployment, cuts):
        """Guards against a stream that is cut short or repeats a part.

        The connection between entry and sidecar breaks once, or several
        times in a row, at any byte.
        """
        await deployment.add_engine('--token-s', '0.02')
        async with relay_to_sidecar(deployment) as relay:
            await deployment.add_entry()
            add_customer_contracts(deployment)
            await deployment.publish()
            relay.cut_after_bytes = list(cuts)
            _, request_id, text = await ask(
                deployment, 'once', 'ficus', stream=True, max_tokens=40
            )
            assert text.endswith(END)
            assert token_numbers(text) == list(range(40))
            assert relay.connection_count > len(cuts)
            runs = await check_outcome(deployment, 'served', request_id)
            assert len(runs) == 1

    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.HALF_OPEN, Step.MID_STREAM)
    async def test_half_open_link_does_not_hang(self, deployment):
        """Guards against a stream that stalls although the engine finished.

        The connection accepts data but forwards none.  The control link
        works.
        """
        await deployment.add_engine('--token-s', '0.02')
        async with relay_to_sidecar(deployment) as relay:
            await deployment.add_entry()
            add_customer_contracts(deployment)
            await deployment.publish()
            pending = asyncio.create_task(
                ask(deployment, 'once', 'ficus', stream=True, max_tokens=40)
            )
            await processes.wait_until(lambda: any_run(deployment))
            relay.stall_open_connections()
            _, request_id, text = await pending
            assert text.endswith(END)
            assert token_numbers(text) == list(range(40))
            assert (
                len(await check_outcome(deployment, 'served', request_id)) == 1
            )


class TestCallerGone:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.LINK_CUT, Step.SENT)
    @pytest.mark.parametrize(
        ('customer', 'adapter', 'is_cancelled'),
        [('again', 'fern', True), ('once', 'ficus', False)],
    )
    async def test_repeatable_run_is_cancelled(
        self, deployment, customer, adapter, is_cancelled
    ):
        """Guards against an engine kept busy by abandoned requests.

        The caller disconnects in mid-stream.  A repeatable request is
        cancelled at the engine.  Any other runs to its end.
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

        async def is_idle():
            return not await running_count(deployment, engine)

        async def is_ended():
            (run,) = (await deployment.engine_record(engine)).runs
            return run.cancelled or run.finished

        await processes.wait_until(is_idle)
        # The engine stops when its connection closes.  The cancel request
        # arrives a moment later.
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
        """Guards against a truncated stream that appears complete.

        The engine cuts the stream off, and the second time also refuses
        to resume it.
        """
        await start(deployment)
        engine = deployment.engines[0]
        await deployment.set_faults(engine, cut_after_events=3)
        _, _, text = await ask(deployment, 'once', 'ficus', stream=True)
        assert text.endswith(END)
        assert token_numbers(text) == list(range(8))
        await deployment.set_faults(
            engine, cut_after_events=3, refusing_resumes=True
        )
        _, _, text = await ask(deployment, 'once', 'ficus', stream=True)
        assert token_numbers(text) == [0, 1, 2]
        assert text.count('event: error') == 1

    @pytest.mark.proves(
        Promise.RIGHT_ADAPTER, Fault.ENGINE_EMPTY, Step.BEFORE_ADMISSION
    )
    async def test_adapter_gone_from_the_engine_is_loaded_again(
        self, deployment
    ):
        """Guards against permanent failure of requests for one adapter.

        The engine has lost an adapter that the sidecar's records say it
        holds.
        """
        await start(deployment)
        await ask(deployment, 'once', 'ficus')
        engine = deployment.engines[0]
        async with deployment.session.get(
            engine.url + '/v1/report'
        ) as response:
            fencing = (await response.json())['last_fencing']
        async with deployment.session.post(
            engine.url + '/v1/unload_lora_adapter',
            json={'lora_name': 'ficus@1', 'fencing': fencing},
        ) as response:
            assert response.status == 200

        async def is_served():
            outcome, _, _ = await ask(deployment, 'once', 'ficus')
            return outcome == 'served'

        await processes.wait_until(is_served)


class TestPlainService:
    @pytest.mark.proves(Promise.AT_MOST_ONCE, Fault.LINK_CUT, Step.SENT)
    @pytest.mark.parametrize('method', ['POST', 'PUT', 'DELETE'])
    async def test_dropped_call_is_not_sent_again(self, deployment, method):
        """Guards against a second run of a call to a plain service.

        The service runs the call and its connection drops.  The HTTP
        library would retry a PUT or DELETE automatically.
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
        """Guards against a truncated body that appears complete.

        The service breaks off in a small body, then in a large one.
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
        """Guards against a retry of a call that was answered.

        The connection to the entry breaks after the service has run the
        call.
        """
        await deployment.add_service('--answer-s', '0.5')
        async with relay_to_sidecar(deployment) as relay:
            await self._finish_start(deployment)
            pending = asyncio.create_task(self._water(deployment))
            service = deployment.services[0]

            async def has_run():
                return bool(await deployment.service_runs(service))

            await processes.wait_until(has_run)
            relay.reset()
            assert await pending == (200, b'10 ml')
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
        add_customer_contracts(deployment)
        await deployment.publish()


class TestOtherProgramOnThePort:
    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.LIST_WRONG, Step.ANY)
    async def test_its_answer_is_not_passed_on(self, deployment):
        """Guards against an answer from a foreign program.

        The list is outdated, and another program uses the sidecar's port.
        """
        await start(deployment)
        other_program = await deployment.run('standin', 'service')
        sidecar = deployment.instances[0]
        deployment.instances[0] = msgspec.structs.replace(
            sidecar, work_port=other_program.ports['work_port']
        )
        await deployment.publish_instances()

        async def is_refused():
            async with deployment.call(
                deployment.entries[0], 'once', 'ficus'
            ) as response:
                return response.status != 200

        await processes.wait_until(is_refused)
        outcome, _, text = await ask(deployment, 'once', 'ficus')
        assert outcome in ('not-run', 'unknown')
        assert 'choices' not in text
