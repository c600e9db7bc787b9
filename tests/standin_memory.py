"""Copies of runs' memory between the engines of the stand-in."""

import asyncio

from aiohttp import web


class RunCopies:
    """The copies of all engines, and the runs that were stopped.

    Attributes
    ----------
    engines
        Engines by the address with which they are listed.
    held
        Request id, and names of source and target, by handle.
    used, freed
        Handles that were used, and that were freed.
    overlaps
        Requests that continued while another engine ran them.
    mixed
        Requests that continued from the memory of another.
    faults
        What goes wrong with the next copies: ``lost`` or ``refused``.
    """

    def __init__(self):
        self.engines = {}
        self.held = {}
        self.used = []
        self.freed = []
        self.overlaps = []
        self.mixed = []
        self.faults = []
        self.delay_s = 0.0
        self._stops = {}

    def routes(self, engine):
        return [
            web.post(
                '/lacewingpitch/kv-move',
                lambda request: self._copy(engine, request),
            ),
            web.delete('/lacewingpitch/kv-handle/{handle}', self._free),
        ]

    def begin(self, request_id):
        """Return an event that is set when the run is to stop."""
        stop = self._stops[request_id] = asyncio.Event()
        return stop

    def take(self, engine, request_id, header):
        """Use the copy that a request names; return whether it is there."""
        handle = header.partition('/')[2]
        run_id, *names = self.held.get(handle, ('',))
        if engine.name not in names:
            return False
        del self.held[handle]
        self.used.append(handle)
        if run_id != request_id:
            self.mixed.append(request_id)
        if any(run_id in found.runs for found in self.engines.values()):
            self.overlaps.append(run_id)
        return True

    def drop(self, name):
        """Drop the copies of an engine that has ended."""
        self.held = {
            handle: found
            for handle, found in self.held.items()
            if name not in found
        }

    async def _copy(self, engine, request):
        body = await request.json()
        run_id = body['id']
        if request.headers.get('Expect-Instance') != engine.name:
            return web.Response(status=421)
        fault = self.faults.pop(0) if self.faults else ''
        target = self.engines.get(body['to'])
        if fault == 'refused' or target is None or target.is_down:
            return web.Response(status=409 if fault else 503)
        handle = f'{run_id}.{engine.name}.{target.name}'
        if run_id not in engine.runs and handle not in self.held:
            return web.Response(status=404)
        self.held[handle] = (run_id, engine.name, target.name)
        await asyncio.sleep(self.delay_s)
        if body.get('last') and run_id in engine.runs:
            self._stops[run_id].set()
            while run_id in engine.runs:
                await asyncio.sleep(0.002)
        if fault == 'lost':
            request.transport.abort()
        return web.json_response({'handle': handle, 'createdAt': 1})

    async def _free(self, request):
        handle = request.match_info['handle']
        self.held.pop(handle, None)
        self.freed.append(handle)
        return web.Response()
