"""Relays streamed responses from endpoints to callers."""
