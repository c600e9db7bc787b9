"""Log lines to standard output, bounded and never waited for."""

import os
import time

import msgspec
import structlog

from lacewingpitch import token_bucket

# A few lines for each request of a busy entry, and bursts of five times
# that for some seconds.
_LINES_PER_S = 400.0
_BURST_LINES = 2000.0
_LEVELS = {'debug': 10, 'info': 20, 'warning': 30, 'error': 40}


class LogOutput:
    """Writes whole lines to a descriptor that must not block.

    A pipe that nobody reads would stop the process at its next line.
    What can't be written at once, or is beyond the rate, is left out,
    and the next line that goes out says how many were.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        now_s = time.monotonic()
        self._rate = token_bucket.TokenBucket(
            _LINES_PER_S, _BURST_LINES, _BURST_LINES, now_s
        )
        self._rest = b''
        self._left_out_count = 0

    def msg(self, line: bytes) -> None:
        """Write one line, or leave it out."""
        now_s = time.monotonic()
        if self._rate.level(now_s) < 1.0 or not self._flush():
            self._left_out_count += 1
            return
        self._rate.add(-1.0, now_s)
        if self._left_out_count:
            note = msgspec.json.encode(
                {'event': 'lines left out', 'count': self._left_out_count}
            )
            line = note + b'\n' + line
            self._left_out_count = 0
        self._rest = line + b'\n'
        self._flush()

    log = debug = info = warning = error = critical = exception = msg

    def _flush(self) -> bool:
        """Write what is left of a line; return whether nothing is."""
        if not self._rest:
            return True
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody can read the line, and there is no other place to
            # tell of it.
            written = len(self._rest)
        self._rest = self._rest[written:]
        return not self._rest


def configure(level: str, descriptor: int, **bound: str) -> None:
    """Write logs as JSON lines to a descriptor.

    Parameters
    ----------
    bound
        Fields of every line, such as the instance's name.
    """
    output = LogOutput(descriptor)

    def bind(
        _logger: object, _name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event.update(bound)
        return event

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            bind,
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
