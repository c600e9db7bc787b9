"""What is decided about a request for a turn at one engine."""

import dataclasses
import enum
from typing import Protocol

from lacewingpitch import errors
from lacewingpitch import turn_messages
from lacewingpitch import wait_estimator


class Tier(enum.StrEnum):
    """Why a request was admitted."""

    ON_TIME = 'on time'
    # Late, and delays no other request.
    SPARE_ROOM = 'spare room'
    # Late, and waits until it delays no other request.
    PUT_OFF = 'put off'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether and how a request may wait for its turn.

    Parameters
    ----------
    refusal
        Why it is refused at once; ``None`` if it is admitted.
    order_s
        Orders its turn and its prompt, the lowest first; ``None`` if flows
        share by weight.
    put_off_order_s
        Orders it while it is put off, the lowest first.
    is_return
        Whether its caller was refused here before.
    """

    refusal: errors.RefusalError | None = None
    tier: Tier = Tier.ON_TIME
    order_s: float | None = None
    put_off_order_s: float = 0.0
    is_return: bool = False


class TurnDecider(Protocol):
    """Decides which requests may wait for a turn."""

    def order_s(self, request: turn_messages.TurnRequest) -> float | None:
        """Return the order of a request that arrives now.

        The lowest goes first; ``None`` if flows share by weight.
        """
        ...

    def record_refused(
        self,
        request: turn_messages.TurnRequest,
        refusal: errors.RefusalError,
        waited_s: float,
    ) -> None:
        """Record that an admitted request is refused after a wait."""
        ...

    def has_contention(self, wait: wait_estimator.WaitEstimate) -> bool:
        """Whether organisations are to keep to their shares.

        Parameters
        ----------
        wait
            Expected wait of a request that arrives now.
        """
        ...

    def decide(
        self,
        request: turn_messages.TurnRequest,
        wait: wait_estimator.WaitEstimate,
        run_s: float,
        is_above_share: bool,
    ) -> Decision:
        """Return the decision about a request that arrives now.

        Parameters
        ----------
        wait
            Expected wait for its turn.
        run_s
            Expected duration of its run.
        is_above_share
            Whether its organisation would exceed its fair share.
        """
        ...
