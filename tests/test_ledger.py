"""Tests of the ledger: restarts, expiry and wrong clocks."""

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

MAX_ATTEMPTS = 3
EPOCH_S = 1_800_000_000.0


def attempt_created_at(wall_s, number=0):
    """Return the id of an attempt whose UUIDv7 has the given time."""
    value = int(wall_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return f'{uuid.UUID(int=value)}.1'


@pytest.fixture
def clock():
    return clocks.ManualClock(wall_offset_s=EPOCH_S)


@pytest.fixture
def run_ledger(clock):
    new_ledger = ledger.RunLedger(clock)
    clock.now_s += 60.0
    return new_ledger


class TestVoid:
    def test_holds_for_attempt_that_arrives_later(self, run_ledger, clock):
        attempt = attempt_created_at(clock.wall_s())
        assert run_ledger.void(attempt) is RunState.VOID
        with pytest.raises(errors.RefusalError) as caught:
            run_ledger.admit(attempt)
        assert caught.value.outcome is errors.Outcome.NOT_RUN

    def test_holds_for_queued_attempt(self, run_ledger, clock):
        attempt = attempt_created_at(clock.wall_s())
        run_ledger.admit(attempt)
        assert run_ledger.void(attempt) is RunState.VOID
        with pytest.raises(errors.RefusalError):
            run_ledger.start(attempt)

    def test_comes_too_late_for_started_attempt(self, run_ledger, clock):
        attempt = attempt_created_at(clock.wall_s())
        run_ledger.admit(attempt)
        run_ledger.start(attempt)
        assert run_ledger.void(attempt) is RunState.STARTED
        run_ledger.close(attempt)
        assert run_ledger.void(attempt) is RunState.FINISHED

    def test_refused_before_the_start_is_void(self, run_ledger, clock):
        attempt = attempt_created_at(clock.wall_s())
        run_ledger.admit(attempt)
        run_ledger.close(attempt)
        assert run_ledger.void(attempt) is RunState.VOID

    def test_refused_by_the_engine_is_void(self, run_ledger, clock):
        attempt = attempt_created_at(clock.wall_s())
        run_ledger.admit(attempt)
        run_ledger.start(attempt)
        run_ledger.close(attempt, did_not_run=True)
        assert run_ledger.void(attempt) is RunState.VOID

    @pytest.mark.proves(Promise.NOT_RUN, Fault.KILLED, Step.SENT)
    def test_of_an_earlier_process_is_not_known(self, run_ledger, clock):
        """Guards against a false "not run" after a sidecar is killed.

        The sidecar is killed after it sent the request to the backend
        server.  The entry's void request reaches the next process on that
        port, which has no record of the attempt.
        """
        attempt = attempt_created_at(clock.wall_s())
        run_ledger.admit(attempt)
        run_ledger.start(attempt)
        clock.now_s += 1.0
        successor = ledger.RunLedger(clock)
        assert successor.void(attempt) is RunState.FORGOTTEN

    @pytest.mark.proves(Promise.NOT_RUN, Fault.FROZEN, Step.BEFORE_ADMISSION)
    def test_attempt_does_not_outlive_its_void(self, run_ledger, clock):
        """Guards against a run after the caller received "not run".

        The attempt waits in a socket buffer until its void has expired.
        """
        attempt = attempt_created_at(clock.wall_s())
        run_ledger.void(attempt)
        clock.now_s += 2 * ledger.WINDOW_S
        run_ledger.void(attempt_created_at(clock.wall_s()))
        assert len(run_ledger) == 1
        with pytest.raises(errors.RefusalError) as caught:
            run_ledger.admit(attempt)
        assert caught.value.kind is errors.ErrorKind.ATTEMPT_OUT_OF_WINDOW

    def test_stays_expired_if_the_wall_clock_is_set_back(
        self, run_ledger, clock
    ):
        attempt = attempt_created_at(clock.wall_s())
        run_ledger.void(attempt)
        clock.now_s += 2 * ledger.WINDOW_S
        clock.wall_offset_s -= 2 * ledger.WINDOW_S
        run_ledger.void(attempt_created_at(clock.wall_s(), 1))
        assert run_ledger.state(attempt) is None
        with pytest.raises(errors.RefusalError):
            run_ledger.admit(attempt)

    def test_ahead_of_the_skew_is_refused(self, run_ledger, clock):
        ahead_s = clock.wall_s() + ledger.MAX_CLOCK_SKEW_S + 0.1
        with pytest.raises(errors.RefusalError):
            run_ledger.admit(attempt_created_at(ahead_s))
        assert (
            run_ledger.void(attempt_created_at(ahead_s)) is RunState.FORGOTTEN
        )


class TestMemory:
    def test_running_is_kept_and_finished_is_dropped(self, run_ledger, clock):
        running = attempt_created_at(clock.wall_s(), 1)
        done = attempt_created_at(clock.wall_s(), 2)
        for attempt in (running, done):
            run_ledger.admit(attempt)
            run_ledger.start(attempt)
        run_ledger.close(done)
        clock.now_s += ledger.WINDOW_S + 1.0
        run_ledger.void(attempt_created_at(clock.wall_s(), 3))
        assert run_ledger.state(running) is RunState.STARTED
        assert run_ledger.state(done) is None
        assert run_ledger.void(done) is RunState.FORGOTTEN


class NotRunMachine(stateful.RuleBasedStateMachine):
    """Checks that no void attempt has run or runs later.

    Entries with arbitrary clock skew send attempts to one sidecar, which
    is killed and replaced.  Attempts sent to a process are lost with it.
    An entry voids an attempt only after it has closed its connection, so
    it sends nothing more, but data in the socket buffer still arrives.
    """

    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock(wall_offset_s=EPOCH_S)
        self.run_ledger = ledger.RunLedger(self.clock)
        self.sent = {}
        self.arrived = set()
        self.voided = set()
        self.runs = collections.Counter()
        self.created_count = 0

    attempts = stateful.Bundle('attempts')

    @stateful.precondition(lambda self: self.created_count < MAX_ATTEMPTS)
    @stateful.rule(
        target=attempts,
        skew_s=strategies.sampled_from(
            [0.0, -4.9, 4.9, 6.0, -600.0, -594.0, 60.0]
        ),
    )
    def send(self, skew_s):
        self.created_count += 1
        attempt = attempt_created_at(
            self.clock.wall_s() + skew_s, self.created_count
        )
        self.sent[attempt] = self.run_ledger
        return attempt

    @stateful.rule(attempt=attempts)
    def arrive(self, attempt):
        if (
            self.sent[attempt] is not self.run_ledger
            or attempt in self.arrived
        ):
            return
        self.arrived.add(attempt)
        try:
            self.run_ledger.admit(attempt)
        except errors.RefusalError as error:
            assert error.outcome is errors.Outcome.NOT_RUN

    @stateful.rule(attempt=attempts)
    def start(self, attempt):
        if self.sent[attempt] is not self.run_ledger:
            return
        try:
            self.run_ledger.start(attempt)
        except errors.RefusalError:
            return
        self.runs[attempt] += 1

    @stateful.rule(attempt=attempts)
    def arrive_and_start(self, attempt):
        self.arrive(attempt)
        self.start(attempt)

    @stateful.rule(attempt=attempts, did_not_run=strategies.booleans())
    def close(self, attempt, did_not_run):
        is_here = self.sent[attempt] is self.run_ledger
        if is_here and self.run_ledger.state(attempt) is RunState.STARTED:
            self.runs[attempt] -= did_not_run
            self.run_ledger.close(attempt, did_not_run)
        elif is_here and self.run_ledger.state(attempt) is RunState.QUEUED:
            self.run_ledger.close(attempt)

    @stateful.rule(attempt=attempts)
    def void(self, attempt):
        if self.run_ledger.void(attempt) is RunState.VOID:
            self.voided.add(attempt)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 6.0, 601.0]))
    def wait(self, seconds):
        self.clock.now_s += seconds

    @stateful.rule()
    def replace_sidecar(self):
        self.run_ledger = ledger.RunLedger(self.clock)

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
