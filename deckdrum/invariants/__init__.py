"""Scenarios that inject faults and return the violated invariants.

The tests run each scenario twice: on the unmodified product, where it must
report no violation, and with one rule of the product disabled, where it must
report at least one.
"""
