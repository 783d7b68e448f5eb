"""Proxies and nodes among one another: messages, channels, membership."""
