"""Answers that are being sent when their node is stopped."""

from pathlib import Path

import curio
import pytest

from deckdrum.soak.long_answers import stop_nodes_under_long_answers


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_stopped_node_cuts_no_answer(seed: int, tmp_path: Path) -> None:
    """The rows of the soak fit into a buffer of the kernel, so none was cut."""
    report = curio.run(stop_nodes_under_long_answers, seed, tmp_path)
    assert report.whole
    assert not report.cut
