"""Budget for the memory of callers."""

import hypothesis
from hypothesis import strategies
import pytest

from lacewingpitch import memory_budget

KB = 1 << 10
MB = 1 << 20
# The budget is 16 MB, 12 MB of them for large requests.
MACHINE_BYTES = 128 * MB
LIMIT_BYTES = 16 * MB
Phase = memory_budget.Phase


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def monotonic_s(self):
        return self.now_s

    boot_s = wall_s = monotonic_s


class Scene:
    """A budget, and accounts that note how they end."""

    def __init__(self):
        self.clock = Clock()
        self.budget = memory_budget.MemoryBudget(MACHINE_BYTES, self.clock)
        self.ended = []

    def open(self):
        account = self.budget.open(lambda: self.ended.append(account))
        return account

    def open_many(self, count, byte_count):
        accounts = [self.open() for _ in range(count)]
        assert all(account.take(byte_count) for account in accounts)
        return accounts


@pytest.fixture
def scene():
    return Scene()


class TestReceiving:
    def test_large_requests_leave_room_for_small_ones(self, scene):
        """Unfinished large bodies shut ordinary callers out."""
        scene.open_many(3, 4 * MB)
        assert not scene.open().take(4 * MB)
        assert scene.open().take(64 * KB)

    def test_small_requests_are_bounded_too(self, scene):
        scene.open_many(256, 64 * KB)
        assert not scene.open().take(1)

    def test_a_body_in_pieces_counts_as_a_large_one(self, scene):
        accounts = scene.open_many(3, 4 * MB - 64 * KB)
        last = scene.open()
        taken = [last.take(64 * KB) for _ in range(4)]
        assert taken == [True, True, True, False]
        assert len(accounts) == 3

    def test_released_bytes_are_free_again(self, scene):
        first, *_ = scene.open_many(3, 4 * MB)
        first.give_back(4 * MB)
        assert scene.open().take(4 * MB)

    def test_closed_accounts_hold_nothing(self, scene):
        accounts = scene.open_many(3, 4 * MB)
        for account in accounts:
            account.close()
            account.close()
        assert scene.budget.held_bytes == 0
        assert scene.open().take(12 * MB)


class TestRoom:
    def test_stalled_bodies_make_room(self, scene):
        """Unfinished bodies kept large ones out for their whole time."""
        first, *_ = scene.open_many(3, 4 * MB)
        scene.clock.now_s += 1.5
        assert scene.open().take(4 * MB)
        assert len(scene.ended) == 1
        assert scene.ended[0].held_bytes == 0

    def test_bodies_with_progress_stay(self, scene):
        accounts = scene.open_many(3, 2 * MB)
        scene.clock.now_s += 0.9
        assert all(account.take(2 * MB) for account in accounts)
        scene.clock.now_s += 0.9
        assert not scene.open().take(4 * MB)
        assert not scene.ended

    def test_bodies_that_trickle_make_room(self, scene):
        """A client kept its memory by one byte now and then."""
        account = scene.open()
        account.take(64 * KB)
        accounts = scene.open_many(2, 4 * MB)
        for _ in range(20):
            scene.clock.now_s += 0.5
            assert account.take(1)
            for other in accounts:
                other.begin(Phase.SERVING)
        assert not scene.open().take(12 * MB)
        assert scene.ended == [account]

    def test_requests_that_were_read_are_never_ended(self, scene):
        accounts = scene.open_many(3, 4 * MB)
        for account in accounts:
            account.begin(Phase.SERVING)
        scene.clock.now_s += 100.0
        assert not scene.open().take(4 * MB)
        assert not scene.ended


class TestAnswers:
    def test_an_answer_waits_for_room(self, scene):
        first, second = scene.open(), scene.open()
        assert first.take_answer(16 * MB)
        assert not second.take_answer(1)
        first.give_back_answer()
        assert second.take_answer(1)

    def test_one_answer_always_has_room(self, scene):
        """Requests that held all memory waited for each other's answers."""
        accounts = scene.open_many(3, 4 * MB)
        for account in accounts:
            account.begin(Phase.SERVING)
        assert accounts[0].take_answer(32 * MB)

    def test_unread_answers_make_room(self, scene):
        first, second = scene.open(), scene.open()
        assert first.take_answer(16 * MB)
        first.begin(Phase.SENDING)
        scene.clock.now_s += 1.0
        assert not second.take_answer(1)
        scene.clock.now_s += 1.5
        assert second.take_answer(1)
        assert scene.ended == [first]

    def test_an_announced_answer_counts_once(self, scene):
        account = scene.open()
        assert account.take_answer(MB)
        account.hold_answer(MB + 1)
        assert scene.budget.held_bytes == MB + 1
        account.give_back_answer()
        assert scene.budget.held_bytes == 0


STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 5),
        strategies.sampled_from(
            ['take', 'answer', 'serve', 'send', 'end', 'close', 'wait']
        ),
        strategies.integers(0, 6 * MB),
    ),
    max_size=60,
)


class TestSums:
    @hypothesis.given(STEPS)
    def test_held_bytes_are_those_of_the_accounts(self, steps):
        scene = Scene()
        accounts = [scene.open() for _ in range(6)]
        for index, step, byte_count in steps:
            self._play(scene, accounts, index, step, byte_count)
            held_bytes = [account.held_bytes for account in accounts]
            assert min(held_bytes) >= 0
            assert scene.budget.held_bytes == sum(held_bytes)
            answer_bytes = sum(account.answer_bytes for account in accounts)
            assert scene.budget.held_bytes - answer_bytes <= LIMIT_BYTES

    def _play(self, scene, accounts, index, step, byte_count):
        account = accounts[index]
        if step == 'take':
            account.take(byte_count)
        elif step == 'answer':
            account.take_answer(byte_count)
        elif step == 'serve':
            account.begin(Phase.SERVING)
        elif step == 'send':
            account.begin(Phase.SENDING)
        elif step == 'end':
            account.give_back_answer()
            account.give_back(byte_count)
            account.begin(Phase.RECEIVING)
        elif step == 'close':
            account.close()
            accounts[index] = scene.open()
        else:
            scene.clock.now_s += byte_count / MB
