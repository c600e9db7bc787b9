"""Selection of the entries that hold copies of an account."""

from lacewingpitch import account as account_module
from lacewingpitch import live_list
from lacewingpitch import placement

COPY_COUNT = 2


def choose_holders(
    account_id: account_module.AccountId,
    region: str,
    others: list[live_list.Instance],
) -> list[live_list.Instance]:
    """Return the entries that hold copies of an account.

    They are selected by rendezvous hash, within the region if it has
    enough entries, and in different availability zones where possible,
    none of them that of the account's own instance.

    Parameters
    ----------
    account_id
        Identifies the account.
    region
        Preferred region.
    others
        Candidates, without the account's own instance.
    """
    near = [entry for entry in others if entry.region == region]
    pool = near if len(near) >= COPY_COUNT else others
    ranked = placement.rank_by_hash(f'account/{account_id.instance}', pool)
    taken_zones = {account_id.availability_zone}
    chosen: list[live_list.Instance] = []
    for entry in ranked:
        if entry.availability_zone not in taken_zones:
            taken_zones.add(entry.availability_zone)
            chosen.append(entry)
    rest = [entry for entry in ranked if entry not in chosen]
    return (chosen + rest)[:COPY_COUNT]
