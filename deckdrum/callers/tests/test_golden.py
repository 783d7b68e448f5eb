"""Golden files of complete sessions; regenerate them with ``--force-regen``."""

from collections.abc import Awaitable, Callable

import curio
import pytest
from pytest_regressions.file_regression import FileRegressionFixture

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.testing.golden import SessionRecorder
from deckdrum.utils.virtualtime import run_virtual


async def book_and_roam(
    recorder: SessionRecorder, deployment: Deployment
) -> None:
    await recorder.connect('grower', 'p1')
    await recorder.query('grower', 'CREATE TABLE pitches (id int, name text)')
    await recorder.send_extended_query(
        'grower', 'INSERT INTO pitches VALUES ($1, $2)', '1', 'bees'
    )
    await recorder.query('grower', 'SELECT * FROM pitches')
    await recorder.reconnect('grower', 'p2', read_kind='browse')
    await recorder.send_extended_query(
        'grower', 'SELECT name FROM pitches WHERE id = $1', '1'
    )
    await recorder.query('grower', 'SHOW deckdrum.read_kind')


async def roll_back(recorder: SessionRecorder, deployment: Deployment) -> None:
    await recorder.connect('grower', 'p1')
    await recorder.query('grower', 'CREATE TABLE fees (id int PRIMARY KEY)')
    await recorder.query('grower', 'BEGIN')
    await recorder.query('grower', 'INSERT INTO fees VALUES (1)')
    await recorder.query('grower', 'INSERT INTO fees VALUES (1)')
    await recorder.query('grower', 'SELECT 1')
    await recorder.query('grower', 'COMMIT')
    await recorder.query('grower', 'SELECT count(*) FROM fees')
    await recorder.query(
        'grower', 'INSERT INTO fees VALUES (2); INSERT INTO fees VALUES (3)'
    )
    await recorder.query('grower', '')


async def refuse(recorder: SessionRecorder, deployment: Deployment) -> None:
    await recorder.connect('grower', 'p1')
    await recorder.query('grower', 'LISTEN news')
    await recorder.query('grower', 'SET deckdrum.nonsense = 1')
    await recorder.query('grower', "SET client_encoding = 'LATIN1'")
    await recorder.query('grower', 'BEGIN')
    await recorder.query('grower', 'SET work_mem = 1')
    await recorder.query('grower', 'ROLLBACK')
    await recorder.send_extended_query('grower', 'SELECT * FROM nowhere')
    for database in deployment.list_databases('stalls'):
        await database.crash()
    await curio.sleep(1)
    await recorder.query('grower', 'SELECT 1')
    await recorder.query('grower', 'CREATE TABLE late (id int)')


async def lose_the_primary(
    recorder: SessionRecorder, deployment: Deployment
) -> None:
    await recorder.connect('grower', 'p1')
    await recorder.query('grower', 'CREATE TABLE fees (id int PRIMARY KEY)')
    await recorder.query('grower', 'BEGIN')
    await recorder.query('grower', 'INSERT INTO fees VALUES (1)')
    await deployment.find_primary('stalls').crash()
    await curio.sleep(2)
    await recorder.query('grower', 'INSERT INTO fees VALUES (2)')
    await recorder.query('grower', 'SELECT 1')
    await recorder.query('grower', 'ROLLBACK')
    await recorder.query('grower', 'INSERT INTO fees VALUES (3)')
    await recorder.query('grower', 'SELECT * FROM fees')


SCENARIOS = (book_and_roam, roll_back, refuse, lose_the_primary)


@pytest.mark.parametrize('scenario', SCENARIOS, ids=lambda each: each.__name__)
def test_session(
    scenario: Callable[[SessionRecorder, Deployment], Awaitable[None]],
    file_regression: FileRegressionFixture,
) -> None:
    async def main() -> str:
        deployment = Deployment(Layout(services=('stalls',)))
        await deployment.start()
        recorder = SessionRecorder(deployment)
        await scenario(recorder, deployment)
        await deployment.close()
        return recorder.text

    file_regression.check(run_virtual(main))
