"""The way to the store, and whether it answers."""
