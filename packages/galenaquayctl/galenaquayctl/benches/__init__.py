"""Benchmarks. Each one measures figures and compares them with targets."""
