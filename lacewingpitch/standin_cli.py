"""Commands that run stand-ins for outside systems."""

from typing import Protocol

import click

from lacewingpitch import daemon
from lacewingpitch import standin_engine
from lacewingpitch import standin_platform
from lacewingpitch import standin_service


@click.group()
def standin() -> None:
    """Run a stand-in for an outside system, for tests."""


@standin.command('engine')
@click.option('--ip', default='127.0.0.1', show_default=True)
@click.option('--port', type=int, default=0, show_default=True)
@click.option('--base-model', default='base', show_default=True)
@click.option('--adapter-slots', type=int, default=4, show_default=True)
@click.option('--load-s', type=float, default=0.05, show_default=True)
@click.option('--token-s', type=float, default=0.005, show_default=True)
@click.option('--answer-tokens', type=int, default=8, show_default=True)
@click.option('--checks-fencing/--ignores-fencing', default=True)
def standin_engine_command(
    ip: str,
    port: int,
    base_model: str,
    adapter_slots: int,
    load_s: float,
    token_s: float,
    answer_tokens: int,
    checks_fencing: bool,
) -> None:
    """Run a stand-in for a model engine."""
    engine = standin_engine.StandinEngine(
        base_model,
        adapter_slots=adapter_slots,
        checks_fencing=checks_fencing,
        load_s=load_s,
        token_s=token_s,
        answer_tokens=answer_tokens,
    )
    daemon.serve(_StandinDaemon(engine, ip, port))


@standin.command('platform')
@click.option('--ip', default='127.0.0.1', show_default=True)
@click.option('--port', type=int, default=0, show_default=True)
def standin_platform_command(ip: str, port: int) -> None:
    """Run a stand-in for the configuration service and the live list."""
    daemon.serve(_StandinDaemon(standin_platform.StandinPlatform(), ip, port))


@standin.command('service')
@click.option('--ip', default='127.0.0.1', show_default=True)
@click.option('--port', type=int, default=0, show_default=True)
@click.option('--answer-s', type=float, default=0.01, show_default=True)
def standin_service_command(ip: str, port: int, answer_s: float) -> None:
    """Run a stand-in for a plain service."""
    service = standin_service.StandinService(answer_s=answer_s)
    daemon.serve(_StandinDaemon(service, ip, port))


class _Listener(Protocol):
    """A server that starts on a given address."""

    @property
    def port(self) -> int: ...

    async def start(self, ip: str, port: int) -> None: ...

    async def close(self) -> None: ...


class _StandinDaemon:
    """Adapts a stand-in to the ``Daemon`` protocol."""

    def __init__(self, listener: _Listener, ip: str, port: int) -> None:
        self._listener = listener
        self._ip = ip
        self._port = port

    async def start(self) -> None:
        await self._listener.start(self._ip, self._port)

    async def close(self) -> None:
        await self._listener.close()

    def ports(self) -> dict[str, int]:
        return {'work_port': self._listener.port}
