"""Run complete cells on loopback with stand-ins for the platform."""
