"""Names in the platform's HTTP interfaces: headers, paths and store keys."""

# The caller's id of one attempt; the response repeats it.
REQUEST_ID = 'Request-Id'
# Time for which the caller still waits.  An engine stops work at its end.
DEADLINE_MS = 'Deadline-Ms'
# Seconds, with fractions.  In our refusals: when the caller may come back.
# In an engine's: the time for which this process must send it nothing.
RETRY_AFTER = 'Retry-After'
LAST_EVENT_ID = 'Last-Event-Id'
# MODEL or MODEL/ADAPTER.
MODEL = 'Model'
# Tokens of the prompt and maximum tokens of the answer, separated by a comma.
TOKENS = 'Token-Usage'
# Parts of the prompt in their order, as ID:TOKENS separated by commas.
PROMPT_PARTS = 'Prompt-Prefix'
# Tokens that the caller expects in the answer; accurate in the median.
EXPECTED_TOKENS = 'Length-Hint'
# The only incarnation that may run the request; any other refuses it.
EXPECT_INCARNATION = 'Expect-Instance'
# The version of the adapter if the request names one, else of the model.
EXPECT_VERSION = 'Expect-Version'
PRIORITY = 'Request-Priority'
# IP:PORT/HANDLE of the copied memory from which a run continues.
MEMORY_FROM = 'Kv-From'
# The API key of the caller, after the name of the scheme.
AUTHORIZATION = 'Authorization'
AUTHORIZATION_SCHEME = 'token'
# In requests to engines: the organisation of the caller.
ORGANISATION = 'Tenant'
# In responses: the engine has not run the request and never will.
NOT_RUN = 'Not-Executed'
INCARNATION = 'Instance-Id'
# In responses: requests per second that the engine accepts from all entries
# together, a decimal.  In force while the engine's responses contain it.
SERVER_LIMIT = 'Server-Limit'
# In all responses of a leaving engine: 1.
SERVER_LEAVING = 'Server-Leaving'

# Headers that concern a single connection, and are not forwarded.
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

# Headers that only this system may set.  With them, a caller could make the
# engine keep or move memory, raise its priority, or impersonate another one.
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

# Not forwarded if callers are authenticated by their keys.
CREDENTIALS = frozenset({'authorization'})

REPORT_PATH = '/lacewingpitch/report'
ORDER_PATH = '/lacewingpitch/order'
# Copies the memory of a run to another engine.
MEMORY_COPY_PATH = '/lacewingpitch/kv-move'
# Followed by the handle of a copy.
MEMORY_HANDLE_PATH = '/lacewingpitch/kv-handle/'
# In all responses of the store: its epoch, which rises each time that the
# store is restored from a backup and uses revisions again.
STORE_ERA = 'Store-Era'
RANGE_PATH = '/lacewingpitch/kv-range'
WATCH_PATH = '/lacewingpitch/kv-watch'

CONFIGURATION_KEY = 'op/config'
OPERATOR_PREFIX = 'op/'
ADAPTER_VERSION_PREFIX = 'op/version/'
BACKEND_SERVER_PREFIX = 'servers/'
