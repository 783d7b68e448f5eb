"""What a node answers to its peers."""

from typing import Any

import curio

from deckdrum.fleet.node_messages import EndTerm, TermEnded
from deckdrum.node.peer_requests import PeerRequestHandler
from deckdrum.testing.nodes import SERVICE, Deployment, run_scenario

_QUESTION = EndTerm(SERVICE, 1, may_finish=False, fence=9)


def test_node_confirms_no_end_of_a_term_of_a_group_that_it_has_not_opened() -> (
    None
):
    """It kept nothing of the end, and may have used the primary once opened."""
    # The limits are not used.
    limits: Any = None
    requests = PeerRequestHandler({}, limits)
    assert curio.run(requests.handle, _QUESTION) is None


def test_node_confirms_the_end_of_a_term_that_it_uses_no_more() -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        answer = await node.peers.ask(
            deployment.nodes[1].node.settings.peer_address, _QUESTION
        )
        assert answer == TermEnded(SERVICE, 1)
        state = deployment.nodes[1].node.services[SERVICE].leadership_state
        assert not state.can_acknowledge(1, await curio.clock())

    run_scenario(scenario)
