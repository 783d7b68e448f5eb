"""Stand-ins for the platform, the databases and the clients of deckdrum.

Written for the second review from the users' pages (PROTOCOL.md, SYSTEM.md,
DEPLOY.md).  They use only the standard library and listen only on loopback
addresses.  One Python process hosts the platform's store, its API for
promotions, the databases and the clients; the nodes of deckdrum run as
processes of their own, with the command of the deploy file.
"""

import asyncio
import functools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ZONES = ('ba-hall', 'tt-hall', 'nr-hall')
SERVICE = 'stall-db'
START = time.monotonic()
#: Exit codes of a case.  An error of Python itself ends with 1, so `run.sh`
#: turns these into those that the issue asks for.
HELD, BROKEN, NOT_RUN = 0, 10, 2


def now():
    """Return the seconds since the start of the case."""
    return time.monotonic() - START


class Log:
    """Writes the record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')

    def __call__(self, event, **fields):
        shown = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._file.write(f'{now():9.4f} {event} {shown}\n')
        self._file.flush()


def choose_network():
    """Return the first three octets of a loopback network for this process."""
    for attempt in range(200):
        number = (os.getpid() * 7 + attempt * 131) % 50_000
        network = f'127.{20 + number // 250}.{number % 250}'
        probe = socket.socket()
        try:
            probe.bind((f'{network}.1', 9464))
        except OSError:
            continue
        finally:
            probe.close()
        return network
    raise SystemExit(NOT_RUN)


def find_free_ports(host, count):
    """Return free ports of a loopback address."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        linger = struct.pack('ii', 1, 0)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass
    writer.close()


