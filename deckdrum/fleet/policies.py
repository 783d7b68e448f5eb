"""Optional mechanisms of a node, which can be disabled one by one.

They improve latency and availability only.  Correctness does not depend on
any of them.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Final

from deckdrum.outcomes.errors import SettingsError


class Policy(StrEnum):
    """An optional mechanism, identified by its name in the settings."""

    #: Send a read to a second server if the first is slow to answer.
    HEDGED_READS = 'hedged-reads'
    #: Abandon an attempt early once its answer is known to be lost.
    LOST_ANSWERS = 'lost-answers'
    #: Bound retries to a fraction of the successful requests.
    RETRY_BUDGET = 'retry-budget'
    #: Forward statements to the nodes that hold connections to a database
    #: group, where only a few nodes do.
    FORWARDING = 'forwarding'
    #: Send all statements of a workspace to the same holder.
    WORKSPACE_HOLDERS = 'workspace-holders'
    #: Send the reads of a workspace to the same replica while it has capacity.
    WORKSPACE_REPLICAS = 'workspace-replicas'
    #: Borrow connections from nodes that hold spare or idle ones.
    BORROWING = 'borrowing'
    #: Reach a primary through another node if it cannot be reached directly.
    DETOURS = 'detours'
    #: Have one node of each data centre request leadership proofs for all.
    SHARED_PROOF = 'shared-proof'
    #: Have one node of each data centre sample the primary's log for all.
    SHARED_SAMPLES = 'shared-samples'
    #: Accept answers of replicas as leadership proof of the primary.
    PROOF_FROM_READS = 'proof-from-reads'
    #: Let a read wait briefly for a sample instead of using the primary.
    SAMPLE_WAIT = 'sample-wait'
    #: Let a read wait briefly for a replica in its own data centre.
    NEAR_READS = 'near-reads'
    #: Allocate scarce connections to the nearest nodes.
    NEAREST_CONNECTIONS = 'nearest-connections'
    #: Bound the wait for a connection to a server that has few.
    FEW_WAIT = 'few-wait'
    #: Temporarily skip replicas that lacked a required log position.
    REPLICA_PAUSES = 'replica-pauses'


ALL_POLICIES: Final = frozenset(Policy)


def exclude_policies(names: Iterable[str]) -> frozenset[Policy]:
    """Return all policies except the named ones.

    Raises
    ------
    SettingsError
        If a name is not that of a policy.

    Examples
    --------
    >>> Policy.BORROWING in exclude_policies(['borrowing'])
    False
    """
    try:
        excluded = {Policy(name) for name in names}
    except ValueError as error:
        known = ', '.join(Policy)
        raise SettingsError(f'{error}; known policies: {known}') from error
    return ALL_POLICIES - excluded
