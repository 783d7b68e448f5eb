"""What must always hold, as scenarios that return the promises broken.

Each scenario provokes the failures that threaten one promise.  The tests run
each of them twice: as the product is, where nothing may be broken, and with
one rule of the product broken on purpose, where the scenario must notice.
"""
