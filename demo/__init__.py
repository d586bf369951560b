"""Start whole cells on loopback, with stand-ins of the platform, and use them."""
