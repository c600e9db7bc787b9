"""Rules of placement that apply to the ranking as a whole."""

from collections.abc import Collection, Sequence

# The penalty for each engine that comes earlier in the order by hash.
# With it, all entry instances send the requests that a busy home cannot
# run to the same next engines.
_PENALTY_PER_RANK_S = 0.05
_MAX_RANK_PENALTY_S = 0.5
# How many holders of an adapter may rank before the first non-holder.
_MAX_LEADING_HOLDERS = 2


def add_rank_penalties(
    waits_s: list[float], by_hash: Sequence[int], known: Collection[int]
) -> None:
    """Penalize engines without the adapter by their rank by hash."""
    for number, column in enumerate(by_hash):
        if column not in known:
            waits_s[column] += min(
                number * _PENALTY_PER_RANK_S, _MAX_RANK_PENALTY_S
            )


def promote_non_holder(ranked: list[int], holders: Collection[int]) -> None:
    """Move the best engine that does not hold the adapter to third rank.

    An adapter that becomes hot fills the engines that hold it.  If only
    these were tried, its requests would be refused while others are idle.
    """
    if len(ranked) <= _MAX_LEADING_HOLDERS:
        return
    if any(
        column not in holders for column in ranked[: _MAX_LEADING_HOLDERS + 1]
    ):
        return
    other = next((c for c in ranked if c not in holders), None)
    if other is not None:
        ranked.remove(other)
        ranked.insert(_MAX_LEADING_HOLDERS, other)
