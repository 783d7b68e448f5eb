"""A fleet of database proxies with session consistency and fair sharing."""

__version__ = '0.1.0'
