"""Separates the time for tokens from the time for reading prompts."""

# Exponential decay per second: the estimate covers about twenty seconds.
_DECAY_PER_S = 0.95
# Sums over several intervals, because the events of runs and the prompts
# read are counted in whole numbers.
_MIN_WINDOW_S = 0.4
# Prior for the prompt tokens that an engine reads in the time of one token
# of its answers, and its standard deviation as a share of it.
_PRIOR_PROMPT_TOKENS_PER_TOKEN = 200.0
_PRIOR_DEVIATION_RATIO = 0.5
_MAX_PRIOR_FACTOR = 5.0
# Least standard deviation of the tokens of a window, from their rounding.
_MIN_TOKENS_ERROR = 3.0


class TokenRegression:
    """Regression of the tokens generated over time and prompt tokens.

    In an interval each run generates `duration_s / token_s` tokens, less
    those whose time goes to prompts.  The number of tokens is the dependent
    variable, because its rounding to events is the largest error.  The more
    the intervals differ from the estimate, as those of an engine that falters
    do, the more the prior counts.
    """

    def __init__(self) -> None:
        self._window_s = 0.0
        self._window_tokens = 0.0
        self._window_prompt_tokens = 0.0
        self._squared_s = 0.0
        self._s_tokens = 0.0
        self._s_prompt = 0.0
        self._squared_prompt = 0.0
        self._prompt_tokens = 0.0
        self._squared_error = 0.0
        self._count = 0.0
        self._tokens_per_s = 0.0
        self._tokens_per_prompt_token = 1.0 / _PRIOR_PROMPT_TOKENS_PER_TOKEN

    @property
    def is_known(self) -> bool:
        """Whether enough has been recorded for an estimate."""
        return self._tokens_per_s > 0.0

    @property
    def token_s(self) -> float:
        """Return the time for each token while no prompt is read."""
        return 1.0 / self._tokens_per_s

    @property
    def prompt_tokens_per_s(self) -> float:
        """Return the rate at which prompts are read."""
        return self._tokens_per_s / self._tokens_per_prompt_token

    def expected_s(self, tokens: float, prompt_tokens: float) -> float:
        """Return the time for tokens of each run and for prompts."""
        prompt = prompt_tokens * self._tokens_per_prompt_token
        return (tokens + prompt) / self._tokens_per_s

    def record(
        self, duration_s: float, tokens: float, prompt_tokens: float
    ) -> None:
        """Record what each run generated, and the prompts read meanwhile."""
        self._window_s += duration_s
        self._window_tokens += tokens
        self._window_prompt_tokens += prompt_tokens
        if self._window_s < _MIN_WINDOW_S:
            return
        self._decay(_DECAY_PER_S**self._window_s)
        self._add(
            self._window_s, self._window_tokens, self._window_prompt_tokens
        )
        self._window_s = 0.0
        self._window_tokens = 0.0
        self._window_prompt_tokens = 0.0
        self._solve()

    def _decay(self, ratio: float) -> None:
        self._squared_s *= ratio
        self._s_tokens *= ratio
        self._s_prompt *= ratio
        self._squared_prompt *= ratio
        self._prompt_tokens *= ratio
        self._squared_error *= ratio
        self._count *= ratio

    def _add(
        self, duration_s: float, tokens: float, prompt_tokens: float
    ) -> None:
        self._squared_s += duration_s**2
        self._s_tokens += duration_s * tokens
        self._s_prompt += duration_s * prompt_tokens
        self._squared_prompt += prompt_tokens**2
        self._prompt_tokens += prompt_tokens * tokens
        if self.is_known:
            error_s = duration_s - self.expected_s(tokens, prompt_tokens)
            self._squared_error += (error_s * self._tokens_per_s) ** 2
            self._count += 1.0

    @property
    def _variance(self) -> float:
        """Return the variance of the tokens of a window."""
        if not self._count:
            return _MIN_TOKENS_ERROR**2
        return max(_MIN_TOKENS_ERROR**2, self._squared_error / self._count)

    def _solve(self) -> None:
        prior = 1.0 / _PRIOR_PROMPT_TOKENS_PER_TOKEN
        weight = self._variance / (_PRIOR_DEVIATION_RATIO * prior) ** 2
        squared_prompt = self._squared_prompt + weight
        product = weight * prior - self._prompt_tokens
        determinant = self._squared_s * squared_prompt - self._s_prompt**2
        ratio = (
            self._squared_s * product + self._s_prompt * self._s_tokens
        ) / determinant
        ratio = min(
            max(ratio, prior / _MAX_PRIOR_FACTOR), prior * _MAX_PRIOR_FACTOR
        )
        self._tokens_per_prompt_token = ratio
        self._tokens_per_s = (
            self._s_tokens + ratio * self._s_prompt
        ) / self._squared_s
