"""The users' platform: translation of its settings, store, calls and wire.

Nothing outside this folder knows the platform's names, and nothing in it
decides.  `deckdrum.platform.program` assembles a node from it.
"""
