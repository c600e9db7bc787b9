"""Sidecar process: grants turns at a model engine and loads its adapters."""

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import configuration_exchange
from lacewingpitch import crash_record
from lacewingpitch import engine_controller
from lacewingpitch import engine_gate
from lacewingpitch import guarded_connection
from lacewingpitch import link
from lacewingpitch import metrics_server
from lacewingpitch import pace_watch
from lacewingpitch import parts
from lacewingpitch.platform import engine_client as engine_client_module
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import process as process_module
from lacewingpitch.platform import settings as settings_module
from lacewingpitch.platform import store as store_module
from lacewingpitch.platform import store_updates
from lacewingpitch.platform import wire
from lacewingpitch import server_permits
from lacewingpitch import single_sending
from lacewingpitch import suspect_exchange
from lacewingpitch import turn_messages
from lacewingpitch import usage_lease

# Each control request waits for one turn.  More would wait at once only at an
# engine that is overloaded enough to refuse them.
_MAX_CONTROL_REQUESTS = 256
log = structlog.get_logger(__name__)


class Sidecar:
    """Grants turns at one engine, and orders it to load adapters.

    A turn is a lease on one of the engine's concurrent execution slots.
    """

    def __init__(
        self,
        file: settings_module.SettingsFile,
        clock: clock_module.Clock | None = None,
    ) -> None:
        self._file = file
        self._process = process_module.Process(file, clock)
        self._control = link.ControlServer(
            settings_module.signer(file.settings),
            _MAX_CONTROL_REQUESTS,
        )

    def ports(self) -> dict[str, int]:
        """Return the ports that it listens on, by name."""
        return {'control': self._control.port}

    async def start(self) -> None:
        """Connect to the engine, and listen for entries."""
        settings = self._file.settings
        session = await self._process.exits.enter_async_context(
            single_sending.new_session(
                connector=guarded_connection.new_connector()
            )
        )
        engine = engine_client_module.EngineClient(
            session,
            settings_module.url_of(settings.engine),
            settings.instance,
            lambda: self._process.table.health_path(settings.service),
            engine_gate.EngineGate(self._process.clock),
        )
        await self._process.exits.enter_async_context(
            metrics_server.serving(
                self._process.metrics,
                settings.ip,
                settings.metrics_port,
                self._process.memory,
            )
        )
        crashes = crash_record.CrashRecord(
            self._process.clock,
            self._process.random,
            lambda: self._file.settings.released_fingerprints,
        )
        controller = engine_controller.EngineController(
            engine,
            self._process.table,
            self._process.versions,
            settings.service,
            self._process.clock,
            self._process.metrics,
            crashes,
            self._pace_watch(),
            parts=settings.parts,
        )
        self._process.exits.push_async_callback(controller.close)
        exchange = configuration_exchange.ConfigurationExchange(
            None,
            self._process.table,
            wire.decode_configuration,
            self._process.clock,
        )
        self._control.handle(
            turn_messages.TurnRequest, controller.request_turn
        )
        self._control.handle(turn_messages.TurnEnds, controller.end_turns)
        self._control.handle(
            turn_messages.AnsweredLimit, controller.record_answered_limit
        )
        self._control.handle(
            turn_messages.AnsweredLeaving, controller.record_answered_leaving
        )
        self._control.handle(
            turn_messages.ConfigurationRequest, exchange.answer
        )
        self._control.handle(turn_messages.ConfigurationOffer, exchange.accept)
        self._control.handle(
            suspect_exchange.CrashNews,
            suspect_exchange.CrashNewsAnswerer(crashes).answer,
        )
        usage_owner = usage_lease.UsageOwner(self._process.clock)
        self._control.handle(usage_lease.UsageAsk, usage_owner.grant)
        permit_owner = server_permits.PermitOwner(
            self._process.clock, self._process.random
        )
        self._control.handle(server_permits.PermitRequest, permit_owner.answer)
        store = store_module.Store(
            session, settings_module.url_of(settings.store)
        )
        handlers = (
            store_updates.OperatorUpdates(
                self._process.versions, exchange, self._process.age
            ),
        )
        watcher = prefix_watcher.PrefixWatcher(
            store,
            store_updates.common_prefix(handlers),
            batch_delay_s=0.0,
            max_confirmation_age_s=0.0,
            clock=self._process.clock,
            source=self._process.random,
        )
        # Later changes arrive with the messages of entries, so that the
        # calls to the store do not grow with the number of engines.
        self._process.background.run(
            'store',
            lambda: store_updates.dispatch_changes(
                watcher, handlers, lambda: self._process.table.version > 0
            ),
        )
        self._process.background.run('settings', self._file.follow)
        self._process.background.run('engine', controller.run)
        await self._control.start(settings.ip, settings.internal_port)
        self._process.exits.push_async_callback(self._control.close)

    def _pace_watch(self) -> pace_watch.PaceWatch:
        settings = self._file.settings
        if parts.Part.ENGINE_PACE not in settings.parts:
            return pace_watch.NoPaceWatch()
        return pace_watch.MeasuringPaceWatch(
            self._process.clock,
            lambda: self._process.table.tokens_per_event(settings.service),
            only_uneven=True,
        )

    async def close(self) -> None:
        """Release all resources; turns that were granted stay valid."""
        await self._process.exits.aclose()
