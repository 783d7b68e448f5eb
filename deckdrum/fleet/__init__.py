"""The proxies of the fleet: messages, channels and membership."""
