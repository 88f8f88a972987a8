"""The way to backend servers: which one, over which connection."""
