"""Loading of the settings of daemons."""

import json

import pytest

from lacewingpitch import errors
from lacewingpitch import settings
from tests import samples


def load(folder, value, kind=settings.EntrySettings):
    path = folder / 'settings.json'
    path.write_text(json.dumps(value))
    return settings.load_settings(path, kind)


class TestLoad:
    def test_builds_frozen_data(self, tmp_path):
        loaded = load(
            tmp_path, samples.sidecar_settings(), settings.SidecarSettings
        )
        assert loaded.backend_server.base_model == 'base'
        with pytest.raises(AttributeError):
            loaded.instance = 'other'

    @pytest.mark.parametrize(
        ('field', 'value'),
        [
            ('work_port', 70_000),
            ('work_port', '8080'),
            ('control_port', -1),
            ('secret', 'short'),
            ('ip', 'localhost'),
            ('ip', '127.0.0.1\n'),
            ('instance', 'two words'),
            ('instance', 'line\n'),
            ('instance', 'x' * 129),
            ('drain_s', 0),
            ('max_body_bytes', 1.5),
            ('unknown', 1),
        ],
    )
    def test_names_the_field(self, tmp_path, field, value):
        content = samples.entry_settings(**{field: value})
        with pytest.raises(errors.SettingsError, match=field):
            load(tmp_path, content)

    def test_names_a_file_that_cannot_be_read(self, tmp_path):
        with pytest.raises(errors.SettingsError, match='no-such'):
            settings.load_settings(
                tmp_path / 'no-such.json', settings.EntrySettings
            )


class TestAddress:
    def test_formats_urls_of_ipv4_and_ipv6(self):
        four = settings.Address(ip='127.0.0.1', port=1)
        six = settings.Address(ip='::1', port=1)
        assert four.url == 'http://127.0.0.1:1'
        assert six.url == 'http://[::1]:1'
