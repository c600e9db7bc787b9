"""A fake model engine in virtual time, with reports and orders."""

import asyncio
import math

from lacewingpitch import engine_orders
from lacewingpitch import engine_snapshot
from lacewingpitch import errors

Result = engine_orders.OrderResult
MODEL = 'm'
REPORT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 1.0


class FakeEngine:
    """Holds adapters; crashes if they exceed the number of slots.

    Parameters
    ----------
    load_s
        Duration of a load.
    held
        Versions of the adapters that it holds initially.
    """

    def __init__(self, slot_count=3, load_s=0.25, has_model=True, held=()):
        self.slot_count = slot_count
        self.load_s = load_s
        self.name = 'i-1'
        self.is_up = True
        self.is_leaving = False
        self.models = {MODEL} if has_model else set()
        self.held = dict(held)
        self.pending = {}
        self.runs = set()
        self.events_by_run = {}
        self.report_count = 0
        self.queued = 0
        self.in_use = set()
        self.order_count = 0
        self.fence = 0
        self.crash_count = 0
        self.loads = []
        self.model_orders = []
        self.lose_answers = 0
        self.busy_answers = 0
        self.report_delay_s = 0.0
        self.is_load_lost = False
        self.started_at_ms = 0
        self.limit_per_s = None
        self.is_connection_new = True
        # How often it was asked for its name, and whether it keeps silent.
        self.name_count = 0
        self.names_silent = False
        self._silent_until_s = 0.0

    def fall_silent(self, for_s=math.inf):
        """Read and work, but answer nothing for some time."""
        now_s = asyncio.get_running_loop().time()
        self._silent_until_s = now_s + for_s

    @property
    def silent_left_s(self):
        """Return how long it still answers nothing."""
        now_s = asyncio.get_running_loop().time()
        return max(0.0, self._silent_until_s - now_s)

    async def _spoken(self, timeout_s):
        left_s = self.silent_left_s
        if left_s > timeout_s:
            await asyncio.sleep(timeout_s)
            self._check_up()
            raise errors.SilentError('no answer in time')
        if left_s > 0.0:
            await asyncio.sleep(left_s)
            self._check_up()

    def restart(self, name, started_at_ms=0):
        self.name = name
        self.started_at_ms = started_at_ms
        self.held.clear()
        self.pending.clear()
        self.runs.clear()
        self.events_by_run.clear()
        self.models.clear()
        self.order_count = 0
        self.fence = 0
        self.is_connection_new = True

    async def incarnation(self):
        self._check_up()
        self.name_count += 1
        if self.names_silent:
            raise errors.SilentError('no answer in time')
        await self._spoken(ORDER_TIMEOUT_S)
        return self.name

    async def report(self):
        self._check_up()
        self.report_count += 1
        found = engine_snapshot.EngineSnapshot(
            order_count=self.order_count,
            is_leaving=self.is_leaving,
            is_busy=False,
            models=frozenset(self.models),
            held=dict(self.held),
            pending=dict(self.pending),
            run_ids=frozenset(self.runs),
            queued=self.queued,
            running=len(self.runs),
            started_at_ms=self.started_at_ms,
            limit_per_s=self.limit_per_s,
            events_by_run=dict(self.events_by_run),
            follows_new_connection=self.is_connection_new,
        )
        self.is_connection_new = False
        await asyncio.sleep(self.report_delay_s)
        await self._spoken(REPORT_TIMEOUT_S)
        return found

    async def load_model(self, model, fencing, incarnation):
        refusal = self._refusal(fencing, incarnation)
        if refusal:
            return refusal
        self.model_orders.append(model)
        if not self.is_load_lost:
            asyncio.get_running_loop().call_later(1.0, self.models.add, model)
        await self._spoken(ORDER_TIMEOUT_S)
        return Result.ACCEPTED

    async def load(self, model, adapter, version, fencing, incarnation):
        refusal = self._refusal(fencing, incarnation)
        if refusal:
            return refusal
        key = f'{model}/{adapter}'
        version = version or 1
        if self.held.get(key) == version:
            return Result.DONE
        if self.busy_answers:
            self.busy_answers -= 1
            return Result.BUSY
        occupied = set(self.held) | set(self.pending) | {key}
        if len(occupied) > self.slot_count:
            self.crash_count += 1
            self.is_up = False
            raise errors.PlatformError('crashed')
        self.pending[key] = version
        self.loads.append(key)
        asyncio.get_running_loop().call_later(
            self.load_s, self._loaded, self._start, key, version
        )
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.PlatformError('the answer is lost')
        await self._spoken(ORDER_TIMEOUT_S)
        return Result.ACCEPTED

    async def unload(self, model, adapter, fencing, incarnation):
        refusal = self._refusal(fencing, incarnation)
        if refusal:
            return refusal
        key = f'{model}/{adapter}'
        if key in self.in_use:
            asyncio.get_running_loop().call_later(
                0.2, self._unloaded, self._start, key
            )
            await self._spoken(ORDER_TIMEOUT_S)
            return Result.ACCEPTED
        self.held.pop(key, None)
        await self._spoken(ORDER_TIMEOUT_S)
        return Result.DONE

    def _check_up(self):
        if not self.is_up:
            raise errors.PlatformError('down')

    def _refusal(self, fencing, incarnation):
        self._check_up()
        if incarnation != self.name:
            return Result.OTHER_INCARNATION
        if fencing < self.fence:
            return Result.FENCED
        self.fence = fencing
        self.order_count += 1
        return None

    @property
    def _start(self):
        return self.name, self.started_at_ms

    def _loaded(self, start, key, version):
        if start == self._start and key in self.pending:
            del self.pending[key]
            self.held[key] = version

    def _unloaded(self, start, key):
        if start == self._start:
            self.in_use.discard(key)
            self.held.pop(key, None)
