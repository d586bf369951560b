"""The program of an entry host on the users' platform."""
