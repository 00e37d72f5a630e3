"""Selects the endpoint of a request and splits long prompts over engines."""
