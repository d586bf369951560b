"""Queries to the advice service through the hosts of the cell."""
