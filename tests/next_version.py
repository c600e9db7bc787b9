"""A daemon as its next release might be: every message has a field more.

Run it as ``python -c 'from tests import next_version; ...main()'``; it
takes the same arguments as ``lacewingpitch``.
"""

import importlib
import pkgutil

import msgspec

import lacewingpitch
from lacewingpitch import cli
from lacewingpitch import hint
from lacewingpitch import link
from lacewingpitch import work

_ALSO = (work.Refusal, work.ErrorBody, hint.Hint)


def main():
    """Run a daemon whose messages are of the next version."""
    for found in pkgutil.iter_modules(lacewingpitch.__path__):
        module = importlib.import_module(f'lacewingpitch.{found.name}')
        for name, kind in list(vars(module).items()):
            if _travels(kind) and kind.__module__ == module.__name__:
                setattr(module, name, _extended(kind))
    link.PROTOCOL_VERSION += 1
    cli.main()


def _travels(kind):
    return isinstance(kind, type) and (
        (issubclass(kind, link.Message) and kind is not link.Message)
        or kind in _ALSO
    )


def _extended(kind):
    """Return a message type with a field that older ones do not know."""
    config = kind.__struct_config__
    return msgspec.defstruct(
        kind.__name__,
        [('added_in_next_version', str, 'new')],
        bases=(kind,),
        module=kind.__module__,
        frozen=True,
        array_like=config.array_like,
        kw_only=True,
    )
