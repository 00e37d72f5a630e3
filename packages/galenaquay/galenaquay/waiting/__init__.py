"""Requests that wait for capacity, and the order in which they get it."""
