"""One round of votes, and what it says."""

import base64
from collections.abc import Iterable

import uuid_utils

from lacewingpitch import errors
from lacewingpitch import idempotency
from lacewingpitch import live_list
from lacewingpitch import voter as voter_module

Verdict = voter_module.Verdict


class Ballot:
    """One round of votes for one claim."""

    def __init__(self, voters: voter_module.VoterSet) -> None:
        self.claim_id = _new_claim_id()
        self.voters = voters
        self._pending = set(voters.names)
        self._granted: set[str] = set()
        self._refused: dict[str, voter_module.VoteReply] = {}
        self._spared: frozenset[str] = frozenset()
        self._is_over = False

    @property
    def is_won(self) -> bool:
        """Whether the quorum backs this claim and no other."""
        return not self._is_over and 0 < self.voters.quorum <= len(
            self._granted
        )

    @property
    def is_lost(self) -> bool:
        """Whether the quorum cannot be reached any more."""
        possible = len(self._granted) + len(self._pending)
        return self._is_over or possible < max(1, self.voters.quorum)

    @property
    def has_missed(self) -> bool:
        """Whether a voter refused, or gave no reply."""
        answered = len(self.voters.instances) - len(self._pending)
        return len(self._granted) < answered

    def spare(self, instances: Iterable[live_list.Instance]) -> None:
        """Note which voters are not asked, or not yet."""
        self._spared = frozenset(instance.name for instance in instances)

    def count(self, name: str, reply: voter_module.VoteReply | None) -> None:
        """Take one voter's reply; ``None`` where it gave none."""
        # A voter's reply counts once, and only for this round: one that
        # comes late, or twice, must not stand for a second voter.
        if name not in self._pending:
            return
        self._pending.discard(name)
        if reply is None:
            return
        if reply.verdict is Verdict.GRANTED:
            self._granted.add(name)
        else:
            self._refused[name] = reply

    def end(self) -> list[live_list.Instance]:
        """Give the round up; return the voters that may back it."""
        # Votes are about to be given back, so replies that are still
        # under way must not complete the claim any more.
        self._is_over = True
        return [
            instance
            for instance in self.voters.instances
            if instance.name not in self._refused
            and instance.name not in self._spared
        ]

    def holder(self) -> voter_module.VoteReply | None:
        """Return the reply that names another claim, if one does."""
        return self._first(Verdict.TAKEN)

    def refusal(self) -> errors.RefusalError:
        """Return what the caller is told of a claim that failed."""
        if self._first(Verdict.OTHER_BODY):
            return errors.RefusalError(
                errors.ErrorKind.BAD_IDEMPOTENCY_KEY,
                'Idempotency-Key was used for another request',
            )
        if self._first(Verdict.TOO_OLD):
            return idempotency.too_old('voters may have forgotten it')
        if self._first(Verdict.FROM_FUTURE):
            return errors.RefusalError(
                errors.ErrorKind.KEY_OUT_OF_WINDOW,
                'Idempotency-Key was made in the future',
            )
        return errors.RefusalError(
            errors.ErrorKind.CLAIM_UNAVAILABLE,
            f'{len(self._granted)} of {self.voters.quorum} votes; this '
            'sending did not run, send again with the same key',
            retry_after_s=max(
                (reply.retry_after_s for reply in self._refused.values()),
                default=None,
            ),
        )

    def _first(self, verdict: Verdict) -> voter_module.VoteReply | None:
        return next(
            (r for r in self._refused.values() if r.verdict is verdict), None
        )


def _new_claim_id() -> str:
    # Every vote carries it, so it is shorter than a UUID is spelt.
    name = base64.urlsafe_b64encode(uuid_utils.uuid7().bytes)
    return name.decode('ascii').rstrip('=')
