"""Which requests an engine takes, and which are refused at once."""

import random
from typing import Protocol

from lacewingpitch import errors
from lacewingpitch import turn_messages

_MS_PER_S = 1000
# Other engines take what one that leaves refuses.
_LEAVING_RETRY_S = 0.2
# An engine that restarts loads its model, from its disk or from the store.
# Callers that come back sooner would be refused again, and those that come
# back together as well.
_RESTART_RETRY_S = (1.5, 3.0)
# Requests that wait for an engine to start: half of the messages that a
# sidecar has in hand at once, so that the ends of turns come through.
_MAX_AWAITING_START = 128
# Share of the time to the first event that may be spent in waiting; the
# rest is for reading its own prompt, and for what the estimate is wrong by.
_WAIT_TARGET_RATIO = 0.6
# What is late anyway is still served where it delays nobody else for longer
# than the load of an adapter.
_LEAST_WAIT_S = 0.4
# Part of the wait for which an organisation above its share is let in, so
# that those within theirs find a short queue.
_ABOVE_SHARE_RATIO = 0.25
# Added to the time after which callers would be let in if nobody else came,
# so that they don't come together.  They come back once, and are on time if
# that is soon.
_COME_BACK_S = (0.1, 0.4)


class EngineStage(Protocol):
    """How far an engine is."""

    @property
    def is_serving(self) -> bool:
        """Whether the engine is up, and not about to leave."""
        ...

    @property
    def is_leaving(self) -> bool:
        """Whether the engine is up, and about to leave."""
        ...

    @property
    def is_starting(self) -> bool:
        """Whether the engine is up, and is to serve within seconds."""
        ...

    @property
    def remaining_start_s(self) -> float:
        """Return when an engine that starts is expected to serve."""
        ...


class Admission:
    """Decides which requests may wait for a turn at one engine.

    Load it answers: more than an engine can read in time.  A queue that
    is let grow makes all answers late; with a short one, those that are
    admitted are on time, and the others are told at once.

    Parameters
    ----------
    source
        Spreads the times at which callers come back.
    """

    def __init__(
        self,
        engine: EngineStage,
        source: random.Random,
    ) -> None:
        self._engine = engine
        self._random = source

    def awaits_start(
        self, request: turn_messages.TurnRequest, awaiting_count: int
    ) -> bool:
        """Whether a request waits until the engine has its model.

        After a loss of power all engines load their model at the same
        time.  Callers come back once at most, and most of those that were
        refused at once would be refused again.

        Parameters
        ----------
        awaiting_count
            Requests that wait for it already.
        """
        if not request.waits_for_engine or not self._engine.is_starting:
            return False
        if awaiting_count >= _MAX_AWAITING_START:
            return False
        left_s = request.start_within_ms / _MS_PER_S
        return self._engine.remaining_start_s < left_s

    def refusal(
        self,
        request: turn_messages.TurnRequest,
        wait_s: float,
        is_above_share: bool = False,
    ) -> errors.RefusalError | None:
        """Return why a request is refused at once; ``None`` if it is not.

        Parameters
        ----------
        wait_s
            How long it would wait for its turn.
        is_above_share
            Whether its organisation takes more than its share already.
        """
        if not self._engine.is_serving:
            return self.not_serving()
        target_s = request.target_ms / _MS_PER_S
        limit_s = max(_LEAST_WAIT_S, _WAIT_TARGET_RATIO * target_s)
        if is_above_share:
            limit_s *= _ABOVE_SHARE_RATIO
        if request.accept_within_ms:
            limit_s = min(limit_s, request.accept_within_ms / _MS_PER_S)
        if wait_s <= limit_s:
            return None
        return errors.RefusalError(
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            f'a turn would come in {wait_s:.2f} s',
            retry_after_s=max(0.0, wait_s - limit_s)
            + self._random.uniform(*_COME_BACK_S),
        )

    def not_serving(self) -> errors.RefusalError:
        """Return why an engine that does not serve refuses."""
        if self._engine.is_leaving:
            return errors.RefusalError(
                errors.ErrorKind.DRAINING,
                'the engine is leaving',
                retry_after_s=_LEAVING_RETRY_S,
            )
        retry_after_s = self._random.uniform(*_RESTART_RETRY_S)
        if self._engine.is_starting:
            return errors.RefusalError(
                errors.ErrorKind.BACKEND_STARTING,
                'the engine loads its model',
                retry_after_s=retry_after_s,
            )
        return errors.RefusalError(
            errors.ErrorKind.DRAINING,
            'the engine is down',
            retry_after_s=retry_after_s,
        )
