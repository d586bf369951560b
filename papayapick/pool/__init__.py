"""Schedule the jobs of one pool of workers, as the pool's elected owner."""
