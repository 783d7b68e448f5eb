"""Test stand-ins for the systems around the product; not for real use."""
