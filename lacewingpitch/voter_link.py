"""How a claim reaches voters, and the holders of other claims."""

import enum
from typing import Protocol

from lacewingpitch import errors
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import membership as membership_module
from lacewingpitch import runs
from lacewingpitch import voter as voter_module

_ASK_TIMEOUT_S = 1.0


class ClaimState(enum.StrEnum):
    """How far a claim got at the sidecar that made it."""

    CLAIMING = 'claiming'
    RUNNING = 'running'
    FINISHED = 'finished'
    NOT_HELD = 'not-held'


class OutcomeRequest(link.Message, frozen=True):
    """Asks the holder of a claim what came of it."""

    claim_id: str


class OutcomeReply(link.Message, frozen=True):
    """What came of a claim; the answer where it was kept."""

    state: ClaimState
    answer: runs.WholeAnswer | None = None


class VoterLinks(Protocol):
    """How a claim reaches voters and holders of claims."""

    async def vote(
        self,
        instance: live_list.Instance,
        request: voter_module.VoteRequest,
    ) -> voter_module.VoteReply:
        """Ask for a vote."""
        ...

    async def withdraw(
        self,
        instance: live_list.Instance,
        request: voter_module.WithdrawRequest,
    ) -> voter_module.WithdrawReply:
        """Give a vote back."""
        ...

    async def outcome(self, holder: str, claim_id: str) -> OutcomeReply:
        """Ask what came of a claim."""
        ...


class PeerVoterLinks:
    """Voters over control links; this instance's own is called directly."""

    def __init__(
        self,
        name: str,
        voter: voter_module.Voter,
        peers: link.PeerPool,
        membership: membership_module.Membership,
    ) -> None:
        self._name = name
        self._voter = voter
        self._peers = peers
        self._membership = membership

    async def vote(
        self,
        instance: live_list.Instance,
        request: voter_module.VoteRequest,
    ) -> voter_module.VoteReply:
        """Ask for a vote.

        Raises
        ------
        LinkError
            No reply; the vote may have been given.
        """
        if instance.name == self._name:
            return self._voter.vote(request)
        return await self._peer(instance).ask(
            request, voter_module.VoteReply, _ASK_TIMEOUT_S
        )

    async def withdraw(
        self,
        instance: live_list.Instance,
        request: voter_module.WithdrawRequest,
    ) -> voter_module.WithdrawReply:
        """Give a vote back.

        Raises
        ------
        LinkError
            No reply.
        """
        if instance.name == self._name:
            return self._voter.withdraw(request)
        return await self._peer(instance).ask(
            request, voter_module.WithdrawReply, _ASK_TIMEOUT_S
        )

    async def outcome(self, holder: str, claim_id: str) -> OutcomeReply:
        """Ask what came of a claim.

        Raises
        ------
        LinkError
            The holder does not answer, or is not in the list.
        """
        for instance in self._membership.instances:
            if instance.name == holder:
                return await self._peer(instance).ask(
                    OutcomeRequest(claim_id=claim_id),
                    OutcomeReply,
                    _ASK_TIMEOUT_S,
                )
        raise errors.LinkError(f'{holder} is not in the list')

    def _peer(self, instance: live_list.Instance) -> link.Peer:
        return self._peers.peer(instance.ip, instance.control_port)