class Http:
    """A small HTTP/1.1 server; `respond` gets method, path, query and body."""

    def __init__(self, host, respond):
        self._host = host
        self._respond = respond
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self._host}:{self.port}'

    async def _serve(self, reader, writer):
        try:
            while line := await reader.readline():
                method, target, _ = line.decode().split(' ', 2)
                headers = {}
                while (line := await reader.readline()).strip():
                    name, _, value = line.decode().partition(':')
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                parts = urlsplit(target)
                reply = await self._respond(
                    method, parts.path, dict(parse_qsl(parts.query)), headers,
                    body,
                )
                if reply is None:
                    reset(writer)
                    return
                status, document = reply
                payload = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} -\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(payload)}\r\n\r\n'.encode()
                    + payload
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's metadata store (form `objects`)."""

    def __init__(self, log):
        self._log = log
        self.objects = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()
        #: Names of machines that the store turns away, with the status.
        self.turned_away = {}

    async def open(self, host, machine):
        """Listen for one machine; return the address."""
        async def respond(method, path, query, headers, body):
            if machine in self.turned_away:
                return self.turned_away[machine], {'error': 'turned away'}
            await asyncio.sleep(0.004)
            return await self._respond(machine, method, path, query, body)

        endpoint = Http(host, respond)
        await endpoint.start()
        return endpoint.address

    async def write(self, kind, name, spec):
        """Write an object unconditionally, as the operator or a database."""
        current = self.objects.setdefault(kind, {}).get(name)
        if current is not None and current['spec'] == spec:
            return current['meta']['revision']
        return await self._store(kind, name, spec, current)

    async def remove(self, kind, name):
        """Remove an object."""
        current = self.objects.get(kind, {}).pop(name, None)
        if current is not None:
            self.revision += 1
            await self._announce(kind, current, True)

    async def _store(self, kind, name, spec, current):
        self.revision += 1
        stored = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created': (
                    current['meta']['created'] if current else self.revision
                ),
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        await self._announce(kind, stored, False)
        return self.revision

    async def _announce(self, kind, stored, removed):
        self.events.append((self.revision, kind, stored, removed))
        if kind != 'servers' or removed:
            self._log(
                'store.changed', kind=kind, name=stored['meta']['name'],
                revision=self.revision, removed=removed,
                spec=json.dumps(stored['spec']) if kind not in {
                    'config', 'deckdrum-members'} else '...',
            )
        async with self.changed:
            self.changed.notify_all()

    async def _respond(self, machine, method, path, query, body):
        parts = path.split('/')
        kind = parts[3] if len(parts) > 3 else ''
        name = unquote(parts[4]) if len(parts) > 4 else ''
        objects = self.objects.setdefault(kind, {})
        current = objects.get(name)
        if method == 'GET' and name:
            return (200, current) if current else (404, {})
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET':
            after = query.get('after', '')
            names = sorted(each for each in objects if each > after)
            items = [objects[each] for each in names[:500]]
            return 200, {
                'items': items,
                'morePages': len(names) > 500,
                'currentRev': self.revision,
            }
        if method == 'DELETE':
            if current is None:
                return 404, {}
            wanted = int(query.get('revision', 0))
            if wanted and wanted != current['meta']['revision']:
                return 409, current
            await self.remove(kind, name)
            return 200, current
        document = json.loads(body)
        meta = document.get('meta', {})
        if method == 'POST':
            name = meta['name']
            if name in objects:
                return 409, objects[name]
            await self._store(kind, name, document['spec'], None)
            return 201, objects[name]
        if current is None:
            return 404, {}
        wanted = int(meta.get('revision', 0) or query.get('revision', 0))
        if wanted and wanted != current['meta']['revision']:
            return 409, current
        if current['spec'] != document['spec']:
            await self._store(kind, name, document['spec'], current)
        return 200, objects[name]

    async def _watch(self, kind, query):
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            events = [
                {'object': stored, 'removed': removed}
                for revision, its_kind, stored, removed in self.events
                if revision > since and its_kind == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Database:
    """One database of the service."""

    def __init__(self, group, name, zone, role):
        self.group = group
        self.name = name
        self.zone = zone
        self.role = role
        self.term = 1
        self.log = []
        self.applied = 0
        self.held_term = 0
        self.state = 'ready'
        self.is_listed = True
        self.is_up = False
        #: Whether it receives nothing from the primary.
        self.is_deaf = False
        #: Added to the time that a new connection holds a slot, in seconds.
        self.handshake_s = 0.012
        self.work_s = group.work_s
        self.slots = asyncio.Semaphore(3)
        self.busy = 0
        self.writers = set()
        self._server = None
        self.port = 0

    def draw_work(self):
        """Return how long a statement takes, in seconds."""
        spread = self.group.work_spread
        drawn = self.group.randomness.lognormvariate(-spread * spread / 2, spread)
        return self.work_s * min(drawn, 5)

    @property
    def host(self):
        return self.group.host

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    @property
    def received(self):
        return f'{self.term}.{len(self.log)}'

    @property
    def position(self):
        return f'{self.term}.{self.applied}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        self.held_term = 0
        await self.publish()

    async def publish(self):
        """Write the entry of service discovery."""
        if not self.is_listed or not self.is_up:
            return
        await self.group.store.write('servers', self.name, {
            'service': self.group.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 3,
            'state': self.state,
            'coldLeftMs': 0,
            'dbRole': self.role,
            'seq': 1,
        })

    async def unlist(self):
        """Let the entry go; the database serves on."""
        self.is_listed = False
        await self.group.store.remove('servers', self.name)

    def crash(self):
        """Crash: connections are reset, new ones refused."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()
        self.group.log('db.crashed', db=self.name, received=self.received)

    async def unlist_if_silent(self, after):
        """Remove the entry three heartbeats after a crash."""
        await asyncio.sleep(after)
        if not self.is_up:
            await self.group.store.remove('servers', self.name)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._converse(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _converse(self, reader, writer):
        line = await self._read(reader)
        if line is None:
            return
        if line.startswith('GET '):
            while (await reader.readline()).strip():
                pass
            status = 200 if self.state == 'ready' else 503
            writer.write(
                f'HTTP/1.1 {status} -\r\nContent-Length: 0\r\n'
                f'X-Deckdrum-Instance: {self.name}\r\n\r\n'.encode()
            )
            return
        fields = line.split(' ')
        wanted = fields[3] if len(fields) > 3 else self.name
        if fields[1] != self.group.service or wanted != self.name:
            writer.write(f'ERROR MISROUTED {self.name}\r\n'.encode())
            return
        if len(self.writers) > self.group.max_connections:
            writer.write(f'ERROR TOOMANY {self.name}\r\n'.encode())
            return
        await self.group.wait_for_link(fields[2], self)
        async with self.slots:
            await asyncio.sleep(self.handshake_s)
        if not self.is_up:
            return
        writer.write(f'READY I {self.position}\r\n'.encode())
        conn = Connection(self, f'{self.name}#{self.group.next_connection()}')
        while (line := await self._read(reader)) is not None:
            if line == 'TERMINATE':
                return
            await self.group.wait_for_link(fields[2], self)
            if reader.at_eof():
                # The far end has given the connection up meanwhile.
                return
            _, request, text = line.split(' ', 2)
            answer = await conn.run(request, text)
            await self.group.wait_for_link(fields[2], self)
            if not self.is_up:
                return
            writer.write(
                f'{answer}READY {conn.state} {self.position}\r\n'.encode()
            )
            await writer.drain()

    async def _read(self, reader):
        line = await reader.readline()
        if not line.endswith(b'\r\n'):
            return None
        return line[:-2].decode()


class Connection:
    """State of one connection to a database."""

    def __init__(self, db, name):
        self.db = db
        self.group = db.group
        self.name = name
        self.values = {}
        self.prepared = {}
        self.transaction = ''
        self.writes = []
        self.is_failed = False

    @property
    def state(self):
        if not self.transaction:
            return 'I'
        return 'E' if self.is_failed else 'T'

    async def run(self, request, text):
        word = text.split(' ', 1)[0]
        if word in {'READ', 'WRITE', 'EXECUTE', 'COMMIT', 'AFTER', 'STATUS'}:
            async with self.db.slots:
                if word != 'STATUS':
                    await asyncio.sleep(self.db.draw_work())
                return await self._run(request, text)
        return await self._run(request, text)

    async def _run(self, request, text):
        word, _, rest = text.partition(' ')
        db = self.db
        if word == 'AFTER':
            position, _, text = rest.partition(' ')
            term, _, number = position.partition('.')
            if int(term) > db.term or int(number) > db.applied:
                return f'ERROR LAGGING {db.name}\r\n'
            return await self._run(request, text)
        if word in {'STATUS', 'PAUSE', 'RESUME', 'DEMOTE'}:
            return await self._control(word, rest)
        if word == 'RESET':
            self.values.clear()
            self.prepared.clear()
        elif word == 'SET':
            name, _, value = rest.partition(' ')
            self.values[name] = value
        elif word == 'PREPARE':
            name, effect, shape = rest.split(' ', 2)
            self.prepared[name] = effect, shape
        elif word == 'DEALLOCATE':
            self.prepared.pop(rest, None)
        elif word == 'BEGIN':
            if rest != 'READ' and db.role != 'primary':
                return f'ERROR READONLY {db.name}\r\n'
            self.transaction = rest or 'WRITE'
            self.is_failed = False
            self.writes = []
        elif word == 'ROLLBACK':
            self.transaction = ''
        elif word == 'COMMIT':
            return await self._commit(request)
        else:
            return await self._statement(request, word, rest, text)
        return 'COMPLETE -\r\n'

    async def _control(self, word, rest):
        db = self.db
        if word == 'PAUSE' and db.role == 'replica' and int(rest) > db.term:
            db.held_term = int(rest)
            self.group.log('db.held', db=db.name, term=rest,
                           received=db.received)
        elif word == 'RESUME':
            db.held_term = 0
        elif word == 'DEMOTE' and int(rest) > db.term:
            if db.role == 'primary':
                db.role = 'replica'
                self.group.log('db.demoted', db=db.name, term=rest)
                await db.publish()
        lag = 0 if db.applied == len(db.log) else round(db.group.lag_s * 1000)
        row = (
            f'{db.role} {db.term} {db.received} {db.held_term} {lag} '
            f'{db.busy} {len(db.writers)}'
        )
        return f'ROW {row}\r\nCOMPLETE -\r\n'

    async def _commit(self, request):
        writes, failed = self.writes, self.is_failed
        is_plain = self.transaction == 'WRITE'
        self.transaction = ''
        self.writes = []
        if failed:
            return 'COMPLETE -\r\n'
        if writes and is_plain and self.db.role != 'primary':
            return f'ERROR READONLY {self.db.name}\r\n'
        if writes:
            await self.group.commit(self.db, writes)
        return self._sign(request, 'COMMIT')

    async def _statement(self, request, word, rest, text):
        db = self.db
        shape = ''
        if word == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in self.prepared:
                return f'ERROR NOSTMT {name}\r\n'
            word, shape = self.prepared[name]
        thing, _, data = rest.partition(' ')
        if db.role != 'primary' and (
            word == 'WRITE' or self.transaction == 'WRITE'
        ):
            self.is_failed = bool(self.transaction)
            return f'ERROR READONLY {db.name}\r\n'
        if word == 'READ':
            row = self.group.find_value(db, thing)
            return f'ROW {row}\r\n' + self._sign(request, text, shape)
        if self.transaction:
            self.writes.append((request, thing, data))
        else:
            await self.group.commit(db, [(request, thing, data)])
        return self._sign(request, text, shape)

    def _sign(self, request, text, shape=''):
        self.group.record_run(self, request, text, shape)
        return f'COMPLETE {self.db.name}.{len(self.group.runs):x}\r\n'


def list_ids(log, applied):
    """Return the ids of the writes in a log up to a position."""
    return {write[0] for writes in log[:applied] for write in writes}


class Group:
    """The databases of one service, and the API for promotions."""

    def __init__(self, log, store, host, sync=0, lag_s=0.06, work_s=0.005,
                 promote_s=0.3, network_s=0.0014, max_connections=23,
                 work_spread=0.0, seed=1):
        self.log = log
        self.store = store
        self.host = host
        self.service = SERVICE
        self.sync = sync
        self.lag_s = lag_s
        self.work_s = work_s
        self.promote_s = promote_s
        self.work_spread = work_spread
        self.randomness = random.Random(seed)
        self.network_s = network_s
        self.max_connections = max_connections
        self.databases = {}
        self.runs = []
        self.promotions = []
        #: Commits: time, database, term and request ids.
        self.commits = []
        self.takeovers = []
        self.takeover_terms = []
        #: Links that are cut, as pairs of a node's and a database's name.
        self.cut_links = set()
        self._connections = 0

    async def start(self):
        role = 'primary'
        for number, zone in enumerate(ZONES, 1):
            db = Database(self, f'i-{number}{os.getpid():x}', zone, role)
            self.databases[db.name] = db
            await db.start()
            role = 'replica'
        self._api = Http(self.host, self._respond)
        await self._api.start()
        self.api_address = self._api.address
        asyncio.ensure_future(self._replicate())

    def next_connection(self):
        self._connections += 1
        return self._connections

    @property
    def primary(self):
        leading = [each for each in self.databases.values()
                   if each.role == 'primary']
        return max(leading, key=lambda each: each.term, default=None)

    async def wait_for_link(self, node, db):
        """Hold a message up while the link that carries it is cut."""
        while (node, db.name) in self.cut_links:
            await asyncio.sleep(0.002)

    def find_value(self, db, thing):
        for writes in reversed(db.log[:db.applied]):
            for request, its_thing, _ in writes:
                if its_thing == thing:
                    return request
        return 'none'

    def record_run(self, conn, request, text, shape):
        values = ','.join(
            f'{key}:{value}' for key, value in sorted(conn.values.items())
        )
        self.runs.append({
            'at': now(), 'db': conn.db.name, 'server': conn.db, 'conn': conn.name, 'id': request,
            'text': text, 'shape': shape, 'values': dict(conn.values),
            'position': (conn.db.term, conn.db.applied),
            'seen': functools.partial(
                list_ids, conn.db.log, conn.db.applied
            ),
        })
        self.log('db.ran', db=conn.db.name, conn=conn.name, id=request,
                 text=repr(text[:60]), shape=shape, values=values or '-',
                 position=conn.db.position)

    async def commit(self, db, writes):
        """Append a commit; wait until enough replicas have received it."""
        db.log.append(tuple(writes))
        self.commits.append(
            (now(), db.name, db.term, [write[0] for write in writes])
        )
        number = len(db.log)
        db.applied = number
        self.log('db.committed', db=db.name, position=db.received,
                 ids=','.join(write[0] for write in writes))
        while self.sync:
            received = sum(
                each is not db and each.is_up and each.term == db.term
                and len(each.log) >= number
                for each in self.databases.values()
            )
            if received >= self.sync or not db.is_up:
                return
            await asyncio.sleep(0.001)

    async def _replicate(self):
        """Send the log of each running primary to the replicas, forever."""
        while True:
            await asyncio.sleep(self.network_s)
            for source in list(self.databases.values()):
                if source.role != 'primary' or not source.is_up:
                    continue
                for replica in self.databases.values():
                    self._send(source, replica)

    def _send(self, source, replica):
        can_receive = (
            replica.is_up and replica.role == 'replica'
            and not replica.is_deaf
            and replica.held_term <= source.term
            and replica.term <= source.term
        )
        if not can_receive:
            return
        if replica.term < source.term:
            # What the new primary lacks is rolled back.
            replica.term = source.term
            replica.log = list(source.log)
            replica.applied = min(replica.applied, len(replica.log))
        start = len(replica.log)
        if start < len(source.log):
            replica.log.extend(source.log[start:])
        if replica.applied < len(replica.log):
            asyncio.get_running_loop().call_later(
                self.lag_s, self._apply, replica, replica.term,
                len(replica.log),
            )

    def _apply(self, replica, term, number):
        if replica.term == term:
            replica.applied = max(
                replica.applied, min(number, len(replica.log))
            )

    async def _respond(self, method, path, query, headers, body):
        document = json.loads(body)
        db = self.databases.get(document['id'])
        fence = int(headers.get('x-deckdrum-fence', 0))
        holder = headers.get('x-deckdrum-holder', '')
        self.log('platform.promote', id=document['id'], holder=holder,
                 fence=fence)
        self.promotions.append((now(), document['id'], holder, fence))
        if db is None or not db.is_up:
            return 409, {'error': 'not running'}
        if db is not self.primary:
            asyncio.ensure_future(self._promote(db))
        return 200, {}

    async def _promote(self, db):
        await asyncio.sleep(self.promote_s)
        if not db.is_up or db is self.primary:
            return
        db.term = max(each.term for each in self.databases.values()) + 1
        db.role = 'primary'
        db.held_term = 0
        db.applied = len(db.log)
        self.log('db.leads', db=db.name, term=db.term, log=len(db.log))
        self.takeovers.append((now(), db, list(db.log)))
        self.takeover_terms.append(db.term)
        await db.publish()
        for other in self.databases.values():
            if other is not db and other.role == 'primary':
                asyncio.ensure_future(self._step_down(other))

    async def _step_down(self, db):
        """End the lead of a replaced primary that reaches its successor."""
        while db.role == 'primary':
            await asyncio.sleep(1)
            if db.is_up and self.primary is not db and self.primary.is_up:
                db.role = 'replica'
                await db.publish()


class Node:
    """One node of deckdrum as a process, with the command of the deploy file."""

    def __init__(self, folder, network, number, store_address, api_address,
                 log, seeds=1):
        self.name = f'frontend-{ZONES[number % 3]}-{number}'
        self.host = f'{network}.{number + 1}'
        self.log = log
        self.process = None
        self.started_at = 0
        self._output = folder / f'{self.name}.log'
        self._settings = folder / f'{self.name}.json'
        ports = find_free_ports(self.host, 3)
        self.clients = (self.host, ports[0])
        self.readiness = (self.host, ports[1])
        first = 7440
        self._settings.write_text(json.dumps({
            'nodeName': self.name,
            'role': 'node',
            'machineClass': 'frontend',
            'serves': ['frontend'],
            'ip': self.host,
            'zone': ZONES[number % 3],
            'region': 'sk-west',
            'zones': dict.fromkeys(ZONES, 'sk-west'),
            'listen': {
                'frontend': f'{self.host}:{ports[0]}',
                'readiness': f'{self.host}:{ports[1]}',
                'admin': f'{self.host}:{ports[2]}',
            },
            'portRange': [first, first + 15],
            'seeds': [f'{network}.{each + 1}:8782' for each in range(seeds)],
            'bootstrap': True,
            'countsAsLoss': False,
            'limits': {'cpuQuota': 0.537, 'cores': 2, 'memoryMb': 300,
                       'maxFds': 4200, 'linkMbps': 1000.0, 'diskMb': 0},
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'recover', 'sql',
                          'platform'],
            'faultTolerance': {'machines': 2, 'zones': 0, 'regionCount': 0},
            'bounds': {'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 4000,
                       'ackMs': 5000, 'catchUpS': 4, 'drainMs': 7000,
                       'graceS': 6, 'lossSlackMs': 200, 'applyMs': 3000,
                       'downgradeMs': 250, 'skewMs': 12000, 'recoverS': 12,
                       'fencing': False, 'thawMs': 300},
            'platform': {'address': store_address, 'form': 'objects',
                         'writesPerS': 400, 'readsPerS': 2000, 'historyS': 20,
                         'valueBytes': 1048576, 'ttlMinMs': 1000},
            'cloudApi': {'address': api_address, 'ratePerS': 50.0,
                         'duties': ['promote'], 'dutyPerS': 50.0},
        }))

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['node']['run'].split()
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment |= {
            'PYTHONPATH': f'{ROOT / "target/deps"}:{ROOT}',
            'PYTHONDONTWRITEBYTECODE': '1',
            'DECKDRUM_BOOT': str(self._settings),
        }
        with self._output.open('ab') as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            )
        self.started_at = now()
        self.log('node.started', node=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.log('node.signalled', node=self.name, signal=number.name)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.readiness)
            writer.write(b'GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b' 200' in line

    def copy_log(self, log, words):
        """Copy the lines of the node's log that hold one of some words."""
        for line in self._output.read_text(errors='replace').splitlines():
            if any(word in line for word in words):
                log('node.log', node=self.name, line=line[:600])


class Reply:
    """An answer to a client."""

    def __init__(self):
        self.rows = []
        self.word = 'LOST'
        self.text = ''
        self.state = ''

    @property
    def is_done(self):
        return self.word == 'COMPLETE'


class Client:
    """One session of a client."""

    count = 0

    def __init__(self, log, node, database):
        self.log = log
        self.node = node
        self.database = database
        Client.count += 1
        self.name = f'c{Client.count:x}'
        self._number = 0
        self._writer = None

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(
            *self.node.clients
        )
        self._writer.write(f'STARTUP {self.database} {self.name}\r\n'.encode())
        line = await asyncio.wait_for(self._reader.readline(), 2)
        if not line.startswith(b'READY'):
            raise ConnectionError(line.decode().strip())

    async def ask(self, text, timeout=6, request=None):
        self._number += 1
        self.last_id = request or f'{self.name}x{self._number:06x}'
        reply = Reply()
        self.log('client.sent', client=self.name, node=self.node.name,
                 id=self.last_id, text=repr(text[:60]))
        try:
            self._writer.write(f'QUERY {self.last_id} {text}\r\n'.encode())
            await asyncio.wait_for(self._read(reply), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.log('client.got', client=self.name, id=self.last_id,
                 word=reply.word, text=repr(reply.text[:80]),
                 rows=','.join(reply.rows), state=reply.state or '-')
        return reply

    async def _read(self, reply):
        while line := (await self._reader.readline()).decode():
            word, _, rest = line.rstrip('\r\n').partition(' ')
            if word == 'ROW':
                reply.rows.append(rest)
            elif word == 'READY':
                reply.state = rest.split(' ')[0]
                return
            else:
                reply.word, reply.text = word, rest
        if reply.word == 'COMPLETE':
            reply.word = 'LOST'

    def close(self):
        if self._writer is not None:
            self._writer.close()


def build_config(version=1, sync=0, max_connections=23, **limits):
    """Return the operator's configuration with the three kinds of routes."""
    routes = [
        ('pitch', 'primary', None, 800, 150, 1),
        ('browse', 'bounded', 1500, 2000, 500, 2),
        ('gate', 'own_writes', 2500, 800, 250, 2),
    ]
    return {
        'version': version,
        'routes': [
            {'name': f'r-{host}', 'host': host, 'kind': kind,
             'service': SERVICE, 'timeoutMs': timeout,
             'objectiveMs': objective, 'priority': priority}
            | ({'maxStalenessMs': age} if age else {})
            for host, kind, age, timeout, objective, priority in routes
        ],
        'services': [
            {'name': SERVICE, 'maxConns': max_connections,
             'syncReplicas': sync},
        ],
        'limits': {'txIdleMs': 3000} | limits,
    }


class Case:
    """A deployment of nodes and stand-ins for one case."""

    def __init__(self, record, nodes=3, **group):
        self.log = Log(record)
        self.with_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.log('case', trouble=self.with_trouble)
        self.network = choose_network()
        self.folder = Path(tempfile.mkdtemp(prefix='deckdrum-case-'))
        self.host = f'{self.network}.250'
        self.store = Store(self.log)
        self.group = Group(self.log, self.store, self.host, **group)
        self._count = nodes
        self.nodes = []

    async def start(self, **config):
        await self.store.write(
            'config', 'main', build_config(
                sync=self.group.sync,
                max_connections=self.group.max_connections, **config,
            )
        )
        await self.group.start()
        for number in range(self._count):
            await self.add_node(number)
        await self.wait_until_ready()

    async def add_node(self, number):
        host = f'{self.network}.249'
        address = await self.store.open(host, number)
        node = Node(self.folder, self.network, number, address,
                    self.group.api_address, self.log, min(3, self._count))
        self.nodes.append(node)
        node.start()
        return node

    async def wait_until_ready(self, timeout=25):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if all([await node.is_ready() for node in self.nodes]):
                self.log('nodes.ready')
                return
            await asyncio.sleep(0.1)
        self.log('nodes.not_ready')
        raise SystemExit(NOT_RUN)

    def close(self):
        for node in self.nodes:
            node.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(main, record, limit=110, **options):
    """Run a case and exit with `BROKEN`, `HELD` or `NOT_RUN`."""
    async def run():
        case = Case(record, **options)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit):
                is_broken = await main(case)
        except (Exception, SystemExit, asyncio.CancelledError) as error:
            case.log('case.not_run', error=repr(error))
            traceback.print_exc()
            return NOT_RUN
        finally:
            case.close()
        code = NOT_RUN if is_broken is None else BROKEN if is_broken else HELD
        case.log('case.ended', code=code)
        return code

    code = asyncio.run(run())
    print({HELD: 'the rule held', BROKEN: 'the rule was broken'}.get(
        code, 'the case could not run'))
    sys.exit(code)
