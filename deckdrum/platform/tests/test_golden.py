"""Sessions in the line protocol, compared with golden files."""

import re
from typing import Any, Final

import curio
import pytest

from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    OWN_WRITES,
    Deployment,
    run_scenario,
)

_SESSIONS: Final = {
    'single': (CURRENT, ('WRITE a 1', 'READ a', 'WRITE a 2', 'READ a')),
    'transaction': (
        CURRENT,
        ('BEGIN', 'READ a', 'WRITE a 1', 'READ a', 'COMMIT', 'READ a'),
    ),
    'rolled-back': (CURRENT, ('BEGIN', 'WRITE a 1', 'ROLLBACK', 'READ a')),
    'read-only': (
        BOUNDED,
        ('BEGIN READ', 'READ a', 'WRITE a 1', 'ROLLBACK', 'READ a'),
    ),
    'prepared': (
        OWN_WRITES,
        (
            'PREPARE s1 WRITE q1',
            'PREPARE s2 READ q2',
            'EXECUTE s1 a x',
            'EXECUTE s2 a',
            'DEALLOCATE s1',
            'EXECUTE s1 a x',
        ),
    ),
    'values': (
        CURRENT,
        ('SET colour red', 'READ a', 'BEGIN', 'SET colour blue', 'COMMIT'),
    ),
    'wrong-order': (
        CURRENT,
        ('COMMIT', 'ROLLBACK', 'BEGIN', 'BEGIN', 'ROLLBACK', 'EXECUTE s9 a'),
    ),
}


@pytest.mark.parametrize('name', list(_SESSIONS))
def test_session_is_as_recorded(name: str, file_regression: Any) -> None:
    database, statements = _SESSIONS[name]

    async def scenario(deployment: Deployment) -> str:
        client = await deployment.connect(database)
        parts = []
        for text in statements:
            parts.append(f'-> {text}')
            parts.append(await _ask_raw(client, text))
            await curio.sleep(0.1)
        parts.extend(
            f'ran on a {_find_role(deployment, ran.server)}: {ran.text}'
            for ran in deployment.group.executed_statements
        )
        return '\n'.join(parts)

    transcript = run_scenario(scenario)
    # Signatures contain the number of the statement in its database group.
    transcript = re.sub(r'COMPLETE i-\S+', 'COMPLETE (signature)', transcript)
    file_regression.check(f'{transcript}\n')


async def _ask_raw(client: LineClient, text: str) -> str:
    reply = await client.ask(text)
    lines = [f'ROW {row}' for row in reply.rows]
    lines.extend((f'{reply.end} {reply.text}', f'READY {reply.state}'))
    return '\n'.join(lines)


def _find_role(deployment: Deployment, server: str) -> str:
    return deployment.group.servers[server].role
