"""Tracks the state, load and reliability of engines and services."""
