"""Measures costs at several sizes, and fits lines to them."""

from collections.abc import Callable, Sequence
import dataclasses
import gc
import time
import tracemalloc

import numpy

US = 1e6
REPEATS = 3


@dataclasses.dataclass(frozen=True)
class Slope:
    """Measured costs by size, to which a line is fitted."""

    subject: str
    unit: str
    sizes: Sequence[int]
    costs: Sequence[float]

    def fit(self):
        """Return slope, intercept, and residual relative to the mean cost."""
        slope, intercept = numpy.polyfit(self.sizes, self.costs, 1)
        fitted = numpy.polyval((slope, intercept), self.sizes)
        residual = numpy.sqrt(numpy.mean((fitted - self.costs) ** 2))
        return slope, intercept, residual / numpy.mean(self.costs)


def held_bytes(build: Callable[..., object], *arguments: object) -> int:
    """Return the memory that the result of `build` occupies, in bytes."""
    gc.collect()
    tracemalloc.start()
    kept = build(*arguments)
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used_bytes


def least_us(
    count: int, work: Callable[..., object], *arguments: object
) -> float:
    """Return the processor time of `work` per item, in microseconds.

    It is the least of `REPEATS` runs of `count` items.
    """
    found = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        work(*arguments)
        found.append(time.process_time() - started_s)
    return min(found) / count * US


def for_each(work: Callable[..., object], keys, *arguments) -> None:
    """Call `work` with each key."""
    for key in keys:
        work(key, *arguments)


def show(slopes: Sequence[Slope]) -> None:
    """Print each slope as a row of a Markdown table."""
    for found in slopes:
        slope, intercept, residual = found.fit()
        unit = f' {found.unit}' if found.unit else ''
        sizes = ', '.join(f'{size:,}' for size in found.sizes)
        largest = found.costs[-1]
        print(
            f'| {found.subject} | {sizes} | {slope:.4g}{unit} |'
            f' {intercept:.4g}{unit} | {residual:.1%} |'
            f' {largest:.4g}{unit} |',
            flush=True,
        )
