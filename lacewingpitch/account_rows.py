"""Counter rows by customer, stored packed while a customer is idle."""

from collections.abc import Iterator, Mapping
import itertools
from typing import TypeAlias

import msgspec

from lacewingpitch import burn

Row: TypeAlias = dict[int, int]
_DECODER = msgspec.msgpack.Decoder(dict[int, int])


def merge(row: Row, other: Mapping[int, int]) -> bool:
    """Merge another copy of the same row; return whether a count grew."""
    grew = False
    for number, count in other.items():
        if count > row.get(number, 0):
            row[number] = count
            grew = True
    return grew


def add(row: Row, other: Mapping[int, int]) -> None:
    """Add the counts of `other` to `row`."""
    for number, count in other.items():
        row[number] = row.get(number, 0) + count


class RowTable:
    """Rows by customer, of which idle ones are stored packed.

    Most customers are idle at any moment.  A packed row takes about a
    tenth of the memory of a dictionary.  `sweep` packs the rows that were
    not written to since it last visited them; the next write unpacks
    them.
    """

    def __init__(self) -> None:
        self._active: dict[str, Row] = {}
        self._packed: dict[str, bytes] = {}
        self._written_since_sweep: set[str] = set()
        self._sweep_order: Iterator[str] = iter(())

    def __len__(self) -> int:
        return len(self._active) + len(self._packed)

    def __iter__(self) -> Iterator[str]:
        return itertools.chain(tuple(self._active), tuple(self._packed))

    def row(self, customer: str) -> Mapping[int, int]:
        """Return a customer's row for reading; empty if there is none."""
        found = self._active.get(customer)
        if found is not None:
            return found
        packed = self._packed.get(customer)
        return {} if packed is None else _DECODER.decode(packed)

    def writable_row(self, customer: str) -> Row:
        """Return a customer's row for writing, created if there is none.

        Don't keep it: a later sweep may replace it by a packed row.
        """
        self._written_since_sweep.add(customer)
        found = self._active.get(customer)
        if found is None:
            packed = self._packed.pop(customer, None)
            found = {} if packed is None else _DECODER.decode(packed)
            self._active[customer] = found
        return found

    def sweep(self, count: int, now_s: float) -> None:
        """Drop expired slots of the next `count` active rows; pack idle rows.

        Parameters
        ----------
        count
            Maximum number of rows to visit; the next call goes on there.
        now_s
            Wall clock time.
        """
        batch = list(itertools.islice(self._sweep_order, count))
        if len(batch) < count:
            self._sweep_order = iter(tuple(self._active))
        for customer in batch:
            self._sweep_row(customer, now_s)

    def _sweep_row(self, customer: str, now_s: float) -> None:
        row = self._active.get(customer)
        if row is None:
            return
        for number in burn.expired_counters(row, now_s):
            del row[number]
        if customer in self._written_since_sweep:
            self._written_since_sweep.discard(customer)
            return
        self._packed[customer] = msgspec.msgpack.encode(row)
        del self._active[customer]
