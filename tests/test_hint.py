"""Encoding of hints, and hints on answers."""

import base64

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from lacewingpitch import contract
from lacewingpitch import hint
from lacewingpitch import link
from lacewingpitch import work
from tests import processes
from tests import samples


def make_hint(**fields):
    found = {
        'running': 3,
        'queued': 1,
        'max_running': 16,
        'load_wait_ms': 500,
        'spare_slots': 2,
        'adapters': hint.encode_fingerprints(['fern@1', 'ficus@2']),
    }
    return hint.Hint(**found | fields)


class TestHint:
    def test_header_round_trip(self):
        found = hint.decode_hint(hint.encode_hint(make_hint()))
        assert found == make_hint()
        assert hint.fingerprint('fern@1') in found.fingerprints
        assert hint.fingerprint('fern@2') not in found.fingerprints

    def test_is_small_for_eight_slots(self):
        names = [f'adapter-{number}@1' for number in range(8)]
        adapters = hint.encode_fingerprints(names)
        assert len(hint.encode_hint(make_hint(adapters=adapters))) <= 64

    def test_fields_of_a_later_version_are_ignored(self):
        fields = [*msgspec.structs.astuple(make_hint()), 'new', 7]
        text = base64.b64encode(msgspec.msgpack.encode(fields)).decode()
        assert hint.decode_hint(text) == make_hint()

    def test_fields_of_an_earlier_version_are_enough(self):
        text = base64.b64encode(msgspec.msgpack.encode([3, 1, 16, 500]))
        found = hint.decode_hint(text.decode())
        assert found == make_hint(spare_slots=0, adapters=b'')


class TestBadHint:
    """A broken sidecar, or one of another version, must do no harm."""

    @hypothesis.given(strategies.text())
    def test_any_text_is_dropped_or_decoded(self, text):
        found = hint.decode_hint(text)
        assert found is None or isinstance(found, hint.Hint)

    @hypothesis.given(strategies.binary(max_size=64))
    def test_any_bytes_are_dropped_or_decoded(self, data):
        found = hint.decode_hint(base64.b64encode(data).decode())
        assert found is None or found.max_running >= 1

    def test_negative_counts_are_dropped(self):
        data = msgspec.msgpack.encode([-3, 1, 0, 500])
        assert hint.decode_hint(base64.b64encode(data).decode()) is None

    def test_overlong_header_is_dropped(self):
        text = hint.encode_hint(make_hint(adapters=bytes(4096)))
        assert hint.decode_hint(text) is None


class TestRealProcesses:
    @pytest.mark.parametrize('stream', [False, True])
    async def test_answers_of_a_sidecar_carry_hint_and_stall(
        self, tmp_path, stream
    ):
        async with processes.Deployment(tmp_path) as deployment:
            sidecar = await deployment.add_engine('--load-s', '0.2')
            signer = link.MessageSigner('test', deployment.secret, 'entry-0')
            stalls_s = []
            for _ in range(2):
                order = samples.order(
                    request_id=processes.new_key(),
                    path='/v1/chat/completions',
                    adapter=contract.AdapterGrant(
                        name='fern', version='1', base_model='base'
                    ),
                    stream=stream,
                )
                async with deployment.session.post(
                    f'{sidecar.url}/run',
                    json={'model': 'fern', 'stream': stream},
                    headers={
                        work.ORDER_HEADER: work.encode_order(order, signer)
                    },
                ) as response:
                    assert response.status == 200
                    headers = response.headers
                    await response.read()
                stalls_s.append(float(headers[work.LOAD_STALL_HEADER]))
                found = hint.decode_hint(headers[work.HINT_HEADER])
                assert hint.fingerprint('fern@1') in found.fingerprints
                assert found.running == 1
            assert stalls_s[0] >= 0.2
            assert stalls_s[1] < stalls_s[0]
