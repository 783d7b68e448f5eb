"""Keepers: the proxy that runs the batches of a service for the fleet."""

from deckdrum.keepers.access import Access

__all__ = ['Access']
