"""Keepers: one proxy holds the connections of a service for the fleet."""

from deckdrum.keepers.access import Access

__all__ = ['Access']
