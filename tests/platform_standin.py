"""A stand-in for the platform: its store, model engines and a service."""

import asyncio
import base64
import contextlib
import json
import math
import random
import re
import time
import tomllib

from aiohttp import web

from tests import processes
from tests import standin_crashes
from tests import standin_memory

SERVICE = 'svc-engine'
PLAIN = 'svc-plain'
MODEL = 'base-1'
SIGNATURE = 'Response-Signature'


class Store:
    """A key-value store with revisions, paged reads and watches."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.oldest = 10
        self.is_down = False
        self.call_count = 0
        self._changed = asyncio.Condition()
        self.page_size = 3
        self.epoch = 1

    def backup(self):
        """Return a backup for a later `restore`."""
        return self.revision, dict(self.items)

    async def restore(self, backup):
        """Restore a backup; later writes are lost, and the epoch rises."""
        self.revision, items = backup
        self.items = dict(items)
        self.history.clear()
        self.oldest = self.revision
        self.epoch += 1
        async with self._changed:
            self._changed.notify_all()

    async def put(self, key, value):
        content = base64.b64encode(json.dumps(value).encode()).decode()
        await self.put_content(key, content)

    async def put_content(self, key, content):
        self.revision += 1
        item = {'key': key, 'value': content, 'revision': self.revision}
        self.items[key] = item
        await self._record_event(item)

    async def delete(self, key):
        self.revision += 1
        del self.items[key]
        await self._record_event(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )

    async def drop_history(self):
        self.history.clear()
        self.oldest = self.revision

    async def _record_event(self, event):
        self.history.append(event)
        async with self._changed:
            self._changed.notify_all()

    def routes(self):
        return [
            web.get('/lacewingpitch/kv-range', self._in_epoch('_range')),
            web.get('/lacewingpitch/kv-watch', self._in_epoch('_watch')),
        ]

    def _in_epoch(self, name):
        async def answer(request):
            response = await getattr(self, name)(request)
            response.headers.setdefault('Store-Era', str(self.epoch))
            return response

        return answer

    async def _range(self, request):
        self.call_count += 1
        if self.is_down:
            return web.Response(status=503)
        prefix = request.query['pathPrefix']
        after = request.query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = keys[: self.page_size]
        return web.json_response(
            {
                'items': [self.items[key] for key in page],
                'hasMore': len(keys) > len(page),
                'at': self.revision,
            }
        )

    async def _watch(self, request):
        self.call_count += 1
        prefix = request.query['pathPrefix']
        after = int(request.query['after'])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(request.query['waitMs']) / 1000):
                epoch = self.epoch
                while not self.is_down:
                    if epoch != self.epoch:
                        request.transport.abort()
                        return web.Response()
                    if after < self.oldest or after > self.revision:
                        return web.Response(status=410)
                    if self._events(prefix, after):
                        break
                    async with self._changed:
                        await self._changed.wait()
        if self.is_down:
            return web.Response(status=503)
        events = self._events(prefix, after)
        return web.json_response({'events': events, 'at': self.revision})

    def _events(self, prefix, after):
        return [
            event
            for event in self.history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]


class AnnouncingServer:
    """A server that says in its answers how it wants to be used.

    It may name a request rate limit, announce that it leaves, and turn
    requests away and ask their senders for backoff.
    """

    def __init__(self, name):
        self.name = name
        # Stays the same at a restart, as its address does.
        self.link = name
        self.arrived_at_s = []
        # Ids and times of requests, in the order of their arrival, each with
        # the name of the incarnation that got it.
        self.arrivals = []
        self.is_leaving = False
        # Ids, times and incarnations of answers that announced its leaving.
        self.leaving_answers = []
        self.shed_ratio = 0.0
        # The text of Retry-After; the header is absent if it is empty.
        self.retry_after = ''
        # Ids, times, incarnations and backoffs of the requests that were
        # turned away.
        self.backoff_answers = []
        # Ids of requests whose connection it ended before a whole answer.
        self.broken_off = set()
        self.crashes = standin_crashes.Crashes()
        self.is_down = False
        # Stops to accept connections; set where it is served.
        self.stop_listening = lambda: None
        # Returns the open connections, also idle ones; set where it is
        # served.
        self.open_transports = lambda: ()
        # Connections of the requests in progress.
        self._transports = set()
        # Set while it writes; what it has to say waits otherwise.
        self._speaks = asyncio.Event()
        self._speaks.set()
        # Share of the requests that it answers with 500.
        self.error_ratio = 0.0
        self._failures = random.Random(2)
        self._random = random.Random(1)
        self._limit_per_s = None
        # Limits, each with the times of its first and of its last answer.
        self._periods = []

    def crash(self, is_in_order=False):
        """End all open connections; accept none until it is up again."""
        self.crashes.count += 1
        self.is_down = True
        self.stop_listening()
        transports = self._transports.union(self.open_transports())
        standin_crashes.close_all(transports, is_in_order)
        if self.crashes.on_crash:
            self.crashes.on_crash(self)

    def break_off(self, request):
        """End the connection of a request before its answer is whole."""
        self.broken_off.add(request.headers['Request-Id'])
        request.transport.abort()

    def fall_silent(self, for_s=math.inf):
        """Write nothing for some time, and then go on."""
        self._speaks.clear()
        if math.isfinite(for_s):
            asyncio.get_running_loop().call_later(for_s, self._speaks.set)

    async def spoken(self, answer):
        """Return an answer as soon as it may be written."""
        await self.may_speak()
        return answer

    async def may_speak(self):
        """Wait until the server writes.

        What an answer says of the server is said as it is written.
        """
        await self._speaks.wait()

    def set_limit(self, per_s):
        """Name a limit in all answers from now on; none for ``None``."""
        self._limit_per_s = per_s

    def limit_periods(self):
        """Return each limit with the times from which and to which it was.

        A limit begins with the first answer that names it.
        """
        return [tuple(period) for period in self._periods]

    def record_arrival(self, request):
        """Record a request that has arrived."""
        now_s = time.monotonic()
        self.arrived_at_s.append(now_s)
        request_id = request.headers['Request-Id']
        self.arrivals.append((request_id, now_s, self.name))

    async def shed(self, request):
        """Return the answer that turns a request away, or ``None``."""
        if self._random.random() >= self.shed_ratio:
            return None
        await self.may_speak()
        request_id = request.headers['Request-Id']
        headers = {'Not-Executed': '1', 'Request-Id': request_id}
        if self.retry_after:
            headers['Retry-After'] = self.retry_after
            self.backoff_answers.append(
                (
                    request_id,
                    time.monotonic(),
                    self.name,
                    float(self.retry_after),
                )
            )
        headers.update(self.notice_headers(request))
        return web.Response(status=503, headers=headers)

    def answer_headers(self, request):
        """Return the headers of an answer to a request that ran."""
        return {
            'Request-Id': request.headers['Request-Id'],
            SIGNATURE: f'signed-by-{self.name}',
            **self.notice_headers(request),
        }

    def notice_headers(self, request):
        """Return what an answer that is written now says of the server."""
        headers = self.limit_headers()
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
            self.leaving_answers.append(
                (request.headers['Request-Id'], time.monotonic(), self.name)
            )
        return headers

    def limit_headers(self):
        """Return the headers of an answer that is written now."""
        now_s = time.monotonic()
        is_open = bool(self._periods) and self._periods[-1][2] == math.inf
        if is_open and self._periods[-1][0] != self._limit_per_s:
            self._periods[-1][2] = now_s
            is_open = False
        if self._limit_per_s is None:
            return {}
        if not is_open:
            self._periods.append([self._limit_per_s, now_s, math.inf])
        return {'Server-Limit': str(self._limit_per_s)}


class Engine(AnnouncingServer):
    """A model engine that answers as documented by the platform."""

    def __init__(self, name, adapter_slots=4):
        super().__init__(name)
        self.adapter_slots = adapter_slots
        self.adapters = {}
        self.pending = {}
        self.runs = []
        # Events made so far, by run.
        self.events_by_run = {}
        self.ran = []
        # Id, start time and headers of each run.
        self.run_log = []
        self.seen = []
        self.order_count = 0
        self.has_crashed = False
        # Whether its reports show that it leaves, as its answers do.
        self.reports_leaving = True
        self.event_count = 5
        self.event_pause_s = 0.02
        # Whether the data of each event is the id of its request.
        self.has_ids_in_events = False
        self.abort_after_event = None
        self.copies = standin_memory.RunCopies()

    def restart(self, name):
        """Restart without adapters, as another incarnation."""
        self.copies.drop(self.name)
        self.name = name
        self.adapters.clear()
        self.pending.clear()
        self.order_count = 0
        self.is_leaving = False
        self.shed_ratio = 0.0
        self.set_limit(None)
        self.limit_headers()

    def routes(self):
        return [
            web.get('/lacewingpitch/report', self._up(self._report)),
            web.post('/lacewingpitch/order', self._up(self._order)),
            web.get('/healthz', self._up(self._health)),
            *(
                web.route(r.method, r.path, self._up(r.handler))
                for r in self.copies.routes(self)
            ),
            web.route('*', '/{path:.*}', self._up(self._run)),
        ]

    def _up(self, handler):
        async def answer(request):
            transport = request.transport
            if transport is None or self.is_down:
                if transport is not None:
                    transport.abort()
                return web.Response()
            self._transports.add(transport)
            try:
                return await self.spoken(await handler(request))
            finally:
                self._transports.discard(transport)

        return answer

    async def _health(self, _request):
        return web.Response(headers={'Instance-Id': self.name})

    async def _report(self, _request):
        return web.json_response(
            {
                'stage': 'mixed',
                'state': self._state(),
                'models': [self._model()],
                'pending': [
                    f'{MODEL}/{a}@{v}' for a, v in self.pending.items()
                ],
                'busy': False,
                'sequence': self.order_count,
                'queued': 0,
                'active': len(self.runs),
                'runs': [
                    [run, 10, self.events_by_run.get(run, 0), 5]
                    for run in self.runs
                ],
            }
        )

    def _state(self):
        is_shown = self.is_leaving and self.reports_leaving
        return 'draining' if is_shown else 'ready'

    def _model(self):
        listed = [f'{a}@{v}' for a, v in self.adapters.items()]
        return {'name': MODEL, 'version': 1, 'adapters': listed}

    def entry(self, address, zone='zone-a', state='ready'):
        return {
            'service': SERVICE,
            'address': address,
            'zone': zone,
            'version': 'v1',
            'slots': 8,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': self.order_count,
            'stage': 'mixed',
            'models': [self._model()],
        }

    async def _order(self, request):
        body = await request.json()
        if request.headers.get('Expect-Instance') != self.name:
            return web.Response(status=421, headers={'Instance-Id': self.name})
        if not body.get('holder') or 'fencingToken' not in body:
            return web.Response(status=400)
        self.order_count += 1
        adapter = body['adapter']
        if body['operation'] == 'unload':
            self.adapters.pop(adapter, None)
            return web.Response()
        taken = {*self.adapters, *self.pending, adapter}
        if len(taken) > self.adapter_slots:
            self.has_crashed = True
        self.pending[adapter] = body.get('version', 1)
        asyncio.get_running_loop().call_later(0.1, self._loaded, adapter)
        return web.Response(status=202)

    def _loaded(self, adapter):
        version = self.pending.pop(adapter, None)
        if version is not None:
            self.adapters[adapter] = version

    async def _run(self, request):
        body = await request.read()
        self.seen.append((request.raw_path, dict(request.headers)))
        self.record_arrival(request)
        if (refused := await self.shed(request)) is not None:
            return refused
        adapter = request.headers.get('Model', '').partition('/')[2]
        if request.headers.get('Expect-Instance') != self.name or (
            adapter and adapter not in self.adapters
        ):
            await self.may_speak()
            return web.Response(
                status=421,
                headers={'Not-Executed': '1', **self.notice_headers(request)},
            )
        if self._failures.random() < self.error_ratio:
            await self.may_speak()
            headers = self.answer_headers(request)
            return web.Response(status=500, headers=headers)
        if self.crashes.is_deadly(request, body):
            await self.crashes.crash_under(self, request)
            await asyncio.sleep(1.0)
        copy = request.headers.get('Kv-From')
        request_id = request.headers['Request-Id']
        if copy and not self.copies.take(self, request_id, copy):
            return web.Response(status=503, headers={'Not-Executed': '1'})
        return await self._stream(request)

    async def _stream(self, request):
        request_id = request.headers['Request-Id']
        if 'Kv-From' not in request.headers:
            self.ran.append(request_id)
        self.runs.append(request_id)
        self.run_log.append(_run_entry(request))
        stop = self.copies.begin(request_id)
        try:
            if self.crashes.is_unframed:
                return await self._stream_unframed(request)
            await self.may_speak()
            response = web.StreamResponse(
                headers={
                    'Content-Type': 'text/event-stream',
                    **self.answer_headers(request),
                }
            )
            await response.prepare(request)
            first = int(request.headers.get('Last-Event-Id', 0)) + 1
            for number in range(first, self.event_count + 1):
                await self.may_speak()
                await response.write(self._event(request, number))
                self.events_by_run[request_id] = number
                if number == self.abort_after_event:
                    self.abort_after_event = None
                    self.break_off(request)
                    return response
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self.event_pause_s):
                        await stop.wait()
                if stop.is_set():
                    request.transport.abort()
                    return response
            await self.may_speak()
            await response.write_eof()
            return response
        except ConnectionResetError:
            # The caller has disconnected, which ends the run.
            return response
        finally:
            self.runs.remove(request_id)
            self.events_by_run.pop(request_id, None)

    def _event(self, request, number):
        if not self.has_ids_in_events:
            return standin_crashes.event(number)
        request_id = request.headers['Request-Id'].encode()
        return standin_crashes.event(number, request_id)

    async def _stream_unframed(self, request):
        await self.may_speak()
        standin_crashes.begin_unframed(self, request)
        first = int(request.headers.get('Last-Event-Id', 0)) + 1
        for number in range(first, self.event_count + 1):
            await self.may_speak()
            request.transport.write(self._event(request, number))
            self.events_by_run[request.headers['Request-Id']] = number
            await asyncio.sleep(self.event_pause_s)
        request.transport.close()
        return web.Response()


class Service(AnnouncingServer):
    """A plain service that records the requests that it runs."""

    def __init__(self, name):
        super().__init__(name)
        self.runs = []
        self.run_log = []
        self.delay_s = 0.0
        self.aborts_left = 0
        # Share of the requests that it runs and then breaks off, and what of
        # the answer it sends before.
        self.broken_ratio = 0.0
        self.sent_before_break = b''
        # Added to each answer.
        self.filler = b''

    def routes(self):
        return [web.route('*', '/{path:.*}', self._tracked)]

    async def _tracked(self, request):
        transport = request.transport
        if transport is None or self.is_down:
            if transport is not None:
                transport.abort()
            return web.Response()
        self._transports.add(transport)
        try:
            return await self.spoken(await self._run(request))
        finally:
            self._transports.discard(transport)

    def restart(self, name):
        """Restart as another incarnation."""
        self.name = name
        self.is_leaving = False
        self.shed_ratio = 0.0
        self.set_limit(None)
        self.limit_headers()

    def entry(self, address, zone='zone-a', state='ready'):
        return {
            'service': PLAIN,
            'address': address,
            'zone': zone,
            'version': 'v1',
            'slots': 6,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': 1,
        }

    async def _run(self, request):
        body = await request.read()
        self.record_arrival(request)
        if (refused := await self.shed(request)) is not None:
            return refused
        self.runs.append(request.headers['Request-Id'])
        self.run_log.append(_run_entry(request))
        if self.aborts_left:
            self.aborts_left -= 1
            self.break_off(request)
            return web.Response()
        if self.crashes.is_deadly(request, body):
            await self.crashes.crash_under(self, request)
            return web.Response()
        await asyncio.sleep(self.delay_s)
        if self._failures.random() < self.broken_ratio:
            request.transport.write(self.sent_before_break)
            request.transport.close()
            return web.Response()
        is_failed = self._failures.random() < self.error_ratio
        await self.may_speak()
        return web.Response(
            status=500 if is_failed else 200,
            body=b'ran ' + body + self.filler,
            headers=self.answer_headers(request),
        )


def _run_entry(request):
    headers = dict(request.headers)
    return headers['Request-Id'], time.monotonic(), headers


def configuration(version, tenants=None, copies_runs=False, **changed):
    """Return a configuration with one route of each kind."""
    routes = [
        _route('chat', 'streaming', SERVICE, 2, resumable=True),
        _route('draft', 'streaming', SERVICE, 1),
        _route('command', 'unsafe', PLAIN, 1),
        _route('lookup', 'safe', PLAIN, 2),
        _route('extra', 'safe', PLAIN, 2),
    ]
    for route in routes:
        route.update(changed.get(route['name'], {}))
    engine = {
        'slots': 8,
        'adapterSlots': 4,
        'models': [{'name': MODEL, 'adapters': 50}],
    }
    if copies_runs:
        engine |= {'moves': True, 'handle_s': 5, 'kvBytes': 1e5}
        engine |= {'linkMbps': 1e5}
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': SERVICE, 'healthPath': '/healthz', 'engine': engine},
            {'name': PLAIN, 'healthPath': '/healthz'},
        ],
        'limits': {'maxBodyBytes': 1 << 20},
        **({} if tenants is None else {'tenants': tenants}),
    }


def _route(name, kind, service, attempts, **fields):
    return {
        'name': name,
        'host': 'h.example',
        'pathPrefix': f'/{name}/',
        'type': kind,
        'timeoutMs': 8000,
        'targetLatencyMs': 800,
        'priority': 0,
        'service': service,
        'maxAttempts': attempts,
        'targetGapMs': 250,
        **fields,
    }


def fields_of(role, ip, ports, store, seeds=()):
    """Return the fields of a settings file under the platform's names."""
    listen = {}
    if role == 'entry':
        listen = {
            'frontend': f'{ip}:{ports["callers"]}',
            'ready': f'{ip}:{ports["ready"]}',
            'controlPlane': f'{ip}:{ports["control"]}',
        }
    app = {} if role == 'entry' else {'app': store['engine']}
    return {
        'nodeName': f'{role}-{ip}',
        'zone': 'zone-a',
        'ip': ip,
        'internalPortRange': [ports['internal'], ports['internal'] + 15],
        'platform': {'address': store['address']},
        'listen': listen,
        'seeds': [f'{seed}:{ports["control"]}' for seed in seeds],
        'service': SERVICE,
        **app,
        'bounds': {
            'graceS': 4,
            'configApplyMs': 2000,
            'drainMs': 2000,
            'contactMs': 3000,
            'strictRevocation': True,
            'revokeMs': 5000,
            'retryBudgetRatio': 0.2,
            'retryBudgetExtra': 52,
            'budgetWindowS': 10,
        },
    }


def render(fields):
    """Render the settings template as the platform does."""
    text = (processes.ROOT / 'deploy' / 'settings.json').read_text()
    section = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.S)
    text = section.sub(lambda m: m[2] if _value(fields, m[1]) else '', text)
    return re.sub(
        r'\{\{([\w.]+)\|json\}\}',
        lambda m: json.dumps(_value(fields, m[1])),
        text,
    )


def _value(fields, path):
    for step in path.split('.'):
        if isinstance(fields, list):
            fields = fields[int(step)]
        else:
            fields = fields.get(step)
        if fields is None:
            return None
    return fields


def commands():
    """Return the arguments of the programs in the deploy file, by role."""
    text = (processes.ROOT / 'deploy' / 'system.toml').read_text()
    roles = tomllib.loads(text)['roles']
    return {name: role['run'].split()[1:] for name, role in roles.items()}
