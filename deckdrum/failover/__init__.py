"""Failover: replacing a failed primary."""

from deckdrum.failover.driver import FailoverDriver, FailoverReport

__all__ = ['FailoverDriver', 'FailoverReport']
