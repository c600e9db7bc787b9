"""Settings of the platform's daemons: template, check and reload."""

import json
import os
import subprocess
import sys

import pytest

from lacewingpitch import errors
from lacewingpitch.platform import settings
from tests import platform_standin as standin
from tests import processes

PORTS = {'callers': 8001, 'ready': 8002, 'control': 8003, 'internal': 7300}
STORE = {'address': '10.0.0.9:8142', 'engine': '10.0.0.2:8145'}


def fields(role='entry', **changed):
    found = standin.fields_of(role, '10.0.0.2', PORTS, STORE)
    return json.loads(standin.render({**found, **changed}))


def write(folder, content):
    path = folder / 'settings.json'
    path.write_text(json.dumps(content))
    return path


def run(path, *words):
    return subprocess.run(
        [sys.executable, '-m', 'lacewingpitch.platform', *words],
        cwd=processes.ROOT,
        env={**os.environ, 'LACEWINGPITCH_CONFIG': str(path)},
        capture_output=True,
        text=True,
    )


class TestTemplate:
    def test_has_all_fields_that_each_daemon_needs(self, tmp_path):
        entry = settings.SettingsFile(write(tmp_path, fields('entry')))
        entry.require('callers', 'ready')
        assert entry.settings.propagation_limit_s == 2.0
        assert entry.settings.engine == ''
        sidecar = settings.SettingsFile(write(tmp_path, fields('sidecar')))
        sidecar.require('engine', 'service')
        assert settings.port_of(sidecar.settings.engine) == 8145

    def test_a_sidecar_does_not_accept_settings_of_an_entry(self, tmp_path):
        file = settings.SettingsFile(write(tmp_path, fields('entry')))
        with pytest.raises(errors.SettingsError, match='engine, service'):
            file.require('engine', 'service')


class TestCheck:
    def test_accepts_valid_settings(self, tmp_path):
        found = run(write(tmp_path, fields()), 'check')
        assert found.returncode == 0

    def test_reports_the_field_and_its_value(self, tmp_path):
        bad = {**fields(), 'drain_s': 'soon'}
        found = run(write(tmp_path, bad), 'check')
        assert found.returncode == 1
        assert 'drain_s' in found.stderr and 'soon' in found.stderr

    def test_a_daemon_reports_missing_fields(self, tmp_path):
        found = run(write(tmp_path, fields('entry')), 'sidecar')
        assert found.returncode == 1
        assert 'engine, service needed' in found.stderr


class TestReload:
    def test_applies_changed_settings(self, tmp_path):
        path = write(tmp_path, fields())
        file = settings.SettingsFile(path)
        write(tmp_path, {**fields(), 'drain_s': 20.0})
        os.utime(path, (1, 1))
        file.reload_if_changed()
        assert file.settings.drain_s == 20.0

    def test_keeps_the_current_settings_if_the_file_is_invalid(self, tmp_path):
        path = write(tmp_path, fields())
        file = settings.SettingsFile(path)
        path.write_text('{')
        file.reload()
        assert file.settings.drain_s == 4
        path.unlink()
        file.reload_if_changed()
        assert file.settings.drain_s == 4
