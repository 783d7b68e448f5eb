"""Load, experiments and the demonstration, on stand-ins."""
