"""Entry instance: accepts requests and forwards them to backend servers."""

import contextlib

from aiohttp import web
import structlog

from lacewingpitch import abandoned_runs
from lacewingpitch import answer_end
from lacewingpitch import authentication
from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import cached_copies
from lacewingpitch import caller_server
from lacewingpitch import clock as clock_module
from lacewingpitch import configuration_exchange
from lacewingpitch import control_client
from lacewingpitch import draining
from lacewingpitch import ejection
from lacewingpitch import link
from lacewingpitch import metrics_server
from lacewingpitch import notice_router
from lacewingpitch import parts as parts_module
from lacewingpitch import peer_bootstrap
from lacewingpitch import placement as placement_module
from lacewingpitch.platform import backend_client
from lacewingpitch.platform import entry_metrics
from lacewingpitch.platform import frontend as frontend_module
from lacewingpitch.platform import listening
from lacewingpitch.platform import memory_client
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import process as process_module
from lacewingpitch.platform import settings as settings_module
from lacewingpitch.platform import store as store_module
from lacewingpitch.platform import store_updates
from lacewingpitch.platform import wire
from lacewingpitch.platform import witness
from lacewingpitch import request_forwarder
from lacewingpitch import request_gate
from lacewingpitch import room_search
from lacewingpitch import run_mover
from lacewingpitch import server_gate
from lacewingpitch import server_limits
from lacewingpitch import server_state
from lacewingpitch import service_admission
from lacewingpitch import service_balancer
from lacewingpitch import service_budgets
from lacewingpitch import settings as product_settings
from lacewingpitch import sidecar_reporter
from lacewingpitch import stall_costs as stall_costs_module
from lacewingpitch import startup_grace
from lacewingpitch import suspect_sync
from lacewingpitch import suspects as suspects_module
from lacewingpitch import turn_client
from lacewingpitch import usage_limits
from lacewingpitch import usage_ownership
from lacewingpitch import zone_costs as zone_costs_module

# The allowance of the retry budgets is divided by this number of entries at
# least, which is more than small deployments have, including spare instances.
_MIN_ENTRIES = 10
# About the duration of a run at a model engine; an older load report says
# little about the current load.
_MAX_LOAD_AGE_S = 2.0
# Open links to sidecars: twice the engines of a deployment of the target size.
_MAX_PEERS = 2048
# A starting process sends one state request; few processes start together.
_MAX_CONTROL_REQUESTS = 4
# Readiness checks that wait to be accepted while the CPU is busy.
_READY_BACKLOG = 32
# Share of `propagation_limit_s` for which changes of the store are batched.
# Each adapter that an engine loads changes the list, so that this delay
# determines how many calls an entry makes.  The rest of the time allows for a
# slow store and a busy CPU.
_BATCH_DELAY_RATIO = 0.55
log = structlog.get_logger(__name__)


