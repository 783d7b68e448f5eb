"""A group with `syncReplicas` 1 loses its primary and its complete replica.

The third database receives nothing for a while, as long as the others live.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from deployment import (  # noqa: E402
    SERVICE,
    ZONES,
    Client,
    Database,
    Deployment,
    Group,
    build_route,
    has_trouble,
    run_case,
)
import deployment as module  # noqa: E402

NODES, SESSIONS = 3, 6
HEARTBEAT_S, MISSED_HEARTBEATS = 1.2, 3
#: How long the third database receives nothing: a dose of the site file.
DEAF_S = 6.0
NETWORK_S = 0.002
FIRST = 100


class SyncDatabase(Database):
    """A database that keeps its log as the ids of the writes it has."""

    def __init__(self, group, name, zone, role):
        super().__init__(group, name, zone, role)
        self.log = []
        self.is_down = self.is_deaf = False

    def take(self, log):
        """Receive the log of the primary, and apply it after the lag."""
        if self.is_down or self.is_deaf or self.fenced:
            return False
        self.log = list(log)
        self.received = FIRST + len(self.log)
        loop = asyncio.get_running_loop()
        loop.call_later(self.group.lag_s, self.apply, self.received)
        return True

    def apply(self, number):
        """Apply the log up to `number`."""
        self.applied = max(self.applied, number)

    def _send(self, session, end, rows):
        # A database that has gone dark answers nothing.
        if not self.is_down:
            super()._send(session, end, rows)

    async def _work(self, session, request, text, arguments, effect, shape):
        if effect == 'WRITE' and self.role != 'primary':
            return self._send(session, f'ERROR READONLY {self.name}', [])
        await self._hold_slot(self.group.work_s)
        if effect == 'WRITE' and not await self.group.commit(self, request):
            return None
        self._complete(session, request, text, shape, [])
        return None


class SyncGroup(Group):
    """A group whose commits are answered once one replica has received them."""

    def __init__(self, *arguments, **settings):
        super().__init__(*arguments, **settings)
        self.promoted = []

    async def start(self, network, count=3):
        """Start the databases; the first is the primary."""
        for number in range(count):
            database = SyncDatabase(
                self, f'i-{number + 1}', ZONES[number],
                'replica' if number else 'primary',
            )
            self.databases[database.name] = database
            await database.start(f'{network}.{200 + number}')

    async def commit(self, primary, request):
        """Append a write; return whether a replica has received it."""
        primary.log.append(request)
        primary.received = primary.applied = FIRST + len(primary.log)
        log = list(primary.log)
        await asyncio.sleep(NETWORK_S)
        while not primary.is_down and primary.role == 'primary':
            others = [each for each in self.databases.values()
                      if each is not primary]
            if any([each.take(max(log, primary.log, key=len))
                    for each in others]):
                return not primary.is_down
            await asyncio.sleep(NETWORK_S)
        return False

    async def lose(self, database):
        """A database goes dark; its entry goes after three heartbeats."""
        database.is_down = True
        await asyncio.sleep(HEARTBEAT_S * MISSED_HEARTBEATS)
        if database.is_down:
            store = self.store
            stored = store.objects.pop(('servers', database.name))
            store.revision += 1
            stored['meta']['revision'] = store.revision
            await store._notify('servers', stored, True)

    async def promote(self, name):
        """Make a database the primary of the next term, 300 ms later."""
        database = self.databases.get(name)
        if database is None or database.is_down:
            return False
        if database.role == 'primary':
            return True
        await asyncio.sleep(0.3)
        self.promoted.append((name, list(database.log)))
        self.record.write('PROMOTED', name, f'log of {len(database.log)} writes')
        database.term = max(each.term for each in self.databases.values()) + 1
        database.role, database.fenced = 'primary', 0
        await database.publish()
        return True


async def write_on(deployment, number, until, acknowledged):
    """Write again and again in one session."""
    node = deployment.nodes[number % NODES]
    while time.monotonic() < until:
        client = Client(f'u{number}', node.clients, 'bookings',
                        deployment.record, deployment.random)
        await client.connect()
        state = 'I'
        while state and time.monotonic() < until:
            request, _, end, state = await client.ask(f'WRITE a{number} x')
            if end.startswith('COMPLETE'):
                acknowledged.append(request)
            await asyncio.sleep(0.1)
        client.close()


async def play(deployment):
    """Lose two databases while the third lacks acknowledged writes."""
    group = deployment.group
    acknowledged = []
    until = time.monotonic() + 25
    sessions = [
        asyncio.create_task(write_on(deployment, each, until, acknowledged))
        for each in range(SESSIONS)
    ]
    await asyncio.sleep(3)
    losses = []
    if has_trouble():
        deployment.record.write('TROUBLE', f'i-3 receives nothing for {DEAF_S} s')
        group.databases['i-3'].is_deaf = True
        await asyncio.sleep(2)
        deployment.record.write('TROUBLE', 'i-1 and i-2 go dark')
        losses = [asyncio.create_task(group.lose(group.databases[name]))
                  for name in ('i-1', 'i-2')]
        await asyncio.sleep(DEAF_S - 2)
        group.databases['i-3'].is_deaf = False
        deployment.record.write('TROUBLE', 'i-3 could receive again')
    await asyncio.wait(sessions, timeout=40)
    await asyncio.gather(*losses)
    lost = set()
    for name, _ in group.promoted:
        missing = set(acknowledged) - set(group.databases[name].log)
        lost |= missing
        for request in sorted(missing):
            deployment.record.write(
                'BROKEN', f'{name} was promoted without {request}, which had '
                'been acknowledged'
            )
    line = (f'{len(acknowledged)} writes acknowledged, promoted: '
            f'{[name for name, _ in group.promoted]}, {len(lost)} '
            'acknowledged writes missing')
    deployment.record.write('RESULT', line)
    print(line)
    return 1 if lost else 0


module.Group = SyncGroup
run_case(
    FOLDER,
    Deployment(
        FOLDER,
        nodes=NODES,
        routes=[build_route('bookings', 'primary', timeoutMs=800)],
        work_s=0.006,
        max_connections=23,
        lag_s=0.06,
        sync_replicas=1,
    ),
    play,
)
