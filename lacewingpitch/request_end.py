"""How far a request got, and who ended a connection without an answer."""

import enum


class Step(enum.StrEnum):
    """The last step that a request has reached."""

    HEAD_READ = 'head read'
    BODY_READ = 'body read'
    SENT = 'sent'
    ANSWERING = 'answering'


class ClosedBy(enum.StrEnum):
    """Who ended the connection of a request before its answer was whole."""

    NOBODY = ''
    CALLER = 'caller'
    ENTRY = 'entry'
