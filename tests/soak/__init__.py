"""Soak test: VM processes and stand-in back ends under injected faults."""
