"""Checks of what servers got after they had asked for nothing more."""

import collections

# Bounds of the platform, as in the settings of the stand-in.
DRAIN_S = 2.0
REACTION_S = 0.5
MAX_IN_BACKOFF = 2


def never(_entry, _since_s, _until_s):
    """Excuse no entry."""
    return False


def sent_while_leaving(server, sent, told=None, is_excused=never):
    """Return the ids of requests that a server got too late.

    Parameters
    ----------
    sent
        Entry and time of each request that callers sent, by its id.
    told
        When an entry first passed on an answer that says that an incarnation
        leaves, by both; if it is ``None``, when the server wrote it.
    is_excused
        Whether an entry is excused in a time, as it restarted or was frozen.
    """
    if told is None:
        told = {}
        for request_id, at_s, name in server.leaving_answers:
            told.setdefault((sent[request_id][0], name), at_s)
    found = []
    for request_id, at_s, name in server.arrivals:
        if request_id not in sent:
            continue
        entry, sent_at_s = sent[request_id]
        since_s = told.get((entry, name), at_s)
        is_late = sent_at_s > since_s + DRAIN_S
        if is_late and not is_excused(entry, since_s, at_s):
            found.append(request_id)
    return found


def most_in_backoff(server, sent, is_excused=never):
    """Return the most requests of one entry in a backoff that it owed."""
    arrivals = collections.defaultdict(list)
    for request_id, at_s, name in server.arrivals:
        if request_id in sent:
            arrivals[sent[request_id][0], name].append(at_s)
    most = 0
    for request_id, at_s, name, backoff_s in server.backoff_answers:
        if request_id not in sent:
            continue
        entry = sent[request_id][0]
        until_s = at_s + backoff_s
        if is_excused(entry, at_s, until_s):
            continue
        count = sum(
            at_s + REACTION_S < arrived_at_s < until_s
            for arrived_at_s in arrivals[entry, name]
        )
        most = max(most, count)
    return most
