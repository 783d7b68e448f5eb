"""Tests of each invariant, unmodified and with one rule disabled."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from deckdrum.backends.pool import Pool
from deckdrum.databases.base import DatabasePool
from deckdrum.failover.driver import FencedDatabase
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
    changes.check_lagging_follower,
    changes.check_reported_outcomes,
    changes.check_at_most_once,
    operations.check_leaving_servers,
    operations.check_graceful_shutdown,
    operations.check_configuration_order,
)


@pytest.mark.parametrize('scenario', SCENARIOS, ids=lambda each: each.__name__)
def test_invariant_holds(scenario: Scenario) -> None:
    assert not run_virtual(scenario)


def ignore_min_positions(patch: pytest.MonkeyPatch) -> None:
    """Disable: reads return at least what the session has seen."""
    patch.setattr(Token, 'min_position', lambda token, group: LOG_START)


def release_inside_transactions(patch: pytest.MonkeyPatch) -> None:
    """Disable: a connection is kept until the end of a transaction."""
    release_connection = KeeperSession._release_if_idle

    async def release(session: Any, end: RelayResult) -> None:
        await release_connection(
            session, RelayResult('I', end.held, end.rejected)
        )

    patch.setattr(KeeperSession, '_release_if_idle', release)


def reuse_unclean_connections(patch: pytest.MonkeyPatch) -> None:
    """Disable: a connection with a pending answer is not reused."""
    release = Pool.release

    async def release_clean(
        pool: DatabasePool, lease: Any, is_clean: bool
    ) -> None:
        await release(pool, lease, True)

    patch.setattr(Pool, 'release', release_clean)


def acknowledge_without_replicas(patch: pytest.MonkeyPatch) -> None:
    """Disable: replicas confirm a write before it is acknowledged."""

    async def confirm_from_primary(
        session: Any, route: Any, end: Any
    ) -> Position | None:
        watch = session._keeper.watch
        name = route.pool.database.name
        position: Position | None = await watch.fetch_applied(name, 3)
        return position

    patch.setattr(KeeperSession, '_confirm', confirm_from_primary)


def rank_by_followed_term(patch: pytest.MonkeyPatch) -> None:
    """Disable: the log itself decides which database is promoted."""
    patch.setattr(
        FencedDatabase,
        'log_position',
        property(lambda fenced: (fenced.state.term, fenced.state.received)),
    )


def report_unknown_as_not_run(patch: pytest.MonkeyPatch) -> None:
    """Disable: an unknown outcome is reported as unknown."""
    for code in (Code.CONNECTION_LOST, Code.UNCONFIRMED):
        patch.setitem(CODES, code, CodeEntry(code, Fate.NOT_RUN, 'broken'))


def retry_changes(patch: pytest.MonkeyPatch) -> None:
    """Disable: a write is not retried after its connection was lost."""
    attempt = KeeperSession._execute

    async def attempt_again(session: Any, request: Any) -> Any:
        refuse = session._refuse
        retried: list[Any] = []

        async def capture_unknown(refusal: Any, lost: bool = False) -> None:
            if refusal.fate is Fate.UNKNOWN:
                retried.append(request)
            else:
                await refuse(refusal, lost)

        session._refuse = capture_unknown
        try:
            next_request = await attempt(session, request)
        finally:
            session._refuse = refuse
        return retried[0] if retried else next_request

    patch.setattr(KeeperSession, '_execute', attempt_again)


def read_from_leaving(patch: pytest.MonkeyPatch) -> None:
    """Disable: a leaving database receives no reads."""
    patch.setattr(
        Router,
        '_can_serve_reads',
        lambda router, name, state: state.role == 'replica',
    )


def close_without_draining(patch: pytest.MonkeyPatch) -> None:
    """Disable: a planned stop waits for open transactions."""

    async def close_at_once(proxy: Proxy) -> bool:
        proxy.membership.is_leaving = True
        await proxy._caller_listener.close()
        return True

    patch.setattr(Proxy, 'drain', close_at_once)


def accept_older_configurations(patch: pytest.MonkeyPatch) -> None:
    """Disable: an older configuration does not replace a newer one."""
    patch.setattr(StoreView, 'number', property(_read_number))


def _read_number(view: StoreView) -> int:
    import sys

    caller = sys._getframe(1).f_code.co_name
    if caller == 'apply_configuration':
        return 0
    return view.configuration.number if view.configuration else 0


DISABLED_RULES = (
    (sessions.check_read_your_writes, ignore_min_positions),
    (sessions.check_transaction_isolation, release_inside_transactions),
    (sessions.check_answer_isolation, reuse_unclean_connections),
    (changes.check_acknowledged_writes, acknowledge_without_replicas),
    (changes.check_lagging_follower, rank_by_followed_term),
    (changes.check_reported_outcomes, report_unknown_as_not_run),
    (changes.check_at_most_once, retry_changes),
    (operations.check_leaving_servers, read_from_leaving),
    (operations.check_graceful_shutdown, close_without_draining),
    (operations.check_configuration_order, accept_older_configurations),
)


@pytest.mark.parametrize(
    ('scenario', 'disable_rule'),
    DISABLED_RULES,
    ids=[rule.__name__ for _, rule in DISABLED_RULES],
)
def test_disabled_rule_is_detected(
    scenario: Scenario,
    disable_rule: Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    disable_rule(monkeypatch)
    assert run_virtual(scenario)
