"""Adapters to the platform: settings, object store, API and wire protocol.

Names of the platform occur only in this package, which makes no routing or
leadership decisions.  `deckdrum.platform.service` assembles a node from it.
"""
