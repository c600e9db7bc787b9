"""Messages from a claim to voters, and to the holders of other claims."""

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
    """State of a claim at the sidecar that made it.

    ``NOT_HELD`` means that the claim was withdrawn or is unknown.
    """

    CLAIMING = 'claiming'
    RUNNING = 'running'
    FINISHED = 'finished'
    NOT_HELD = 'not-held'


class OutcomeRequest(link.Message, frozen=True):
    """Requests the outcome of a claim from its holder."""

    claim_id: str


class OutcomeReply(link.Message, frozen=True):
    """State of a claim, with the answer if the holder has cached it."""

    state: ClaimState
    answer: runs.WholeAnswer | None = None


class VoterLinks(Protocol):
    """Sends the messages of a claim to voters and holders of claims."""

    async def vote(
        self,
        instance: live_list.Instance,
        request: voter_module.VoteRequest,
    ) -> voter_module.VoteReply:
        """Request a vote."""
        ...

    async def withdraw(
        self,
        instance: live_list.Instance,
        request: voter_module.WithdrawRequest,
    ) -> voter_module.WithdrawReply:
        """Release a vote."""
        ...

    async def outcome(self, holder: str, claim_id: str) -> OutcomeReply:
        """Request the outcome of a claim."""
        ...


class PeerVoterLinks:
    """Sends the messages of a claim over control links.

    The voter of this instance is called directly.
    """

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
        """Request a vote.

        Raises
        ------
        LinkError
            No reply arrived; the vote may have been granted.
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
        """Release a vote.

        Raises
        ------
        LinkError
            No reply arrived; the vote may not have been released.
        """
        if instance.name == self._name:
            return self._voter.withdraw(request)
        return await self._peer(instance).ask(
            request, voter_module.WithdrawReply, _ASK_TIMEOUT_S
        )

    async def outcome(self, holder: str, claim_id: str) -> OutcomeReply:
        """Request the outcome of a claim.

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
        raise errors.LinkError(f'{holder} is not in the list of instances')

    def _peer(self, instance: live_list.Instance) -> link.Peer:
        return self._peers.peer(instance.ip, instance.control_port)
