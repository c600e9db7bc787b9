"""Exchange of crash records between entries and sidecars.

Changes are piggybacked on the requests for turns and their replies.  An
entry merges the changes of each sidecar that it asks for a turn, and passes
on those of others.  Without any crash the messages carry no extra data.
Where no turn is requested, `suspect_sync` sends messages of its own.
"""

import msgspec

from lacewingpitch import crash_record
from lacewingpitch import link
from lacewingpitch import suspect

_MAX_PEERS = 2048


class SuspectNews(msgspec.Struct, frozen=True, array_like=True):
    """Changes of the sender's crash record that the receiver may lack.

    Parameters
    ----------
    revision
        Revision of the sender's record that the receiver has once it has
        merged `states`.
    known_revision
        In a request: revision of the receiver's record that the sender
        has.
    """

    revision: int = 0
    known_revision: int = 0
    states: tuple[suspect.SuspectState, ...] = ()


class CrashNews(link.Message, frozen=True):
    """Tells another process of crashes; the reply is of the same kind."""

    news: SuspectNews | None = None


class SuspectExchange:
    """The entry's side of the exchange, which sends the requests.

    Parameters
    ----------
    record
        Crash record of this process.
    """

    def __init__(self, record: crash_record.CrashRecord) -> None:
        self._record = record
        # By IP address of a sidecar: the revision of its record that has
        # been merged here, and the revision of this record that it has.
        self._merged: dict[str, int] = {}
        self._sent: dict[str, int] = {}

    def update_for(
        self, ip: str, max_count: int = crash_record.MAX_STATES_PER_TURN
    ) -> SuspectNews | None:
        """Return the changes to send with a request to a sidecar."""
        merged = self._merged.get(ip, 0)
        sent = self._sent.get(ip, 0)
        if sent == self._record.revision:
            return SuspectNews(sent, merged) if merged else None
        states, revision = self._record.changes_since(sent, max_count)
        return SuspectNews(revision, merged, states)

    def apply_reply(
        self, ip: str, sent: SuspectNews | None, reply: SuspectNews | None
    ) -> None:
        """Merge what came with a sidecar's reply.

        Parameters
        ----------
        sent
            What went with the request.
        """
        if len(self._sent) > _MAX_PEERS:
            self._sent.clear()
            self._merged.clear()
        if sent is not None:
            self._sent[ip] = sent.revision
        if reply is None:
            return
        merged = self._merged.get(ip, 0)
        if merged and not crash_record.is_same_start(reply.revision, merged):
            # The sidecar has restarted with an empty record.
            self._sent.pop(ip, None)
        self._merged[ip] = reply.revision
        self._record.merge(reply.states)


def update_for_requester(
    record: crash_record.CrashRecord,
    received: SuspectNews | None,
    max_count: int = crash_record.MAX_STATES_PER_TURN,
) -> SuspectNews | None:
    """Return the changes to send with a reply; ``None`` without any.

    Parameters
    ----------
    record
        Crash record of this process.
    received
        What came with the request.
    """
    known_revision = received.known_revision if received else 0
    if known_revision == record.revision:
        return None
    states, revision = record.changes_since(known_revision, max_count)
    return SuspectNews(revision=revision, states=states)


class CrashNewsAnswerer:
    """Answers entries that exchange crashes without requesting a turn.

    Parameters
    ----------
    record
        Crash record of this process.
    """

    def __init__(self, record: crash_record.CrashRecord) -> None:
        self._record = record

    async def answer(self, message: CrashNews) -> CrashNews:
        """Merge the sender's crashes, and reply with those that it lacks."""
        self._record.merge(message.news.states if message.news else ())
        return CrashNews(
            update_for_requester(
                self._record,
                message.news,
                crash_record.MAX_STATES_PER_MESSAGE,
            )
        )
