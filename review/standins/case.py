"""Runs one case, and exits as its result says."""

import asyncio
from collections.abc import Awaitable, Callable
import os
import pathlib
import sys
import tempfile

from standins import fleet as fleet_module
from standins import record as record_module

HELD, BROKEN, NOT_RUN = 0, 1, 2
_LIMIT_S = 105.0

Play = Callable[[fleet_module.Fleet, bool], Awaitable[int]]


def main(folder: pathlib.Path, play: Play) -> None:
    """Play a case, with the disruption unless TROUBLE is 0.

    Parameters
    ----------
    folder
        Gets the file `record.txt`.
    play
        Takes a deployment and whether there is a disruption; returns one of
        `HELD`, `BROKEN` and `NOT_RUN`.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        result = asyncio.run(_run(folder, play, has_trouble))
    except Exception as error:
        print(f'the case could not run: {error!r}', flush=True)
        result = NOT_RUN
    sys.exit(result)


async def _run(folder: pathlib.Path, play: Play, has_trouble: bool) -> int:
    with (
        tempfile.TemporaryDirectory() as temporary,
        record_module.Record(folder / 'record.txt') as record,
    ):
        path = pathlib.Path(temporary)
        async with (
            asyncio.timeout(_LIMIT_S),
            fleet_module.Fleet(path, record) as fleet,
        ):
            return await play(fleet, has_trouble)
