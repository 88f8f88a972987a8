"""Handling of a caller's request, from its arrival to its final answer."""
