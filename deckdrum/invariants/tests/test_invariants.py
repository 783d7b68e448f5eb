"""Each promise of the brief, as it is and with one rule broken."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from deckdrum.backends.pool import Pool
from deckdrum.databases.base import DatabasePool
from deckdrum.invariants import changes, operations, sessions
from deckdrum.keepers.relay import RelayResult
from deckdrum.keepers.routing import Router
from deckdrum.keepers.sessions import KeeperSession
from deckdrum.outcomes import CODES, Code, Fate
from deckdrum.outcomes.codes import CodeEntry
from deckdrum.proxy import Proxy
from deckdrum.sessions import Position, Token
from deckdrum.sessions.position import LOG_START
from deckdrum.store.view import StoreView
from deckdrum.utils.virtualtime import run_virtual

Scenario = Callable[[], Awaitable[list[str]]]
SCENARIOS = (
    sessions.check_read_your_writes,
    sessions.check_transaction_isolation,
    sessions.check_answer_isolation,
    changes.check_acknowledged_writes,
    changes.check_reported_outcomes,
    changes.check_at_most_once,
    operations.check_leaving_servers,
    operations.check_graceful_shutdown,
    operations.check_configuration_order,
)


@pytest.mark.parametrize('scenario', SCENARIOS, ids=lambda each: each.__name__)
def test_promise_holds(scenario: Scenario) -> None:
    assert not run_virtual(scenario)


def ignore_min_positions(patch: pytest.MonkeyPatch) -> None:
    """Break: reads take no account of what the session has seen."""
    patch.setattr(Token, 'min_position', lambda token, group: LOG_START)


def release_inside_transactions(patch: pytest.MonkeyPatch) -> None:
    """Break: a connection is given back in the middle of a transaction."""
    let_go = KeeperSession._release_if_idle

    async def release(session: Any, end: RelayResult) -> None:
        await let_go(session, RelayResult('I', end.held, end.rejected))

    patch.setattr(KeeperSession, '_release_if_idle', release)


def reuse_unclean_connections(patch: pytest.MonkeyPatch) -> None:
    """Break: a connection with an answer under way is lent again."""
    release = Pool.release

    async def release_clean(
        pool: DatabasePool, lease: Any, is_clean: bool
    ) -> None:
        await release(pool, lease, True)

    patch.setattr(Pool, 'release', release_clean)


def acknowledge_without_replicas(patch: pytest.MonkeyPatch) -> None:
    """Break: the primary's own word is enough to acknowledge."""

    async def trust(session: Any, route: Any, end: Any) -> Position | None:
        watch = session._keeper.watch
        name = route.pool.database.name
        position: Position | None = await watch.fetch_applied(name, 3)
        return position

    patch.setattr(KeeperSession, '_confirm', trust)


def report_unknown_as_not_run(patch: pytest.MonkeyPatch) -> None:
    """Break: an unknown outcome is told as not run."""
    for code in (Code.CONNECTION_LOST, Code.UNCONFIRMED):
        patch.setitem(CODES, code, CodeEntry(code, Fate.NOT_RUN, 'broken'))


def retry_changes(patch: pytest.MonkeyPatch) -> None:
    """Break: a change whose connection broke is sent again."""
    attempt = KeeperSession._execute

    async def attempt_again(session: Any, tried: Any) -> Any:
        refuse = session._refuse
        again: list[Any] = []

        async def hold_back(refusal: Any, lost: bool = False) -> None:
            if refusal.fate is Fate.UNKNOWN:
                again.append(tried)
            else:
                await refuse(refusal, lost)

        session._refuse = hold_back
        try:
            following = await attempt(session, tried)
        finally:
            session._refuse = refuse
        return again[0] if again else following

    patch.setattr(KeeperSession, '_execute', attempt_again)


def read_from_leaving(patch: pytest.MonkeyPatch) -> None:
    """Break: the list of leaving databases is ignored."""
    patch.setattr(
        Router,
        '_can_serve_reads',
        lambda router, name, state: state.role == 'replica',
    )


def close_without_draining(patch: pytest.MonkeyPatch) -> None:
    """Break: a planned stop does not wait for transactions."""

    async def close_at_once(proxy: Proxy) -> bool:
        proxy.membership.is_leaving = True
        await proxy._caller_listener.close()
        return True

    patch.setattr(Proxy, 'drain', close_at_once)


def accept_older_configurations(patch: pytest.MonkeyPatch) -> None:
    """Break: an older configuration replaces a newer one."""
    patch.setattr(StoreView, 'number', property(_read))


def _read(view: StoreView) -> int:
    import sys

    caller = sys._getframe(1).f_code.co_name
    if caller == 'apply_configuration':
        return 0
    return view.configuration.number if view.configuration else 0


BROKEN = (
    (sessions.check_read_your_writes, ignore_min_positions),
    (sessions.check_transaction_isolation, release_inside_transactions),
    (sessions.check_answer_isolation, reuse_unclean_connections),
    (changes.check_acknowledged_writes, acknowledge_without_replicas),
    (changes.check_reported_outcomes, report_unknown_as_not_run),
    (changes.check_at_most_once, retry_changes),
    (operations.check_leaving_servers, read_from_leaving),
    (operations.check_graceful_shutdown, close_without_draining),
    (operations.check_configuration_order, accept_older_configurations),
)


@pytest.mark.parametrize(
    ('scenario', 'break_rule'),
    BROKEN,
    ids=[rule.__name__ for _, rule in BROKEN],
)
def test_broken_rule_is_noticed(
    scenario: Scenario,
    break_rule: Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    break_rule(monkeypatch)
    assert run_virtual(scenario)
