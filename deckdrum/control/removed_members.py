"""Nodes whose entries were removed a short time ago."""

from typing import Final

from deckdrum.control.records import Member

#: Longest time until a node hears from its peers that its entry is gone
#: (2.6 s), and until the proofs that it got before have expired (1.2 s), with
#: some margin.
REMOVAL_NOTICE_S: Final = 4.0


class RemovedMembers:
    """Nodes whose entries are gone, for `REMOVAL_NOTICE_S`.

    The store may carry out the removal of an entry late, when the next process
    of that node runs and takes itself for a member.

    Examples
    --------
    >>> removed = RemovedMembers()
    >>> removed.record_removal(Member('n1', '10.1.0.8:7440', 'a', 'run'), 0)
    >>> [member.name for member in removed.list_recent(3)]
    ['n1']
    >>> removed.list_recent(5)
    []
    >>> removed.record_listing('n1')
    >>> removed.list_recent(3)
    []
    """

    def __init__(self) -> None:
        self._removed: dict[str, tuple[float, Member]] = {}

    def record_removal(self, member: Member, now: float) -> None:
        """Record that the entry of a node is gone."""
        self._removed = {
            name: (removed_at, each)
            for name, (removed_at, each) in self._removed.items()
            if now - removed_at < REMOVAL_NOTICE_S
        }
        self._removed[member.name] = (now, member)

    def record_listing(self, name: str) -> None:
        """Record that a node is listed."""
        self._removed.pop(name, None)

    def list_recent(self, now: float) -> list[Member]:
        """Return the nodes that may still take themselves for members."""
        return [
            member
            for removed_at, member in self._removed.values()
            if now - removed_at < REMOVAL_NOTICE_S
        ]
