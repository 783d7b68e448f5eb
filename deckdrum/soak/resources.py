"""Check that nodes return connections, slots and places in queues."""

from collections.abc import Sequence
from typing import Final

import curio
from prometheus_client.parser import text_string_to_metric_families

from deckdrum.platform.settings import METRICS_PORT
from deckdrum.soak.processes import NodeProcess
from deckdrum.utils import Address
from deckdrum.utils.http import HttpClient, Request

#: Longest wait until nothing is in use.  Nodes query the status of servers all
#: the time, which uses a connection for some milliseconds.
RELEASE_TIMEOUT_S: Final = 5.0
_POLL_INTERVAL_S: Final = 0.05
_REQUEST_TIMEOUT_S: Final = 1.0
_IN_USE_FIGURES: Final = frozenset(('in_flight', 'connections'))


def find_used(metrics: str) -> set[str]:
    """Return what a node has in use, by its metrics.

    Examples
    --------
    >>> find_used('server_load{server="i-1",figure="in_flight"} 1')
    {'in_flight of i-1'}
    >>> find_used('server_load{server="i-1",figure="slots"} 3')
    set()
    """
    used = set()
    for family in text_string_to_metric_families(metrics):
        for sample in family.samples:
            figure = sample.labels.get('figure')
            place = sample.labels.get('place', '')
            if not sample.value:
                continue
            if figure in _IN_USE_FIGURES:
                used.add(f'{figure} of {sample.labels["server"]}')
            elif sample.name.endswith('load_waiting'):
                used.add(f'a place in {place}')
    return used


async def find_unreturned(nodes: Sequence[NodeProcess]) -> list[str]:
    """Return what nodes still have in use while no statement is in progress."""
    return [
        f'{node.name} has in use without a statement: {each}'
        for node in nodes
        for each in sorted(await _find_kept(node))
    ]


async def _find_kept(node: NodeProcess) -> set[str]:
    """Return what a node has in use each time that it is asked."""
    kept = find_used(await _read_metrics(node))
    async with curio.ignore_after(RELEASE_TIMEOUT_S):
        while kept:
            await curio.sleep(_POLL_INTERVAL_S)
            kept &= find_used(await _read_metrics(node))
    return kept


async def _read_metrics(node: NodeProcess) -> str:
    address = Address(node.host, METRICS_PORT)
    client = HttpClient(address, _REQUEST_TIMEOUT_S)
    try:
        reply = await client.call(
            Request('GET', '/metrics'), _REQUEST_TIMEOUT_S
        )
    finally:
        await client.close()
    return reply.body.decode()
