"""Advice on which workers may run a step."""
