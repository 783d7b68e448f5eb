"""Exceptions with error codes, for errors that callers cannot handle."""


class DeckdrumError(Exception):
    """Base class of all exceptions with an error code.

    Parameters
    ----------
    text : str
        Description of the error, with the invalid and the expected value.
    """

    #: Stable error code, shown in logs and by the commands.
    code = 'E000'

    def __init__(self, text: str) -> None:
        super().__init__(f'{self.code}: {text}')


class SettingsError(DeckdrumError):
    """A settings file is invalid."""

    code = 'E101'


class DocumentError(DeckdrumError):
    """A configuration document is invalid."""

    code = 'E102'


class StoreError(DeckdrumError):
    """The platform's object API did not respond, or refused the call."""

    code = 'E201'


class BrokenInvariantError(DeckdrumError):
    """An invariant is violated; the process must stop."""

    code = 'E900'
