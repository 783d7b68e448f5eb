"""When a node counts as registered, by what its view lists."""

from dataclasses import dataclass, field
from typing import Final

import pytest
from msgspec.structs import replace

from deckdrum.control import Entry, Kind, Member
from deckdrum.fleet.settings import NodeSettings
from deckdrum.node.registration import LEAVING_ENTRY_DELAY_S, NodeRegistration
from deckdrum.utils import Address
from deckdrum.utils.journal import open_null_journal

_NAME: Final = 'n0'
_NOW: Final = 7.0
_FORMER: Final = Member(_NAME, '127.0.0.1:1', 'a', 'former')


@dataclass(slots=True)
class _View:
    """A view with the entry of one member."""

    record: Member | None = None
    revisions: dict[Kind, int] = field(
        default_factory=lambda: {Kind.MEMBERS: 1}
    )

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
    return NodeRegistration(
        settings,
        view,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        open_null_journal('test'),
    )


@pytest.mark.parametrize(
    ('listed', 'since'),
    [
        (None, float('inf')),
        (_FORMER, float('-inf')),
        (replace(_FORMER, is_leaving=True), _NOW + LEAVING_ENTRY_DELAY_S),
    ],
)
def test_entry_of_a_former_process_counts_unless_it_is_being_removed(
    listed: Member | None, since: float
) -> None:
    registration = _build(_View(listed))
    registration.check_previous_registration()
    registration.record_membership(_NOW)
    registration.record_membership(_NOW + 1)
    assert registration.member_since == since


def test_own_entry_counts_from_the_moment_at_which_it_is_listed() -> None:
    view = _View()
    registration = _build(view)
    registration.check_previous_registration()
    view.record = registration.member
    registration.record_membership(_NOW)
    registration.record_membership(_NOW + 1)
    assert registration.member_since == _NOW
    view.record = None
    registration.record_membership(_NOW + 2)
    assert registration.member_since == float('inf')
