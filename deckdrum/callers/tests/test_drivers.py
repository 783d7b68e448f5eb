"""Real drivers with their default settings, in real time.

The deployment runs in a thread of the test's process.
"""

import threading
from collections.abc import Iterator

import pg8000.dbapi
import psycopg
import pytest

from deckdrum.testing.threads import DeploymentThread, run_deployment

NUMBERS = (
    'WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n '
    'WHERE i < {0}) SELECT i, hex(zeroblob({1})) FROM n'
)


@pytest.fixture(scope='module')
def fleet() -> Iterator[DeploymentThread]:
    with run_deployment(services=('stalls',)) as thread:
        with connect(thread) as link:
            link.execute('CREATE TABLE pitches (id int PRIMARY KEY, name text)')
        yield thread


def connect(
    fleet: DeploymentThread,
    proxy: str = 'p1',
    **options: str,
) -> psycopg.Connection[tuple[object, ...]]:
    settings = ' '.join(
        f'-c deckdrum.{name}={text}' for name, text in options.items()
    )
    return psycopg.connect(
        host='127.0.0.1',
        port=fleet.port(proxy),
        user='growers-app',
        password='standin',
        dbname='stalls',
        options=settings,
    )


def test_default_transactions(fleet: DeploymentThread) -> None:
    with connect(fleet) as link:
        link.execute('INSERT INTO pitches VALUES (%s, %s)', (1, 'first'))
        link.commit()
        rows = link.execute('SELECT name FROM pitches WHERE id = %s', (1,))
        assert rows.fetchall() == [('first',)]


def test_error_inside_transaction(fleet: DeploymentThread) -> None:
    with connect(fleet) as link:
        link.execute('INSERT INTO pitches VALUES (10, %s)', ('kept',))
        with pytest.raises(psycopg.errors.UniqueViolation):
            link.execute('INSERT INTO pitches VALUES (10, %s)', ('again',))
        with pytest.raises(psycopg.errors.InFailedSqlTransaction):
            link.execute('SELECT 1')
        link.rollback()
        found = link.execute('SELECT count(*) FROM pitches WHERE id = 10')
        assert found.fetchone() == (0,)


def test_prepared_statements_on_many_connections(
    fleet: DeploymentThread,
) -> None:
    query = 'SELECT name FROM pitches WHERE id > %s AND name = %s'
    links = [connect(fleet, f'p{place % 3 + 1}') for place in range(6)]
    for turn in range(12):
        for link in links:
            link.autocommit = True
            link.execute(query, (100, f'{turn}'), prepare=True)
    for link in links:
        link.close()


def test_pipeline(fleet: DeploymentThread) -> None:
    with connect(fleet) as link, link.pipeline():
        for number in range(20, 30):
            link.execute('INSERT INTO pitches VALUES (%s, %s)', (number, 'p'))
    with connect(fleet, 'p2') as link:
        found = link.execute("SELECT count(*) FROM pitches WHERE name = 'p'")
        assert found.fetchone() == (10,)


def test_session_roams_with_its_token(fleet: DeploymentThread) -> None:
    with connect(fleet) as link:
        link.execute("INSERT INTO pitches VALUES (40, 'roams')")
        link.commit()
        token = link.info.parameter_status('deckdrum.session')
    assert token
    with connect(fleet, 'p3', session=token, read_kind='browse') as link:
        found = link.execute('SELECT name FROM pitches WHERE id = 40')
        assert found.fetchone() == ('roams',)


def test_made_up_token_is_refused(fleet: DeploymentThread) -> None:
    with pytest.raises(psycopg.OperationalError, match='not signed'):
        connect(fleet, session='AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA')


@pytest.mark.parametrize(
    'statement',
    [
        'COPY pitches FROM STDIN',
        'LISTEN news',
        'CREATE TEMP TABLE t (id int)',
        'PREPARE s AS SELECT 1',
        'SELECT pg_advisory_lock(1)',
        'DECLARE c CURSOR WITH HOLD FOR SELECT 1',
        'SELECT 1; SET work_mem = 1',
    ],
)
def test_pinning_statements_are_refused(
    fleet: DeploymentThread,
    statement: str,
) -> None:
    with connect(fleet) as link:
        link.autocommit = True
        with pytest.raises(psycopg.errors.FeatureNotSupported, match='not run'):
            link.execute(statement)
        assert link.execute('SELECT 7').fetchone() == (7,)


def test_unknown_user_and_wrong_password_look_alike(
    fleet: DeploymentThread,
) -> None:
    told = []
    for user, password in (('nobody', 'standin'), ('growers-app', 'wrong')):
        with pytest.raises(psycopg.OperationalError) as caught:
            psycopg.connect(
                host='127.0.0.1',
                port=fleet.port(),
                user=user,
                password=password,
                dbname='stalls',
            )
        told.append(str(caught.value))
    assert told[0] == told[1]
    assert 'password authentication failed' in told[0]


def test_cancel(fleet: DeploymentThread) -> None:
    with connect(fleet, 'p2') as link:
        link.autocommit = True
        timer = threading.Timer(0.2, link.cancel_safe)
        timer.start()
        with pytest.raises(psycopg.errors.QueryCanceled):
            link.execute('SELECT pg_sleep(20)')
        timer.join()
        assert link.execute('SELECT 1').fetchone() == (1,)


def test_large_answer_is_streamed(fleet: DeploymentThread) -> None:
    with connect(fleet, 'p3') as link, link.cursor() as cursor:
        link.autocommit = True
        received = 0
        for row in cursor.stream(NUMBERS.format(1000, 50_000)):
            received += len(str(row[1]))
    assert received == 100_000_000


def test_settings_are_replayed(fleet: DeploymentThread) -> None:
    with connect(fleet) as link:
        link.autocommit = True
        link.execute("SET search_path = 'stalls'")
        assert link.execute('SELECT 1').fetchone() == (1,)
        link.execute('RESET search_path')
        assert link.execute('SELECT 1').fetchone() == (1,)


def test_pg8000(fleet: DeploymentThread) -> None:
    link = pg8000.dbapi.connect(
        host='127.0.0.1',
        port=fleet.port('p2'),
        user='growers-app',
        password='standin',
        database='stalls',
    )
    cursor = link.cursor()
    cursor.execute('INSERT INTO pitches VALUES (%s, %s)', (200, 'eight'))
    link.commit()
    cursor.execute('SELECT name FROM pitches WHERE id = %s', (200,))
    assert [tuple(row) for row in cursor.fetchall()] == [('eight',)]
    with pytest.raises(pg8000.dbapi.DatabaseError, match='23505'):
        cursor.execute('INSERT INTO pitches VALUES (%s, %s)', (200, 'eight'))
    link.rollback()
    cursor.execute('SELECT count(*) FROM pitches WHERE id = 200')
    assert [tuple(row) for row in cursor.fetchall()] == [(1,)]
    link.close()
