"""What the waiting of a request costs, by its size among its route's."""

import collections

_SMOOTHING_RATIO = 0.05
# A token of the answer takes the engine some ten times as long as one of
# the prompt: a step for each, while a step reads many of a prompt.
_ANSWER_TOKEN = 10.0
# The part of the cost that each request has, however small, so that none
# is overtaken for ever; the rest grows with the size, up to a bound.
_BASE_WEIGHT = 0.3
_MOST_MEANS = 4.0
_MAX_ROUTES = 4096


class RequestSizes:
    """Weighs requests against the mean of their route.

    Load it answers: more adapters wanted than there are places.  A large
    request has less time to spare, since its own prompt is read after the
    wait, and its caller has more to lose: a fifth to a third of the largest
    were late, and a twentieth of the smallest.  The mean is observed.
    """

    def __init__(self) -> None:
        self._means: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def weight(
        self, route: str, prompt_tokens: int, answer_tokens: int
    ) -> float:
        """Take note of a request, and return its weight."""
        size = prompt_tokens + _ANSWER_TOKEN * answer_tokens
        mean = self._means.get(route, size)
        self._means[route] = mean + _SMOOTHING_RATIO * (size - mean)
        self._means.move_to_end(route)
        if len(self._means) > _MAX_ROUTES:
            self._means.popitem(last=False)
        if mean <= 0.0:
            return 1.0
        means = min(_MOST_MEANS, size / mean)
        return _BASE_WEIGHT + (1.0 - _BASE_WEIGHT) * means
