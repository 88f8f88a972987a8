"""Scripts for developers and CI."""
