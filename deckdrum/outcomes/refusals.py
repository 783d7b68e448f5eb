"""Refusals as values."""

import json
from dataclasses import dataclass

from deckdrum.outcomes.codes import CODES, Code, Fate

__all__ = ['Code', 'Fate', 'Refusal', 'refuse']


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that did not end as done.

    Attributes
    ----------
    code : Code
        The SQLSTATE.
    fate : Fate
        ``NOT_RUN`` or ``UNKNOWN``.
    text : str
        One line for a person.
    retry_after : float or None
        Advised wait before asking again, in seconds.
    """

    code: Code
    fate: Fate
    text: str
    retry_after: float | None

    def encode_detail(self) -> str:
        """Return the machine-readable detail as JSON."""
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
        Which refusal.
    text : str
        What is special to this case; the table's meaning by default.
    retry_after : float or None
        Advised wait in seconds; the table's by default.

    Examples
    --------
    >>> refuse(Code.QUEUE_FULL).fate.value
    'not run'
    >>> refuse(Code.UNCONFIRMED).fate.value
    'unknown'
    """
    entry = CODES[code]
    told = ': '.join((entry.fate.value, entry.meaning))
    if text:
        told = f'{told} ({text})'
    advised = entry.retry_after if retry_after is None else retry_after
    return Refusal(code, entry.fate, told, advised)
