"""The command-line interface."""

import json
import socket

from click import testing
import pytest

import lacewingpitch
from lacewingpitch import cli
from tests import samples


def run(*arguments):
    return testing.CliRunner().invoke(
        cli.main, [str(argument) for argument in arguments]
    )


def write(path, value):
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value))
    return path


class TestMain:
    def test_prints_its_version(self):
        assert lacewingpitch.__version__ in run('--version').output

    @pytest.mark.parametrize(
        'command',
        [
            ['entry'],
            ['sidecar'],
            ['check'],
            ['contracts', 'render'],
            ['contracts', 'diff'],
            ['report'],
            ['errors'],
            ['demo'],
        ],
    )
    def test_explains_each_command(self, command):
        result = run(*command, '--help')
        assert result.exit_code == 0
        assert len(result.output.splitlines()) > 5

    def test_names_every_command_in_its_help(self):
        text = cli.main.help
        for name in set(cli.main.commands) - {'standin'}:
            assert f'`{name}`' in text

    def test_a_missing_token_error_names_the_variable(self):
        result = run('report', 'http://127.0.0.1:1')
        assert result.exit_code == 2
        assert 'LACEWINGPITCH_TOKEN' in result.output

    def test_a_wrong_command_line_exits_2(self):
        assert run('check').exit_code == 2
        assert run('check', 'no-such-file').exit_code == 2

    @pytest.mark.parametrize('command', ['entry', 'sidecar'])
    def test_a_daemon_with_wrong_settings_exits_1(self, tmp_path, command):
        path = write(tmp_path / 'a.json', samples.entry_settings(ip='here'))
        result = run(command, path)
        assert result.exit_code == 1
        assert '$.ip' in result.output
        assert samples.entry_settings()['secret'] not in result.output

    @pytest.mark.parametrize(
        ('command', 'sample'),
        [
            ('entry', samples.entry_settings),
            ('sidecar', samples.sidecar_settings),
        ],
    )
    def test_a_daemon_that_cannot_listen_says_where(
        self, tmp_path, command, sample
    ):
        """Guards against a traceback that does not name the port.

        It occurs if the control port is in use, or the address belongs
        to another machine: the errors of pynng are no OSError.
        """
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
            content = sample(work_port=0, control_port=port)
            result = run(command, write(tmp_path / 'a.json', content))
        assert result.exit_code == 1
        assert f'control port {port} of 127.0.0.1: ' in result.output


class TestCheck:
    def test_exits_0_without_problems(self, tmp_path):
        write(tmp_path / 'a.json', samples.contract())
        write(tmp_path / 'settings' / 'b.json', samples.sidecar_settings())
        assert run('check', tmp_path).exit_code == 0

    def test_prints_each_problem_and_exits_1(self, tmp_path):
        path = write(
            tmp_path / 'a.json', samples.contract(revision=0, weight=0)
        )
        result = run('check', path)
        assert result.exit_code == 1
        assert f'{path}: field $.revision' in result.output
        assert f'{path}: field $.weight' in result.output

    def test_an_empty_folder_is_an_error(self, tmp_path):
        result = run('check', tmp_path)
        assert result.exit_code == 1
        assert 'nothing to check' in result.output

    def test_takes_the_kind_from_an_option(self, tmp_path):
        path = write(tmp_path / 'a.json', samples.entry_settings())
        result = run('check', '--kind', 'sidecar', path)
        assert '$.backend_server' in result.output


class TestContracts:
    def test_renders_to_standard_output(self, tmp_path):
        write(tmp_path / 'a.json', samples.contract())
        result = run('contracts', 'render', tmp_path)
        names = [json.loads(line)['name'] for line in result.stdout.split()]
        assert result.exit_code == 0
        assert names[-1] == 'contracts.index'
        assert 'contracts.index must be published last' in result.stderr

    def test_renders_to_a_folder(self, tmp_path):
        write(tmp_path / 'in' / 'a.json', samples.contract())
        out = tmp_path / 'out'
        result = run('contracts', 'render', tmp_path / 'in', '--output', out)
        assert result.exit_code == 0
        assert len(list(out.iterdir())) == 2
        assert run('contracts', 'diff', tmp_path / 'in', out).exit_code == 0

    def test_writes_nothing_if_a_contract_is_invalid(self, tmp_path):
        write(tmp_path / 'in' / 'a.json', samples.contract())
        write(tmp_path / 'in' / 'b.json', samples.contract('b', revision=0))
        out = tmp_path / 'out'
        result = run('contracts', 'render', tmp_path / 'in', '--output', out)
        assert result.exit_code == 1
        assert not out.exists()

    def test_diff_exits_1_at_a_fault(self, tmp_path):
        old = write(tmp_path / 'a.json', samples.contract())
        new = write(tmp_path / 'b.json', samples.contract(weight=2))
        result = run('contracts', 'diff', old, new)
        assert result.exit_code == 1
        assert 'FAULT revision stayed 1' in result.output
        assert '1 customers differ, 1 with faults' in result.stderr
