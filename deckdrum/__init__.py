"""A database proxy fleet with session consistency and fair shares."""

__version__ = '0.1.0'
