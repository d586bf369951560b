"""The other hosts of the cell: who they are, heartbeats and requests."""
