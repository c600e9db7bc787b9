"""Which backend server a request goes to."""

from collections.abc import Sequence

import xxhash

from lacewingpitch import live_list


def rank(
    key: str, instances: Sequence[live_list.Instance]
) -> list[live_list.Instance]:
    """Return instances by rendezvous hash, the same at every process."""
    return sorted(
        instances,
        key=lambda instance: xxhash.xxh3_64_intdigest(
            f'{key}/{instance.name}'.encode()
        ),
        reverse=True,
    )


class Placement:
    """Sends the requests of one adapter to one home."""

    def candidates(
        self, key: str, instances: Sequence[live_list.Instance]
    ) -> list[live_list.Instance]:
        """Return the instances to try, best first."""
        return rank(key, instances)
