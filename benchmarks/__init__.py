"""Measure speed, memory and bytes; each module is a command."""
