"""Command line for operators, load generator and benchmarks."""
