"""Specify the core protocols small enough to be checked in every state."""
