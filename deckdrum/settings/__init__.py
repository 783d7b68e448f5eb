"""Settings of one proxy process, read from a YAML file."""

from deckdrum.settings.proxy import ProxySettings, load_settings

__all__ = ['ProxySettings', 'load_settings']
