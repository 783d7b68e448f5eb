"""When a node counts as registered, by what its view lists."""

from dataclasses import dataclass, field
from typing import Final

import pytest
from msgspec.structs import replace

from deckdrum.control import Entry, Kind, Member
from deckdrum.fleet.settings import NodeSettings
from deckdrum.node.registration import FORMER_CONSENT_S, NodeRegistration
from deckdrum.utils import Address
from deckdrum.utils.journal import open_null_journal

_NAME: Final = 'n0'
_STARTED_AT: Final = 6.5
_NOW: Final = 7.0
_FORMER: Final = Member(_NAME, '127.0.0.1:1', 'a', 'former')


@dataclass(slots=True)
class _View:
    """A view with the entry of one member."""

    record: Member | None = None
    revisions: dict[Kind, int] = field(
        default_factory=lambda: {Kind.MEMBERS: 1}
    )
    listed_at: dict[Kind, float] = field(default_factory=dict)

    def get_member(self, name: str) -> Entry | None:
        """Return the entry, if there is one."""
        if self.record is None:
            return None
        return Entry(name, self.revisions[Kind.MEMBERS], self.record)

    def get_revision(self, kind: Kind) -> int:
        """Return the revision up to which a kind is known."""
        return self.revisions[kind]


def _build(view: _View) -> NodeRegistration:
    settings = NodeSettings(_NAME, 'a', Address('127.0.0.1', 1))
    # The store is not used.
    registration = NodeRegistration(
        settings,
        view,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        open_null_journal('test'),
    )
    registration.start(_STARTED_AT)
    return registration


@pytest.mark.parametrize(
    ('listed', 'since'),
    [
        (None, float('inf')),
        (_FORMER, _STARTED_AT + FORMER_CONSENT_S),
        (replace(_FORMER, is_leaving=True), _STARTED_AT + FORMER_CONSENT_S),
    ],
)
def test_entry_of_a_former_process_counts_once_its_consent_has_no_effect(
    listed: Member | None, since: float
) -> None:
    """A change to which it has agreed may still be fencing the replicas."""
    registration = _build(_View(listed))
    registration.record_membership(_NOW)
    registration.record_membership(_NOW + 1)
    assert registration.member_since == since


def test_entry_of_a_former_process_counts_from_reading_the_records_on() -> None:
    """They show every change to which the former process has agreed."""
    view = _View(_FORMER, listed_at={Kind.LEADERSHIP: _NOW})
    registration = _build(view)
    registration.record_membership(_NOW + 0.1)
    assert registration.member_since == _NOW


def test_own_entry_counts_at_once_in_place_of_that_of_a_former_process() -> (
    None
):
    view = _View(_FORMER)
    registration = _build(view)
    registration.record_membership(_NOW)
    view.record = registration.member
    registration.record_membership(_NOW + 0.1)
    registration.record_membership(_NOW + 1)
    assert registration.member_since == _NOW + 0.1


def test_own_entry_counts_from_the_moment_at_which_it_is_listed() -> None:
    view = _View()
    registration = _build(view)
    view.record = registration.member
    registration.record_membership(_NOW)
    registration.record_membership(_NOW + 1)
    assert registration.member_since == _NOW
    view.record = None
    registration.record_membership(_NOW + 2)
    assert registration.member_since == float('inf')
