"""Leaving mechanisms of a node out."""

import pytest

from deckdrum.fleet.policies import ALL_POLICIES, Policy, exclude_policies
from deckdrum.outcomes.errors import SettingsError


def test_named_policies_are_left_out_and_others_stay() -> None:
    left = exclude_policies(['hedged-reads', 'borrowing'])
    assert ALL_POLICIES - left == {Policy.HEDGED_READS, Policy.BORROWING}


def test_unknown_policy_is_named_with_the_known_ones() -> None:
    with pytest.raises(SettingsError) as raised:
        exclude_policies(['magic'])
    assert 'magic' in str(raised.value)
    assert 'retry-budget' in str(raised.value)
