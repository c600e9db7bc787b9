"""An entry's search for an engine with room, after others have refused.

Answers load or outages that hit a part of the engines: an entry asks few of
them, and would refuse its caller while another has room.
"""

from collections.abc import Awaitable, Callable, Sequence
import random

import structlog

from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch import metrics as metrics_module
from lacewingpitch import turn_replies
from lacewingpitch import turn_spec

# Each ask takes a round trip of the caller's time, and under an overload of
# all engines it is in vain.
_MAX_ASKS = 2
# Engines that don't serve say nothing of the load of the others.
_MAX_NOT_SERVING_ASKS = 2
Ask = Callable[[backend_list.BackendServer], Awaitable[turn_spec.Turn | None]]
log = structlog.get_logger(__name__)


class RoomSearch:
    """Asks further engines: the better ranked of two chosen by chance.

    The answers are fresh, and entries that search at the same time spread
    over the engines.

    Parameters
    ----------
    source
        Source of the choice.

    Attributes
    ----------
    found_count
        Turns that were found.
    refused_count
        Asks that were refused or not answered.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self.found_count = 0
        self.refused_count = 0

    async def find(
        self,
        spec: turn_spec.TurnSpec,
        replies: turn_replies.TurnReplies,
        choices: Callable[[], Sequence[backend_list.BackendServer]],
        ask: Ask,
    ) -> turn_spec.Turn | None:
        """Return a turn at a further engine; ``None`` if none has room.

        Parameters
        ----------
        replies
            Replies of the sidecars that were asked, which `ask` extends.
        choices
            Returns the engines that may still be asked, best first.
        ask
            Requests a turn of one sidecar.
        """
        left_count = _MAX_ASKS
        not_serving_count = _MAX_NOT_SERVING_ASKS
        while left_count and replies.have_all_refused:
            servers = choices()
            if not servers:
                return None
            server = self._choose(servers)
            turn = await ask(server)
            self._record(spec, server, replies, is_found=turn is not None)
            if turn is not None:
                return turn
            if not_serving_count and _is_not_serving(replies, server):
                not_serving_count -= 1
            else:
                left_count -= 1
        return None

    def add_metrics(self, metrics: metrics_module.Metrics) -> None:
        """Add the metrics of the search."""
        metrics.counter_by(
            'room_asks_total',
            'Asks for turns of engines beyond the preferred ones, by outcome.',
            'outcome',
            lambda: {
                'granted': self.found_count,
                'refused': self.refused_count,
            },
        )

    def _choose(
        self, servers: Sequence[backend_list.BackendServer]
    ) -> backend_list.BackendServer:
        ranks = [self._random.randrange(len(servers)) for _ in range(2)]
        return servers[min(ranks)]

    def _record(
        self,
        spec: turn_spec.TurnSpec,
        server: backend_list.BackendServer,
        replies: turn_replies.TurnReplies,
        is_found: bool,
    ) -> None:
        if is_found:
            self.found_count += 1
        else:
            self.refused_count += 1
        log.info(
            'further engine asked',
            request_id=spec.run_id,
            backend_server=server.name,
            granted=is_found,
            refusals={
                name: str(error) for name, error in replies.refusals.items()
            },
        )


def _is_not_serving(
    replies: turn_replies.TurnReplies, server: backend_list.BackendServer
) -> bool:
    refusal = replies.refusals.get(server.name)
    return refusal is not None and refusal.kind in errors.NOT_SERVING_KINDS
