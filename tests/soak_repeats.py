"""Checks of the soak test: how often requests arrive at servers."""

from tests import arrivals

METHODS = ('POST', 'PUT', 'DELETE', 'GET')
MAX_ATTEMPTS = 2


def method(kind, number, mixes_methods):
    """Return the method of a request."""
    if kind == 'lookup':
        return 'GET'
    if kind == 'command' and mixes_methods:
        return METHODS[number % len(METHODS)]
    return 'POST'


def check(calls, services):
    """Yield what arrived too often.

    Parameters
    ----------
    services
        The servers of each service, with the kinds of requests that go there.
    """
    for servers, kinds in services:
        sent = [call for call in calls if call.kind in kinds]
        worst = arrivals.most_repeats(servers, [c.sent_at_s for c in sent])
        if worst.used_ratio > 1.0:
            yield (
                f'{worst.count} repeats in {arrivals.WINDOW_S:g} s, '
                f'{worst.allowed:g} are allowed'
            )
        counts = arrivals.arrival_counts(servers)
        beyond = [c.id for c in sent if counts[c.id] > MAX_ATTEMPTS]
        if beyond:
            yield f'arrived more than {MAX_ATTEMPTS} times: {beyond[:3]}'
