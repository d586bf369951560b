"""What the owner of a pool reads from the store and writes to it."""
