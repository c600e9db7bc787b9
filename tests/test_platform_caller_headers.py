"""Parsing of the headers of callers' requests."""

from aiohttp import test_utils
import hypothesis
from hypothesis import strategies
import multidict
import pytest

from lacewingpitch import errors
from lacewingpitch.platform import caller_headers

NAMES = (
    'Authorization',
    'Tenant',
    'Token-Usage',
    'Length-Hint',
    'Model',
    'Prompt-Prefix',
)
VALUES = strategies.text(
    strategies.characters(codec='latin-1', exclude_characters='\r\n\0')
)
HEADERS = strategies.lists(
    strategies.tuples(strategies.sampled_from(NAMES), VALUES), max_size=6
)


def request(*headers):
    return test_utils.make_mocked_request(
        'GET', '/x/', headers=multidict.CIMultiDict(headers)
    )


class TestApiKey:
    @pytest.mark.parametrize('scheme', ['Token', 'token', 'TOKEN'])
    def test_is_what_follows_the_scheme(self, scheme):
        sent = request(('Authorization', f'{scheme} key-1'))
        assert caller_headers.api_key(sent) == 'key-1'

    def test_two_keys_count_as_none(self):
        """Guards against checking one key and using another."""
        sent = request(
            ('Authorization', 'Token key-1'), ('authorization', 'Token key-2')
        )
        assert caller_headers.api_key(sent) == ''


class TestNumbers:
    @pytest.mark.parametrize('text', ['9' * 5000, '-1', '1.5', 'x'])
    def test_malformed_numbers_are_refused(self, text):
        """Guards against numbers that are too long to be parsed."""
        with pytest.raises(errors.RefusalError) as found:
            caller_headers.number(
                request(('Deadline-Ms', text)), 'Deadline-Ms'
            )
        assert found.value.status == 400

    def test_malformed_tokens_count_as_zero(self):
        sent = request(('Token-Usage', f'{"9" * 5000},x'))
        assert caller_headers.tokens(sent) == (0, 0)


class TestSharedParts:
    @pytest.mark.parametrize(
        ('text', 'found'),
        [
            ('5c1e07a2:800,91bd3f06:410,e4402b7d:250', 2),
            ('5C1E07A2:800, 91bd3f06:410 ,e4402b7d:250', 2),
            ('5c:1,5c:1,91:2,e4:3', 2),
            ('5c:1,e4:2,91:2,e4:3', 2),
            ('e4402b7d:250', 0),
            ('', 0),
        ],
    )
    def test_are_all_parts_but_the_last(self, text, found):
        sent = request(('Prompt-Prefix', text))
        assert (
            caller_headers.shared_parts(sent)
            == (
                ('5c1e07a2', '91bd3f06')
                if '91bd3f06' in text
                else ('5c', '91')
            )[:found]
        )

    @pytest.mark.parametrize(
        'text',
        [
            'xyz:1,5c:2',
            '5c,91:2',
            '5c:1,,91:2',
            '5c:-1,91:2',
            '5c:1:2,91:2',
            f'{"5" * 65}:1,91:2',
            f'5c:{"9" * 16},91:2',
            ','.join(f'{number:x}:1' for number in range(65)),
        ],
    )
    def test_a_malformed_list_counts_as_absent(self, text):
        """Guards against blaming what the caller did not mean."""
        assert (
            caller_headers.shared_parts(request(('Prompt-Prefix', text))) == ()
        )

    def test_several_headers_are_one_list(self):
        sent = request(
            ('Prompt-Prefix', '5c:1,91:2'), ('prompt-prefix', 'e4:3')
        )
        assert caller_headers.shared_parts(sent) == ('5c', '91')


class TestAnyHeaders:
    @hypothesis.given(HEADERS)
    def test_parsing_never_fails_and_no_identity_is_forwarded(self, headers):
        sent = request(*headers)
        caller_headers.api_key(sent)
        caller_headers.tokens(sent)
        caller_headers.expected_tokens(sent)
        caller_headers.shared_parts(sent)
        passed = caller_headers.forwarded(
            sent, has_event_id=False, forwards_key=False
        )
        names = {name.lower() for name, _ in passed}
        assert not names & {'authorization', 'tenant'}
