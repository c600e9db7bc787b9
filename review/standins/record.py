"""The record of what was sent, answered and run in one case."""

import pathlib
import time


class Record:
    """Writes lines with the time since the start of the case.

    Use it as a context; its file is complete when the context ends.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def __enter__(self) -> 'Record':
        """Begin the record."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Write the file."""
        self._path.write_text(''.join(f'{line}\n' for line in self._lines))

    def line(self, *parts: object) -> None:
        """Add a line."""
        passed_s = time.monotonic() - self._started_s
        text = ' '.join(str(part) for part in parts)
        self._lines.append(f'{passed_s:8.3f} {text}')

    def result(self, text: str) -> None:
        """Add a line, and print it."""
        self.line(text)
        print(text, flush=True)
