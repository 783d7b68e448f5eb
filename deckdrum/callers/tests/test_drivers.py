"""Real drivers with their default settings, against a threaded deployment."""

import threading
from collections.abc import Iterator

import pg8000.dbapi
import psycopg
import pytest

from deckdrum.testing.threads import DeploymentThread, run_deployment

NUMBERS_QUERY = (
    'WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n '
    'WHERE i < {0}) SELECT i, hex(zeroblob({1})) FROM n'
)


@pytest.fixture(scope='module')
def fleet() -> Iterator[DeploymentThread]:
    with run_deployment(services=('stalls',)) as thread:
        with connect(thread) as connection:
            connection.execute(
                'CREATE TABLE pitches (id int PRIMARY KEY, name text)'
            )
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
    with connect(fleet) as connection:
        connection.execute('INSERT INTO pitches VALUES (%s, %s)', (1, 'first'))
        connection.commit()
        rows = connection.execute(
            'SELECT name FROM pitches WHERE id = %s', (1,)
        )
        assert rows.fetchall() == [('first',)]


def test_error_inside_transaction(fleet: DeploymentThread) -> None:
    with connect(fleet) as connection:
        connection.execute('INSERT INTO pitches VALUES (10, %s)', ('kept',))
        with pytest.raises(psycopg.errors.UniqueViolation):
            connection.execute(
                'INSERT INTO pitches VALUES (10, %s)', ('again',)
            )
        with pytest.raises(psycopg.errors.InFailedSqlTransaction):
            connection.execute('SELECT 1')
        connection.rollback()
        selected = connection.execute(
            'SELECT count(*) FROM pitches WHERE id = 10'
        )
        assert selected.fetchone() == (0,)


def test_prepared_statements_on_many_connections(
    fleet: DeploymentThread,
) -> None:
    query = 'SELECT name FROM pitches WHERE id > %s AND name = %s'
    connections = [connect(fleet, f'p{index % 3 + 1}') for index in range(6)]
    for round_number in range(12):
        for connection in connections:
            connection.autocommit = True
            connection.execute(query, (100, f'{round_number}'), prepare=True)
    for connection in connections:
        connection.close()


def test_pipeline(fleet: DeploymentThread) -> None:
    with connect(fleet) as connection, connection.pipeline():
        for number in range(20, 30):
            connection.execute(
                'INSERT INTO pitches VALUES (%s, %s)', (number, 'p')
            )
    with connect(fleet, 'p2') as connection:
        selected = connection.execute(
            "SELECT count(*) FROM pitches WHERE name = 'p'"
        )
        assert selected.fetchone() == (10,)


def test_token_continues_session_on_another_proxy(
    fleet: DeploymentThread,
) -> None:
    with connect(fleet) as connection:
        connection.execute("INSERT INTO pitches VALUES (40, 'roams')")
        connection.commit()
        token = connection.info.parameter_status('deckdrum.session')
    assert token
    with connect(fleet, 'p3', session=token, read_kind='browse') as connection:
        selected = connection.execute('SELECT name FROM pitches WHERE id = 40')
        assert selected.fetchone() == ('roams',)


def test_forged_token_is_refused(fleet: DeploymentThread) -> None:
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
    with connect(fleet) as connection:
        connection.autocommit = True
        with pytest.raises(psycopg.errors.FeatureNotSupported, match='not run'):
            connection.execute(statement)
        assert connection.execute('SELECT 7').fetchone() == (7,)


def test_unknown_user_and_wrong_password_give_the_same_error(
    fleet: DeploymentThread,
) -> None:
    messages = []
    for user, password in (('nobody', 'standin'), ('growers-app', 'wrong')):
        with pytest.raises(psycopg.OperationalError) as caught:
            psycopg.connect(
                host='127.0.0.1',
                port=fleet.port(),
                user=user,
                password=password,
                dbname='stalls',
            )
        messages.append(str(caught.value))
    assert messages[0] == messages[1]
    assert 'password authentication failed' in messages[0]


def test_cancel(fleet: DeploymentThread) -> None:
    with connect(fleet, 'p2') as connection:
        connection.autocommit = True
        timer = threading.Timer(0.2, connection.cancel_safe)
        timer.start()
        with pytest.raises(psycopg.errors.QueryCanceled):
            connection.execute('SELECT pg_sleep(20)')
        timer.join()
        assert connection.execute('SELECT 1').fetchone() == (1,)


def test_large_answer_is_streamed(fleet: DeploymentThread) -> None:
    with connect(fleet, 'p3') as connection, connection.cursor() as cursor:
        connection.autocommit = True
        received = 0
        for row in cursor.stream(NUMBERS_QUERY.format(1000, 50_000)):
            received += len(str(row[1]))
    assert received == 100_000_000


def test_settings_are_replayed(fleet: DeploymentThread) -> None:
    with connect(fleet) as connection:
        connection.autocommit = True
        connection.execute("SET search_path = 'stalls'")
        assert connection.execute('SELECT 1').fetchone() == (1,)
        connection.execute('RESET search_path')
        assert connection.execute('SELECT 1').fetchone() == (1,)


def test_pg8000(fleet: DeploymentThread) -> None:
    connection = pg8000.dbapi.connect(
        host='127.0.0.1',
        port=fleet.port('p2'),
        user='growers-app',
        password='standin',
        database='stalls',
    )
    cursor = connection.cursor()
    cursor.execute('INSERT INTO pitches VALUES (%s, %s)', (200, 'eight'))
    connection.commit()
    cursor.execute('SELECT name FROM pitches WHERE id = %s', (200,))
    assert [tuple(row) for row in cursor.fetchall()] == [('eight',)]
    with pytest.raises(pg8000.dbapi.DatabaseError, match='23505'):
        cursor.execute('INSERT INTO pitches VALUES (%s, %s)', (200, 'eight'))
    connection.rollback()
    cursor.execute('SELECT count(*) FROM pitches WHERE id = 200')
    assert [tuple(row) for row in cursor.fetchall()] == [(1,)]
    connection.close()
