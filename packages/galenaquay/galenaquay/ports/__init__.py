"""Typed interfaces to all systems outside this process."""
