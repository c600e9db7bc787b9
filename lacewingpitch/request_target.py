"""URLs that keep a request's path and query as they were received."""

import yarl


def url(authority: str, target: str) -> yarl.URL:
    """Return a URL whose request is sent with exactly this target.

    Parsing the target would drop an empty query and a fragment, resolve dot
    segments, and write escapes anew.

    Parameters
    ----------
    authority
        Host and port of the server.
    target
        Path and query; begins with a slash.
    """
    return yarl.URL.build(
        scheme='http', authority=authority, path=target, encoded=True
    )
