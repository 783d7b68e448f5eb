"""Experiments: figures with bounds, in virtual time, on stand-ins."""

from deckdrum.bench.experiments.base import Experiment, Figure, Findings

__all__ = ['Experiment', 'Figure', 'Findings']
