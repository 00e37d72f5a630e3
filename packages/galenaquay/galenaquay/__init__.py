"""The entry process of galenaquay.

Every VM runs one entry process. It receives requests from callers, chooses an
engine or a service for each, and returns the response of that back end.
"""
