"""Command-line programs: proxy, control, stand-ins and benchmarks."""
