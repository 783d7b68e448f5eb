"""Refusals of requests, returned as values instead of raised."""

import json
from dataclasses import dataclass

from deckdrum.outcomes.codes import CODES, Code, Fate

__all__ = ['Code', 'Fate', 'Refusal', 'refuse']


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was not run or whose outcome is unknown.

    Attributes
    ----------
    code : Code
        SQLSTATE of the refusal.
    fate : Fate
        ``NOT_RUN`` or ``UNKNOWN``.
    text : str
        Human-readable message of one line.
    retry_after : float or None
        Advised delay before a retry, in seconds; None if a retry does not help.
    """

    code: Code
    fate: Fate
    text: str
    retry_after: float | None

    @property
    def promises_not_run(self) -> bool:
        """Whether the caller learns that no server has run the request.

        Examples
        --------
        >>> refuse(Code.QUEUE_FULL).promises_not_run
        True
        >>> refuse(Code.TRANSACTION_LOST).promises_not_run
        False
        """
        is_not_run = self.fate is Fate.NOT_RUN
        return is_not_run and self.code is not Code.TRANSACTION_LOST

    def qualify(self) -> 'Refusal':
        """Return the refusal of a request that may have run without effect.

        Examples
        --------
        >>> refuse(Code.QUEUE_FULL).qualify().code is Code.TRANSACTION_LOST
        True
        """
        if self.promises_not_run:
            return refuse(Code.TRANSACTION_LOST, f'no answer, then {self.text}')
        return self

    def encode_detail(self) -> str:
        """Encode the machine-readable detail as JSON."""
        return json.dumps(
            {
                'outcome': self.fate.value,
                'code': self.code.value,
                'retry_after_seconds': self.retry_after,
            }
        )


def refuse(
    code: Code,
    text: str = '',
    retry_after: float | None = None,
) -> Refusal:
    """Return the refusal for a code.

    Parameters
    ----------
    code : Code
        Code of the refusal.
    text : str
        Details of this case, appended to the meaning of the code.
    retry_after : float or None
        Advised delay in seconds; by default that of the code.

    Examples
    --------
    >>> refuse(Code.QUEUE_FULL).fate.value
    'not run'
    >>> refuse(Code.UNCONFIRMED).fate.value
    'unknown'
    """
    entry = CODES[code]
    message = ': '.join((entry.fate.value, entry.meaning))
    if text:
        message = f'{message} ({text})'
    delay = entry.retry_after if retry_after is None else retry_after
    return Refusal(code, entry.fate, message, delay)
