"""Registering a node in the control store, and removing its entry."""

import uuid
from typing import Final

import curio
from msgspec.structs import replace

from deckdrum.control import ControlStore, ControlView, Entry, Kind, Member
from deckdrum.fleet.settings import NodeSettings
from deckdrum.leadership.fencing import FENCE_TIMEOUT_S
from deckdrum.leadership.term_end import END_TERM_TIMEOUT_S
from deckdrum.outcomes.errors import StoreError
from deckdrum.serving.servers import COMMAND_TIMEOUT_S
from deckdrum.utils import Journal

REGISTRATION_CHECK_INTERVAL_S: Final = 1.0
DEREGISTER_TIMEOUT_S: Final = 0.3
#: Time after the start of a process by which a change of a primary to which its
#: former process has agreed has fenced the replicas.  A planned change orders
#: the primary to step down before; one that does is used no more.
FORMER_CONSENT_S: Final = (
    END_TERM_TIMEOUT_S + COMMAND_TIMEOUT_S + FENCE_TIMEOUT_S
)


class NodeRegistration:
    """Keeps a node registered in the control store.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    view : ControlView
        The node's local copy of the store.
    store : ControlStore
        Holds the node's entry.
    journal : Journal
        Receives an event when the store rejects a write.
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
        self._is_deregistered = False
        #: Since when primary changes ask this node for its consent, in kernel
        #: seconds; infinite while it is not registered.
        self.member_since = float('inf')
        #: When this process started, in kernel seconds.
        self._started_at = float('inf')
        self._member = Member(
            settings.name,
            str(settings.peer_address),
            settings.data_centre,
            uuid.uuid4().hex,
            capacity=settings.capacity,
        )

    def start(self, now: float) -> None:
        """Record when this process started."""
        self._started_at = now

    async def run(self) -> None:
        """Renew the entry whenever it is missing or replaced, without end."""
        while True:
            entry = self._view.get_member(self._settings.name)
            is_known = self._view.get_revision(Kind.MEMBERS) > 0
            is_own = entry is not None and entry.record == self._member
            if is_known and not is_own and not self._is_deregistered:
                await self._register(entry)
            await curio.sleep(
                REGISTRATION_CHECK_INTERVAL_S
                if is_known
                else REGISTRATION_CHECK_INTERVAL_S / 10
            )

    def record_membership(self, now: float) -> None:
        """Record since when the view lists this node.

        An entry of a former process counts once this one knows of each change
        to which that has agreed: from the time at which it read the leadership
        records, or `FORMER_CONSENT_S` after its start.
        """
        entry = self._view.get_member(self._settings.name)
        record = None if entry is None else entry.record
        self.member_since = self._find_membership(record, now)

    @property
    def member(self) -> Member:
        """The record under which the node registers."""
        return self._member

    async def announce_leaving(self) -> None:
        """Mark this node's entry as leaving."""
        self._member = replace(self._member, is_leaving=True)
        async with curio.ignore_after(DEREGISTER_TIMEOUT_S):
            await self._register(self._view.get_member(self._settings.name))

    async def deregister(self) -> None:
        """Remove the entry from the store."""
        self._is_deregistered = True
        entry = self._view.get_member(self._settings.name)
        if entry is None:
            return
        try:
            async with curio.timeout_after(DEREGISTER_TIMEOUT_S):
                await self._store.remove(
                    Kind.MEMBERS, entry.name, entry.revision
                )
        except (StoreError, curio.TaskTimeout) as error:
            # The next incarnation of this node replaces the entry.
            self._journal.record('member.not_withdrawn', reason=repr(error))

    def _find_membership(self, record: object, now: float) -> float:
        """Return since when this node is a member, by its listed entry."""
        if not isinstance(record, Member):
            return float('inf')
        if record.run == self._member.run:
            return min(self.member_since, now)
        # The record shows a change to which the former process has agreed.
        read_at = self._view.listed_at.get(Kind.LEADERSHIP, float('inf'))
        return min(self._started_at + FORMER_CONSENT_S, read_at)

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
        """Read this node's entry from the store into the view."""
        try:
            await self._view.fetch(Kind.MEMBERS, self._settings.name)
        except StoreError:
            # Retried by the next check of the registration.
            return