class Entry:
    """Accepts requests of callers and forwards them to backend servers."""

    def __init__(
        self,
        file: settings_module.SettingsFile,
        clock: clock_module.Clock | None = None,
    ) -> None:
        self._file = file
        self._process = process_module.Process(file, clock)
        self.servers = backend_list.BackendList(
            self._process.clock,
            self._process.table.is_service,
            file.settings.contact_s,
            has_sidecar=self._has_sidecar,
        )
        self.ejector = ejection.Ejector(
            self._process.clock, self._process.random
        )
        self._first_event_times = self._process.metrics.duration_histogram(
            'first_event_seconds',
            'Time from a request to the first event of its stream.',
        )
        self._authenticator = authentication.Authenticator(
            self._process.table,
            self._process.age,
            file.settings.keys_void_within_s,
            self._process.random,
        )
        self._peers = control_client.ControlClient(
            self._process.exits.enter_context(
                contextlib.closing(
                    link.PeerPool(
                        settings_module.signer(file.settings), _MAX_PEERS
                    )
                )
            ),
            file.settings.internal_port,
        )
        self._budgets = service_budgets.ServiceBudgets(
            file.settings.retry_ratio,
            file.settings.retry_allowance,
            file.settings.retry_window_s,
            _MIN_ENTRIES,
            self._process.clock,
            self._process.random,
        )
        self._suspects = suspects_module.Suspects(
            self._process.clock,
            self._process.random,
            lambda: file.settings.released_fingerprints,
        )
        ends = self.servers.unplanned_ends.subscribe(
            self._suspects.detector.record_exit
        )
        self._process.exits.callback(ends.dispose)
        owners = usage_ownership.UsageOwnership(
            self.servers, self._has_sidecar, self._process.clock
        )
        reporter = sidecar_reporter.SidecarReporter()
        self._process.exits.push_async_callback(reporter.close)
        self._gate = server_gate.ServerGate(
            self.servers, self._process.clock, self._process.random
        )
        self._sync = suspect_sync.SuspectSync(
            self._suspects,
            owners.owner,
            self._peers.exchange_crashes,
            lambda: self._budgets.entry_count,
            lambda: self.servers.is_known,
            self._process.clock,
            self._process.random,
        )
        self._limits = server_limits.ServerLimits(
            file.settings.instance,
            self._peers,
            owners,
            self.servers.all,
            self._has_sidecar,
            lambda: self._budgets.entry_count,
            self._process.clock,
            self._process.random,
            reporter,
        )
        self._notices = notice_router.NoticeRouter(
            file.settings.instance,
            self._limits,
            self._gate,
            self._peers,
            self._has_sidecar,
            reporter,
        )
        self._usage = usage_limits.UsageLimits(
            file.settings.instance,
            self._peers,
            owners,
            self._process.clock,
            lambda: self._process.table.version,
            lambda: self._budgets.entry_count,
        )
        self._process.exits.push_async_callback(self._usage.close)
        self.frontend = frontend_module.Frontend(
            self._process.table,
            self._serve,
            self._process.metrics.duration_histogram(
                'request_seconds', 'Time from a request to its end.'
            ),
            startup_grace.StartupGrace(self._process.clock),
            self._process.clock,
            self._authenticator,
            self._usage,
            self._process.memory,
            self._process.limits.descriptor_count,
        )
        self._forwarder: request_forwarder.RequestForwarder | None = None
        self._mover: run_mover.RunMover | None = None

    def ports(self) -> dict[str, int]:
        """Return the ports that it listens on, by name."""
        settings = self._file.settings
        return {
            'callers': settings_module.port_of(settings.callers),
            'ready': settings_module.port_of(settings.ready),
        }

    async def start(self) -> None:
        """Start to watch the store and to listen for callers."""
        settings = self._file.settings
        exits = self._process.exits
        exchange = configuration_exchange.ConfigurationExchange(
            self._peers,
            self._process.table,
            wire.decode_configuration,
            self._process.clock,
        )
        exits.callback(exchange.close)
        self._process.background.run('settings', self._file.follow)
        self._process.background.run('silence', self.frontend.close_silent)
        self._forwarder = await self._new_forwarder(exchange)
        store = await self._watch_store(exchange)
        self._process.background.run('crashes', self._sync.run)
        self._add_metrics(self._forwarder, store)
        await self._start_peer_bootstrap(exchange, store)
        await exits.enter_async_context(
            metrics_server.serving(
                self._process.metrics,
                settings.ip,
                settings.metrics_port,
                self._process.memory,
            )
        )
        await listening.listen(
            caller_server.monitoring_server(
                self._handle_ready, self._process.memory
            ),
            settings.ready,
            _READY_BACKLOG,
            exits,
        )
        await self.frontend.listen(settings.callers, exits)

    async def _new_forwarder(
        self, exchange: configuration_exchange.ConfigurationExchange
    ) -> request_forwarder.RequestForwarder:
        settings = self._file.settings
        process = self._process
        stall_costs = self._new_stall_costs()
        placement = placement_module.Placement(
            process.clock,
            product_settings.ObjectiveSettings(stall_weight=1),
            no_spare_slot_penalty_s=0.0,
            load_max_age_s=_MAX_LOAD_AGE_S,
            cached_copies=cached_copies.CachedCopies(),
            instance=settings.instance,
            stall_costs=stall_costs,
            zone_costs=self._new_zone_costs(),
        )
        if stall_costs is not None:
            entry_metrics.register_pace(
                process.metrics, stall_costs, placement
            )
        services = service_balancer.ServiceBalancer(
            self.servers,
            self.ejector,
            settings.availability_zone,
            process.random,
        )
        for reset in (
            placement.reset_instance,
            services.reset_latency,
            self.ejector.forget,
        ):
            subscription = self.servers.restarts.subscribe(reset)
            process.exits.callback(subscription.dispose)
        turns = turn_client.TurnClient(
            settings.instance,
            self._peers,
            self.servers,
            placement,
            self.ejector,
            process.clock,
            exchange.reconcile,
            self._budgets.record_entry_count,
            self._suspects,
            self._limits,
            self._gate,
            self._new_room_search(),
        )
        process.background.run('turns', turns.run)
        end_check = answer_end.AnswerEnd(
            self._peers,
            self._has_sidecar,
            server_state.probe,
            self._suspects.detector,
            witness.HealthConnections(process.table.health_path),
        )
        abandoned = abandoned_runs.AbandonedRuns(
            end_check.state, self._suspects.detector
        )
        process.exits.push_async_callback(abandoned.close)
        entry_metrics.register_answer_ends(process.metrics, end_check)
        client = backend_client.new_client(
            process.exits,
            self._notices,
            request_gate.RequestGate(self._gate, self._suspects.record),
            end_check,
            process.clock,
        )
        entry_metrics.register_sendings(process.metrics, client, self._budgets)
        if parts_module.Part.MOVING_RUNS in settings.parts:
            self._mover = await self._new_mover(client, turns)
        return request_forwarder.RequestForwarder(
            client,
            turns,
            services,
            self.ejector,
            self._budgets,
            process.versions,
            process.clock,
            process.random,
            self._suspects,
            self._limits,
            self._gate,
            self._service_admission(),
            self._mover,
            self._sync.wait_until_informed,
            abandoned,
        )

    def _new_stall_costs(self) -> stall_costs_module.StallCosts | None:
        settings = self._file.settings
        if parts_module.Part.ENGINE_PACE not in settings.parts:
            return None
        return stall_costs_module.StallCosts(
            self._process.clock, settings.instance, only_uneven=True
        )

    def _new_zone_costs(self) -> zone_costs_module.ZoneCosts | None:
        settings = self._file.settings
        if parts_module.Part.OWN_ZONE not in settings.parts:
            return None
        return zone_costs_module.ZoneCosts(settings.availability_zone)

    def _service_admission(self) -> service_admission.ServiceAdmission:
        if (
            parts_module.Part.SERVICE_ADMISSION
            not in self._file.settings.parts
        ):
            return service_admission.AdmitAll()
        admission = service_admission.LatencyAdmission(
            self._process.clock, self._process.random
        )
        entry_metrics.register_admission(self._process.metrics, admission)
        return admission

    def _new_room_search(self) -> room_search.RoomSearch | None:
        if parts_module.Part.ROOM_SEARCH not in self._file.settings.parts:
            return None
        search = room_search.RoomSearch(self._process.random)
        search.add_metrics(self._process.metrics)
        return search

    async def _new_mover(
        self,
        client: backend_call.BackendClient,
        turns: turn_client.TurnClient,
    ) -> run_mover.RunMover:
        settings = self._file.settings
        exits = self._process.exits
        mover = run_mover.RunMover(
            await memory_client.new_client(exits),
            client,
            turns,
            self._budgets,
            self.ejector,
            self.servers,
            self._process.table.memory_link,
            self._process.clock,
            settings.leaving_within_s,
            _BATCH_DELAY_RATIO * settings.propagation_limit_s,
        )
        exits.push_async_callback(mover.close)
        return mover

    async def _start_peer_bootstrap(
        self,
        exchange: configuration_exchange.ConfigurationExchange,
        store: store_module.Store,
    ) -> None:
        """Request state from other entries, and answer those that start."""
        settings = self._file.settings
        bootstrap = peer_bootstrap.PeerBootstrap(
            self._peers,
            [
                settings_module.address_of(seed)
                for seed in settings.seeds
                if seed != settings.control
            ],
            self.servers,
            self._process.versions,
            exchange,
            self._process.age,
            self._process.clock,
            lambda: store.epoch > 0,
        )
        self._process.background.run('state', bootstrap.run)
        if not settings.control:
            return
        control = link.ControlServer(
            settings_module.signer(settings), _MAX_CONTROL_REQUESTS
        )
        control.handle(peer_bootstrap.StateRequest, bootstrap.answer)
        await control.start(*settings_module.split_endpoint(settings.control))
        self._process.exits.push_async_callback(control.close)

    async def close(self) -> None:
        """Drain the requests in progress, then release all resources."""
        await draining.drain(
            self.frontend, self._process.clock, self._file.settings.drain_s
        )
        await self._process.exits.aclose()

    def _add_metrics(
        self,
        forwarder: request_forwarder.RequestForwarder,
        store: store_module.Store,
    ) -> None:
        metrics = self._process.metrics
        entry_metrics.register_requests(metrics, self.frontend, forwarder)
        entry_metrics.register_callers(
            metrics, self.frontend, self._process.memory
        )
        entry_metrics.register_suspects(metrics, self._suspects, self._sync)
        entry_metrics.register_servers(
            metrics, self.servers, self._limits, self._notices, self._gate
        )
        entry_metrics.register_configuration(
            metrics, self._process.table, self._process.age
        )
        entry_metrics.register_calls(metrics, store, self._usage, self._peers)
        if self._mover is not None:
            entry_metrics.register_moves(metrics, self._mover)

    def _has_sidecar(self, service: str) -> bool:
        return self._process.table.engine_limits(service) is not None

    async def _serve(
        self,
        request: backend_call.CallerRequest,
        delivery: backend_call.Delivery,
    ) -> None:
        assert self._forwarder is not None
        history = await self._forwarder.forward(request, delivery)
        if history.first_event_s:
            self._first_event_times.observe(
                'route', request.route.name, history.first_event_s
            )
        log.info(
            'answered',
            request_id=request.request_id,
            status=history.status,
            backend_servers=history.servers,
            turn_wait_ms=round(history.turn_wait_s * 1000),
            events=history.splitter.event_count,
            is_framed=history.is_framed,
            first_event_ms=round(history.first_event_s * 1000),
            longest_gap_ms=round(history.longest_gap_s * 1000),
            list_age_s=round(self.servers.age_s, 1),
        )

    async def _watch_store(
        self, exchange: configuration_exchange.ConfigurationExchange
    ) -> store_module.Store:
        session = await self._process.exits.enter_async_context(
            store_module.new_session()
        )
        store = store_module.Store(
            session, settings_module.url_of(self._file.settings.store)
        )
        list_updates = store_updates.BackendUpdates(self.servers)
        entry_metrics.register_list(self._process.metrics, list_updates)
        handlers = (
            store_updates.OperatorUpdates(
                self._process.versions, exchange, self._process.age
            ),
            list_updates,
        )
        settings = self._file.settings
        watcher = prefix_watcher.PrefixWatcher(
            store,
            store_updates.common_prefix(handlers),
            batch_delay_s=_BATCH_DELAY_RATIO * settings.propagation_limit_s,
            max_confirmation_age_s=self._authenticator.confirm_within_s,
            clock=self._process.clock,
            source=self._process.random,
        )
        self._process.background.run(
            'store', lambda: store_updates.dispatch_changes(watcher, handlers)
        )
        return store

    async def _handle_ready(self, _request: web.BaseRequest) -> web.Response:
        if self.frontend.is_draining:
            return web.Response(status=503, text='draining\n')
        if (
            self._process.table.configuration is None
            or not self.servers.is_known
        ):
            return web.Response(status=503, text='starting\n')
        if self._authenticator.is_outdated:
            return web.Response(status=503, text='configuration outdated\n')
        return web.Response(text='ready\n')
