"""Failures of single steps of the way from a statement to its answer."""

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import pytest

#: Functions in which an operation of a caller is run.
_STATEMENT_FUNCTIONS: Final = frozenset(
    ('_run_attempt', '_run_statement', '_set_value', '_commit', '_rollback')
)


@dataclass(slots=True)
class BrokenStep:
    """A function that fails once, when it is called for a statement.

    Attributes
    ----------
    owner : object
        Class or module of the function.
    name : str
        Name of the function.
    error : BaseException or None
        What it raises; None while it works.
    calls_before : int
        Number of calls that succeed before.
    is_broken : bool
        Whether it has failed.
    """

    owner: Any
    name: str
    error: BaseException | None = None
    calls_before: int = 0
    is_broken: bool = field(default=False, init=False)

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace the function."""
        original = getattr(self.owner, self.name)
        # A partial object would not be bound to instances of a class.
        monkeypatch.setattr(
            self.owner,
            self.name,
            lambda *arguments, **options: self._call(
                original, *arguments, **options
            ),
        )

    def arm(self, error: BaseException, calls_before: int) -> None:
        """Let a coming call fail."""
        self.error = error
        self.calls_before = calls_before
        self.is_broken = False

    def _call(
        self, original: Callable[..., Any], *arguments: Any, **options: Any
    ) -> Any:
        self._fail_if_due()
        return original(*arguments, **options)

    def _fail_if_due(self) -> None:
        if self.error is None or not _is_called_for_statement():
            return
        if self.calls_before:
            self.calls_before -= 1
            return
        error = self.error
        self.error = None
        self.is_broken = True
        raise error


def _is_called_for_statement() -> bool:
    """Return whether a caller's statement is being run in this task."""
    frame = sys._getframe()
    while frame.f_back is not None:
        frame = frame.f_back
        if frame.f_code.co_name in _STATEMENT_FUNCTIONS:
            return True
    return False
