"""Memory that the requests on one connection hold."""

import collections
from collections.abc import Callable

from lacewingpitch import memory_budget


class ConnectionMemory:
    """Holds what was received until the request it belongs to has ended.

    Parameters
    ----------
    budget
        Memory for all connections.
    end
        Ends a request or an answer of the connection, to make room.

    Attributes
    ----------
    account
        What the connection holds of the budget.
    """

    def __init__(
        self, budget: memory_budget.MemoryBudget, end: Callable[[], None]
    ) -> None:
        self.account = budget.open(end)
        # Of the requests that have not ended, in their order.
        self._request_bytes: collections.deque[int] = collections.deque()
        self._next_head_bytes = 0

    @property
    def has_requests(self) -> bool:
        """Whether a request has begun and not ended."""
        return bool(self._request_bytes)

    def receive(self, byte_count: int) -> bool:
        """Hold bytes that have arrived, if there is room for them."""
        return self.account.take(byte_count)

    def assign(self, byte_count: int) -> None:
        """Assign held bytes to the last request, or to the next head."""
        if self._request_bytes:
            self._request_bytes[-1] += byte_count
        else:
            self._next_head_bytes += byte_count

    def hold_decoded(self, byte_count: int) -> bool:
        """Hold a decoded part of the oldest request, if there is room."""
        if not self.account.take(byte_count):
            return False
        self._request_bytes[0] += byte_count
        return True

    def begin_request(self) -> None:
        """Begin a request whose head has arrived."""
        self._request_bytes.append(self._next_head_bytes)
        self._next_head_bytes = 0
        self.account.begin(memory_budget.Phase.RECEIVING)

    def begin_answer(self, byte_count: int) -> None:
        """Hold an answer while it is sent."""
        self.account.hold_answer(byte_count)
        self.account.begin(memory_budget.Phase.SENDING)

    def end_request(self) -> None:
        """Release the oldest request and its answer."""
        self.account.give_back_answer()
        if self._request_bytes:
            self.account.give_back(self._request_bytes.popleft())
        if not self._request_bytes:
            self.account.give_back(self._next_head_bytes)
            self._next_head_bytes = 0
        self.account.begin(memory_budget.Phase.RECEIVING)

    def close(self) -> None:
        """Release all that the connection holds."""
        self.account.close()
