"""Runs the event loop of a process."""

from collections.abc import Coroutine
import os
from typing import Any, TypeVar

import uvloop

Result = TypeVar('Result')


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in a new event loop, and return its result.

    The loop uses epoll alone, also where its library prefers io_uring.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    return uvloop.run(main)
