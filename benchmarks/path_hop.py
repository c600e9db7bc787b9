"""Processor time of the product's code to relay an event in one process.

Run ``python -m benchmarks.path_hop``.  It feeds the streams directly, with
neither sockets nor peers, so that the figures contain the library's reader
and the product's code alone.  Run two versions in turns to compare them.
"""

import asyncio
import time

import aiohttp
from aiohttp import client_proto
import click
import uvloop

from lacewingpitch import account
from lacewingpitch import answer_delivery
from lacewingpitch import clock
from lacewingpitch import contract
from lacewingpitch import customer_limits
from lacewingpitch import engine
from lacewingpitch import engine_runner
from lacewingpitch import event_stream
from lacewingpitch import response_format
from lacewingpitch import runs
from lacewingpitch import sidecar_link
from lacewingpitch import work

EVENT = b'data: {"choices":[{"delta":{"content":"x"}}],"id":"%030d"}\n\n'


class Writer:
    """Counts the bytes of a response."""

    def __init__(self):
        self.byte_count = 0

    async def write(self, data):
        self.byte_count += len(data)


class Request:
    """A request without headers, whose caller stays connected."""

    headers = {}
    transport = None


class Upstream:
    """A response that is still being read."""

    status = 200
    content_type = 'text/event-stream'
    headers = {'Content-Type': content_type}

    def __init__(self, content):
        self.content = content


def make_content():
    """Return a response body without a socket."""
    loop = asyncio.get_running_loop()
    protocol = client_proto.ResponseHandler(loop)
    protocol.connection_made(asyncio.Transport())
    return aiohttp.StreamReader(protocol, 1 << 16, loop=loop)


def entry_stream(content, writer):
    """Return the coroutine by which an entry relays one stream."""
    order = work.WorkOrder(
        request_id='1',
        attempt=0,
        customer='customer',
        contract_revision=1,
        urgency=contract.Urgency.STANDARD,
        weight=1.0,
        deadline_s=1.0,
        method='POST',
        path='/',
        repeatable=True,
        adapter=contract.AdapterGrant(name='a', version='1', base_model='b'),
    )
    attempt = sidecar_link.Attempt(order, None, b'', '')
    reply = sidecar_link.Reply(None, attempt, Upstream(content), None)
    delivery = answer_delivery.AnswerDelivery(
        Request(),
        order,
        reply,
        account.Tally('1', clock.SystemClock()),
        customer_limits.AdmittedRequest(1.0),
    )
    return delivery._relay_events(writer)


def sidecar_stream(content, writer):
    """Return the coroutine by which a sidecar relays one stream."""
    delivery = runs.Delivery(Request(), {})
    delivery.response = writer
    found = engine.EngineAnswer(
        200, 'text/event-stream', '', content.iter_any()
    )
    return engine_runner._relay_events(
        delivery, event_stream.EventRelay(), found
    )


def bare_stream(content, writer):
    """Return a coroutine that relays a stream and does nothing else."""

    async def relay():
        while chunk := await content.readany():
            await writer.write(chunk)

    return relay()


async def measure(make_stream, stream_count, event_count):
    """Return the processor time per event, in microseconds."""
    contents = [make_content() for _ in range(stream_count)]
    writer = Writer()
    tasks = [asyncio.create_task(make_stream(c, writer)) for c in contents]
    await asyncio.sleep(0)
    started_s = time.process_time()
    for number in range(event_count):
        event = EVENT % number
        for content in contents:
            content.feed_data(event)
        # The first iteration of the loop wakes the tasks up; by the second
        # they wait again.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    used_s = time.process_time() - started_s
    for content in contents:
        content.feed_data(response_format.STREAM_END)
        content.feed_eof()
    await asyncio.gather(*tasks)
    count = stream_count * event_count
    size = (
        len(EVENT % 0) * count + len(response_format.STREAM_END) * stream_count
    )
    assert writer.byte_count == size
    return used_s / count * 1e6


@click.command()
@click.option('--streams', default=100, show_default=True)
@click.option('--events', default=300, show_default=True)
def main(streams, events):
    """Print microseconds per event of a bare relay, entry and sidecar."""
    for make_stream in (bare_stream, entry_stream, sidecar_stream):
        found = [
            uvloop.run(measure(make_stream, streams, events)) for _ in range(5)
        ]
        print(f'{make_stream.__name__} {min(found):.2f}', flush=True)


if __name__ == '__main__':
    main()
