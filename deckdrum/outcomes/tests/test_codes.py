"""Every error code is documented, and refusals state their outcome."""

from pathlib import Path

import pytest

from deckdrum.outcomes import CODES, Code, refuse

PAGE = Path(__file__).parents[3] / 'docs' / 'errors.rst'


@pytest.mark.parametrize('code', list(Code))
def test_code_is_documented(code: Code) -> None:
    entry = CODES[code]
    row = f'``{code.value}``  {entry.fate.value:8}  {entry.meaning}'
    assert row in PAGE.read_text()


@pytest.mark.parametrize('code', list(Code))
def test_refusal_text_starts_with_outcome(code: Code) -> None:
    refusal = refuse(code, 'more')
    assert refusal.text.startswith(refusal.fate.value)
    assert refusal.fate.value in refusal.encode_detail()
