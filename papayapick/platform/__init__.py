"""Clients and codecs for the platform's HTTP interfaces; no scheduling decisions.

Each body is decoded once into types of papayapick. No other package uses the names of
the platform's formats.
"""
