"""Budget for the memory that the callers of a process occupy."""

from collections.abc import Callable
import enum

from lacewingpitch import clock as clock_module

# Memory of a process without callers.
_PROCESS_BYTES = 64 << 20
# Part of the rest for what callers send and what waits for them; copies and
# buffers need more.
_BUDGET_RATIO = 0.25
_MIN_BUDGET_RATIO = 1 / 16
# The rest of the budget is kept for requests of up to `_SMALL_BYTES`.
_LARGE_REQUEST_RATIO = 0.75
_SMALL_BYTES = 64 << 10
# A request that is slower than this may be ended to make room for others.
_STALL_S = 1.0
_MIN_BYTES_PER_S = 64 << 10
# A caller that reads its answer takes less.
_UNREAD_ANSWER_S = 2.0


class Phase(enum.Enum):
    """What happens to the memory of an account."""

    RECEIVING = 'receiving'
    SERVING = 'serving'
    SENDING = 'sending'


class MemoryAccount:
    """The memory that one connection occupies.

    Attributes
    ----------
    held_bytes
        Bytes received and not given back, and those of a waiting answer.
    answer_bytes
        Part of `held_bytes` that belongs to an answer.
    phase
        Only accounts that receive or send are ended to make room.
    """

    def __init__(
        self,
        budget: 'MemoryBudget',
        clock: clock_module.Clock,
        end: Callable[[], None],
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._phase_began_s = 0.0
        self._received_at_s = 0.0
        self._received_bytes = 0
        self.end = end
        self.held_bytes = 0
        self.answer_bytes = 0
        self.phase = Phase.RECEIVING

    def take(self, byte_count: int) -> bool:
        """Hold bytes that were received, if there is room for them."""
        self._received_at_s = self._clock.monotonic_s()
        if not self.held_bytes:
            self._phase_began_s = self._received_at_s
            self._received_bytes = 0
        self._received_bytes += byte_count
        return self._budget.take(self, byte_count)

    def take_answer(self, byte_count: int) -> bool:
        """Hold an answer, if there is room for it."""
        return self._budget.take_answer(self, byte_count)

    def hold_answer(self, byte_count: int) -> None:
        """Hold an answer that must be delivered, whatever room there is."""
        missing_bytes = byte_count - self.answer_bytes
        self._budget.hold_answer(self, max(0, missing_bytes))

    def give_back(self, byte_count: int) -> None:
        """Release bytes that were received."""
        self._budget.release(self, byte_count)

    def give_back_answer(self) -> None:
        """Release the answer."""
        byte_count, self.answer_bytes = self.answer_bytes, 0
        self._budget.release_answer(self, byte_count)

    def begin(self, phase: Phase) -> None:
        """Enter a phase."""
        self.phase = phase
        self._phase_began_s = self._clock.monotonic_s()

    def close(self) -> None:
        """Release all that is held."""
        self.give_back_answer()
        self.give_back(self.held_bytes)
        self._budget.forget(self)

    def idle_s(self, now_s: float) -> float:
        """Return for how long it has had no progress; 0 if it has some."""
        age_s = now_s - self._phase_began_s
        if self.phase is Phase.SERVING or not self.held_bytes:
            return 0.0
        if self.phase is Phase.SENDING:
            return age_s if age_s >= _UNREAD_ANSWER_S else 0.0
        if self.held_bytes == self.answer_bytes:
            return 0.0
        silent_s = now_s - self._received_at_s
        is_slow = self._received_bytes < _MIN_BYTES_PER_S * age_s
        if silent_s >= _STALL_S or (age_s >= _STALL_S and is_slow):
            return age_s
        return 0.0


class MemoryBudget:
    """Bounds what all connections of callers hold together.

    Bytes count as they arrive, not as they are announced, until the request
    that they belong to has ended.  If there is no room, requests without
    progress are ended, those that wait longest first.

    Parameters
    ----------
    machine_bytes
        Memory of the machine.

    Attributes
    ----------
    held_bytes
        Memory that is held now.
    refused_count
        How often there was no room for a request.
    ended_count
        How many requests and answers without progress were ended.
    """

    def __init__(self, machine_bytes: int, clock: clock_module.Clock) -> None:
        self._limit_bytes = max(
            int(_BUDGET_RATIO * (machine_bytes - _PROCESS_BYTES)),
            int(_MIN_BUDGET_RATIO * machine_bytes),
        )
        self._large_limit_bytes = int(_LARGE_REQUEST_RATIO * self._limit_bytes)
        self._clock = clock
        self._accounts: set[MemoryAccount] = set()
        self._answer_bytes = 0
        self.held_bytes = 0
        self.refused_count = 0
        self.ended_count = 0

    def open(self, end: Callable[[], None]) -> MemoryAccount:
        """Return an account.

        Parameters
        ----------
        end
            Ends its request or answer, to make room for others.
        """
        account = MemoryAccount(self, self._clock, end)
        self._accounts.add(account)
        return account

    def take(self, account: MemoryAccount, byte_count: int) -> bool:
        """Hold bytes that were received, if there is room for them."""
        is_small = account.held_bytes + byte_count <= _SMALL_BYTES
        limit_bytes = (
            self._limit_bytes if is_small else self._large_limit_bytes
        )
        if not self._make_room(account, byte_count, limit_bytes):
            self.refused_count += 1
            return False
        account.held_bytes += byte_count
        self.held_bytes += byte_count
        return True

    def take_answer(self, account: MemoryAccount, byte_count: int) -> bool:
        """Hold an answer, if there is room for it or no other waits."""
        if self._answer_bytes and not self._make_room(
            account, byte_count, self._limit_bytes
        ):
            return False
        self.hold_answer(account, byte_count)
        return True

    def hold_answer(self, account: MemoryAccount, byte_count: int) -> None:
        """Hold an answer, whatever room there is."""
        account.answer_bytes += byte_count
        account.held_bytes += byte_count
        self._answer_bytes += byte_count
        self.held_bytes += byte_count

    def release(self, account: MemoryAccount, byte_count: int) -> None:
        """Release bytes of an account."""
        released_bytes = min(byte_count, account.held_bytes)
        account.held_bytes -= released_bytes
        self.held_bytes -= released_bytes

    def release_answer(self, account: MemoryAccount, byte_count: int) -> None:
        """Release the answer of an account."""
        self._answer_bytes -= byte_count
        self.release(account, byte_count)

    def forget(self, account: MemoryAccount) -> None:
        """Remove an account that holds nothing."""
        self._accounts.discard(account)

    def _make_room(
        self, account: MemoryAccount, byte_count: int, limit_bytes: int
    ) -> bool:
        if self.held_bytes + byte_count <= limit_bytes:
            return True
        now_s = self._clock.monotonic_s()
        idle = [
            (idle_s, id(other), other)
            for other in self._accounts
            if other is not account and (idle_s := other.idle_s(now_s))
        ]
        for _, _, other in sorted(idle, reverse=True):
            self.ended_count += 1
            other.end()
            other.give_back_answer()
            other.give_back(other.held_bytes)
            if self.held_bytes + byte_count <= limit_bytes:
                return True
        return False
