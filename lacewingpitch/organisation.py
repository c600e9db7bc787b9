"""Organisations that send requests, with their usage limits."""

from collections.abc import Iterable
import dataclasses
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class UsageLimit:
    """Rate limit of an organisation, shared by all entries.

    Parameters
    ----------
    rate_per_s
        Units allowed per second.
    burst
        Units allowed at once after a period without use.
    counts_tokens
        Whether the unit is a token; otherwise it is a request.
    default_cost
        Units charged for a request that does not state its tokens.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool = True
    default_cost: float = 1.0

    def cost(self, prompt_tokens: int, max_tokens: int) -> float:
        """Return the units to charge for a request."""
        if not self.counts_tokens:
            return 1.0
        return float(prompt_tokens + max_tokens) or self.default_cost


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation whose callers may send requests.

    Parameters
    ----------
    api_keys
        Secrets that authenticate its callers.
    rank
        Urgency of its requests, 0 is the most urgent; ``None`` to use that
        of the route.
    limit
        Its rate limit; ``None`` for no limit.
    weight
        Its relative share where organisations compete; the mean is 1.
    """

    name: str
    api_keys: tuple[str, ...] = dataclasses.field(default=(), repr=False)
    rank: int | None = None
    limit: UsageLimit | None = None
    weight: float = 1.0


def weighted(
    organisations: Iterable[Organisation],
) -> tuple[Organisation, ...]:
    """Return organisations with weights in proportion to their limits.

    An organisation without a limit gets the largest weight.
    """
    listed = tuple(organisations)
    rates_per_s = [o.limit.rate_per_s for o in listed if o.limit is not None]
    if not rates_per_s:
        return listed
    mean_per_s = statistics.fmean(rates_per_s)
    max_per_s = max(rates_per_s)
    return tuple(
        dataclasses.replace(
            o,
            weight=(o.limit.rate_per_s if o.limit else max_per_s) / mean_per_s,
        )
        for o in listed
    )
