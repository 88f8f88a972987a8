"""Benchmarks of processes and simulations; CI does not depend on their results."""
