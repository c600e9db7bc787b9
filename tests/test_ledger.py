"""Which attempts may run, over restarts, windows and clocks."""

import collections
import uuid

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lacewingpitch import errors
from lacewingpitch import ledger
from tests import clocks
from tests import fault_matrix

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
RunState = ledger.RunState

MOST_ATTEMPTS = 3
EPOCH_S = 1_800_000_000.0


def attempt_made_at(wall_s, number=0):
    """Return the name of an attempt with a UUIDv7 of that time."""
    value = int(wall_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return f'{uuid.UUID(int=value)}.1'


@pytest.fixture
def clock():
    return clocks.ManualClock(wall_offset_s=EPOCH_S)


@pytest.fixture
def book(clock):
    found = ledger.RunLedger(clock)
    clock.now_s += 60.0
    return found


class TestVoid:
    def test_holds_for_what_arrives_later(self, book, clock):
        attempt = attempt_made_at(clock.wall_s())
        assert book.void(attempt) is RunState.VOID
        with pytest.raises(errors.RefusalError) as caught:
            book.admit(attempt)
        assert caught.value.outcome is errors.Outcome.NOT_RUN

    def test_holds_for_what_waits(self, book, clock):
        attempt = attempt_made_at(clock.wall_s())
        book.admit(attempt)
        assert book.void(attempt) is RunState.VOID
        with pytest.raises(errors.RefusalError):
            book.start(attempt)

    def test_comes_too_late_for_what_started(self, book, clock):
        attempt = attempt_made_at(clock.wall_s())
        book.admit(attempt)
        book.start(attempt)
        assert book.void(attempt) is RunState.STARTED
        book.close(attempt)
        assert book.void(attempt) is RunState.FINISHED

    def test_refused_before_the_start_is_void(self, book, clock):
        attempt = attempt_made_at(clock.wall_s())
        book.admit(attempt)
        book.close(attempt)
        assert book.void(attempt) is RunState.VOID

    def test_refused_by_the_engine_is_void(self, book, clock):
        attempt = attempt_made_at(clock.wall_s())
        book.admit(attempt)
        book.start(attempt)
        book.close(attempt, did_not_run=True)
        assert book.void(attempt) is RunState.VOID

    @pytest.mark.proves(Promise.NOT_RUN, Fault.KILLED, Step.SENT)
    def test_of_an_earlier_process_is_not_known(self, book, clock):
        """A caller reads "not run" for work that ran.

        The sidecar is killed after it passed the work on; the entry's
        question reaches the next process on that port, which knows of
        no such attempt.
        """
        attempt = attempt_made_at(clock.wall_s())
        book.admit(attempt)
        book.start(attempt)
        clock.now_s += 1.0
        successor = ledger.RunLedger(clock)
        assert successor.void(attempt) is RunState.FORGOTTEN

    @pytest.mark.proves(Promise.NOT_RUN, Fault.FROZEN, Step.BEFORE_ADMISSION)
    def test_is_not_outlived_by_the_attempt(self, book, clock):
        """A caller reads "not run", and the work runs an hour later.

        The attempt sat in a socket until the void was forgotten.
        """
        attempt = attempt_made_at(clock.wall_s())
        book.void(attempt)
        clock.now_s += 2 * ledger.WINDOW_S
        book.void(attempt_made_at(clock.wall_s()))
        assert len(book) == 1
        with pytest.raises(errors.RefusalError) as caught:
            book.admit(attempt)
        assert caught.value.kind is errors.ErrorKind.ATTEMPT_OUT_OF_WINDOW

    def test_wall_clock_set_back_does_not_make_it_young(self, book, clock):
        attempt = attempt_made_at(clock.wall_s())
        book.void(attempt)
        clock.now_s += 2 * ledger.WINDOW_S
        clock.wall_offset_s -= 2 * ledger.WINDOW_S
        book.void(attempt_made_at(clock.wall_s(), 1))
        assert book.state(attempt) is None
        with pytest.raises(errors.RefusalError):
            book.admit(attempt)

    def test_ahead_of_the_skew_is_refused(self, book, clock):
        ahead_s = clock.wall_s() + ledger.MAX_CLOCK_SKEW_S + 0.1
        with pytest.raises(errors.RefusalError):
            book.admit(attempt_made_at(ahead_s))
        assert book.void(attempt_made_at(ahead_s)) is RunState.FORGOTTEN


class TestMemory:
    def test_running_is_kept_and_finished_is_dropped(self, book, clock):
        running = attempt_made_at(clock.wall_s(), 1)
        done = attempt_made_at(clock.wall_s(), 2)
        for attempt in (running, done):
            book.admit(attempt)
            book.start(attempt)
        book.close(done)
        clock.now_s += ledger.WINDOW_S + 1.0
        book.void(attempt_made_at(clock.wall_s(), 3))
        assert book.state(running) is RunState.STARTED
        assert book.state(done) is None
        assert book.void(done) is RunState.FORGOTTEN


class NotRunMachine(stateful.RuleBasedStateMachine):
    """A void that was confirmed never runs, and what ran is never void.

    Entries with clocks of any skew send attempts to one sidecar, which
    is killed and replaced; what was sent to a process dies with it.  An
    entry asks for a void only after it has closed its connection, so it
    sends nothing new; what is in the socket still arrives.
    """

    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock(wall_offset_s=EPOCH_S)
        self.book = ledger.RunLedger(self.clock)
        self.sent = {}
        self.arrived = set()
        self.voided = set()
        self.runs = collections.Counter()
        self.made = 0

    attempts = stateful.Bundle('attempts')

    @stateful.precondition(lambda self: self.made < MOST_ATTEMPTS)
    @stateful.rule(
        target=attempts,
        skew_s=strategies.sampled_from(
            [0.0, -4.9, 4.9, 6.0, -600.0, -594.0, 60.0]
        ),
    )
    def send(self, skew_s):
        self.made += 1
        attempt = attempt_made_at(self.clock.wall_s() + skew_s, self.made)
        self.sent[attempt] = self.book
        return attempt

    @stateful.rule(attempt=attempts)
    def arrive(self, attempt):
        if self.sent[attempt] is not self.book or attempt in self.arrived:
            return
        self.arrived.add(attempt)
        try:
            self.book.admit(attempt)
        except errors.RefusalError as error:
            assert error.outcome is errors.Outcome.NOT_RUN

    @stateful.rule(attempt=attempts)
    def start(self, attempt):
        if self.sent[attempt] is not self.book:
            return
        try:
            self.book.start(attempt)
        except errors.RefusalError:
            return
        self.runs[attempt] += 1

    @stateful.rule(attempt=attempts)
    def arrive_and_start(self, attempt):
        self.arrive(attempt)
        self.start(attempt)

    @stateful.rule(attempt=attempts, did_not_run=strategies.booleans())
    def close(self, attempt, did_not_run):
        is_here = self.sent[attempt] is self.book
        if is_here and self.book.state(attempt) is RunState.STARTED:
            self.runs[attempt] -= did_not_run
            self.book.close(attempt, did_not_run)
        elif is_here and self.book.state(attempt) is RunState.QUEUED:
            self.book.close(attempt)

    @stateful.rule(attempt=attempts)
    def void(self, attempt):
        if self.book.void(attempt) is RunState.VOID:
            self.voided.add(attempt)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 6.0, 601.0]))
    def wait(self, seconds):
        self.clock.now_s += seconds

    @stateful.rule()
    def replace_sidecar(self):
        self.book = ledger.RunLedger(self.clock)

    @stateful.invariant()
    def voided_never_ran(self):
        assert not [a for a in self.voided if self.runs[a]]

    @stateful.invariant()
    def nothing_ran_twice(self):
        assert all(count <= 1 for count in self.runs.values())


NotRunMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)


@pytest.mark.proves(Promise.NOT_RUN, Fault.TWO_FAULTS, Step.ANY)
class TestInterleavings(NotRunMachine.TestCase):
    pass
