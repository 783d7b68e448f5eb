"""Stand-ins of the platform, databases and clients for the review's scripts.

Only the standard library is used.  The nodes are real processes of the product,
started with the command of `deploy/system.toml`.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'registry'
CLIENT_PORT, READINESS_PORT, PEER_PORT = 8784, 8785, 7440
STORE_DELAY_S = 0.004


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def write(self, *fields):
        """Write one line."""
        at = time.monotonic() - self._began
        self._file.write(f'{at:9.4f}  {"  ".join(map(str, fields))}\n')

    def close(self):
        """Close the file."""
        self._file.close()


def pick_network():
    """Return the first three octets of a free loopback network."""
    for number in random.sample(range(20, 250), 200):
        network = f'127.{number}.{os.getpid() % 250}'
        probe = socket.socket()
        try:
            probe.bind((f'{network}.1', CLIENT_PORT))
        except OSError:
            continue
        finally:
            probe.close()
        return network
    raise SystemExit(2)


async def read_request(reader):
    """Return method, path, query and body of an HTTP request, or None."""
    head = await reader.readline()
    if not head:
        return None
    method, target, _ = head.decode().split(' ', 2)
    length = 0
    while (line := await reader.readline()) not in (b'\r\n', b''):
        name, _, value = line.decode().partition(':')
        if name.lower() == 'content-length':
            length = int(value)
    body = await reader.readexactly(length) if length else b''
    parts = urllib.parse.urlsplit(target)
    path = urllib.parse.unquote(parts.path)
    return method, path, dict(urllib.parse.parse_qsl(parts.query)), body


def encode_reply(status, document):
    """Encode an HTTP reply with a JSON body."""
    body = json.dumps(document).encode()
    return (
        f'HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    ).encode() + body


class Store:
    """The platform's metadata store: objects, revisions, watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}
        self.events = []
        self._changed = asyncio.Condition()

    async def start(self, host):
        """Listen on a free port of `host`."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = '%s:%d' % server.sockets[0].getsockname()[:2]

    async def write(self, kind, name, spec):
        """Write an object as the operator or a database does."""
        known = self.objects.get((kind, name))
        if known is None or known['spec'] != spec:
            await self._store(kind, name, spec)

    async def _store(self, kind, name, spec, finalizers=()):
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known['meta']['created'] if known else self.revision
        stored = {
            'meta': {
                'name': name, 'revision': self.revision, 'created': created,
                'finalizers': list(finalizers), 'deleting': False,
            },
            'spec': spec,
            'status': {},
        }
        self.objects[kind, name] = stored
        await self._notify(kind, stored, False)
        return stored

    async def _notify(self, kind, stored, removed):
        self.events.append((self.revision, kind, stored, removed))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(STORE_DELAY_S)
                status, document = await self._answer(*request)
                writer.write(encode_reply(status, document))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, body):
        fields = path.removeprefix('/-/objects/').split('/', 1)
        kind, name = fields[0], fields[1] if len(fields) > 1 else ''
        if method == 'GET' and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == 'GET' and 'watch' in query:
            return 200, await self._watch(
                kind, int(query['watch']), int(query.get('waitMs', 0)) / 1000
            )
        if method == 'GET':
            items = [each for key, each in sorted(self.objects.items())
                     if key[0] == kind]
            return 200, {'items': items, 'morePages': False,
                         'currentRev': self.revision}
        return await self._change(method, kind, name, query, body)

    async def _watch(self, kind, since, wait):
        def find():
            return [{'object': stored, 'removed': removed}
                    for revision, of, stored, removed in self.events
                    if of == kind and revision > since]
        deadline = time.monotonic() + wait
        while not (events := find()):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        return {'events': find() or events, 'currentRev': self.revision}

    async def _change(self, method, kind, name, query, body):
        document = json.loads(body) if body else {}
        meta = document.get('meta', {})
        if method == 'POST':
            name = meta['name']
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            stored = await self._store(
                kind, name, document.get('spec'), meta.get('finalizers', ())
            )
            return 201, stored
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        wanted = meta.get('revision', query.get('revision'))
        if wanted is not None and int(wanted) != known['meta']['revision']:
            return 409, known
        if method == 'DELETE':
            self.revision += 1
            self.objects.pop((kind, name))
            await self._notify(kind, known, True)
            return 200, known
        if known['spec'] == document.get('spec'):
            return 200, known
        return 200, await self._store(
            kind, name, document.get('spec'), meta.get('finalizers', ())
        )


class Promotions:
    """The platform's API for promotions; unused unless a primary is lost."""

    def __init__(self, group, record):
        self._group = group
        self._record = record

    async def start(self, host):
        """Listen on a free port of `host`."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = '%s:%d' % server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                document = json.loads(request[3])
                self._record.write('PLATFORM', 'promote', document)
                found = await self._group.promote(document.get('id'))
                writer.write(encode_reply(200 if found else 409, {}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Group:
    """One primary and its replicas."""

    def __init__(self, store, record, *, work_s, slots=3, handshake_s=0.012,
                 lag_s=0.02, max_connections=38, row_bytes=250, row_count=1,
                 spread=0.6, seed=1):
        self.store = store
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.handshake_s = handshake_s
        self.lag_s = lag_s
        self.max_connections = max_connections
        self.row_bytes = row_bytes
        self.row_count = row_count
        self.spread = spread
        self.random = random.Random(seed)
        self.databases = {}
        self.runs = []
        #: Ids of the requests that reached a database.
        self.arrived = set()

    async def start(self, network, count=3):
        """Start the databases; the first is the primary."""
        for number in range(count):
            database = Database(
                self, f'i-{number + 1}', ZONES[number % len(ZONES)],
                'replica' if number else 'primary',
            )
            self.databases[database.name] = database
            await database.start(f'{network}.{200 + number}')

    async def promote(self, name):
        """Make a database the primary of the next term, 300 ms later."""
        database = self.databases.get(name)
        if database is None:
            return False
        if database.role != 'primary':
            await asyncio.sleep(0.3)
            term = max(each.term for each in self.databases.values()) + 1
            database.role, database.term, database.fenced = 'primary', term, 0
            for each in self.databases.values():
                if each is not database:
                    each.role, each.term = 'replica', term
                    each.received = each.applied = database.received
                    each.fenced = 0
                await each.publish()
        return True

    async def commit(self, primary):
        """Append one change; replicas get it after their lag."""
        primary.received += 1
        primary.applied = primary.received
        loop = asyncio.get_running_loop()
        for each in self.databases.values():
            if each is not primary and not each.fenced:
                loop.call_later(self.lag_s, each.receive, primary.received)


class Database:
    """One database that speaks the line protocol."""

    def __init__(self, group, name, zone, role):
        self.group, self.name, self.zone, self.role = group, name, zone, role
        self.term, self.received, self.applied, self.fenced = 1, 100, 100, 0
        #: How many times longer its work takes while it is slow.
        self.slowness = 1
        self.connections = 0
        self._slots = asyncio.Semaphore(group.slots)

    async def start(self, host):
        """Listen, and publish the entry in the store."""
        server = await asyncio.start_server(
            self._serve, host, 0, limit=4 * 1024 * 1024
        )
        self.address = '%s:%d' % server.sockets[0].getsockname()[:2]
        await self.publish()

    async def publish(self):
        """Write the entry in the store."""
        await self.group.store.write('servers', self.name, {
            'service': SERVICE, 'address': self.address, 'zone': self.zone,
            'version': 'v1', 'slots': self.group.slots, 'state': 'ready',
            'coldLeftMs': 0, 'seq': 1, 'dbRole': self.role,
        })

    def receive(self, number):
        """Receive and apply the log up to `number`."""
        self.received = self.applied = max(self.received, number)

    async def _hold_slot(self, seconds):
        async with self._slots:
            await asyncio.sleep(seconds)

    async def _serve(self, reader, writer):
        session = Session(writer)
        try:
            line = (await reader.readline()).decode().rstrip('\r\n')
            fields = line.split(' ')
            if len(fields) > 3 and fields[3] != self.name:
                writer.write(f'ERROR MISROUTED {self.name}\r\n'.encode())
                return
            if self.connections >= self.group.max_connections:
                writer.write(b'ERROR TOOMANY connections\r\n')
                return
            self.connections += 1
            try:
                await self._hold_slot(self.group.handshake_s)
                self._send(session, '', [])
                while line := await reader.readline():
                    text = line.decode().rstrip('\r\n')
                    if text == 'TERMINATE':
                        return
                    _, request, text = text.split(' ', 2)
                    await self._handle(session, request, text)
            finally:
                self.connections -= 1
        except ConnectionError:
            pass
        finally:
            writer.close()

    def _send(self, session, end, rows):
        lines = [f'ROW {row}\r\n' for row in rows]
        lines += [f'{end}\r\n'] if end else []
        state = session.transaction and 'T' or 'I'
        lines.append(f'READY {state} {self.term}.{self.applied}\r\n')
        session.writer.write(''.join(lines).encode())

    async def _handle(self, session, request, text):
        after = ''
        if text.startswith('AFTER '):
            _, after, text = text.split(' ', 2)
        word, _, rest = text.partition(' ')
        if after and self._lacks(after):
            return self._send(session, f'ERROR LAGGING {self.name}', [])
        method = getattr(self, f'_run_{word.lower()}', None)
        if method is None:
            return self._send(session, f'ERROR MALFORMED {word}', [])
        return await method(session, request, text, rest)

    def _lacks(self, position):
        term, number = map(int, position.split('.'))
        return (self.term, self.applied) < (term, number)

    async def _run_status(self, session, request, text, rest):
        await self._hold_slot(0.0005)
        self._send(session, 'COMPLETE -', [
            f'{self.role} {self.term} {self.term}.{self.received} '
            f'{self.fenced} 0 0 {self.connections}'
        ])

    async def _run_pause(self, session, request, text, rest):
        if self.role == 'replica' and int(rest) > self.term:
            self.fenced = int(rest)
        await self._run_status(session, request, text, rest)

    async def _run_resume(self, session, request, text, rest):
        self.fenced = 0
        await self._run_status(session, request, text, rest)

    async def _run_demote(self, session, request, text, rest):
        if int(rest) > self.term:
            self.role = 'replica'
            await self.publish()
        await self._run_status(session, request, text, rest)

    async def _run_reset(self, session, request, text, rest):
        session.values, session.prepared = {}, {}
        self._send(session, 'COMPLETE -', [])

    async def _run_set(self, session, request, text, rest):
        name, value = rest.split(' ', 1)
        session.values[name] = value
        self._send(session, 'COMPLETE -', [])

    async def _run_prepare(self, session, request, text, rest):
        name, effect, shape = rest.split(' ', 2)
        session.prepared[name] = (effect, shape)
        self._send(session, 'COMPLETE -', [])

    async def _run_deallocate(self, session, request, text, rest):
        known = session.prepared.pop(rest, None)
        self._send(session, 'COMPLETE -' if known else 'ERROR NOSTMT -', [])

    async def _run_begin(self, session, request, text, rest):
        if rest != 'READ' and self.role != 'primary':
            return self._send(session, f'ERROR READONLY {self.name}', [])
        session.transaction, session.writes = rest or 'WRITE', 0
        self._send(session, 'COMPLETE -', [])

    async def _run_rollback(self, session, request, text, rest):
        session.transaction, session.writes = '', 0
        self._send(session, 'COMPLETE -', [])

    async def _run_commit(self, session, request, text, rest):
        await self._hold_slot(0.002)
        if session.writes:
            await self.group.commit(self)
        session.transaction, session.writes = '', 0
        self._complete(session, request, text, '', [])

    async def _run_read(self, session, request, text, rest):
        await self._work(session, request, text, rest, 'READ', '')

    async def _run_write(self, session, request, text, rest):
        await self._work(session, request, text, rest, 'WRITE', '')

    async def _run_execute(self, session, request, text, rest):
        name, _, arguments = rest.partition(' ')
        if name not in session.prepared:
            return self._send(session, f'ERROR NOSTMT {name}', [])
        effect, shape = session.prepared[name]
        await self._work(session, request, text, arguments, effect, shape)

    async def _work(self, session, request, text, arguments, effect, shape):
        if effect == 'WRITE' and self.role != 'primary':
            return self._send(session, f'ERROR READONLY {self.name}', [])
        spread = self.group.spread
        self.group.arrived.add(request)
        self.group.record.write('ARRIVED', self.name, request, text)
        await self._hold_slot(
            self.slowness * self.group.work_s
            * self.group.random.uniform(1 - spread, 1 + spread)
        )
        if effect == 'WRITE' and session.transaction:
            session.writes += 1
        elif effect == 'WRITE':
            await self.group.commit(self)
        rows = [] if effect == 'WRITE' else self._make_rows(shape, arguments)
        self._complete(session, request, text, shape, rows)

    def _make_rows(self, shape, arguments):
        size = self.group.row_bytes
        row = f'{shape or "plain"}:{arguments}:'.ljust(size, 'x')
        return [row] * self.group.row_count

    def _complete(self, session, request, text, shape, rows):
        run = (request, text, shape, dict(session.values), self.name)
        self.group.runs.append(run)
        self.group.record.write(
            'RUN', self.name, request, text, f'shape={shape or "-"}',
            f'values={session.values}',
        )
        self._send(session, f'COMPLETE {self.name}.{len(self.group.runs)}',
                   rows)


class Session:
    """State of one connection to a database."""

    def __init__(self, writer):
        self.writer = writer
        self.values, self.prepared = {}, {}
        self.transaction, self.writes = '', 0


class Node:
    """A process of the product on a loopback address of its own."""

    def __init__(self, number, network, store, promotions, folder, hosts,
                 grace_s=6):
        self.name = f'frontend-{number}'
        self.host = hosts[number]
        self.clients = (self.host, CLIENT_PORT)
        self.log_path = folder / f'{self.name}.log'
        self._path = folder / f'{self.name}.json'
        self._process = None
        zones = {zone: 'region' for zone in ZONES}
        self._path.write_text(json.dumps({
            'nodeName': self.name, 'role': 'node', 'machineClass': 'frontend',
            'serves': ['frontend'], 'ip': self.host,
            'zone': ZONES[number % len(ZONES)], 'region': 'region',
            'zones': zones,
            'listen': {
                'frontend': f'{self.host}:{CLIENT_PORT}',
                'readiness': f'{self.host}:{READINESS_PORT}',
                'admin': f'{self.host}:8782',
            },
            'portRange': [PEER_PORT, PEER_PORT + 15],
            'seeds': [f'{host}:8782' for host in hosts[:3]],
            'bootstrap': True, 'countsAsLoss': False,
            'limits': {'cpuQuota': 0.537, 'cores': 2, 'memoryMb': 300,
                       'maxFds': 4200, 'linkMbps': 1000.0, 'diskMb': 0},
            'dataDir': None, 'discovery': 'platform', 'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'recover',
                          'sql', 'platform'],
            'faultTolerance': {'machines': 2, 'zones': 0, 'regionCount': 0},
            'bounds': {
                'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 4000,
                'ackMs': 5000, 'catchUpS': 4, 'drainMs': 7000,
                'graceS': grace_s, 'lossSlackMs': 200, 'applyMs': 3000,
                'downgradeMs': 250, 'skewMs': 12000, 'recoverS': 12,
                'fencing': False, 'thawMs': 300,
            },
            'platform': {'address': store.address, 'form': 'objects',
                         'writesPerS': 400, 'readsPerS': 2000, 'historyS': 20,
                         'valueBytes': 1048576, 'ttlMinMs': 1000},
            'cloudApi': {'address': promotions.address, 'ratePerS': 50.0,
                         'duties': ['promote'], 'dutyPerS': 50.0},
        }))

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['node']['run'].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['DECKDRUM_BOOT'] = str(self._path)
        environment['PYTHONPATH'] = f'{ROOT / "target/deps"}:{ROOT}'
        with open(self.log_path, 'ab') as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def has_ended(self):
        """Return whether the process has ended."""
        return self._process.poll() is not None

    def kill(self):
        """End the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    async def is_ready(self):
        """Return whether the node answers its readiness check with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, READINESS_PORT
            )
            writer.write(b'GET /-/ready HTTP/1.1\r\nhost: x\r\n\r\n')
            head = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in head


class Client:
    """A client of the line protocol: one session, one request at a time."""

    def __init__(self, name, address, database, record, random_source):
        self.name, self.address, self.database = name, address, database
        self.record = record
        self._random = random_source

    async def connect(self, receive_buffer=0):
        """Open the session."""
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, self.address)
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=receive_buffer or 2 ** 16
        )
        self.writer.write(f'STARTUP {self.database} {self.name}\r\n'.encode())
        return (await self.reader.readline()).decode().rstrip()

    def make_id(self):
        """Return a new request id."""
        return f'{self._random.getrandbits(64):016x}'

    async def send(self, text, request=None):
        """Send a statement; return its id."""
        request = request or self.make_id()
        self.record.write('SENT', self.name, request, text)
        self.writer.write(f'QUERY {request} {text}\r\n'.encode())
        return request

    async def receive(self, request):
        """Return rows, the last line and the state; empty if cut off."""
        rows, end = [], ''
        while True:
            line = (await self.reader.readline()).decode()
            if not line.endswith('\r\n'):
                self.record.write('CUT', self.name, request,
                                  f'after {len(line)} bytes of {end or "rows"}')
                return rows, end, ''
            word, _, rest = line.rstrip('\r\n').partition(' ')
            if word == 'ROW':
                rows.append(rest)
            elif word == 'READY':
                break
            else:
                end = line.rstrip('\r\n')
        self.record.write('ANSWER', self.name, request, end,
                          f'rows={[row[:40] for row in rows]}')
        return rows, end, rest.split(' ')[0]

    async def ask(self, text):
        """Send a statement and return its id and answer."""
        request = await self.send(text)
        return request, *await self.receive(request)

    def close(self):
        """End the session."""
        self.writer.close()


class Deployment:
    """Store, databases and nodes; everything ends with it."""

    def __init__(self, folder, *, nodes=3, routes=(), seed=1,
                 sync_replicas=0, **group):
        self.record = Record(Path(folder) / 'record.txt')
        self.random = random.Random(seed)
        self.network = pick_network()
        self._files = tempfile.TemporaryDirectory(prefix='review-')
        self._node_count = nodes
        self._routes = routes
        self._group_settings = {'seed': seed, **group}
        self.nodes = []
        self.sync_replicas = sync_replicas

    async def start(self):
        """Start everything; return whether all nodes became ready."""
        self.store = Store(self.record)
        await self.store.start(f'{self.network}.199')
        self.group = Group(self.store, self.record, **self._group_settings)
        await self.group.start(self.network)
        promotions = Promotions(self.group, self.record)
        await promotions.start(f'{self.network}.198')
        await self.store.write('config', 'main', {
            'version': 1, 'routes': list(self._routes),
            'services': [{'name': SERVICE,
                          'maxConns': self.group.max_connections,
                          'syncReplicas': self.sync_replicas}],
            'limits': {'txIdleMs': 3000},
        })
        hosts = [f'{self.network}.{number + 1}'
                 for number in range(self._node_count)]
        for number in range(self._node_count):
            node = Node(number, self.network, self.store, promotions,
                        Path(self._files.name), hosts)
            node.start()
            self.nodes.append(node)
        for _ in range(200):
            await asyncio.sleep(0.1)
            if all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(2)
                return True
        return False

    def read_logs(self):
        """Return what the nodes have written."""
        return '\n'.join(
            node.log_path.read_text(errors='replace') for node in self.nodes
        )

    def close(self):
        """End all processes."""
        for node in self.nodes:
            node.kill()
        self.record.close()
        self._files.cleanup()


def build_route(host, kind, **fields):
    """Return a route of the operator's configuration."""
    return {'name': f'r-{host}', 'host': host, 'kind': kind,
            'service': SERVICE, 'timeoutMs': 2000, 'objectiveMs': 600,
            'priority': 2, **fields}


def has_trouble():
    """Return whether the script runs with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder, deployment, play):
    """Play a case; exit with 1 if the rule broke, 0 if not, 2 if unplayed."""
    async def run():
        code = 2
        try:
            if await deployment.start():
                code = await asyncio.wait_for(play(deployment), 90)
        except Exception as error:  # The case could not run.
            print(f'could not run: {error!r}', file=sys.stderr)
        finally:
            deployment.close()
        sys.stdout.flush()
        # Without waiting for the stand-ins' connections.
        os._exit(code)
    asyncio.run(run())
