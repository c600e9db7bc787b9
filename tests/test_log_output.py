"""Log lines are written whole or dropped, and never block."""

import json
import os

import pytest
import structlog

from lacewingpitch import log_output


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    data = b''
    while True:
        try:
            chunk = os.read(reader, 1 << 16)
        except BlockingIOError:
            return data
        if not chunk:
            return data
        data += chunk


class TestLogOutput:
    def test_a_full_pipe_does_not_block(self, pipe):
        """Guards against a log line that blocks the whole process.

        The reader of the log has stopped, and the pipe is full.
        """
        reader, writer = pipe
        output = log_output.LogOutput(writer)
        for number in range(1900):
            output.msg(b'{"n":%d,"text":"%s"}' % (number, b'x' * 100))
        read_all(reader)
        output.msg(b'{"n":-1}')
        output.msg(b'{"n":-2}')
        lines = [json.loads(line) for line in read_all(reader).splitlines()]
        dropped = [line for line in lines if 'count' in line]
        assert dropped and dropped[0]['count'] > 0
        assert lines[-1] == {'n': -2}

    def test_lines_beyond_the_rate_are_counted(self, pipe):
        reader, writer = pipe
        output = log_output.LogOutput(writer)
        for _ in range(3000):
            output.msg(b'{}')
            read_all(reader)
        assert output._dropped_count > 0


class TestConfigure:
    def test_lines_are_json_with_the_bound_fields(self, pipe):
        reader, writer = pipe
        try:
            log_output.configure('info', writer, instance='edge-1')
            structlog.get_logger('x').info('hello', size=3)
            structlog.get_logger('x').debug('quiet')
        finally:
            structlog.reset_defaults()
        (line,) = read_all(reader).splitlines()
        entry = json.loads(line)
        assert entry['event'] == 'hello'
        assert (entry['instance'], entry['size']) == ('edge-1', 3)
