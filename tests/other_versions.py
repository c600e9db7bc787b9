"""Daemons of other releases, for tests with two versions side by side.

Run as ``python -c 'from tests import other_versions; ...'``; they take
the same arguments as ``lacewingpitch``.
"""

import importlib
import pkgutil
import uuid

import msgspec

import lacewingpitch
from lacewingpitch import cli
from lacewingpitch import hint
from lacewingpitch import link
from lacewingpitch import work

_OTHER_ENCODED_TYPES = (work.Refusal, work.ErrorBody, hint.Hint)


def run_previous():
    """Run a daemon that neither sends nor accepts the short form."""
    link.PROTOCOL_VERSION = 1
    link._SHORT_FORM_SINCE = link.PROTOCOL_VERSION + 2
    # The previous release treats such a message as wrongly signed.
    link.is_short_form = lambda data: False
    cli.main()


def run_next():
    """Run a daemon whose messages all have an additional field."""
    for info in pkgutil.iter_modules(lacewingpitch.__path__):
        module = importlib.import_module(f'lacewingpitch.{info.name}')
        for name, kind in list(vars(module).items()):
            if _is_encoded(kind) and kind.__module__ == module.__name__:
                setattr(module, name, _extended(kind))
    link.PROTOCOL_VERSION += 1
    cli.main()


def _is_encoded(kind):
    return isinstance(kind, type) and (
        (issubclass(kind, link.Message) and kind is not link.Message)
        or kind in _OTHER_ENCODED_TYPES
    )


def _extended(kind):
    """Return a message type with a field that older releases do not know."""

    def unique_value():
        # A value equal to the default would be omitted from the message.
        return str(uuid.uuid4())

    return msgspec.defstruct(
        kind.__name__,
        [
            (
                'added_in_next_version',
                str,
                msgspec.field(default_factory=unique_value),
            )
        ],
        bases=(kind,),
        module=kind.__module__,
        frozen=True,
        array_like=kind.__struct_config__.array_like,
        kw_only=kind in _OTHER_ENCODED_TYPES,
    )
