"""Communication between proxies and nodes: messages, channels, membership."""
