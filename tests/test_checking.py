"""Offline validation of settings and contracts."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from lacewingpitch import checking
from lacewingpitch import type_checks
from tests import samples

Kind = checking.Kind
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=8,
)
SAMPLES = {
    Kind.ENTRY: samples.entry_settings,
    Kind.SIDECAR: samples.sidecar_settings,
    Kind.CONTRACT: samples.contract,
}


def fields_of(result):
    return [problem.field for problem in result.problems]


def write(folder, name, value):
    path = folder / name
    path.write_text(json.dumps(value))
    return path


class TestTypes:
    @pytest.mark.parametrize('kind', SAMPLES)
    def test_accepts_the_sample(self, kind):
        result = checking.check_value(SAMPLES[kind](), kind, 'x')
        assert result.problems == ()
        assert result.content is not None

    def test_names_every_error_at_once(self):
        contract = samples.contract(
            revision=0,
            urgency='soon',
            limits={'requests_per_s': -1, 'requests': 2},
            adapters=[{'name': 'a b', 'version': '1'}],
        )
        del contract['key_digests']
        result = checking.check_value(contract, Kind.CONTRACT, 'x')
        assert sorted(fields_of(result)) == [
            '$.adapters[0].base_model',
            '$.adapters[0].name',
            '$.key_digests',
            '$.limits.requests',
            '$.limits.requests_per_s',
            '$.revision',
            '$.urgency',
        ]

    def test_names_the_value_and_the_expected_ones(self):
        contract = samples.contract(urgency='soon')
        (problem,) = checking.check_value(
            contract, Kind.CONTRACT, 'x'
        ).problems
        assert 'interactive, standard, batch' in str(problem)
        assert str(problem).endswith('got "soon"')

    def test_checks_the_tagged_backend_server(self):
        content = samples.sidecar_settings()
        content['backend_server']['adapter_slots'] = 0
        result = checking.check_value(content, Kind.SIDECAR, 'x')
        assert fields_of(result) == ['$.backend_server.adapter_slots']

    @pytest.mark.parametrize('ip', ['localhost', 'abc', '1.2.3', '1.2.3.4\n'])
    def test_rejects_invalid_ip_addresses(self, ip):
        address = {'ip': ip, 'port': 1}
        content = samples.entry_settings(config_service=address)
        assert checking.check_value(content, Kind.ENTRY, 'x').problems

    def test_never_shows_a_secret(self):
        content = samples.entry_settings(secret='hush hush')
        (problem,) = checking.check_value(content, Kind.ENTRY, 'x').problems
        assert 'hush' not in str(problem)

    @given(strategies.sampled_from(list(Kind)), JSON)
    def test_checks_any_json(self, kind, value):
        result = checking.check_value(value, kind, 'x')
        assert (result.content is None) == bool(result.problems)

    @given(strategies.sampled_from(list(SAMPLES)), strategies.data(), JSON)
    def test_agrees_with_the_decoder(self, kind, data, value):
        """A value passes the type checks if and only if daemons decode it."""
        content = SAMPLES[kind]()
        field = data.draw(strategies.sampled_from(sorted(content)))
        content[field] = value
        result = checking.check_value(content, kind, 'x')
        is_decodable = checking.is_decodable(content, kind)
        assert (result.content is not None) == is_decodable


class TestMeaning:
    @pytest.mark.parametrize(
        ('fields', 'field'),
        [
            (
                {'adapters': samples.contract()['adapters'] * 2},
                '$.adapters',
            ),
            ({'services': [{'name': 'a'}, {'name': 'a'}]}, '$.services'),
            ({'key_digests': [samples.DIGEST] * 2}, '$.key_digests'),
            ({'key_digests': []}, '$.key_digests'),
            ({'deadline_s': 0.5}, '$.deadline_s'),
            (
                {'services': [{'name': 'a', 'repeatable_methods': ['get']}]},
                '$.services[0].repeatable_methods',
            ),
        ],
    )
    def test_refuses_in_a_contract(self, fields, field):
        contract = samples.contract(**fields)
        result = checking.check_value(contract, Kind.CONTRACT, 'x')
        assert fields_of(result) == [field]

    def test_needs_no_digest_when_revoked(self):
        contract = samples.contract(key_digests=[], revoked=True)
        result = checking.check_value(contract, Kind.CONTRACT, 'x')
        assert result.problems == ()

    def test_rejects_equal_work_and_control_ports(self):
        content = samples.entry_settings(control_port=8080)
        result = checking.check_value(content, Kind.ENTRY, 'x')
        assert fields_of(result) == ['$.control_port']


class TestFiles:
    def test_reports_only_the_invalid_file(self, tmp_path):
        write(tmp_path, 'a.json', samples.contract('a'))
        write(tmp_path, 'b.json', samples.contract('b', revision='2'))
        write(
            tmp_path,
            'c.json',
            samples.contract('c', key_digests=[samples.OTHER_DIGEST]),
        )
        results = checking.check_paths([tmp_path])
        assert [bool(item.problems) for item in results] == [
            False,
            True,
            False,
        ]

    def test_rejects_a_customer_and_digest_in_two_files(self, tmp_path):
        write(tmp_path, 'a.json', samples.contract())
        write(tmp_path, 'b.json', samples.contract())
        first, second = checking.check_paths([tmp_path])
        assert not first.problems
        assert fields_of(second) == ['$.customer', '$.key_digests']

    def test_rejects_an_instance_and_address_in_two_files(self, tmp_path):
        write(tmp_path, 'a.json', samples.entry_settings())
        write(tmp_path, 'b.json', samples.entry_settings())
        first, second = checking.check_paths([tmp_path])
        assert not first.problems
        assert fields_of(second) == [
            '$.instance',
            '$.work_port',
            '$.control_port',
        ]

    @pytest.mark.parametrize('kind', Kind)
    def test_reports_a_list_for_every_given_kind(self, tmp_path, kind):
        """Guards against a traceback instead of a reported problem.

        It occurs if the code that reads the contracts of a shard assumes
        that the file holds an object; this one holds a list, as a shard
        without its enclosing object would.
        """
        path = write(tmp_path, 'a.json', [])
        (result,) = checking.check_paths([path], kind)
        assert fields_of(result) == [type_checks.ROOT]

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'{',
            b'\xff',
            b'[' * 100_000,
            b'{"a": NaN}',
            b'{"customer": 1e999}',
            b'{}',
            b'3',
        ],
    )
    def test_reports_invalid_json_and_unknown_kinds(self, tmp_path, content):
        path = tmp_path / 'a.json'
        path.write_bytes(content)
        (result,) = checking.check_paths([path])
        assert fields_of(result) == [type_checks.ROOT]
