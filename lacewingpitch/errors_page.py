"""The page docs/ERRORS.md, made from the table of error kinds."""

from collections.abc import Mapping

from lacewingpitch import errors

_HEAD = """\
# Errors

Made by `lacewingpitch errors` from the table in `errors.py`.

Every answer that is not whole is one kind of this closed list.  The
body is

    {"error": {"kind": KIND, "outcome": OUTCOME, "detail": TEXT,
               "retry_after_s": SECONDS or null}}

and the headers `Lacewingpitch-Error-Kind`, `Lacewingpitch-Outcome`,
`Lacewingpitch-Request-Id` and, where coming back helps, `Retry-After`
(whole seconds) say the same.  A stream that had begun ends with an
event `error` that carries the same body, never without a mark.  In the
log the kind is the field `kind`.

| outcome | what the caller may conclude |
| --- | --- |
| `not-run` | a promise: the request did not run and will not run |
| `unknown` | it may have run; send it again only if it is repeatable |
| `partial` | it ran; the answer came in part |

"Elsewhere" says that an entry instance tries another backend server by
itself before it gives this answer.  Where more or less is known of one
case, its outcome and `Retry-After` override the table's.

| kind | status | outcome | retry after, s | elsewhere | meaning |
| --- | --- | --- | --- | --- | --- |
"""

MEANINGS: Mapping[errors.ErrorKind, str] = {
    errors.ErrorKind.BAD_REQUEST: 'the request cannot be understood',
    errors.ErrorKind.NOT_FOUND: 'no such method and path',
    errors.ErrorKind.BODY_TOO_LARGE: 'the body is above `max_body_bytes`',
    errors.ErrorKind.BODY_TOO_SLOW: (
        'the body did not come within `body_timeout_s`'
    ),
    errors.ErrorKind.UNAUTHENTICATED: 'no API key, or an unknown one',
    errors.ErrorKind.NOT_IN_CONTRACT: (
        'the contract names no such adapter or service, or is revoked'
    ),
    errors.ErrorKind.BAD_IDEMPOTENCY_KEY: (
        'the `Idempotency-Key` does not have the form asked for'
    ),
    errors.ErrorKind.KEY_OUT_OF_WINDOW: (
        'the key was made too long ago, or by a clock that is too far off'
    ),
    errors.ErrorKind.KEY_IN_USE: ('another request with this key runs or ran'),
    errors.ErrorKind.RATE_LIMITED: (
        "above the rate of the contract, or of the organisation's limit"
    ),
    errors.ErrorKind.CONCURRENCY_LIMITED: (
        "above the contract's requests at once"
    ),
    errors.ErrorKind.QUEUE_FULL: 'too many requests wait already',
    errors.ErrorKind.DEADLINE_UNREACHABLE: (
        "no turn within the contract's `deadline_s`"
    ),
    errors.ErrorKind.ADAPTER_UNAVAILABLE: (
        'the adapter could not be loaded or was refused by the engine'
    ),
    errors.ErrorKind.NO_BACKEND_SERVER: (
        'no live backend server for this model or service is known'
    ),
    errors.ErrorKind.CLAIM_UNAVAILABLE: (
        'too few voters answered to claim the key'
    ),
    errors.ErrorKind.ATTEMPT_OUT_OF_WINDOW: (
        'the attempt was made too long ago, or by a clock that is ahead'
    ),
    errors.ErrorKind.ATTEMPT_WITHDRAWN: (
        'the sidecar is silent, or promised not to run the attempt'
    ),
    errors.ErrorKind.CONTRACT_OUTDATED: (
        'a process had yet to learn the revision of the contract'
    ),
    errors.ErrorKind.CONFIGURATION_OUTDATED: (
        'the instance asked cannot tell whether the API key is still valid'
    ),
    errors.ErrorKind.DRAINING: 'the instance asked is leaving',
    errors.ErrorKind.BACKEND_STARTING: (
        'every engine that could serve it loads its base model'
    ),
    errors.ErrorKind.FOREIGN_PROCESS: (
        'an order that is not of this deployment; callers do not see it'
    ),
    errors.ErrorKind.WRONG_ADAPTER: (
        'the engine answered from another adapter; the answer is withheld'
    ),
    errors.ErrorKind.CRASHES_BACKEND_SERVERS: (
        'backend servers crashed as they began to run this request; it is '
        'sent to none any more'
    ),
    errors.ErrorKind.CALLER_GONE: 'the caller went away; only in logs',
    errors.ErrorKind.OUTCOME_UNKNOWN: (
        'the answer was lost after the request may have started'
    ),
    errors.ErrorKind.ANSWER_CUT: 'the answer broke off and did not resume',
    errors.ErrorKind.INTERNAL: 'a fault of ours; the log has its trace',
}


def render() -> str:
    """Return the page as Markdown."""
    return _HEAD + ''.join(_row(kind) for kind in errors.ErrorKind)


def _row(kind: errors.ErrorKind) -> str:
    rule = errors.ANSWER_RULES[kind]
    after = '-' if rule.retry_after_s is None else f'{rule.retry_after_s:g}'
    cells = (
        f'`{kind.value}`',
        str(rule.status),
        f'`{rule.outcome.value}`',
        after,
        'yes' if rule.retry_elsewhere else 'no',
        MEANINGS[kind],
    )
    return f'| {" | ".join(cells)} |\n'
