"""Benchmarks of speed, memory and bytes; each module is run as a command."""
