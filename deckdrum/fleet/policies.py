"""Mechanisms of a node that can be left out, to find what each is worth.

Nothing of these keeps a promise: a node without all of them is slower, and no
less right.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Final

from deckdrum.outcomes.errors import SettingsError


class Policy(StrEnum):
    """A mechanism that can be left out, by its name for operators."""

    #: A read goes to a second server once its answer is overdue.
    HEDGED_READS = 'hedged-reads'
    #: A try whose answer is lost is given up before its time.
    LOST_ANSWERS = 'lost-answers'
    #: Retries after failures are a bounded part of what succeeds.
    RETRY_BUDGET = 'retry-budget'
    #: Where few nodes hold a group's connections the others hand it statements.
    FORWARDING = 'forwarding'
    #: Statements of one workspace meet at one holder.
    WORKSPACE_HOLDERS = 'workspace-holders'
    #: Reads of one workspace keep to one replica while it has room.
    WORKSPACE_REPLICAS = 'workspace-replicas'
    #: Connections are borrowed of nodes that hold more or idle ones.
    BORROWING = 'borrowing'
    #: A primary that cannot be reached is reached through another node.
    DETOURS = 'detours'
    #: One node of a data centre asks for proof for all.
    SHARED_PROOF = 'shared-proof'
    #: One node of a data centre samples the primary for all.
    SHARED_SAMPLES = 'shared-samples'
    #: Answers of replicas are proof of the primary's term.
    PROOF_FROM_READS = 'proof-from-reads'
    #: A read waits a moment for a sample rather than go to the primary.
    SAMPLE_WAIT = 'sample-wait'
    #: A read waits a moment for a replica of its own data centre.
    NEAR_READS = 'near-reads'
    #: Connections that do not go round go to the nearest nodes.
    NEAREST_CONNECTIONS = 'nearest-connections'
    #: The wait for one of few connections is bounded.
    FEW_WAIT = 'few-wait'
    #: Replicas that lacked a position are passed over for a while.
    REPLICA_PAUSES = 'replica-pauses'


ALL_POLICIES: Final = frozenset(Policy)


def exclude_policies(names: Iterable[str]) -> frozenset[Policy]:
    """Return every policy but those named.

    Raises
    ------
    SettingsError
        If a name is of no policy.

    Examples
    --------
    >>> Policy.BORROWING in exclude_policies(['borrowing'])
    False
    """
    try:
        left_out = {Policy(name) for name in names}
    except ValueError as error:
        known = ', '.join(Policy)
        raise SettingsError(f'{error}, expected some of {known}') from error
    return ALL_POLICIES - left_out
