"""Experiments on stand-ins in virtual time, with bounds on their figures."""

from deckdrum.bench.experiments.base import Experiment, Figure, Findings

__all__ = ['Experiment', 'Figure', 'Findings']
