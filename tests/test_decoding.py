"""Decoding of JSON, with errors that name the field."""

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from lacewingpitch import contract
from lacewingpitch import decoding
from lacewingpitch import errors
from lacewingpitch import published_contracts
from lacewingpitch import settings
from tests import samples

KINDS = [settings.EntrySettings, settings.SidecarSettings, contract.Contract]


def refusal(data, kind=contract.Contract):
    with pytest.raises(errors.SettingsError) as caught:
        decoding.decode_json(data, kind, 'the source')
    return str(caught.value)


class TestRefusals:
    def test_name_source_field_value_and_expectation(self):
        data = samples.contract(revision=0)
        text = refusal(msgspec.json.encode(data))
        assert text == (
            'the source: field $.revision: Expected `int` >= 1, got 0'
        )

    def test_keep_a_long_value_short(self):
        data = samples.contract(customer='x' * 10_000)
        assert len(refusal(msgspec.json.encode(data))) < 400

    @pytest.mark.parametrize(
        ('data', 'kind'),
        [
            (b'[' * 100_000, contract.Contract),
            (b'{"customer":' * 9999, contract.Contract),
            (
                b'{"contracts":' + b'[' * 9999,
                published_contracts.ContractShard,
            ),
        ],
    )
    def test_deep_nesting_is_refused_like_other_bad_text(self, data, kind):
        """Guards against one value that stops all updates of contracts.

        Text that is nested deeper than the decoder supports raises a
        RecursionError, which is not a DecodeError, and would end the
        task that watches the contracts.
        """
        refusal(data, kind)

    def test_an_invalid_field_before_a_syntax_error(self):
        text = refusal(b'{"customer": 1, "revision"')
        assert 'field $.customer' in text

    def test_never_show_a_secret(self):
        data = samples.entry_settings(secret='hush hush')
        text = refusal(msgspec.json.encode(data), settings.EntrySettings)
        assert '$.secret' in text
        assert 'hush' not in text

    @given(strategies.sampled_from(KINDS), strategies.binary())
    def test_any_bytes_give_one_kind_of_error(self, kind, data):
        refusal(data, kind)
