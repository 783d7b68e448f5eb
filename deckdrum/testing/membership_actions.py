"""Faults of nodes that restart without registration, and all faults by kind."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.standins.users import StoreFault
from deckdrum.testing.fault_actions import (
    DRAWN_ACTIONS,
    Action,
    DrawnFault,
    FaultyChange,
    lose_successor,
    refuse_node,
)

REFUSING_FAULT: Final = 'refuse node'
LOSING_FAULT: Final = 'lose successor'
#: Kinds of restarts of a node that may not be registered; repeated kinds are
#: more frequent.
MEMBERSHIP_KINDS: Final = (
    'remove late',
    'remove late',
    'refuse records',
    'turn away restarted',
)
_REFUSALS: Final = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.RESET)
#: Longest time after its restart at which the entry of a node is removed.
_MAX_REMOVAL_DELAY_S: Final = 2.5
_LEADERSHIP: Final = 'deckdrum-leadership'
_MEMBERS: Final = 'deckdrum-members'


async def remove_late(change: FaultyChange, fault: DrawnFault) -> None:
    """Restart a node without the store; remove its former entry after that."""
    number = change.pick_node(fault.target)
    name = f'n{number}'
    store = change.deployment.store
    store.turned_away[name] = _pick_refusal(fault)
    if await change.replace_node(number, 0):
        await curio.sleep(min(fault.duration, _MAX_REMOVAL_DELAY_S))
        await store.delete(_MEMBERS, name)
        await curio.sleep(fault.duration)
    store.turned_away.pop(name, None)


async def refuse_records(change: FaultyChange, fault: DrawnFault) -> None:
    """Restart a node to which the store does not tell leadership records."""
    number = change.pick_node(fault.target)
    refused = change.deployment.store.refused_kinds
    refused[f'n{number}'] = {_LEADERSHIP}
    await change.replace_node(number, 0)
    await curio.sleep(fault.duration)
    refused.pop(f'n{number}', None)


async def turn_restarted_away(change: FaultyChange, fault: DrawnFault) -> None:
    """Restart a node that the store turns away."""
    number = change.pick_node(fault.target)
    turned_away = change.deployment.store.turned_away
    turned_away[f'n{number}'] = _pick_refusal(fault)
    await change.replace_node(number, 0)
    await curio.sleep(fault.duration)
    turned_away.pop(f'n{number}', None)


def _pick_refusal(fault: DrawnFault) -> StoreFault:
    return _REFUSALS[fault.target % len(_REFUSALS)]


#: All actions by the kind of fault.
ACTIONS: Final[Mapping[str, Action]] = MappingProxyType(
    {
        **DRAWN_ACTIONS,
        REFUSING_FAULT: refuse_node,
        LOSING_FAULT: lose_successor,
        'remove late': remove_late,
        'refuse records': refuse_records,
        'turn away restarted': turn_restarted_away,
    },
)
