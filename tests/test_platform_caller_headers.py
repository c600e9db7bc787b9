"""Parsing of the headers of callers' requests."""

import contextlib

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

    @pytest.mark.parametrize(
        ('text', 'found'),
        [
            ('826,294', (826, 294)),
            (' 826 , 294 ', (826, 294)),
            ('0000000000000826,0000000000000294', (826, 294)),
            (f'{"0" * 5000}826,294', (826, 294)),
            ('826', (826, 0)),
            ('', (0, 0)),
        ],
    )
    def test_tokens_are_what_is_stated(self, text, found):
        """Guards against numbers that a usage limit does not see."""
        sent = request(('Token-Usage', text))
        assert caller_headers.tokens(sent) == found

    @pytest.mark.parametrize(
        'text',
        ['9' * 16, '826,' + '9' * 5000, 'x,294', '826;294', '-1,2', '1,2,3'],
    )
    def test_malformed_tokens_are_refused(self, text):
        """Guards against requests that run although nothing is charged."""
        with pytest.raises(errors.RefusalError) as found:
            caller_headers.tokens(request(('Token-Usage', text)))
        assert found.value.status == 400

    def test_tokens_that_are_stated_twice_are_refused(self):
        """Guards against charging one statement and running another."""
        sent = request(('Token-Usage', '1,2'), ('token-usage', '826,294'))
        with pytest.raises(errors.RefusalError) as found:
            caller_headers.tokens(sent)
        assert found.value.status == 400

    @pytest.mark.parametrize(
        ('text', 'found'),
        [('0000000000000000080', 80), ('9' * 16, 0), ('x', 0), ('', 0)],
    )
    def test_an_estimate_that_is_malformed_is_ignored(self, text, found):
        sent = request(('Length-Hint', text))
        assert caller_headers.expected_tokens(sent) == found


def shared_parts(text):
    return list(caller_headers.shared_parts(request(('Prompt-Prefix', text))))


class TestSharedParts:
    @pytest.mark.parametrize(
        ('text', 'found'),
        [
            ('5c1e07a2:800,91bd3f06:410,e4402b7d:250', '5c1e07a2 91bd3f06'),
            ('5C1E07A2:800, 91bd3f06:410 ,e4402b7d:250', '5c1e07a2 91bd3f06'),
            ('5c:1,5c:1,91:2,e4:3', '5c 5c 91'),
            ('e4402b7d:250', ''),
            ('', ''),
        ],
    )
    def test_are_all_parts_but_the_last(self, text, found):
        assert shared_parts(text) == found.split()

    @pytest.mark.parametrize(
        ('text', 'found'),
        [
            ('xyz:1,de:9,5c:2', 'xyz de'),
            ('5c,de:9,91:2', '5c de'),
            ('5c:1,,de:9,91:2', '5c de'),
            ('5c:-1,de:9,91:2', '5c de'),
            ('5c:1:2,de:9,91:2', '5c de'),
            ('5c: 1,de :9,91:2', '5c de'),
            (':1,de:9,91:2', ':1 de'),
            (f'5c:{"9" * 16},de:9,91:2', '5c de'),
            ('5c:1,de:9,', '5c de'),
            ('5c:1,de:9,91:2,de:9', '5c de 91'),
        ],
    )
    def test_other_forms_hide_no_part(self, text, found):
        """Guards against a part that is hidden by a malformed one."""
        assert shared_parts(text) == found.split()

    def test_their_number_is_not_bounded(self):
        """Guards against long prompts that pass unnoticed."""
        ids = [f'{number:x}' for number in range(4000)]
        text = ','.join(f'{part_id}:1' for part_id in [*ids, 'e4'])
        assert shared_parts(text) == ids

    def test_long_ids_differ_and_are_bounded(self):
        """Guards against ids that take memory, or that count as one."""
        first, second, _ = shared_parts(f'{"5" * 90}:1,{"5" * 91}:1,9:1,e:1')
        assert first != second
        assert max(len(first), len(second)) <= 64

    def test_can_be_iterated_again(self):
        found = caller_headers.shared_parts(
            request(('Prompt-Prefix', '5c:1,91:2'))
        )
        assert list(found) == list(found) == ['5c']

    def test_several_headers_are_one_list(self):
        sent = request(
            ('Prompt-Prefix', '5c:1,91:2'), ('prompt-prefix', 'e4:3')
        )
        assert list(caller_headers.shared_parts(sent)) == ['5c', '91']


class TestAnyHeaders:
    @hypothesis.given(HEADERS)
    def test_parsing_never_fails_and_no_identity_is_forwarded(self, headers):
        sent = request(*headers)
        caller_headers.api_key(sent)
        with contextlib.suppress(errors.RefusalError):
            caller_headers.tokens(sent)
        caller_headers.expected_tokens(sent)
        list(caller_headers.shared_parts(sent))
        passed = caller_headers.forwarded(
            sent, has_event_id=False, forwards_key=False
        )
        names = {name.lower() for name, _ in passed}
        assert not names & {'authorization', 'tenant'}
