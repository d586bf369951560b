"""Rounds in which the owner of a pool decides."""
