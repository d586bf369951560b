"""Whether this host owns a pool, and what earlier owners left running."""
