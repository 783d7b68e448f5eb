"""Writers, readers, and checks of what replaced primaries committed."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import curio

from deckdrum.standins.users import DatabaseGroup
from deckdrum.standins.users.records import Commit, Takeover
from deckdrum.testing.line_client import LineClient, Reply
from deckdrum.testing.nodes import CURRENT, Deployment

_RECONNECT_DELAY_S: Final = 0.05
#: Every such operation is a transaction of two writes.
_TRANSACTION_PERIOD: Final = 4


class NodeCaller(ABC):
    """A caller that uses one node, one session after another.

    Parameters
    ----------
    deployment : Deployment
        Its nodes.
    number : int
        Number of the node.
    """

    #: Pause between two operations, in seconds.
    _interval: float

    def __init__(self, deployment: Deployment, number: int) -> None:
        self._deployment = deployment
        self._number = number

    async def run(self) -> None:
        """Run operations until cancelled."""
        while True:
            try:
                await self._run_session()
            except (ConnectionError, curio.TaskTimeout):
                # The node is down or does not answer; it is tried again.
                await curio.sleep(_RECONNECT_DELAY_S)

    @abstractmethod
    async def _operate(self, client: LineClient) -> bool:
        """Run one operation; return whether the session can be used again."""

    async def _run_session(self) -> None:
        client = await self._deployment.connect(CURRENT, self._number)
        try:
            while client.greeting.state == 'I':
                if not await self._operate(client):
                    return
                await curio.sleep(self._interval)
        finally:
            await client.close()
        await curio.sleep(_RECONNECT_DELAY_S)


class Writer(NodeCaller):
    """A caller that writes; see `NodeCaller`."""

    _interval = 0.05

    def __init__(self, deployment: Deployment, number: int) -> None:
        super().__init__(deployment, number)
        #: When each write was acknowledged, in kernel seconds by request id.
        self.acknowledged: dict[str, float] = {}
        #: Number of commits that were acknowledged.
        self.commits = 0
        self._statement_count = 0

    async def _operate(self, client: LineClient) -> bool:
        if self._statement_count % _TRANSACTION_PERIOD:
            request_id, reply = await self._ask(client, 'WRITE a 1')
            writes = [request_id]
        else:
            writes = []
            await self._ask(client, 'BEGIN')
            for _ in range(2):
                writes.append((await self._ask(client, 'WRITE b 1'))[0])
            reply = (await self._ask(client, 'COMMIT'))[1]
        if reply.is_done:
            now = await curio.clock()
            self.acknowledged.update(dict.fromkeys(writes, now))
            self.commits += 1
        return reply.state == 'I'

    async def _ask(self, client: LineClient, text: str) -> tuple[str, Reply]:
        """Send a statement; return its id and its answer."""
        self._statement_count += 1
        request_id = f'w{self._number}-{self._statement_count}'
        await client.send(f'QUERY {request_id} {text}')
        return request_id, await client.read_reply()


class Reader(NodeCaller):
    """A caller that reads; see `NodeCaller`.

    Parameters
    ----------
    deployment : Deployment
        Its nodes.
    number : int
        Number of the node.
    writers : sequence of Writer
        All writers of the deployment.
    """

    _interval = 0.03

    def __init__(
        self, deployment: Deployment, number: int, writers: Sequence[Writer]
    ) -> None:
        super().__init__(deployment, number)
        #: Reads whose log lacked a commit acknowledged before they were sent.
        self.stale: list[str] = []
        self._writers = writers

    async def _operate(self, client: LineClient) -> bool:
        required = sum(writer.commits for writer in self._writers)
        sent_at = await curio.clock()
        reply = await client.ask('READ a')
        if reply.is_done:
            commits = int(reply.rows[0].rpartition('-')[2])
            if commits < required:
                self.stale.append(
                    f'a read of {sent_at:.3f} s through n{self._number} saw '
                    f'{commits} of {required} commits'
                )
        return reply.state == 'I'


def find_replaced_primary_writes(
    group: DatabaseGroup, acknowledged: Mapping[str, float]
) -> list[str]:
    """Return acknowledged writes that a replaced primary committed.

    Parameters
    ----------
    group : DatabaseGroup
        The databases.
    acknowledged : mapping of str to float
        When each write was acknowledged, in kernel seconds by request id.

    Returns
    -------
    list of str
        One line for each write that was committed after the promotion of a
        later primary had taken effect.
    """
    found: list[str] = []
    for commit in group.commits:
        takeover = find_takeover_before(commit, group.takeovers)
        if takeover is None:
            continue
        found.extend(
            f'{request_id} was committed by {commit.server} in term '
            f'{commit.entry.term} at {commit.committed_at:.3f} s, after '
            f'{takeover.server} had taken over term {takeover.term} at '
            f'{takeover.took_effect_at:.3f} s, and acknowledged at '
            f'{acknowledged[request_id]:.3f} s'
            for request_id, _ in commit.entry.writes
            if request_id in acknowledged
        )
    return found


def find_disordered_promotions(
    promotions: Iterable[tuple[str, str, int]],
) -> list[str]:
    """Return promotion calls that break the order of fencing tokens.

    A token belongs to one claim, which orders one server in the name of one
    holder; a lower token must not follow a higher one.
    """
    found: list[str] = []
    orders: dict[int, tuple[str, str]] = {}
    highest_token = 0
    for server, holder, token in promotions:
        first = orders.setdefault(token, (server, holder))
        if first != (server, holder):
            found.append(
                f'{holder} ordered {server} with token {token}, with which '
                f'{first[1]} ordered {first[0]}'
            )
        if token < highest_token:
            found.append(
                f'{holder} ordered {server} with token {token} after a call '
                f'with {highest_token}'
            )
        highest_token = max(highest_token, token)
    return found


def find_takeover_before(
    commit: Commit, takeovers: Iterable[Takeover]
) -> Takeover | None:
    """Return the first takeover of a later term that preceded a commit."""
    preceding = (
        takeover
        for takeover in takeovers
        if takeover.term > commit.entry.term
        and takeover.took_effect_at < commit.committed_at
    )
    return next(preceding, None)
