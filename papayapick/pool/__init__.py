"""What the owner of a pool of workers does."""
