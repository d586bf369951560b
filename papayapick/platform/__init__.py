"""Speak the platform's language: names, formats and calls; nothing that decides.

Each body is decoded once into types of the product whose fields say what they
hold. No other package knows the names used on the wire.
"""
