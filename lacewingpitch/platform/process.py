"""Components that entry and sidecar processes have in common."""

import random

from lacewingpitch import adapter_versions
from lacewingpitch import clock as clock_module
from lacewingpitch import configuration_age
from lacewingpitch import daemon
from lacewingpitch import machine_limits as machine_limits_module
from lacewingpitch import memory_budget
from lacewingpitch import metrics as metrics_module
from lacewingpitch.platform import settings as settings_module
from lacewingpitch import routing


class Process:
    """Clock, metrics, background tasks and published state of a process."""

    def __init__(
        self,
        file: settings_module.SettingsFile,
        clock: clock_module.Clock | None,
    ) -> None:
        self.clock = clock or clock_module.SystemClock()
        self.random = random.Random()
        self.limits = machine_limits_module.machine_limits(
            file.settings.memory_mb, file.settings.max_descriptors
        )
        self.memory = memory_budget.MemoryBudget(
            self.limits.memory_bytes, self.clock
        )
        self.background = daemon.BackgroundTasks()
        self.exits = self.background.exits
        self.table = routing.RoutingTable(self.random)
        self.age = configuration_age.ConfigurationAge(self.clock)
        self.versions = adapter_versions.AdapterVersions()
        self.metrics = metrics_module.Metrics(
            file.settings.instance, file.settings.availability_zone
        )
