"""Log output as JSON lines, rate-limited and without blocking."""

import os
import time

import msgspec
import structlog

from lacewingpitch import token_bucket

# Allows a few lines per request of a busy entry, and short bursts of five
# times as many.
_MAX_LINES_PER_S = 400.0
_MAX_BURST_LINES = 2000.0
_LEVELS = {'debug': 10, 'info': 20, 'warning': 30, 'error': 40}


class LogOutput:
    """Writes whole lines to a file descriptor without blocking.

    With blocking writes, a full pipe whose reader has stopped would block
    the process at its next log line.  Lines that cannot be written
    immediately, or that exceed the rate limit, are dropped; the next
    line that is written is preceded by a count of the dropped ones.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        now_s = time.monotonic()
        self._bucket = token_bucket.TokenBucket(
            _MAX_LINES_PER_S, _MAX_BURST_LINES, _MAX_BURST_LINES, now_s
        )
        self._pending = b''
        self._dropped_count = 0

    def msg(self, line: bytes) -> None:
        """Write one line, or drop it."""
        now_s = time.monotonic()
        if self._bucket.level(now_s) < 1.0 or not self._flush():
            self._dropped_count += 1
            return
        self._bucket.add(-1.0, now_s)
        if self._dropped_count:
            dropped_line = msgspec.json.encode(
                {'event': 'log lines dropped', 'count': self._dropped_count}
            )
            line = dropped_line + b'\n' + line
            self._dropped_count = 0
        self._pending = line + b'\n'
        self._flush()

    log = debug = info = warning = error = critical = exception = msg

    def _flush(self) -> bool:
        """Write the pending bytes; return whether all of them are written."""
        if not self._pending:
            return True
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return False
        except OSError:
            # The descriptor has no reader, and there is no other place to
            # report the error.  The line is discarded.
            written = len(self._pending)
        self._pending = self._pending[written:]
        return not self._pending


def configure(level: str, descriptor: int, **bound: str) -> None:
    """Write logs as JSON lines to a file descriptor.

    Parameters
    ----------
    level
        Lowest level to write: ``debug``, ``info``, ``warning`` or
        ``error``.
    descriptor
        File descriptor; it is set to non-blocking mode.
    bound
        Fields that are added to every line, such as the name of the
        instance.
    """
    output = LogOutput(descriptor)

    def add_bound_fields(
        _logger: object, _name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event.update(bound)
        return event

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            add_bound_fields,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=lambda *_: output,
        cache_logger_on_first_use=True,
    )


def _encode(event: object, **_options: object) -> bytes:
    return msgspec.json.encode(event, enc_hook=repr)
