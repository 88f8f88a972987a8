"""Simulated backend servers, a load generator and launchers of local fleets.

Used by the demo, the tests and the benchmarks; not part of the product.
"""
