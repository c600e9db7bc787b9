"""Headers and paths of the platform's HTTP interfaces."""

# The caller's name of one attempt; an answer repeats it.
REQUEST_ID = 'Request-Id'
# Time that the caller still waits.  An engine stops work at its end.
DEADLINE_MS = 'Deadline-Ms'
RETRY_AFTER = 'Retry-After'
LAST_EVENT_ID = 'Last-Event-Id'
# MODEL or MODEL/ADAPTER.
MODEL = 'Model'
# Tokens of the prompt and most tokens of the answer, with a comma.
TOKENS = 'Token-Usage'
# Tokens that the caller expects of the answer: right at the median.
EXPECTED_TOKENS = 'Length-Hint'
# The incarnation that may run the request; any other refuses it.
EXPECT_INCARNATION = 'Expect-Instance'
# The adapter's version if the request names one, else the model's.
EXPECT_VERSION = 'Expect-Version'
PRIORITY = 'Request-Priority'
# The caller's key, after the name of the scheme.
AUTHORIZATION = 'Authorization'
AUTHORIZATION_SCHEME = 'token'
# Towards engines: whose request it is.
ORGANISATION = 'Tenant'
# On an answer: the engine has not run the request and never will.
NOT_RUN = 'Not-Executed'
INCARNATION = 'Instance-Id'

# Headers that concern one connection, and are not passed on.
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    }
)

# Headers by which a caller could have the engine keep or move memory, go
# ahead of others, or be taken for another; they are the system's to set.
SYSTEM_ONLY = frozenset(
    {
        'expect-instance',
        'expect-version',
        'request-priority',
        'hold',
        'pin-ms',
        'kv-backup',
        'kv-fetch',
        'kv-from',
        'deadline-ms',
        'tenant',
    }
)

# Not passed on where callers are known by their keys.
KEYS = frozenset({'authorization'})

REPORT_PATH = '/lacewingpitch/report'
ORDER_PATH = '/lacewingpitch/order'
# On all answers of the store: rises each time that it comes back from a
# copy, with revisions that it gives out again.
STORE_ERA = 'Store-Era'
RANGE_PATH = '/lacewingpitch/kv-range'
WATCH_PATH = '/lacewingpitch/kv-watch'

CONFIGURATION_KEY = 'op/config'
OPERATOR_PREFIX = 'op/'
ADAPTER_VERSION_PREFIX = 'op/version/'
BACKEND_SERVER_PREFIX = 'servers/'
