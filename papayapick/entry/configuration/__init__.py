"""The configuration of the operator, as followed by an entry host."""
