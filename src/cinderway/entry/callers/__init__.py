"""A caller's request from its arrival to its final answer."""
