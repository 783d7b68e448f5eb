"""Settings of one proxy process, read from a YAML file."""

from deckdrum.settings.core import ProxySettings, load_settings

__all__ = ['ProxySettings', 'load_settings']
