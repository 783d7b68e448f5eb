"""Exceptions with codes, for what no caller can act upon."""


class DeckdrumError(Exception):
    """Base of the product's exceptions.

    Parameters
    ----------
    text : str
        What was wrong, with the offending value and what was expected.
    """

    #: Stable code, shown in logs and by the commands.
    code = 'E000'

    def __init__(self, text: str) -> None:
        super().__init__(f'{self.code}: {text}')


class SettingsError(DeckdrumError):
    """A settings file is wrong."""

    code = 'E101'


class DocumentError(DeckdrumError):
    """A configuration document is wrong."""

    code = 'E102'


class StoreError(DeckdrumError):
    """The platform's object API did not answer, or refused."""

    code = 'E201'


class BrokenInvariantError(DeckdrumError):
    """An invariant does not hold; the process must stop."""

    code = 'E900'
