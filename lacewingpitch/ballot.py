"""Counting of votes on a claim.

A ballot is one round of votes for one claim on an idempotency key.
"""

import base64
from collections.abc import Iterable

import uuid_utils

from lacewingpitch import errors
from lacewingpitch import idempotency
from lacewingpitch import live_list
from lacewingpitch import voter as voter_module

Verdict = voter_module.Verdict


class Ballot:
    """Counts the replies of voters in one round for one claim."""

    def __init__(self, voters: voter_module.VoterSet) -> None:
        self.claim_id = _new_claim_id()
        self.voters = voters
        self._pending = set(voters.names)
        self._granted: set[str] = set()
        self._refused: dict[str, voter_module.VoteReply] = {}
        self._unasked: frozenset[str] = frozenset()
        self._is_closed = False

    @property
    def is_won(self) -> bool:
        """Whether a quorum of voters has granted this claim its votes."""
        return not self._is_closed and 0 < self.voters.quorum <= len(
            self._granted
        )

    @property
    def is_lost(self) -> bool:
        """Whether the quorum can no longer be reached."""
        max_granted = len(self._granted) + len(self._pending)
        return self._is_closed or max_granted < max(1, self.voters.quorum)

    @property
    def has_failed_reply(self) -> bool:
        """Whether a voter refused, or a request failed without a reply."""
        answered = len(self.voters.instances) - len(self._pending)
        return len(self._granted) < answered

    def mark_unasked(self, instances: Iterable[live_list.Instance]) -> None:
        """Record which voters have not been sent a request (yet).

        This replaces the voters of the previous call.
        """
        self._unasked = frozenset(instance.name for instance in instances)

    def record_reply(
        self, name: str, reply: voter_module.VoteReply | None
    ) -> None:
        """Count a voter's reply, or ``None`` if its request failed."""
        # Only the first reply of each voter of this round counts.  A late
        # or repeated reply must not count as another voter's.
        if name not in self._pending:
            return
        self._pending.discard(name)
        if reply is None:
            return
        if reply.verdict is Verdict.GRANTED:
            self._granted.add(name)
        else:
            self._refused[name] = reply

    def close(self) -> list[live_list.Instance]:
        """End the round; return the voters that may have granted votes."""
        # The votes are about to be released, so replies that are still in
        # flight must not complete the claim.
        self._is_closed = True
        return [
            instance
            for instance in self.voters.instances
            if instance.name not in self._refused
            and instance.name not in self._unasked
        ]

    def competing_claim(self) -> voter_module.VoteReply | None:
        """Return a reply that names the claim that has the vote, if any."""
        return self._first_refusal(Verdict.TAKEN)

    def refusal(self) -> errors.RefusalError:
        """Return the error for the caller of a claim that failed."""
        if self._first_refusal(Verdict.OTHER_BODY):
            return errors.RefusalError(
                errors.ErrorKind.BAD_IDEMPOTENCY_KEY,
                'Idempotency-Key was used for another request',
            )
        if self._first_refusal(Verdict.TOO_OLD):
            return idempotency.too_old_refusal(
                'its voters may have lost their votes'
            )
        if self._first_refusal(Verdict.FROM_FUTURE):
            return errors.RefusalError(
                errors.ErrorKind.KEY_OUT_OF_WINDOW,
                'Idempotency-Key was created in the future',
            )
        return errors.RefusalError(
            errors.ErrorKind.CLAIM_UNAVAILABLE,
            f'{len(self._granted)} of {self.voters.quorum} votes granted; '
            'this request did not run, retry it with the same key',
            retry_after_s=max(
                (reply.retry_after_s for reply in self._refused.values()),
                default=None,
            ),
        )

    def _first_refusal(
        self, verdict: Verdict
    ) -> voter_module.VoteReply | None:
        return next(
            (
                reply
                for reply in self._refused.values()
                if reply.verdict is verdict
            ),
            None,
        )


def _new_claim_id() -> str:
    # Every vote message contains the id, and base64 is shorter than the
    # usual text form of a UUID.
    encoded = base64.urlsafe_b64encode(uuid_utils.uuid7().bytes)
    return encoded.decode('ascii').rstrip('=')
