"""Disabling mechanisms of a node."""

import pytest

from deckdrum.fleet.policies import ALL_POLICIES, Policy, exclude_policies
from deckdrum.outcomes.errors import SettingsError


def test_only_the_named_policies_are_excluded() -> None:
    enabled = exclude_policies(['hedged-reads', 'borrowing'])
    assert ALL_POLICIES - enabled == {Policy.HEDGED_READS, Policy.BORROWING}


def test_error_for_an_unknown_policy_lists_the_known_ones() -> None:
    with pytest.raises(SettingsError) as raised:
        exclude_policies(['magic'])
    assert 'magic' in str(raised.value)
    assert 'retry-budget' in str(raised.value)
