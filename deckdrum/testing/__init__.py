"""Builders and harnesses shared by the tests of all subpackages."""
