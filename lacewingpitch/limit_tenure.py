"""Tenure of limits: which process may grant a limit, by the newest list.

Entries derive the owner of a limit from their own lists, which may differ.
Each of their messages states the position of the list that it follows.  A
process grants a limit only after the owners before it have been asked to
cede the limit, by the entry that finds it.  An owner that has ceded a limit
refers entries with older lists to its successor.
"""

import collections
import dataclasses

import msgspec

# Epoch and revision of the list; a later list has a greater position.
Position = tuple[int, int]
UNKNOWN_POSITION: Position = (0, 0)
# More than the limits that are in use at the same time.
_MAX_TENURES = 8192


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """By which list an entry takes the receiver for the owner of a limit.

    Parameters
    ----------
    epoch, revision
        Position of the entry's list; 0 if unknown.
    is_handed_over
        Whether the owners before have ceded the limit, or did not answer.
    successor
        Address of the owner to cede the limit to; empty if the receiver is
        the owner.
    level
        What the owner before had left in its bucket; ``None`` if unknown.
    """

    epoch: int = 0
    revision: int = 0
    is_handed_over: bool = False
    successor: str = ''
    level: float | None = None

    @property
    def position(self) -> Position:
        """Return the position of the entry's list."""
        return self.epoch, self.revision


class Denial(msgspec.Struct, frozen=True, array_like=True):
    """Why a process grants nothing, or does not cede a limit.

    Parameters
    ----------
    owner
        Address of the owner by a newer list; empty if it is the process
        itself.
    epoch, revision
        Position of that list; 0 if the limit has to be handed over first.
    previous
        Address of an owner before, besides those that entries know.
    """

    owner: str = ''
    epoch: int = 0
    revision: int = 0
    previous: str = ''

    @property
    def position(self) -> Position:
        """Return the position of the newer list."""
        return self.epoch, self.revision

    @property
    def needs_hand_over(self) -> bool:
        """Whether the owners before have to cede the limit first."""
        return self.position == UNKNOWN_POSITION


@dataclasses.dataclass(slots=True)
class _Tenure:
    """The tenure of one limit.

    Parameters
    ----------
    newest
        Greatest position of the lists by which the limit was granted.
    ceded_to, ceded_at
        The successor, and the position of the list that names it.
    """

    is_held: bool = False
    newest: Position = UNKNOWN_POSITION
    ceded_to: str = ''
    ceded_at: Position = UNKNOWN_POSITION


class Tenures:
    """The tenures of limits at one process that may own them."""

    def __init__(self) -> None:
        self._tenures: collections.OrderedDict[str, _Tenure] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._tenures)

    def check(self, name: str, claim: Claim) -> Denial | None:
        """Return why a limit may not be granted; ``None`` if it may."""
        tenure = self._find(name)
        if tenure.ceded_to and claim.position <= tenure.ceded_at:
            return Denial(tenure.ceded_to, *tenure.ceded_at)
        # Entries that state no position can't hand over.
        is_known = claim.position != UNKNOWN_POSITION
        if is_known and not tenure.is_held and not claim.is_handed_over:
            return Denial(previous=tenure.ceded_to)
        tenure.is_held = True
        tenure.ceded_to = ''
        tenure.newest = max(tenure.newest, claim.position)
        return None

    def cede(self, name: str, claim: Claim) -> Denial | None:
        """Stop granting a limit, unless a newer list forbids it.

        Returns
        -------
        Denial or None
            If it has a position, why the limit is not ceded.  Otherwise it
            is ceded, and names the process to which it was ceded before.
        """
        tenure = self._find(name)
        # Of two owners by the same list, the one that grants stays.
        if tenure.is_held and tenure.newest >= claim.position:
            return Denial('', *tenure.newest)
        if tenure.ceded_to == claim.successor:
            tenure.ceded_at = max(tenure.ceded_at, claim.position)
            return None
        if tenure.ceded_to and tenure.ceded_at >= claim.position:
            return Denial(tenure.ceded_to, *tenure.ceded_at)
        before = tenure.ceded_to
        tenure.is_held = False
        tenure.ceded_to = claim.successor
        tenure.ceded_at = claim.position
        return Denial(previous=before) if before else None

    def _find(self, name: str) -> _Tenure:
        found = self._tenures.get(name)
        if found is not None:
            self._tenures.move_to_end(name)
            return found
        if len(self._tenures) >= _MAX_TENURES:
            self._tenures.popitem(last=False)
        found = self._tenures[name] = _Tenure()
        return found
