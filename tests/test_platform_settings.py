"""Settings of the platform's daemons, from their template and file."""

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
    def test_gives_each_daemon_what_it_needs(self, tmp_path):
        entry = settings.SettingsFile(write(tmp_path, fields('entry')))
        entry.require('callers', 'ready')
        assert entry.settings.propagation_limit_s == 2.0
        assert entry.settings.engine == ''
        sidecar = settings.SettingsFile(write(tmp_path, fields('sidecar')))
        sidecar.require('engine', 'service')
        assert settings.port_of(sidecar.settings.engine) == 8145

    def test_one_daemon_cannot_run_with_the_others(self, tmp_path):
        file = settings.SettingsFile(write(tmp_path, fields('entry')))
        with pytest.raises(errors.SettingsError, match='engine, service'):
            file.require('engine', 'service')


class TestCheck:
    def test_says_that_all_is_well(self, tmp_path):
        found = run(write(tmp_path, fields()), 'check')
        assert found.returncode == 0

    def test_names_field_and_value(self, tmp_path):
        bad = {**fields(), 'drain_s': 'soon'}
        found = run(write(tmp_path, bad), 'check')
        assert found.returncode == 1
        assert 'drain_s' in found.stderr and 'soon' in found.stderr

    def test_a_daemon_without_its_fields_says_so(self, tmp_path):
        found = run(write(tmp_path, fields('entry')), 'sidecar')
        assert found.returncode == 1
        assert 'engine, service needed' in found.stderr


class TestReload:
    def test_takes_over_what_has_changed(self, tmp_path):
        path = write(tmp_path, fields())
        file = settings.SettingsFile(path)
        write(tmp_path, {**fields(), 'drain_s': 20.0})
        os.utime(path, (1, 1))
        file.reload_if_changed()
        assert file.settings.drain_s == 20.0

    def test_keeps_what_was_in_force_if_the_file_is_wrong(self, tmp_path):
        path = write(tmp_path, fields())
        file = settings.SettingsFile(path)
        path.write_text('{')
        file.reload()
        assert file.settings.drain_s == 4
        path.unlink()
        file.reload_if_changed()
        assert file.settings.drain_s == 4
