"""Links to the workers of a pool: polls, reports and orders."""
