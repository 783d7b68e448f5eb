"""The users' platform: translation of its settings, store, calls and wire.

Nothing outside this folder knows the platform's names, and nothing in it
decides.  `deckdrum.platform.service` assembles a node from it.
"""
