"""The closed list of error kinds, and how each kind is answered."""

from collections.abc import Mapping
import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What is known about whether a request ran.

    ``NOT_RUN`` is a promise: the request did not run and will not run.
    """

    SERVED = 'served'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    PARTIAL = 'partial'


class ErrorKind(enum.StrEnum):
    """Every kind of error that a caller can receive."""

    BAD_REQUEST = 'bad-request'
    NOT_FOUND = 'not-found'
    BODY_TOO_LARGE = 'body-too-large'
    BODY_TOO_SLOW = 'body-too-slow'
    HEADERS_TOO_LARGE = 'headers-too-large'
    MEMORY_SHORT = 'memory-short'
    UNAUTHENTICATED = 'unauthenticated'
    NOT_IN_CONTRACT = 'not-in-contract'
    BAD_IDEMPOTENCY_KEY = 'bad-idempotency-key'
    KEY_OUT_OF_WINDOW = 'key-out-of-window'
    KEY_IN_USE = 'key-in-use'
    RATE_LIMITED = 'rate-limited'
    CONCURRENCY_LIMITED = 'concurrency-limited'
    QUEUE_FULL = 'queue-full'
    DEADLINE_UNREACHABLE = 'deadline-unreachable'
    ADAPTER_UNAVAILABLE = 'adapter-unavailable'
    SERVER_LIMITED = 'server-limited'
    SERVER_BACKOFF = 'server-backoff'
    NO_BACKEND_SERVER = 'no-backend-server'
    CLAIM_UNAVAILABLE = 'claim-unavailable'
    ATTEMPT_OUT_OF_WINDOW = 'attempt-out-of-window'
    ATTEMPT_WITHDRAWN = 'attempt-withdrawn'
    CONTRACT_OUTDATED = 'contract-outdated'
    CONFIGURATION_OUTDATED = 'configuration-outdated'
    DRAINING = 'draining'
    BACKEND_STARTING = 'backend-starting'
    FOREIGN_PROCESS = 'foreign-process'
    WRONG_ADAPTER = 'wrong-adapter'
    CRASHES_BACKEND_SERVERS = 'crashes-backend-servers'
    CALLER_GONE = 'caller-gone'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    ANSWER_CUT = 'answer-cut'
    INTERNAL = 'internal'


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRule:
    """How one error kind is answered.

    Parameters
    ----------
    status
        HTTP status code.
    outcome
        What the caller may conclude about the request.
    retry_after_s
        When to retry, in seconds; ``None`` if a retry does not help.
    retry_elsewhere
        Whether the request may be sent to another backend server at once.
    """

    status: int
    outcome: Outcome
    retry_after_s: float | None = None
    retry_elsewhere: bool = False


_NOT_RUN = Outcome.NOT_RUN

ANSWER_RULES: Mapping[ErrorKind, AnswerRule] = {
    ErrorKind.BAD_REQUEST: AnswerRule(400, _NOT_RUN),
    ErrorKind.NOT_FOUND: AnswerRule(404, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: AnswerRule(413, _NOT_RUN),
    ErrorKind.BODY_TOO_SLOW: AnswerRule(408, _NOT_RUN),
    ErrorKind.HEADERS_TOO_LARGE: AnswerRule(431, _NOT_RUN),
    ErrorKind.MEMORY_SHORT: AnswerRule(503, _NOT_RUN, 1.0, True),
    ErrorKind.UNAUTHENTICATED: AnswerRule(401, _NOT_RUN),
    ErrorKind.NOT_IN_CONTRACT: AnswerRule(403, _NOT_RUN),
    ErrorKind.BAD_IDEMPOTENCY_KEY: AnswerRule(400, _NOT_RUN),
    ErrorKind.KEY_OUT_OF_WINDOW: AnswerRule(409, _NOT_RUN),
    ErrorKind.KEY_IN_USE: AnswerRule(409, Outcome.UNKNOWN),
    ErrorKind.RATE_LIMITED: AnswerRule(429, _NOT_RUN, 1.0),
    ErrorKind.CONCURRENCY_LIMITED: AnswerRule(429, _NOT_RUN, 1.0),
    ErrorKind.QUEUE_FULL: AnswerRule(503, _NOT_RUN, 1.0, True),
    ErrorKind.DEADLINE_UNREACHABLE: AnswerRule(503, _NOT_RUN, 2.0, True),
    ErrorKind.ADAPTER_UNAVAILABLE: AnswerRule(503, _NOT_RUN, 2.0, True),
    ErrorKind.SERVER_LIMITED: AnswerRule(503, _NOT_RUN, 1.0, True),
    ErrorKind.SERVER_BACKOFF: AnswerRule(503, _NOT_RUN, 1.0, True),
    ErrorKind.NO_BACKEND_SERVER: AnswerRule(503, _NOT_RUN, 2.0),
    ErrorKind.CLAIM_UNAVAILABLE: AnswerRule(503, _NOT_RUN, 2.0),
    ErrorKind.ATTEMPT_OUT_OF_WINDOW: AnswerRule(503, _NOT_RUN, 1.0),
    ErrorKind.ATTEMPT_WITHDRAWN: AnswerRule(503, _NOT_RUN, 1.0, True),
    ErrorKind.CONTRACT_OUTDATED: AnswerRule(503, _NOT_RUN, 1.0),
    ErrorKind.CONFIGURATION_OUTDATED: AnswerRule(503, _NOT_RUN, 0.5),
    ErrorKind.DRAINING: AnswerRule(503, _NOT_RUN, 1.0, True),
    ErrorKind.BACKEND_STARTING: AnswerRule(503, _NOT_RUN, 2.0, True),
    ErrorKind.FOREIGN_PROCESS: AnswerRule(403, _NOT_RUN),
    ErrorKind.WRONG_ADAPTER: AnswerRule(502, Outcome.UNKNOWN),
    ErrorKind.CRASHES_BACKEND_SERVERS: AnswerRule(500, _NOT_RUN),
    ErrorKind.CALLER_GONE: AnswerRule(499, Outcome.UNKNOWN),
    ErrorKind.OUTCOME_UNKNOWN: AnswerRule(504, Outcome.UNKNOWN),
    ErrorKind.ANSWER_CUT: AnswerRule(502, Outcome.PARTIAL),
    ErrorKind.INTERNAL: AnswerRule(500, Outcome.UNKNOWN),
}

# Refusals by engines that serve no request now.
NOT_SERVING_KINDS = (ErrorKind.DRAINING, ErrorKind.BACKEND_STARTING)


class LacewingpitchError(Exception):
    """Base class of the errors that this package raises."""


class SettingsError(LacewingpitchError):
    """Settings or contracts are invalid."""


class LinkError(LacewingpitchError):
    """A peer did not reply, or its reply is invalid."""


class NoReplyError(LinkError):
    """A peer did not reply at all."""


class PlatformError(LacewingpitchError):
    """The platform refused a call, or its answer is missing or invalid."""


class SilentError(PlatformError):
    """The called part did not answer in time; it may be sound."""


class RefusalError(LacewingpitchError):
    """A request ends without a whole answer.

    Parameters
    ----------
    kind
        Kind of the closed list.
    detail
        Text for the caller; it never contains another customer's data.
    retry_after_s
        When to retry, in seconds; ``None`` for the value of
        `ANSWER_RULES`.
    outcome
        Overrides the outcome of `ANSWER_RULES` if more, or less, is known.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        retry_after_s: float | None = None,
        outcome: Outcome | None = None,
    ) -> None:
        super().__init__(f'{kind}: {detail}')
        rule = ANSWER_RULES[kind]
        self.kind = kind
        self.detail = detail
        self.status = rule.status
        self.outcome = outcome or rule.outcome
        self.retry_after_s = (
            rule.retry_after_s if retry_after_s is None else retry_after_s
        )

    @property
    def retry_elsewhere(self) -> bool:
        """Whether the request may be sent elsewhere at once."""
        return (
            self.outcome is Outcome.NOT_RUN
            and ANSWER_RULES[self.kind].retry_elsewhere
        )
