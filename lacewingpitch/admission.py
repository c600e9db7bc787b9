"""Admission control: which requests may wait for a turn at an engine."""

import random
from typing import Protocol

from lacewingpitch import errors
from lacewingpitch import turn_decision
from lacewingpitch import turn_messages
from lacewingpitch import wait_estimator

_MS_PER_S = 1000
# Other engines accept what a leaving engine refuses.
_LEAVING_RETRY_AFTER_S = 0.2
# Range of the retry time while an engine restarts and loads its model from
# its disk or from the store.  Earlier retries would be refused again, and so
# would simultaneous ones.
_RESTART_RETRY_AFTER_S = (1.5, 3.0)
# The same for an engine that goes on within a second or so.
_SILENT_RETRY_AFTER_S = (0.5, 1.0)
# Maximum number of requests that wait for an engine to start: half of the
# messages that a sidecar handles at once, so that the ends of turns get
# through.
_MAX_AWAITING_START = 128
# Share of the time until the first event is due that a request may wait; the
# rest is for reading its own prompt and for errors of the estimate.
_MAX_WAIT_TARGET_RATIO = 0.6
# A request that is late anyway is still served if its wait is at most this
# long, where it delays others by no more than the load of an adapter.
_MIN_WAIT_LIMIT_S = 0.4
# Share of the allowed wait that remains for an organisation above its fair
# share, so that organisations within theirs find a short queue.
_ABOVE_SHARE_WAIT_RATIO = 0.25
# Range of the jitter that is added to the time after which a caller would be
# admitted if no others arrived, so that callers don't retry together.  They
# retry once, and are on time if that is soon.
_RETRY_JITTER_S = (0.1, 0.4)


class EngineStatus(Protocol):
    """Lifecycle status of an engine."""

    @property
    def is_serving(self) -> bool:
        """Whether the engine is up, and not leaving."""
        ...

    @property
    def is_leaving(self) -> bool:
        """Whether the engine is up, and leaving."""
        ...

    @property
    def is_starting(self) -> bool:
        """Whether the engine is up, and expected to serve within seconds."""
        ...

    @property
    def is_silent(self) -> bool:
        """Whether it starts to serve again once it answers again."""
        ...

    @property
    def remaining_start_s(self) -> float:
        """Return the expected time until a starting engine serves."""
        ...


class LimitedReturns(Protocol):
    """Spreads the return of callers that a rate limit refuses."""

    def next_return_s(self, wait_s: float) -> float:
        """Return when the next of them should return."""
        ...


class Admission:
    """Decides which requests may wait for a turn at one engine.

    Designed for more load than an engine can process in time.  A queue that
    grows without limit makes all answers late.  With a short queue the
    admitted requests are on time, and the others are refused at once.

    Parameters
    ----------
    source
        Source of the jitter of retry times.
    returns
        When callers that the engine's request rate limit refuses should
        return.
    """

    def __init__(
        self,
        engine: EngineStatus,
        source: random.Random,
        returns: LimitedReturns,
    ) -> None:
        self._engine = engine
        self._random = source
        self._returns = returns

    def must_await_start(
        self, request: turn_messages.TurnRequest, awaiting_count: int
    ) -> bool:
        """Whether a request is to wait until the engine has its model.

        After a power failure all engines load their model at the same
        time.  Callers retry once at most, and most requests that are
        refused at once would be refused again.

        Parameters
        ----------
        awaiting_count
            Requests that already wait for the engine.
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
        wait: wait_estimator.WaitEstimate,
        is_above_share: bool = False,
    ) -> errors.RefusalError | None:
        """Return why a request is refused at once; ``None`` if admitted.

        Parameters
        ----------
        wait
            Expected wait for its turn.
        is_above_share
            Whether its organisation would exceed its fair share.
        """
        if not self._engine.is_serving:
            return self.not_serving_refusal()
        target_s = request.target_ms / _MS_PER_S
        allowed_s = max(_MIN_WAIT_LIMIT_S, _MAX_WAIT_TARGET_RATIO * target_s)
        if is_above_share:
            allowed_s *= _ABOVE_SHARE_WAIT_RATIO
        if request.accept_within_ms:
            allowed_s = min(allowed_s, request.accept_within_ms / _MS_PER_S)
        if wait.total_s <= allowed_s:
            return None
        retry_after_s = max(0.0, wait.total_s - allowed_s)
        retry_after_s += self._random.uniform(*_RETRY_JITTER_S)
        kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        if wait.total_s - wait.limit_s <= allowed_s:
            kind = errors.ErrorKind.SERVER_LIMITED
            # An entry that compares engines asks once more before it
            # refuses its caller.
            if not request.accept_within_ms:
                retry_after_s = self._returns.next_return_s(wait.total_s)
        return errors.RefusalError(
            kind,
            f'the expected wait for a turn is {wait.total_s:.2f} s',
            retry_after_s=retry_after_s,
        )

    def order_s(self, request: turn_messages.TurnRequest) -> None:
        """Return ``None``: flows share by weight."""

    def record_refused(
        self,
        request: turn_messages.TurnRequest,
        refusal: errors.RefusalError,
        waited_s: float,
    ) -> None:
        """Have no effect: refused callers are not remembered."""

    def has_contention(self, wait: wait_estimator.WaitEstimate) -> bool:
        """Whether organisations are to keep to their shares."""
        # While turns are free, a further one delays no other organisation.
        return wait.turn_s > 0.0 or wait.limit_s > 0.0

    def decide(
        self,
        request: turn_messages.TurnRequest,
        wait: wait_estimator.WaitEstimate,
        run_s: float,
        is_above_share: bool,
    ) -> turn_decision.Decision:
        """Return the decision about a request; see `TurnDecider`."""
        return turn_decision.Decision(
            self.refusal(request, wait, is_above_share)
        )

    def not_serving_refusal(self) -> errors.RefusalError:
        """Return the refusal of an engine that doesn't serve."""
        if self._engine.is_leaving:
            return errors.RefusalError(
                errors.ErrorKind.DRAINING,
                'the engine is leaving',
                retry_after_s=_LEAVING_RETRY_AFTER_S,
            )
        if self._engine.is_silent:
            return errors.RefusalError(
                errors.ErrorKind.BACKEND_STARTING,
                'the engine does not answer at the moment',
                retry_after_s=self._random.uniform(*_SILENT_RETRY_AFTER_S),
            )
        retry_after_s = self._random.uniform(*_RESTART_RETRY_AFTER_S)
        if self._engine.is_starting:
            return errors.RefusalError(
                errors.ErrorKind.BACKEND_STARTING,
                'the engine is loading its model',
                retry_after_s=retry_after_s,
            )
        return errors.RefusalError(
            errors.ErrorKind.DRAINING,
            'the engine is down',
            retry_after_s=retry_after_s,
        )
