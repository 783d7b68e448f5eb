"""Load generators, experiments and a demo, run against stand-ins."""
