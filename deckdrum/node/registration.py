"""Registering a node among the others, and forgetting those that are gone."""

import uuid
from typing import Final

import curio
from msgspec.structs import replace

from deckdrum.control import ControlStore, ControlView, Entry, Kind, Member
from deckdrum.fleet.settings import NodeSettings
from deckdrum.outcomes.errors import StoreError
from deckdrum.utils import Journal

#: Pause between two looks at the own registration, in seconds.
LOOK_PAUSE: Final = 1.0
#: Longest wait for the store when a node leaves, in seconds.
DEREGISTER_TIMEOUT_S: Final = 0.3


class NodeRegistration:
    """Keeps a node's entry among the members.

    Parameters
    ----------
    settings : NodeSettings
        The node.
    view : ControlView
        What it knows of the store.
    store : ControlStore
        Where the entry lies.
    journal : Journal
        For changes.
    """

    def __init__(
        self,
        settings: NodeSettings,
        view: ControlView,
        store: ControlStore,
        journal: Journal,
    ) -> None:
        self._settings = settings
        self._view = view
        self._store = store
        self._journal = journal
        self._is_leaving = False
        #: Whether the store has known this node since a former life, so that
        #: changes of primary ask it since before this one began.
        self.was_registered = False
        self._has_checked_registration = False
        self._member = Member(
            settings.name,
            str(settings.peer_address),
            settings.data_centre,
            uuid.uuid4().hex,
        )

    async def run(self) -> None:
        """Keep the entry for ever."""
        while True:
            entry = self._view.get_member(self._settings.name)
            is_known = self._view.get_revision(Kind.MEMBERS) > 0
            is_own = entry is not None and entry.record == self._member
            if is_known and not is_own and not self._is_leaving:
                await self._register(entry)
            await curio.sleep(LOOK_PAUSE if is_known else LOOK_PAUSE / 10)

    def note_change(self) -> None:
        """Learn from the first list whether there was a former life."""
        if self._has_checked_registration or not self._view.get_revision(
            Kind.MEMBERS
        ):
            return
        self._has_checked_registration = True
        entry = self._view.get_member(self._settings.name)
        # The entry may be this life's own if the list was empty.
        is_own = entry is not None and entry.record == self._member
        self.was_registered = entry is not None and not is_own

    @property
    def member(self) -> Member:
        """The node, as it registers itself."""
        return self._member

    async def announce_leaving(self) -> None:
        """Tell the others that this node is to leave."""
        self._member = replace(self._member, is_leaving=True)
        async with curio.ignore_after(DEREGISTER_TIMEOUT_S):
            await self._register(self._view.get_member(self._settings.name))

    async def deregister(self) -> None:
        """Take the entry away."""
        self._is_leaving = True
        entry = self._view.get_member(self._settings.name)
        if entry is None:
            return
        try:
            async with curio.timeout_after(DEREGISTER_TIMEOUT_S):
                await self._store.remove(
                    Kind.MEMBERS, entry.name, entry.revision
                )
        except (StoreError, curio.TaskTimeout) as error:
            # The entry stays; the next life of this node replaces it.
            self._journal.record('member.not_withdrawn', reason=repr(error))

    async def _register(self, known: Entry | None) -> None:
        revision = known.revision if known else 0
        try:
            stored = await self._view.put(
                Kind.MEMBERS,
                self._settings.name,
                self._member,
                revision,
            )
        except StoreError as error:
            self._journal.record('member.not_registered', reason=str(error))
            return
        if stored is None:
            await self._fetch_own_entry()

    async def _fetch_own_entry(self) -> None:
        """Take over what lies under the own name."""
        try:
            await self._view.fetch(Kind.MEMBERS, self._settings.name)
        except StoreError:
            # The next look tries again.
            return
