"""Registry of a process's metrics, in Prometheus' exposition format."""

from collections.abc import Callable, Mapping
import math

from aiohttp import web
import aioprometheus
from aioprometheus import renderer

# From the shortest answers of plain services to the longest time that
# callers wait for the first event of a stream.
_SECONDS_BUCKETS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
    math.inf,
)

Read = Callable[[], float]
ReadByLabel = Callable[[], Mapping[str, float]]


class Metrics:
    """Registry of metrics whose values are read at each scrape.

    Every metric has the labels ``instance`` and ``availability_zone``.
    """

    def __init__(self, instance: str, availability_zone: str) -> None:
        self._registry = aioprometheus.Registry()
        self._labels = {
            'instance': instance,
            'availability_zone': availability_zone,
        }
        self._readers: list[Callable[[], None]] = []

    def gauge(self, name: str, doc: str, read: Read) -> None:
        """Add a gauge: a value that can go up and down."""
        metric = aioprometheus.Gauge(
            f'lacewingpitch_{name}',
            doc,
            const_labels=self._labels,
            registry=self._registry,
        )
        self._readers.append(lambda: metric.set({}, read()))

    def counter(self, name: str, doc: str, read: Read) -> None:
        """Add a counter: a value that only increases in a process."""
        metric = self._counter(name, doc)
        self._readers.append(lambda: metric.set({}, read()))

    def counter_by(
        self, name: str, doc: str, label: str, read: ReadByLabel
    ) -> None:
        """Add a counter with a label; `read` returns values by label."""
        metric = self._counter(name, doc)

        def update() -> None:
            for value, count in read().items():
                metric.set({label: value}, count)

        self._readers.append(update)

    def duration_histogram(self, name: str, doc: str) -> 'DurationHistogram':
        """Add a histogram of durations in seconds."""
        return DurationHistogram(
            aioprometheus.Histogram(
                f'lacewingpitch_{name}',
                doc,
                const_labels=self._labels,
                registry=self._registry,
                buckets=_SECONDS_BUCKETS,
            )
        )

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a request for ``/metrics``."""
        for update in self._readers:
            update()
        content, headers = renderer.render(
            self._registry, request.headers.getall('Accept', [])
        )
        return web.Response(body=content, headers=headers)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f'lacewingpitch_{name}',
            doc,
            const_labels=self._labels,
            registry=self._registry,
        )


class DurationHistogram:
    """Histogram of durations in seconds, with one label."""

    def __init__(self, histogram: aioprometheus.Histogram) -> None:
        self._histogram = histogram

    def observe(self, label: str, value: str, seconds: float) -> None:
        """Record one duration under a label and its value."""
        self._histogram.observe({label: value}, seconds)
